//! What operators may ask, apart from how they write it.

use std::net;

use bytes::Bytes;
use sequoiayoke_catalog::machine;
use sequoiayoke_http1::{request, serve};

/// A call of an operator.
#[derive(Clone, Debug)]
pub enum Call {
    /// Replaces the configuration.
    Configure(machine::Order),
    /// Reads the newest configuration.
    Read,
}

/// Answer to a call.
#[derive(Clone, Debug)]
pub enum Answer {
    /// The configuration is accepted.
    Accepted,
    /// The configuration was refused and never takes effect.
    Refused(machine::Refusal),
    /// The newest configuration, as its operator wrote it.
    Document(Bytes),
    /// Another replica leads; this is its address for operators.
    Redirect(net::SocketAddr),
    /// It is not known now; the call may be repeated.
    Unavailable,
}

/// Translation between operators' calls and their answers.
pub trait Frontend: 'static {
    /// Reads a call.
    ///
    /// # Errors
    ///
    /// Returns the answer to a call that cannot be read or is invalid.
    fn decode_call(&self, request: &request::Request) -> Result<Call, serve::Reply>;

    /// Writes an answer to a call that was made at `target`.
    fn encode_answer(&self, target: &str, answer: &Answer) -> serve::Reply;
}
