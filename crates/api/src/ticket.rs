//! Change tickets.
//!
//! A ticket carries the complete new state of each object that it changes, so
//! that sending it twice has the effect of sending it once.

use std::fmt;

use sequoiayoke_model::id;
use sequoiayoke_settings::{check, document};

/// Largest ticket in bytes; one fits into a frame between replicas.
pub const MAX_BYTES: usize = 512 * 1024;

/// Most objects in a ticket.
pub const MAX_OBJECTS: usize = 4096;

/// Most slices that a new service starts with.
pub const MAX_SLICES: u32 = 65_536;

/// Slices of a new service whose ticket names no number.
pub const DEFAULT_SLICES: u32 = 16;

/// Most bytes of a key or scope.
pub const MAX_KEY_BYTES: usize = 1024;

/// A change ticket.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Ticket {
    /// Number: the last accepted number plus one.
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
    /// A key that stays on one backend server.
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
    /// Methods that may run more than once.
    #[serde(default = "default_idempotent")]
    pub idempotent: Vec<String>,
    /// Whether each scope has keys of its own.
    #[serde(default)]
    pub scoped: bool,
    /// Slices of equal size that the service starts with.
    #[serde(default = "default_slices")]
    pub slices: u32,
    /// Weights of the measures for placement.
    #[serde(default)]
    pub weights: Weights,
}

/// Weights of the measures for placement.
#[derive(Clone, Copy, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Weights {
    /// Weight of uneven load.
    pub imbalance: f64,
    /// Weight of keys that change owner.
    pub churn: f64,
    /// Weight of time without a reachable owner.
    pub unavailable: f64,
}

/// A backend server.
#[derive(Clone, Debug, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Name that the server announces.
    pub name: String,
    /// Whether it takes work.
    pub state: State,
}

/// Whether a backend server takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It takes work.
    Serving,
    /// Its slices move away and it gets no new ones.
    Draining,
}

/// A key that stays on one backend server.
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
    /// Server that is to own the key; `null` ends the pin.
    // A forgotten field must not end a pin, so it has no default.
    #[serde(deserialize_with = "explicit")]
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

/// A text is not a valid ticket.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// It is longer than [`MAX_BYTES`].
    #[error("{0} bytes are more than the {MAX_BYTES} of a ticket")]
    TooLarge(usize),
    /// It is not JSON with comments, or does not have the fields of a ticket.
    #[error("{0}")]
    Parse(#[from] document::Error),
    /// Values are out of bounds or contradict each other.
    #[error("{}", lines(.0))]
    Invalid(Vec<check::Problem>),
}

/// Parses and checks a ticket in JSON with comments.
///
/// # Errors
///
/// Returns the place of the first fault, or every field whose value is wrong.
///
/// # Examples
///
/// ```
/// use sequoiayoke_api::ticket;
///
/// let text = br#"{ "number": 1, // the first one
///   "objects": [{ "server": { "name": "ank-refunds-1", "state": "draining" } }] }"#;
/// let ticket = ticket::parse(text).expect("it is a valid ticket");
/// assert_eq!(ticket.objects[0].identity(), "server ank-refunds-1");
/// ```
pub fn parse(text: &[u8]) -> Result<Ticket, Malformed> {
    if text.len() > MAX_BYTES {
        return Err(Malformed::TooLarge(text.len()));
    }
    let ticket: Ticket = document::parse(text).map_err(explain)?;
    let mut problems = check::Problems::new();
    check::Check::check(&ticket, &mut problems);
    if problems.is_empty() {
        Ok(ticket)
    } else {
        Err(Malformed::Invalid(problems.into_vec()))
    }
}

/// Names the likeliest mistake where the parser's own words do not: two kinds in one object.
fn explain(mut fault: document::Error) -> document::Error {
    if fault.field.ends_with(']') && fault.detail.starts_with("expected a value") {
        fault.detail =
            "expected one of `service`, `server`, `pin` or `caller` for each object".to_owned();
    }
    fault
}

impl Ticket {
    /// Returns the canonical form: equal tickets have equal canonical forms.
    ///
    /// Objects are sorted by kind and name, methods are in upper case, sorted and
    /// unique, and hashes are in lower case.
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_api::ticket;
    ///
    /// let one = br#"{ "number": 1, "objects": [{ "service": { "name": "a", "idempotent": ["get"] } }] }"#;
    /// let two = br#"{ "number": 1, "objects": [{ "service": { "name": "a", "idempotent": ["GET"] } }] }"#;
    /// let canonical = |text| ticket::parse(text).map(|ticket| ticket.canonical());
    /// assert_eq!(canonical(&one[..]), canonical(&two[..]));
    /// ```
    pub fn canonical(&self) -> Self {
        let mut objects: Vec<_> = self.objects.iter().map(Object::canonical).collect();
        objects.sort_by(|one, other| one.unique().cmp(&other.unique()));
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
    /// Returns kind and name of the object, which two objects of a ticket may not share.
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

    /// Returns what two objects of one ticket may not share.
    ///
    /// A scope or key may hold any text, so [`Object::identity`] alone could join two pins.
    fn unique(&self) -> (u8, &str, &str, &str) {
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
            problems.within(&format!("objects[{index}]"), |part| object.check(part));
            problems.require(
                seen.insert(object.unique()),
                &format!("objects[{index}]"),
                format!("{} occurs twice", object.identity()),
            );
        }
    }
}

impl check::Check for Object {
    fn check(&self, problems: &mut check::Problems) {
        match self {
            Self::Service(service) => problems.within("service", |part| service.check(part)),
            Self::Server(server) => {
                problems.within("server", |part| part.require_name("name", &server.name));
            }
            Self::Pin(pin) => problems.within("pin", |part| pin.check(part)),
            Self::Caller(caller) => problems.within("caller", |part| caller.check(part)),
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
            let word = (1..=32).contains(&method.len())
                && method.bytes().all(|byte| byte.is_ascii_alphabetic());
            problems.require(
                word,
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
        scope(&self.scope, problems);
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
            self.token_sha256.len() == 64 && digits.into_iter().all(|b| b.is_ascii_hexdigit()),
            "token_sha256",
            "must be the SHA-256 of the token: 64 hexadecimal digits",
        );
        scope(&self.scope, problems);
    }
}

/// A zero byte separates scope and key in the hash, so a scope may not hold one.
fn scope(scope: &str, problems: &mut check::Problems) {
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

fn explicit<'de, D>(deserializer: D) -> Result<Option<String>, D::Error>
where
    D: serde::Deserializer<'de>,
{
    serde::Deserialize::deserialize(deserializer)
}

fn lines(problems: &[check::Problem]) -> String {
    let lines: Vec<_> = problems.iter().map(check::Problem::to_string).collect();
    lines.join("; ")
}
