//! Route lookup, and weighted choice between the services of a route.

use std::collections;
use std::hash::{self, Hash, Hasher};
use std::time::Duration;

use sequoiayoke_catalog::config;

/// The estimate of the wait that callers accept on their first attempt moves by this part of itself for
/// each caller that accepts a longer one.
const WAIT_STEP_DIVISOR: u32 = 16;
/// Callers that accept a shorter wait move it by this part of the step. The estimate stays at the wait
/// of first attempts while these are at least one in this many requests.
const SHORTER_WAIT_DIVISOR: u32 = 8;

/// Routing table of a configuration.
///
/// The services of a route are chosen by smooth weighted round-robin, so that each gets its
/// share within a few requests, not only on average.
#[derive(Clone, Debug, Default)]
pub struct Table {
    hosts: collections::HashMap<String, Vec<Entry>>,
}

/// A route and the state of its weighted round-robin.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The route.
    pub route: config::Route,
    /// Class of the route's requests in the statistics of all nodes. It stays the same when other routes
    /// are added or removed.
    pub class: u64,
    current_weights: Vec<f64>,
    /// Wait that callers accept on their first attempt.
    first_max_wait: Option<Duration>,
}

impl Table {
    /// Creates the routing table of `config`.
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
        for route in &config.routes {
            let entry = Entry {
                class: class(route),
                first_max_wait: None,
                current_weights: vec![0.0; route.shares.len()],
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

    /// Returns the route of `host` with the longest matching prefix of `path`.
    pub fn find(&mut self, host: &str, path: &str) -> Option<&mut Entry> {
        let name = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let entries = self.hosts.get_mut(&name)?;
        entries
            .iter_mut()
            .find(|entry| path.starts_with(&entry.route.prefix))
    }
}

/// Returns the class of a route's requests.
fn class(route: &config::Route) -> u64 {
    let mut hasher = hash::DefaultHasher::new();
    (&route.name, &route.host, &route.prefix).hash(&mut hasher);
    hasher.finish()
}

impl Entry {
    /// Estimates how long a caller that accepts a wait of `max_wait` has waited already.
    ///
    /// Most callers accept the same wait on their first attempt; one that retries has less time left.
    /// The estimate follows the longer waits in small steps, so that a few callers that accept any
    /// wait do not make all others count as retries.
    pub fn estimate_waited(&mut self, max_wait: Duration) -> Duration {
        let first = self.first_max_wait.get_or_insert(max_wait);
        let step = *first / WAIT_STEP_DIVISOR;
        *first = match max_wait > *first {
            true => max_wait.min(*first + step),
            false => max_wait.max(first.saturating_sub(step / SHORTER_WAIT_DIVISOR)),
        };
        first.saturating_sub(max_wait)
    }

    /// Selects the service for the next request.
    pub fn next_service(&mut self) -> &str {
        let shares = &self.route.shares;
        let total: f64 = shares.iter().map(|share| share.weight).sum();
        let mut best = 0;
        for (index, share) in shares.iter().enumerate() {
            self.current_weights[index] += share.weight;
            if self.current_weights[index] > self.current_weights[best] {
                best = index;
            }
        }
        self.current_weights[best] -= total;
        &shares[best].service
    }
}
