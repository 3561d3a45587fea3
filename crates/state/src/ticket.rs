//! Change tickets: a number and the whole new state of the objects touched.

use sequoiayoke_model::id;

/// Largest number of objects in one ticket.
pub const MAX_OBJECTS: usize = 1_000;
/// Largest number of slices that a new service may start with.
pub const MAX_INITIAL_SLICES: u32 = 65_536;

/// How a service weighs the three measures against each other.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Weights {
    /// Weight of uneven load.
    pub imbalance: f64,
    /// Weight of keys that change owner.
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

/// Whole new state of a service.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Service {
    /// Its name in requests.
    pub name: String,
    /// HTTP methods that may be sent again without harm.
    pub idempotent: Vec<String>,
    /// Whether each caller sees only the keys of its own scope.
    pub scoped: bool,
    /// Number of equal slices that a new service starts with.
    pub slices: u32,
    /// How it weighs the measures.
    pub weights: Weights,
}

/// What operators want of a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Intent {
    /// It serves.
    #[default]
    Serving,
    /// It gives its slices away and takes no new work.
    Draining,
}

/// Whole new state of a backend server, as far as operators decide it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Server {
    /// Its name.
    pub name: String,
    /// What operators want of it.
    pub intent: Intent,
}

/// A key that is to be owned by a certain backend server.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Pin {
    /// Name of the service.
    pub service: String,
    /// Scope of the key; empty for the common scope.
    pub scope: String,
    /// The key.
    pub key: String,
    /// Name of the server; `None` ends the pin.
    pub server: Option<String>,
}

/// Whole new state of a caller.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Caller {
    /// Its name.
    pub name: String,
    /// SHA-256 of its token.
    pub token_digest: [u8; 32],
    /// Scope of its keys; empty for the common scope.
    pub scope: String,
}

/// Whole new state of one object.
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
    /// Its number: one more than the last accepted one.
    pub number: id::Ticket,
    /// The objects that it touches.
    pub objects: Vec<Object>,
}

/// An accepted ticket.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Accepted {
    /// Version from which it is part of every view.
    pub version: id::Version,
    /// The ticket.
    pub ticket: Ticket,
}

impl Ticket {
    /// Returns what is wrong with the ticket on its own, one line each.
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
            let repeated = self.objects[..index].iter().any(|one| one.is_same(object));
            if repeated {
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
        if !weights.iter().all(|w| w.is_finite() && *w >= 0.0) {
            return Some("service.weights: must be finite and not negative".to_owned());
        }
        name_problem("service.name", &self.name)
    }
}

fn name_problem(field: &str, name: &str) -> Option<String> {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    if !name.is_empty() && name.len() <= 64 && name.bytes().all(plain) {
        return None;
    }
    Some(format!(
        "{field}: must be 1 to 64 letters, digits, '-', '_' or '.'"
    ))
}
