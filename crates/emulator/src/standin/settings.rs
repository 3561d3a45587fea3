//! Settings of a stand-in.

use std::net;
use std::time::Duration;

/// Settings of one stand-in, with defaults for tests on loopback.
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
    /// Random identifier of this run of the server.
    pub instance: String,
    /// Services of the backend server.
    pub services: Vec<String>,
    /// Listening address; port 0 selects a free port.
    pub listen: net::SocketAddr,
    /// Address of the backend listener of its node; `None` sends no announcements.
    pub node: Option<net::SocketAddr>,
    /// Largest number of running requests.
    pub slots: usize,
    /// Largest number of requests that wait for a slot; more are refused.
    pub queue: usize,
    /// Largest number of open connections; more are closed immediately.
    pub connections: usize,
    /// Time that each request takes.
    pub delay: Duration,
    /// Additional time that the first access of a key takes.
    pub cold_delay: Duration,
    /// Time between announcements.
    pub announce_interval: Duration,
    /// Whether it refuses requests for ranges and epochs that it does not own.
    pub checks_fencing: bool,
    /// Sender token that commands must carry; `None` accepts every sender.
    pub token: Option<String>,
    /// Largest number of request ids, and of keys, whose records are kept. The oldest ids and
    /// values are dropped; further keys are not counted.
    pub max_records: usize,
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
            cold_delay: Duration::ZERO,
            announce_interval: Duration::from_millis(500),
            checks_fencing: false,
            token: None,
            max_records: 1 << 20,
        }
    }

    /// Adds a service.
    #[must_use]
    pub fn with_service(mut self, service: &str) -> Self {
        self.services.push(service.into());
        self
    }

    /// Sets the node that receives announcements.
    #[must_use]
    pub fn with_node(mut self, address: net::SocketAddr) -> Self {
        self.node = Some(address);
        self
    }

    /// Sets the largest number of running requests.
    #[must_use]
    pub fn with_slots(mut self, slots: usize) -> Self {
        self.slots = slots;
        self
    }

    /// Sets the largest number of requests that wait for a slot.
    #[must_use]
    pub fn with_queue(mut self, queue: usize) -> Self {
        self.queue = queue;
        self
    }

    /// Sets the largest number of open connections.
    #[must_use]
    pub fn with_connections(mut self, connections: usize) -> Self {
        self.connections = connections;
        self
    }

    /// Sets the time that each request takes, and the additional time for a cold key.
    #[must_use]
    pub fn with_delay(mut self, delay: Duration, cold_delay: Duration) -> Self {
        self.delay = delay;
        self.cold_delay = cold_delay;
        self
    }

    /// Enables the refusal of requests for ranges and epochs that it does not own.
    #[must_use]
    pub fn with_fencing(mut self) -> Self {
        self.checks_fencing = true;
        self
    }

    /// Sets the sender token without which commands are refused.
    #[must_use]
    pub fn with_token(mut self, token: &str) -> Self {
        self.token = Some(token.into());
        self
    }

    /// Sets the largest number of request ids, and of keys, whose records are kept.
    #[must_use]
    pub fn with_records(mut self, max_records: usize) -> Self {
        self.max_records = max_records.max(1);
        self
    }
}
