//! The backend server of this VM: its announcements, and requests and commands to it.

pub mod announce;
pub mod command;
pub mod connection;
pub mod permit;
mod upload;

use std::future;
use std::net;
use std::sync;
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use http_body::Body as _;
use sequoiayoke_model::clock;
use sequoiayoke_model::id;
use sequoiayoke_model::outcome;

use super::ids;
use super::request;

/// Announcement of the backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// Its name.
    pub name: String,
    /// Random text that identifies this run of the server.
    pub instance: String,
    /// Services that it serves.
    pub services: Vec<String>,
    /// Address on which it accepts requests.
    pub address: net::SocketAddr,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Number of connections that it accepts.
    pub connections: u32,
    /// Whether it checks the epochs of requests.
    pub checks_fencing: bool,
    /// Whether it authenticates the sender of commands.
    pub checks_sender: bool,
}

/// Ownership under which a request is dispatched.
#[derive(Clone, Copy, Debug)]
pub struct Fence {
    /// Epoch of the grant.
    pub epoch: id::Epoch,
    /// End of the lease.
    pub lease_until: clock::Instant,
}

/// Response of the backend server: its head, and a body that is still arriving.
#[derive(Debug)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Headers to pass on.
    pub headers: Vec<(String, Bytes)>,
    /// Whether the server reports that it refused to run the request.
    pub refused: bool,
    /// Size of the body, if known.
    pub length: Option<u64>,
    /// The body.
    pub body: reqwest::Body,
}

/// Why there is no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection was made, so nothing was sent.
    NotSent,
    /// The lease had expired before the request was written, so nothing was sent.
    LeaseExpired,
    /// The deadline passed after something may have been sent.
    TimedOut,
    /// The connection ended after something may have been sent.
    Lost,
    /// The response belongs to another request.
    Mismatched,
    /// The body of the request failed, which is not a failure of the server.
    BodyFailed,
}

impl Failure {
    /// Returns the outcome of the request.
    pub const fn outcome(self) -> outcome::Outcome {
        match self {
            Self::NotSent => outcome::Outcome::NotRun(outcome::Reason::Unreachable),
            Self::LeaseExpired => outcome::Outcome::NotRun(outcome::Reason::LeaseExpired),
            Self::TimedOut => outcome::Outcome::Unknown(outcome::Reason::Deadline),
            Self::Lost => outcome::Outcome::Unknown(outcome::Reason::ConnectionLost),
            Self::Mismatched => outcome::Outcome::Unknown(outcome::Reason::Protocol),
            Self::BodyFailed => outcome::Outcome::Unknown(outcome::Reason::Cancelled),
        }
    }
}

/// Dispatches requests to a backend server; tests use a fake.
pub trait Dispatch: Send + Sync + 'static {
    /// Sends one request and waits for the head of the response.
    fn dispatch<B>(
        &self,
        request: &request::View<'_>,
        fence: Fence,
        body: B,
    ) -> impl future::Future<Output = Result<Response, Failure>> + Send
    where
        B: Stream<Item = std::io::Result<Bytes>> + Send + Unpin + 'static;
}

/// Dispatches requests to the backend server over HTTP.
#[derive(Clone, Debug)]
pub struct Http {
    pool: connection::Pool<clock::Boot>,
    backend: sync::Arc<Backend>,
    signer: ids::Signer,
}

/// The HTTP client for commands could not be created.
#[derive(Debug, thiserror::Error)]
#[error("failed to initialize the HTTP client library")]
pub struct Error;

/// Creates the HTTP client for commands, which sends every command at most once.
///
/// # Errors
///
/// Fails if the client library cannot be initialized.
pub fn client(connections: u32, connect: Duration) -> Result<reqwest::Client, Error> {
    let client = reqwest::Client::builder()
        .no_proxy()
        // Retries are decided by the sender of a command.
        .retry(reqwest::retry::never())
        .redirect(reqwest::redirect::Policy::none())
        .connect_timeout(connect)
        .pool_max_idle_per_host(connections as usize)
        .tcp_nodelay(true)
        .http1_only()
        .build();
    client.map_err(|_| Error)
}

impl Http {
    /// Creates the connection pool of a backend server, with a timeout of `connect` for
    /// opening a connection.
    pub fn new(backend: sync::Arc<Backend>, connect: Duration, signer: ids::Signer) -> Self {
        let max_idle = backend.connections as usize;
        let pool = connection::Pool::new(clock::Boot, backend.address, connect, max_idle);
        Self {
            pool,
            backend,
            signer,
        }
    }

    /// Returns the announcement of the server.
    pub fn backend(&self) -> &Backend {
        &self.backend
    }

    fn build<B>(
        &self,
        view: &request::View<'_>,
        fence: Fence,
        left: Duration,
        body: B,
    ) -> Option<hyper::Request<reqwest::Body>>
    where
        B: Stream<Item = std::io::Result<Bytes>> + Send + 'static,
    {
        // `hyper` also accepts other forms of a request target and would write them unchanged.
        if !view.path.starts_with('/') {
            return None;
        }
        let mut builder = hyper::Request::builder()
            .method(view.method)
            .uri(view.path)
            .header("host", self.backend.address.to_string());
        for (name, value) in view.headers.iter().filter(|(name, _)| name != "host") {
            builder = builder.header(name.as_str(), value.as_ref());
        }
        builder = builder
            .header("sequoiayoke-key-hash", view.hash.to_string())
            .header("sequoiayoke-epoch", fence.epoch.0)
            .header("sequoiayoke-lease-until-us", fence.lease_until.as_micros())
            .header("sequoiayoke-deadline-ms", left.as_millis() as u64);
        if let Some(id) = view.id {
            // The id in the same form as the caller has it, so that both can refer to it.
            let id = self.signer.sign(id, view.service, view.hash);
            builder = builder.header("sequoiayoke-request-id", id);
        }
        if !view.scope.is_empty() {
            builder = builder.header("sequoiayoke-scope", view.scope);
        }
        let body = match has_body(view) {
            true => reqwest::Body::wrap_stream(body),
            false => reqwest::Body::default(),
        };
        builder.body(body).ok()
    }
}

/// Returns whether a response states its own end.
fn is_framed<B>(response: &hyper::Response<B>) -> bool {
    let headers = response.headers();
    headers.contains_key(hyper::header::CONTENT_LENGTH)
        || headers.contains_key(hyper::header::TRANSFER_ENCODING)
        || matches!(response.status().as_u16(), 204 | 304)
}

fn has_body(view: &request::View<'_>) -> bool {
    view.is_chunked() || view.body_bytes().is_some_and(|bytes| bytes > 0)
}

impl Dispatch for Http {
    async fn dispatch<B>(
        &self,
        view: &request::View<'_>,
        fence: Fence,
        body: B,
    ) -> Result<Response, Failure>
    where
        B: Stream<Item = std::io::Result<Bytes>> + Send + Unpin + 'static,
    {
        let length = match has_body(view) {
            true => view.body_bytes(),
            false => Some(0),
        };
        let body = upload::Upload::new(body, length);
        let progress = body.progress();
        let left = view.left(clock::Instant::now());
        let request = self.build(view, fence, left, body);
        let request = request.ok_or(Failure::NotSent)?;
        let sent = self.pool.send(request, fence.lease_until, left).await;
        let response = sent.map_err(|failure| match failure {
            Failure::Lost if progress.has_failed() => Failure::BodyFailed,
            failure => failure,
        })?;
        // HTTP defines no other status.
        if response.status().as_u16() >= 600 {
            return Err(Failure::Mismatched);
        }
        // The end of the connection is the end of such a success. While the upload is being written, the
        // server may have closed the connection in the middle of its answer.
        if response.status().is_success() && !is_framed(&response) && !progress.is_written() {
            return Err(Failure::Lost);
        }
        let refused = connection::is_refusal(&response);
        let headers = response.headers().iter();
        let headers = headers.map(|(name, value)| {
            let value = Bytes::copy_from_slice(value.as_bytes());
            (name.as_str().to_owned(), value)
        });
        Ok(Response {
            status: response.status().as_u16(),
            headers: headers.collect(),
            refused,
            length: response.body().size_hint().exact(),
            body: response.into_body(),
        })
    }
}
