//! What a stand-in is told at its start.

use std::net;
use std::time::Duration;

/// Settings of one stand-in; the defaults suit tests on loopback.
///
/// # Examples
///
/// ```
/// use sequoiayoke_emulator::standin::settings;
///
/// let settings = settings::Settings::new("ank-refunds-1")
///     .with_service("refunds")
///     .with_slots(4);
/// assert_eq!(settings.services, ["refunds"]);
/// ```
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the backend server.
    pub name: String,
    /// Random text that tells this run of the server from others.
    pub instance: String,
    /// Services that it serves.
    pub services: Vec<String>,
    /// Address to listen on; port 0 picks a free one.
    pub listen: net::SocketAddr,
    /// Backend listener of its node; `None` announces nothing.
    pub node: Option<net::SocketAddr>,
    /// Requests that run at a time.
    pub slots: usize,
    /// Requests that may wait for a slot; more are refused.
    pub queue: usize,
    /// Connections that may be open; more are closed at once.
    pub connections: usize,
    /// Time that each request takes.
    pub delay: Duration,
    /// Extra time that the first access of a key takes.
    pub cold: Duration,
    /// Time between announcements.
    pub announce_every: Duration,
    /// Whether it refuses requests of ranges and epochs that it does not own.
    pub checks_fencing: bool,
    /// Sender token that commands must carry; `None` checks no sender.
    pub token: Option<String>,
    /// Request ids and keys of which a record is kept; the oldest are dropped.
    pub records: usize,
}

impl Settings {
    /// Returns the defaults for a server of this name.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.into(),
            instance: format!("{:016x}", rand::random::<u64>()),
            services: Vec::new(),
            listen: net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0)),
            node: None,
            slots: 12,
            queue: 64,
            connections: 130,
            delay: Duration::ZERO,
            cold: Duration::ZERO,
            announce_every: Duration::from_millis(500),
            checks_fencing: false,
            token: None,
            records: 1 << 20,
        }
    }

    /// Adds a service.
    #[must_use]
    pub fn with_service(mut self, service: &str) -> Self {
        self.services.push(service.into());
        self
    }

    /// Announces itself to the node at `address`.
    #[must_use]
    pub fn with_node(mut self, address: net::SocketAddr) -> Self {
        self.node = Some(address);
        self
    }

    /// Sets the number of requests that run at a time.
    #[must_use]
    pub fn with_slots(mut self, slots: usize) -> Self {
        self.slots = slots;
        self
    }

    /// Sets the number of requests that may wait for a slot.
    #[must_use]
    pub fn with_queue(mut self, queue: usize) -> Self {
        self.queue = queue;
        self
    }

    /// Sets the number of connections that may be open.
    #[must_use]
    pub fn with_connections(mut self, connections: usize) -> Self {
        self.connections = connections;
        self
    }

    /// Sets the time that each request takes, and the extra time of a cold key.
    #[must_use]
    pub fn with_delay(mut self, delay: Duration, cold: Duration) -> Self {
        self.delay = delay;
        self.cold = cold;
        self
    }

    /// Refuses requests of ranges and epochs that it does not own.
    #[must_use]
    pub fn with_fencing(mut self) -> Self {
        self.checks_fencing = true;
        self
    }

    /// Refuses commands without this sender token.
    #[must_use]
    pub fn with_token(mut self, token: &str) -> Self {
        self.token = Some(token.into());
        self
    }

    /// Sets the number of request ids and keys of which a record is kept.
    #[must_use]
    pub fn with_records(mut self, records: usize) -> Self {
        self.records = records.max(1);
        self
    }
}
