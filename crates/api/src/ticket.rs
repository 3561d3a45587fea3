//! Change tickets.
//!
//! A ticket contains the complete new state of each object that it changes, so
//! that submitting it is idempotent.

use std::fmt;

use sequoiayoke_model::id;
use sequoiayoke_settings::{check, document};

/// Maximum size of a ticket in bytes; a ticket must fit into one frame between replicas.
pub const MAX_BYTES: usize = 512 * 1024;

/// Maximum number of objects in a ticket.
pub const MAX_OBJECTS: usize = 4096;

/// Maximum number of slices that a new service starts with.
pub const MAX_SLICES: u32 = 65_536;

/// Number of slices of a new service whose ticket does not specify it.
pub const DEFAULT_SLICES: u32 = 16;

/// Maximum size of a key or scope in bytes.
pub const MAX_KEY_BYTES: usize = 1024;

/// A change ticket.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Ticket {
    /// Number of the ticket, which must be the last accepted number plus one.
    pub number: id::Ticket,
    /// Objects that it changes, each with its complete new state.
    pub objects: Vec<Object>,
}

/// An object that a ticket changes.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Object {
    /// A service.
    Service(Service),
    /// A backend server.
    Server(Server),
    /// A key that is pinned to a backend server.
    Pin(Pin),
    /// A caller.
    Caller(Caller),
}

/// A service.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name, as in the path of a request.
    pub name: String,
    /// Idempotent methods, whose requests may run more than once.
    #[serde(default = "default_idempotent")]
    pub idempotent: Vec<String>,
    /// Whether each scope has keys of its own.
    #[serde(default)]
    pub scoped: bool,
    /// Slices of equal size that the service starts with.
    #[serde(default = "default_slices")]
    pub slices: u32,
    /// Weights of the placement costs.
    #[serde(default)]
    pub weights: Weights,
}

/// Weights of the placement costs.
#[derive(Clone, Copy, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Weights {
    /// Weight of load imbalance.
    pub imbalance: f64,
    /// Weight of keys that change owner.
    pub churn: f64,
    /// Weight of the time without a reachable owner.
    pub unavailable: f64,
}

/// A backend server.
#[derive(Clone, Debug, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Name that the server announces.
    pub name: String,
    /// Whether it accepts slices.
    pub state: State,
}

/// Whether a backend server accepts slices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It accepts slices.
    Serving,
    /// Its slices move away, and it gets no new ones.
    Draining,
}

/// A key that is pinned to a backend server.
#[derive(Clone, Debug, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Pin {
    /// Service of the key.
    pub service: String,
    /// Scope of the key; empty for a service without scopes.
    #[serde(default)]
    pub scope: String,
    /// The key.
    pub key: String,
    /// Server that must own the key; `null` removes the pin.
    // The field has no default, so that omitting it does not remove a pin.
    #[serde(deserialize_with = "deserialize_required_option")]
    pub server: Option<String>,
}

/// A caller.
#[derive(Clone, Debug, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// Name for logs and metrics.
    pub name: String,
    /// SHA-256 of its token, 64 hexadecimal digits.
    pub token_sha256: String,
    /// Scope of its keys in scoped services; empty if it has none.
    #[serde(default)]
    pub scope: String,
}

/// Error returned when a text is not a valid ticket.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// It is longer than [`MAX_BYTES`].
    #[error("{0} bytes are more than the {MAX_BYTES} of a ticket")]
    TooLarge(usize),
    /// It is not JSON with comments, or does not have the fields of a ticket.
    #[error("{0}")]
    Parse(#[from] document::Error),
    /// Values are out of bounds or contradict each other.
    #[error("{}", join_problems(.0))]
    Invalid(Vec<check::Problem>),
}

/// Parses and checks a ticket in JSON with comments.
///
/// # Errors
///
/// Returns the position of the first parse error, or every field with an invalid value.
///
/// # Examples
///
/// ```
/// use sequoiayoke_api::ticket;
///
/// let text = br#"{ "number": 1, // the first ticket
///   "objects": [{ "server": { "name": "ank-refunds-1", "state": "draining" } }] }"#;
/// let ticket = ticket::parse(text).expect("the ticket is valid");
/// assert_eq!(ticket.objects[0].identity(), "server ank-refunds-1");
/// ```
pub fn parse(text: &[u8]) -> Result<Ticket, Malformed> {
    if text.len() > MAX_BYTES {
        return Err(Malformed::TooLarge(text.len()));
    }
    let ticket: Ticket = document::parse(text).map_err(clarify)?;
    let mut problems = check::Problems::new();
    check::Check::check(&ticket, &mut problems);
    if problems.is_empty() {
        Ok(ticket)
    } else {
        Err(Malformed::Invalid(problems.into_vec()))
    }
}

/// Replaces the unclear message that the parser returns when an object has two kinds.
fn clarify(mut error: document::Error) -> document::Error {
    if error.field.ends_with(']') && error.detail.starts_with("expected a value") {
        error.detail =
            "expected one of `service`, `server`, `pin` or `caller` for each object".to_owned();
    }
    error
}

impl Ticket {
    /// Returns the canonical form; equivalent tickets have equal canonical forms.
    ///
    /// Objects are sorted by kind and name, methods are in upper case, sorted and
    /// unique, and hashes are in lower case.
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_api::ticket;
    ///
    /// let lower = br#"{ "number": 1, "objects": [{ "service": { "name": "a", "idempotent": ["get"] } }] }"#;
    /// let upper = br#"{ "number": 1, "objects": [{ "service": { "name": "a", "idempotent": ["GET"] } }] }"#;
    /// let canonical = |text| ticket::parse(text).map(|ticket| ticket.canonical());
    /// assert_eq!(canonical(&lower[..]), canonical(&upper[..]));
    /// ```
    pub fn canonical(&self) -> Self {
        let mut objects: Vec<_> = self.objects.iter().map(Object::canonical).collect();
        objects.sort_by(|left, right| left.unique_key().cmp(&right.unique_key()));
        Self {
            number: self.number,
            objects,
        }
    }

    /// Returns whether both tickets have the same number and the same content in canonical form.
    pub fn is_equivalent_to(&self, other: &Self) -> bool {
        self.canonical() == other.canonical()
    }
}

impl Object {
    /// Returns the kind and name of the object, for messages and [`crate::check::Change`].
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_api::ticket;
    ///
    /// let object = ticket::Object::Pin(ticket::Pin {
    ///     service: "refunds".into(),
    ///     scope: String::new(),
    ///     key: "kiosk-17".into(),
    ///     server: None,
    /// });
    /// assert_eq!(object.identity(), "pin refunds kiosk-17");
    /// ```
    pub fn identity(&self) -> String {
        match self {
            Self::Service(service) => format!("service {}", service.name),
            Self::Server(server) => format!("server {}", server.name),
            Self::Pin(pin) if pin.scope.is_empty() => format!("pin {} {}", pin.service, pin.key),
            Self::Pin(pin) => format!("pin {} {}/{}", pin.service, pin.scope, pin.key),
            Self::Caller(caller) => format!("caller {}", caller.name),
        }
    }

    fn canonical(&self) -> Self {
        let mut object = self.clone();
        match &mut object {
            Self::Service(service) => {
                for method in &mut service.idempotent {
                    method.make_ascii_uppercase();
                }
                service.idempotent.sort();
                service.idempotent.dedup();
            }
            Self::Caller(caller) => caller.token_sha256.make_ascii_lowercase(),
            Self::Server(_) | Self::Pin(_) => {}
        }
        object
    }

    /// Returns the key that must be unique among the objects of a ticket.
    ///
    /// A scope or key may contain any text, so two pins can have the same [`Object::identity`].
    fn unique_key(&self) -> (u8, &str, &str, &str) {
        match self {
            Self::Service(service) => (0, &service.name, "", ""),
            Self::Server(server) => (1, &server.name, "", ""),
            Self::Pin(pin) => (2, &pin.service, &pin.scope, &pin.key),
            Self::Caller(caller) => (3, &caller.name, "", ""),
        }
    }
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

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Serving => "serving",
            Self::Draining => "draining",
        })
    }
}

impl check::Check for Ticket {
    fn check(&self, problems: &mut check::Problems) {
        problems.require(self.number.0 > 0, "number", "must be at least 1");
        problems.require(
            (1..=MAX_OBJECTS).contains(&self.objects.len()),
            "objects",
            format!(
                "{} objects listed; 1 to {MAX_OBJECTS} are needed",
                self.objects.len()
            ),
        );
        let mut seen = std::collections::BTreeSet::new();
        for (index, object) in self.objects.iter().enumerate() {
            problems.within(&format!("objects[{index}]"), |nested| object.check(nested));
            problems.require(
                seen.insert(object.unique_key()),
                &format!("objects[{index}]"),
                format!("{} occurs twice", object.identity()),
            );
        }
    }
}

impl check::Check for Object {
    fn check(&self, problems: &mut check::Problems) {
        match self {
            Self::Service(service) => problems.within("service", |nested| service.check(nested)),
            Self::Server(server) => {
                problems.within("server", |nested| nested.require_name("name", &server.name));
            }
            Self::Pin(pin) => problems.within("pin", |nested| pin.check(nested)),
            Self::Caller(caller) => problems.within("caller", |nested| caller.check(nested)),
        }
    }
}

impl check::Check for Service {
    fn check(&self, problems: &mut check::Problems) {
        problems.require_name("name", &self.name);
        problems.require(
            self.idempotent.len() <= 16,
            "idempotent",
            "at most 16 methods",
        );
        for (index, method) in self.idempotent.iter().enumerate() {
            let is_method = (1..=32).contains(&method.len())
                && method.bytes().all(|byte| byte.is_ascii_alphabetic());
            problems.require(
                is_method,
                &format!("idempotent[{index}]"),
                format!("{method:?} is not an HTTP method"),
            );
        }
        problems.require(
            (1..=MAX_SLICES).contains(&self.slices),
            "slices",
            format!("{} is not within 1 to {MAX_SLICES}", self.slices),
        );
        let weights = [
            ("weights.imbalance", self.weights.imbalance),
            ("weights.churn", self.weights.churn),
            ("weights.unavailable", self.weights.unavailable),
        ];
        for (field, weight) in weights {
            problems.require(
                (0.0..=1000.0).contains(&weight),
                field,
                format!("{weight} is not within 0 to 1000"),
            );
        }
    }
}

impl check::Check for Pin {
    fn check(&self, problems: &mut check::Problems) {
        problems.require_name("service", &self.service);
        check_scope(&self.scope, problems);
        problems.require(
            (1..=MAX_KEY_BYTES).contains(&self.key.len()),
            "key",
            format!("must have 1 to {MAX_KEY_BYTES} bytes"),
        );
        if let Some(server) = &self.server {
            problems.require_name("server", server);
        }
    }
}

impl check::Check for Caller {
    fn check(&self, problems: &mut check::Problems) {
        problems.require_name("name", &self.name);
        let digits = self.token_sha256.bytes();
        problems.require(
            self.token_sha256.len() == 64
                && digits.into_iter().all(|byte| byte.is_ascii_hexdigit()),
            "token_sha256",
            "must be the SHA-256 of the token: 64 hexadecimal digits",
        );
        check_scope(&self.scope, problems);
    }
}

/// Checks a scope, which may not contain a zero byte because a zero byte separates scope and key
/// in the hash.
fn check_scope(scope: &str, problems: &mut check::Problems) {
    problems.require(
        scope.len() <= MAX_KEY_BYTES && !scope.contains('\0'),
        "scope",
        format!("must have at most {MAX_KEY_BYTES} bytes and no zero byte"),
    );
}

fn default_idempotent() -> Vec<String> {
    vec!["GET".to_owned(), "HEAD".to_owned()]
}

const fn default_slices() -> u32 {
    DEFAULT_SLICES
}

fn deserialize_required_option<'de, D>(deserializer: D) -> Result<Option<String>, D::Error>
where
    D: serde::Deserializer<'de>,
{
    serde::Deserialize::deserialize(deserializer)
}

fn join_problems(problems: &[check::Problem]) -> String {
    let lines: Vec<_> = problems.iter().map(check::Problem::to_string).collect();
    lines.join("; ")
}
