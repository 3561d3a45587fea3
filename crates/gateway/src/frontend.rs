//! The protocol of callers and backend servers, as far as it varies.

use std::net;
use std::time::Duration;

use sequoiayoke_catalog::{server, slice};
use sequoiayoke_http1::{request, response, serve};

/// What a caller's request says about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Caller<'a> {
    /// Id of the request.
    pub id: Option<&'a str>,
    /// Time for which the caller waits.
    pub max_wait: Option<Duration>,
    /// Key, for keyed services.
    pub key: Option<slice::Key>,
}

/// What a backend server is told with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hop<'a> {
    /// Time left until the deadline.
    pub left: Duration,
    /// Name of the run that is meant.
    pub instance: &'a str,
}

/// What a backend server's response says about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Metadata<'a> {
    /// Id of the request that it answers, if it says so.
    pub id: Option<&'a str>,
    /// Whether the backend server states that it did not run the request.
    pub is_refusal: bool,
    /// Whether another run of a backend server has the address, or the key is
    /// not held there.
    pub is_misdirected: bool,
    /// Whether the response bears the backend server's mark.
    pub has_stamp: bool,
}

/// A command to a backend server about its keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command<'a> {
    /// Holds these keys for some time.
    Grant {
        /// The keys.
        range: slice::Range,
        /// Number of the grant.
        fence: slice::Fence,
        /// Time for which they are held.
        hold: Duration,
        /// What the last owner handed over.
        handover: Option<&'a str>,
    },
    /// Releases these keys.
    Release {
        /// The keys.
        range: slice::Range,
        /// Number of the grant.
        fence: slice::Fence,
    },
}

/// A call that carries a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Path.
    pub path: &'static str,
    /// Media type of the body.
    pub media_type: &'static str,
    /// Body.
    pub body: Vec<u8>,
}

/// What a backend server says about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Announcement {
    /// It runs.
    Running {
        /// The run.
        instance: server::Instance,
        /// Service that it serves.
        service: String,
        /// Address on which it takes requests.
        address: net::SocketAddr,
        /// Failure domain.
        domain: String,
        /// Requests that it runs at the same time.
        slots: u32,
        /// Whether it is about to leave.
        is_draining: bool,
        /// Grows with each announcement of one run.
        sequence: u64,
    },
    /// It leaves and gets no new work.
    Leaving {
        /// Name of the run.
        name: String,
    },
}

/// Translation of one protocol.
pub trait Frontend: 'static {
    /// Reads what a caller's request says about itself.
    fn caller<'a>(&self, head: &'a request::Head) -> Caller<'a>;

    /// Returns whether a caller's header field goes to the backend server; fields
    /// that the router sets do not.
    fn is_forwarded(&self, name: &str) -> bool;

    /// Writes the fields that tell where a request comes from, each with its line end.
    fn write_origin(&self, service: &str, out: &mut Vec<u8>);

    /// Writes the fields that go with a request to a backend server, each with its line end.
    fn write_hop(&self, hop: &Hop<'_>, out: &mut Vec<u8>);

    /// Reads what a response says about itself.
    fn response_metadata<'a>(&self, response: &'a response::Response) -> Metadata<'a>;

    /// Reads the name of the run that has answered a question for its health.
    fn identity<'a>(&self, response: &'a response::Response) -> Option<&'a str>;

    /// Writes a command to a backend server.
    fn encode_command(&self, command: &Command<'_>) -> Call;

    /// Reads what a backend server handed over when it released keys.
    fn handover(&self, response: &response::Response) -> Option<String>;

    /// Reads an announcement.
    ///
    /// # Errors
    ///
    /// Returns the answer to one that cannot be read.
    fn announcement(&self, request: &request::Request) -> Result<Announcement, serve::Reply>;

    /// Writes the answer to an announcement that was taken.
    fn acknowledgement(&self) -> serve::Reply;
}
