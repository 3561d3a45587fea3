//! The protocol of callers and backend servers, as far as it varies.

use std::net;
use std::time::Duration;

use sequoiayoke_catalog::{server, slice};
use sequoiayoke_http1::{request, response, serve};

use crate::holdings;

/// Metadata of a caller's request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Caller<'a> {
    /// Id of the request.
    pub id: Option<&'a str>,
    /// Longest time for which the caller waits.
    pub max_wait: Option<Duration>,
    /// Key, for keyed services.
    pub key: Option<slice::Key>,
}

/// Metadata that is sent to a backend server with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hop<'a> {
    /// Time left until the deadline.
    pub left: Duration,
    /// Name of the instance that the request is for.
    pub instance: &'a str,
}

/// Metadata of a backend server's response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Metadata<'a> {
    /// Id of the request that it answers, if given.
    pub id: Option<&'a str>,
    /// Whether the backend server states that it did not run the request.
    pub is_refusal: bool,
    /// Whether another instance of a backend server has the address, or the key is not held there.
    pub is_misdirected: bool,
    /// Whether the response has the backend server's stamp.
    pub has_stamp: bool,
    /// Time that work takes now, relative to its usual time, if the backend server states it.
    pub slowness: Option<f64>,
}

/// Answer to a health check.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health<'a> {
    /// Name of the instance that has answered.
    pub instance: Option<&'a str>,
    /// Time for which it stays cold.
    pub cold_left: Duration,
}

/// A command to a backend server about its keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command<'a> {
    /// Grants these keys for a limited time.
    Grant {
        /// The keys.
        range: slice::Range,
        /// Fence of the grant.
        fence: slice::Fence,
        /// Time for which they are held.
        hold: Duration,
        /// State that the previous owner handed over.
        handover: Option<&'a str>,
        /// Whether the backend server has confirmed the grant before.
        is_renewal: bool,
    },
    /// Releases these keys.
    Release {
        /// The keys.
        range: slice::Range,
        /// Fence of the grant.
        fence: slice::Fence,
    },
}

/// An encoded command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Path.
    pub path: &'static str,
    /// Media type of the body.
    pub media_type: &'static str,
    /// Body.
    pub body: Vec<u8>,
}

/// A message in which a backend server announces its state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Announcement {
    /// It is running.
    Running {
        /// The instance.
        instance: server::Instance,
        /// Service that it serves.
        service: String,
        /// Address on which it accepts requests.
        address: net::SocketAddr,
        /// Failure domain.
        domain: String,
        /// Number of requests that it runs concurrently.
        slots: u32,
        /// Whether it is draining.
        is_draining: bool,
        /// Time for which it stays cold.
        cold_left: Duration,
        /// Increases with each announcement of one instance.
        sequence: u64,
        /// Keys that it reports, if it collects its grants with its announcements.
        report: Option<holdings::Report>,
    },
    /// It is leaving and must get no new work.
    Leaving {
        /// Name of the instance.
        name: String,
        /// Start time of the instance, in milliseconds since the Unix epoch, if it is stated.
        born_ms: Option<u64>,
    },
}

/// Translation between one protocol and the types of this module.
pub trait Frontend: 'static {
    /// Reads the metadata of a caller's request.
    fn caller<'a>(&self, head: &'a request::Head) -> Caller<'a>;

    /// Returns whether a caller's header field is forwarded to the backend server; fields that the
    /// router sets itself are not.
    fn is_forwarded(&self, name: &str) -> bool;

    /// Writes the fields that identify the origin of a request, each with its line end.
    fn write_origin(&self, service: &str, head: &mut Vec<u8>);

    /// Writes the fields that accompany a request to a backend server, each with its line end.
    fn write_hop(&self, hop: &Hop<'_>, head: &mut Vec<u8>);

    /// Reads the metadata of a response.
    fn response_metadata<'a>(&self, response: &'a response::Response) -> Metadata<'a>;

    /// Reads the answer to a health check.
    fn health<'a>(&self, response: &'a response::Response) -> Health<'a>;

    /// Encodes a command to a backend server.
    fn encode_command(&self, command: &Command<'_>) -> Call;

    /// Reads the state that a backend server handed over when it released keys.
    fn handover(&self, response: &response::Response) -> Option<String>;

    /// Reads an announcement.
    ///
    /// # Errors
    ///
    /// Returns the reply to an announcement that cannot be read.
    fn announcement(&self, request: &request::Request) -> Result<Announcement, serve::Reply>;

    /// Returns the reply to an accepted announcement, with all keys that a backend server which
    /// collects its grants is to hold.
    ///
    /// Without an assignment, such a backend server keeps the keys that it holds until their grants
    /// expire.
    fn acknowledgement(&self, assignment: Option<&holdings::Assignment>) -> serve::Reply;
}
