//! Labels of metrics.
//!
//! The kinds of label are fixed, and each has few values. None can hold a key,
//! a request id or a caller's text, since those would make series without bound.

use std::sync::Arc;

use opentelemetry::KeyValue;
use sequoiayoke_model::outcome;

/// A label with few values.
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
    /// What became of a request.
    Outcome(outcome::Outcome),
    /// Why a request did not run, or why its fate is unknown.
    Reason(outcome::Reason),
    /// Why something happened; a word in the code.
    Cause(&'static str),
    /// Kind of a message or an event; a word in the code.
    Kind(&'static str),
}

impl Label<'_> {
    fn pair(self) -> KeyValue {
        match self {
            Self::Service(name) => KeyValue::new("service", Arc::<str>::from(name)),
            Self::Server(name) => KeyValue::new("server", Arc::<str>::from(name)),
            Self::Replica(name) => KeyValue::new("replica", Arc::<str>::from(name)),
            Self::Caller(name) => KeyValue::new("caller", Arc::<str>::from(name)),
            Self::Outcome(outcome) => KeyValue::new("outcome", outcome.as_str()),
            Self::Reason(reason) => KeyValue::new("reason", reason.as_str()),
            Self::Cause(word) => KeyValue::new("cause", word),
            Self::Kind(word) => KeyValue::new("kind", word),
        }
    }
}

/// Labels of one series; build it once and use it for every measurement.
#[derive(Clone, Debug, Default)]
pub struct Set(Vec<KeyValue>);

impl Set {
    /// Makes a set of `labels`.
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
        Self(labels.into_iter().map(Label::pair).collect())
    }

    /// Makes a set without labels.
    pub const fn empty() -> Self {
        Self(Vec::new())
    }

    pub(crate) fn pairs(&self) -> &[KeyValue] {
        &self.0
    }
}
