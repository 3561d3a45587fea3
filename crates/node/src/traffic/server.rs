//! The backend server of this VM: its announcements and the requests to it.

pub mod announce;
pub mod command;
pub mod connection;
pub mod permit;

use std::future;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{Stream, TryStreamExt};
use http_body::Body as _;
use sequoiayoke_model::clock;
use sequoiayoke_model::id;
use sequoiayoke_model::outcome;

use super::ids;
use super::request;

/// What the backend server has announced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// Its name.
    pub name: String,
    /// Random text of this run of the server.
    pub instance: String,
    /// Services that it serves.
    pub services: Vec<String>,
    /// Where it takes requests.
    pub address: net::SocketAddr,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Connections that it takes.
    pub connections: u32,
    /// Whether it checks the epochs of requests.
    pub checks_fencing: bool,
    /// Whether it checks who sends it commands.
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

/// Head of the backend server's answer, and its body on its way.
#[derive(Debug)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Headers that are passed on.
    pub headers: Vec<(String, Bytes)>,
    /// Whether the server says that it refused the request unrun.
    pub refused: bool,
    /// Size of the body, if known.
    pub length: Option<u64>,
    /// The body.
    pub body: reqwest::Body,
}

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection was made, so nothing was sent.
    NotSent,
    /// The lease had expired when the request was to be written, so nothing was.
    LeaseExpired,
    /// The deadline passed after something may have been sent.
    TimedOut,
    /// The connection ended after something may have been sent.
    Lost,
    /// The body of the request broke off; this tells nothing about the server.
    Cut,
}

impl Failure {
    /// Returns the outcome of the request.
    pub const fn outcome(self) -> outcome::Outcome {
        match self {
            Self::NotSent => outcome::Outcome::NotRun(outcome::Reason::Unreachable),
            Self::LeaseExpired => outcome::Outcome::NotRun(outcome::Reason::LeaseExpired),
            Self::TimedOut => outcome::Outcome::Unknown(outcome::Reason::Deadline),
            Self::Lost => outcome::Outcome::Unknown(outcome::Reason::ConnectionLost),
            Self::Cut => outcome::Outcome::Unknown(outcome::Reason::Cancelled),
        }
    }
}

/// Hands requests to a backend server; a fake takes its place in tests.
pub trait Dispatch: Send + Sync + 'static {
    /// Sends one request and waits for the head of its answer.
    fn dispatch<B>(
        &self,
        request: &request::View<'_>,
        fence: Fence,
        body: B,
    ) -> impl future::Future<Output = Result<Response, Failure>> + Send
    where
        B: Stream<Item = std::io::Result<Bytes>> + Send + 'static;
}

/// The backend server over HTTP.
#[derive(Clone, Debug)]
pub struct Http {
    pool: connection::Pool<clock::Boot>,
    backend: sync::Arc<Backend>,
    signer: ids::Signer,
}

/// Errors of starting the HTTP client.
#[derive(Debug, thiserror::Error)]
#[error("the HTTP client towards the backend server could not be made")]
pub struct Error;

/// Makes the HTTP client for commands, which sends every command at most once.
///
/// # Errors
///
/// Fails if the client library cannot be started.
pub fn client(connections: u32, connect: Duration) -> Result<reqwest::Client, Error> {
    let client = reqwest::Client::builder()
        .no_proxy()
        // The sender decides about retries.
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
    /// Makes the connection pool of a backend server that takes a connection within
    /// `connect`.
    pub fn new(backend: sync::Arc<Backend>, connect: Duration, signer: ids::Signer) -> Self {
        let max_idle = backend.connections as usize;
        let pool = connection::Pool::new(clock::Boot, backend.address, connect, max_idle);
        Self {
            pool,
            backend,
            signer,
        }
    }

    /// Returns what the server has announced.
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
        // `hyper` takes other forms of a target too and would write them as they are.
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
            // The same text as the caller has, so that both can speak about the request.
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
        B: Stream<Item = std::io::Result<Bytes>> + Send + 'static,
    {
        let cut = sync::Arc::new(atomic::AtomicBool::new(false));
        let noting = sync::Arc::clone(&cut);
        let body = body.inspect_err(move |_| noting.store(true, atomic::Ordering::Release));
        let left = view.left(clock::Instant::now());
        let request = self.build(view, fence, left, body);
        let request = request.ok_or(Failure::NotSent)?;
        let sent = self.pool.send(request, fence.lease_until, left).await;
        let response = sent.map_err(|failure| match failure {
            Failure::Lost if cut.load(atomic::Ordering::Acquire) => Failure::Cut,
            failure => failure,
        })?;
        let refused = response.status() == hyper::StatusCode::CONFLICT
            && response.headers().contains_key("sequoiayoke-refused");
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
