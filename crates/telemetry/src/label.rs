//! Labels of metrics.
//!
//! The kinds of labels are fixed, and each has few values. None can contain a key,
//! a request id or text from a caller, since the number of series would be unbounded.

use std::sync::Arc;

use opentelemetry::KeyValue;
use sequoiayoke_model::outcome;

/// A label with a bounded number of values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Label<'a> {
    /// A service that a ticket has registered.
    Service(&'a str),
    /// A backend server.
    Server(&'a str),
    /// A control replica.
    Replica(&'a str),
    /// A caller that a ticket has registered.
    Caller(&'a str),
    /// Outcome of a request.
    Outcome(outcome::Outcome),
    /// Reason why a request did not run, or why its outcome is unknown.
    Reason(outcome::Reason),
    /// Cause of an event, from a fixed set of values in the code.
    Cause(&'static str),
    /// Kind of a message or an event, from a fixed set of values in the code.
    Kind(&'static str),
    /// Where the other side is, from a fixed set of values in the code.
    Scope(&'static str),
}

impl Label<'_> {
    fn into_key_value(self) -> KeyValue {
        match self {
            Self::Service(name) => KeyValue::new("service", Arc::<str>::from(name)),
            Self::Server(name) => KeyValue::new("server", Arc::<str>::from(name)),
            Self::Replica(name) => KeyValue::new("replica", Arc::<str>::from(name)),
            Self::Caller(name) => KeyValue::new("caller", Arc::<str>::from(name)),
            Self::Outcome(outcome) => KeyValue::new("outcome", outcome.as_str()),
            Self::Reason(reason) => KeyValue::new("reason", reason.as_str()),
            Self::Cause(value) => KeyValue::new("cause", value),
            Self::Kind(value) => KeyValue::new("kind", value),
            Self::Scope(value) => KeyValue::new("scope", value),
        }
    }
}

/// Labels of a series. Build a set once, and use it for all measurements of the series.
#[derive(Clone, Debug, Default)]
pub struct Set(Vec<KeyValue>);

impl Set {
    /// Creates a set of `labels`.
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_telemetry::label;
    ///
    /// let labels = label::Set::new([label::Label::Service("refunds"), label::Label::Cause("drain")]);
    /// # let _ = labels;
    /// ```
    pub fn new<'a, I>(labels: I) -> Self
    where
        I: IntoIterator<Item = Label<'a>>,
    {
        Self(labels.into_iter().map(Label::into_key_value).collect())
    }

    /// Creates a set without labels.
    pub const fn empty() -> Self {
        Self(Vec::new())
    }

    pub(crate) fn key_values(&self) -> &[KeyValue] {
        &self.0
    }
}
