//! Operators' calls and answers, independent of their encoding.

use std::net;

use bytes::Bytes;
use sequoiayoke_catalog::machine;
use sequoiayoke_http1::{request, serve};

/// A call from an operator.
#[derive(Clone, Debug)]
pub enum Call {
    /// Replaces the configuration.
    Configure(machine::Order),
    /// Begins or ends the evacuation of a failure domain.
    Evacuate(machine::Evacuation),
    /// Reads the current configuration.
    Read,
}

/// Answer to a call.
#[derive(Clone, Debug)]
pub enum Answer {
    /// The order is accepted.
    Accepted,
    /// The order is refused and never takes effect.
    Refused(machine::Refusal),
    /// The current configuration, as its operator sent it.
    Document(Bytes),
    /// Another replica is the leader; this is its address for operators.
    Redirect(net::SocketAddr),
    /// There is no leader, or the outcome is unknown; the operator may retry the call.
    Unavailable,
}

/// Encoding of operators' calls and answers.
pub trait Frontend: 'static {
    /// Decodes a call.
    ///
    /// # Errors
    ///
    /// Returns the reply to a call that cannot be decoded or is invalid.
    fn decode_call(&self, request: &request::Request) -> Result<Call, serve::Reply>;

    /// Encodes an answer to a call to `target`.
    fn encode_answer(&self, target: &str, answer: &Answer) -> serve::Reply;
}
