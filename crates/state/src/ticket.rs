//! Change tickets: a number and the complete new state of each object to change.

use sequoiayoke_model::id;

/// Maximum number of objects in one ticket.
pub const MAX_OBJECTS: usize = 1_000;
/// Maximum number of initial slices of a new service.
pub const MAX_INITIAL_SLICES: u32 = 65_536;

/// Relative weights of imbalance, churn and unavailability for a service.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Weights {
    /// Weight of imbalanced load.
    pub imbalance: f64,
    /// Weight of keys that change their owner.
    pub churn: f64,
    /// Weight of time without a reachable owner.
    pub unavailable: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            imbalance: 1.0,
            churn: 1.0,
            unavailable: 1.0,
        }
    }
}

/// Complete new state of a service.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Service {
    /// Name of the service in requests.
    pub name: String,
    /// HTTP methods of which a request may be retried safely.
    pub idempotent: Vec<String>,
    /// Whether each caller can access only the keys of its own scope.
    pub scoped: bool,
    /// Number of equal slices with which the service is created.
    pub slices: u32,
    /// Relative weights of imbalance, churn and unavailability.
    pub weights: Weights,
}

/// State that operators want a backend server to be in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Intent {
    /// The backend server accepts new requests.
    #[default]
    Serving,
    /// The backend server gives up its slices and accepts no new requests.
    Draining,
}

/// Complete new state of a backend server, as far as operators control it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Server {
    /// Name of the backend server.
    pub name: String,
    /// State that operators want it to be in.
    pub intent: Intent,
}

/// A key that is pinned to a backend server.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Pin {
    /// Name of the service.
    pub service: String,
    /// Scope of the key; empty for the common scope.
    pub scope: String,
    /// The key.
    pub key: String,
    /// Name of the backend server; `None` removes the pin.
    pub server: Option<String>,
}

/// Complete new state of a caller.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Caller {
    /// Name of the caller.
    pub name: String,
    /// SHA-256 of the caller's token.
    pub token_digest: [u8; 32],
    /// Scope of the caller's keys; empty for the common scope.
    pub scope: String,
}

/// Complete new state of one object.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Object {
    /// A service.
    Service(Service),
    /// A backend server.
    Server(Server),
    /// A pinned key.
    Pin(Pin),
    /// A caller.
    Caller(Caller),
}

/// A change ticket.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Ticket {
    /// Number of the ticket: one more than that of the last accepted ticket.
    pub number: id::Ticket,
    /// Objects to create or replace.
    pub objects: Vec<Object>,
}

/// An accepted ticket.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Accepted {
    /// First version of the view that includes the ticket.
    pub version: id::Version,
    /// The ticket.
    pub ticket: Ticket,
}

impl Ticket {
    /// Returns the problems of the ticket that show without the state, one per line.
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_model::id;
    /// use sequoiayoke_state::ticket;
    ///
    /// let empty = ticket::Ticket { number: id::Ticket(1), objects: vec![] };
    /// assert_eq!(empty.problems(), ["objects: a ticket needs at least one object"]);
    /// ```
    pub fn problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        if self.number.0 == 0 {
            problems.push("number: ticket numbers start at 1".to_owned());
        }
        if self.objects.is_empty() {
            problems.push("objects: a ticket needs at least one object".to_owned());
        }
        if self.objects.len() > MAX_OBJECTS {
            problems.push(format!("objects: at most {MAX_OBJECTS} objects"));
        }
        for (index, object) in self.objects.iter().enumerate() {
            let is_repeated = self.objects[..index]
                .iter()
                .any(|earlier| earlier.is_same(object));
            if is_repeated {
                problems.push(format!("objects[{index}]: the object appears twice"));
            }
            if let Some(problem) = object.problem() {
                problems.push(format!("objects[{index}].{problem}"));
            }
        }
        problems
    }
}

impl Object {
    fn is_same(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Service(a), Self::Service(b)) => a.name == b.name,
            (Self::Server(a), Self::Server(b)) => a.name == b.name,
            (Self::Pin(a), Self::Pin(b)) => {
                (&a.service, &a.scope, &a.key) == (&b.service, &b.scope, &b.key)
            }
            (Self::Caller(a), Self::Caller(b)) => a.name == b.name,
            _ => false,
        }
    }

    fn problem(&self) -> Option<String> {
        match self {
            Self::Service(service) => service.problem(),
            Self::Server(server) => name_problem("server.name", &server.name),
            Self::Pin(pin) if pin.key.is_empty() => Some("pin.key: must not be empty".to_owned()),
            Self::Pin(pin) => name_problem("pin.service", &pin.service),
            Self::Caller(caller) => name_problem("caller.name", &caller.name),
        }
    }
}

impl Service {
    fn problem(&self) -> Option<String> {
        if self.slices == 0 || self.slices > MAX_INITIAL_SLICES {
            return Some(format!("service.slices: must be 1 to {MAX_INITIAL_SLICES}"));
        }
        let weights = [
            self.weights.imbalance,
            self.weights.churn,
            self.weights.unavailable,
        ];
        if !weights
            .iter()
            .all(|weight| weight.is_finite() && *weight >= 0.0)
        {
            return Some("service.weights: must be finite and not negative".to_owned());
        }
        name_problem("service.name", &self.name)
    }
}

fn name_problem(field: &str, name: &str) -> Option<String> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    if !name.is_empty() && name.len() <= 64 && name.bytes().all(is_allowed) {
        return None;
    }
    Some(format!(
        "{field}: must be 1 to 64 letters, digits, '-', '_' or '.'"
    ))
}
