//! Choice of a route, and of one of the services that share it.

use std::collections;
use std::time::Duration;

use sequoiayoke_catalog::config;

/// Routes of a configuration, prepared for look-ups.
///
/// Shares are served by smooth weighted round-robin, so each part gets its
/// weight within a few requests, not only on average.
#[derive(Clone, Debug, Default)]
pub struct Table {
    hosts: collections::HashMap<String, Vec<Entry>>,
}

/// A route and how its shares stand.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The route.
    pub route: config::Route,
    /// Number that stands for the route in measurements.
    pub class: u64,
    credits: Vec<f64>,
    /// Longest patience of its callers so far.
    longest_max_wait: Duration,
}

impl Table {
    /// Prepares the routes of `config`.
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_catalog::config;
    /// use sequoiayoke_dispatch::route;
    ///
    /// let mut table = route::Table::new(&config::Config::default());
    /// assert!(table.find("kiosk.example", "/status/7").is_none());
    /// ```
    pub fn new(config: &config::Config) -> Self {
        let mut hosts: collections::HashMap<String, Vec<Entry>> = collections::HashMap::new();
        for (number, route) in config.routes.iter().enumerate() {
            let entry = Entry {
                class: number as u64,
                longest_max_wait: Duration::ZERO,
                credits: vec![0.0; route.shares.len()],
                route: route.clone(),
            };
            let host = route.host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(entry);
        }
        for entries in hosts.values_mut() {
            entries.sort_by_key(|entry| std::cmp::Reverse(entry.route.prefix.len()));
        }
        Self { hosts }
    }

    /// Returns the route with the longest prefix of `path`.
    pub fn find(&mut self, host: &str, path: &str) -> Option<&mut Entry> {
        let name = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let entries = self.hosts.get_mut(&name)?;
        entries
            .iter_mut()
            .find(|entry| path.starts_with(&entry.route.prefix))
    }
}

impl Entry {
    /// Returns how long a caller with this patience left has waited already: the
    /// longest patience seen is that of callers who come for the first time.
    pub fn estimate_waited(&mut self, max_wait: Duration) -> Duration {
        self.longest_max_wait = self.longest_max_wait.max(max_wait);
        self.longest_max_wait.saturating_sub(max_wait)
    }

    /// Returns the service that takes the next request.
    pub fn next_service(&mut self) -> &str {
        let shares = &self.route.shares;
        let total: f64 = shares.iter().map(|share| share.weight).sum();
        let mut best = 0;
        for (index, share) in shares.iter().enumerate() {
            self.credits[index] += share.weight;
            if self.credits[index] > self.credits[best] {
                best = index;
            }
        }
        self.credits[best] -= total;
        &shares[best].service
    }
}
