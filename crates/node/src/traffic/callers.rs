//! HTTP from callers.
//!
//! This front end only translates: it converts an HTTP request into a
//! [`request::View`] and an answer into an HTTP response. All decisions are made
//! by the path.

pub mod connection;

mod caller;
mod outgoing;
mod parse;
mod refusal;
mod reply;

use std::sync;
use std::time::Duration;

use poem::http::{HeaderValue, StatusCode, header};
use sequoiayoke_model::clock;
use sequoiayoke_model::id;
use sequoiayoke_model::key;
use sequoiayoke_model::outcome;

use super::answer;
use super::ids;
use super::path;
use super::request;
use super::server;

/// Timeout for the arrival of the head of a request.
pub const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Time without a request after which a caller's connection is closed.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time without progress of an answer after which the connection is reset.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Limits on the requests of callers.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum size of the head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Deadline of a request that specifies none.
    pub default_deadline: Duration,
    /// Maximum deadline of a request.
    pub max_deadline: Duration,
}

/// Endpoint for callers.
#[derive(Debug)]
pub struct Callers<C, S> {
    path: sync::Arc<path::Path<C, S>>,
    limits: Limits,
    signer: ids::Signer,
    connections: sync::Arc<connection::Connections>,
}

/// Why a request is rejected: the reason and a detail for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Problem {
    reason: outcome::Reason,
    detail: String,
}

impl Problem {
    fn new<T>(reason: outcome::Reason, detail: T) -> Self
    where
        T: Into<String>,
    {
        Self {
            reason,
            detail: detail.into(),
        }
    }
}

/// Service, key and caller of a request, resolved in the current view.
#[derive(Clone, Debug)]
struct Subject {
    service: id::Service,
    idempotent: bool,
    hash: key::Hash,
    caller: id::Caller,
    scope: String,
}

impl<C, S> Callers<C, S>
where
    C: clock::Clock + Send + Sync + 'static,
    S: server::Dispatch,
{
    /// Creates the endpoint of the listener whose connections are registered in `connections`.
    pub const fn new(
        path: sync::Arc<path::Path<C, S>>,
        limits: Limits,
        signer: ids::Signer,
        connections: sync::Arc<connection::Connections>,
    ) -> Self {
        Self {
            path,
            limits,
            signer,
            connections,
        }
    }

    /// Answers a request, or cancels it when its caller disconnects.
    async fn exchange(&self, http: poem::Request) -> poem::Response {
        let Some(state) = self.connections.state(http.remote_addr()) else {
            return reply::cancelled();
        };
        let exchange = outgoing::Exchange::new(sync::Arc::clone(&state), http.version());
        let is_http1 = exchange.is_http1();
        let mut response = self.respond(http, exchange, &state).await;
        // A node that shuts down asks its callers to use another one.
        if is_http1 && self.path.published().load().stopping {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }

    async fn respond(
        &self,
        http: poem::Request,
        exchange: outgoing::Exchange,
        state: &connection::State,
    ) -> poem::Response {
        if http.uri().path() == "/v1/ready" {
            return self.ready();
        }
        tokio::select! {
            answer = self.answer(http, exchange) => {
                answer.unwrap_or_else(|problem| self.reject(&problem))
            }
            () = state.disconnected().cancelled() => {
                state.abort();
                reply::cancelled()
            }
        }
    }

    fn reject(&self, problem: &Problem) -> poem::Response {
        if let Some(measure) = self.path.measure() {
            measure.record_rejection(problem.reason);
        }
        reply::problem(problem.reason, &problem.detail)
    }

    fn ready(&self) -> poem::Response {
        let snapshot = self.path.published().load();
        let refusal = snapshot.unready_reason(self.path.clock().now());
        let status = match refusal {
            None => StatusCode::OK,
            Some(_) => StatusCode::SERVICE_UNAVAILABLE,
        };
        let text = refusal.map_or("ready", outcome::Reason::as_str);
        poem::Response::builder().status(status).body(text)
    }

    async fn answer(
        &self,
        mut http: poem::Request,
        exchange: outgoing::Exchange,
    ) -> Result<poem::Response, Problem> {
        parse::check_head(&http, self.limits.max_header_bytes)?;
        let target = parse::target(http.uri().path())?;
        let subject = self.subject(&http, &target)?;
        let deadline = parse::deadline(&http, &self.limits)?;
        let deadline = self.path.clock().now() + deadline;
        let headers = parse::headers(&http);
        let path_and_query = http.uri().path_and_query();
        let path_and_query = path_and_query.map_or("/", |text| text.as_str()).to_owned();
        let method = http.method().as_str().to_owned();
        let mut view = request::View {
            service: subject.service,
            hash: subject.hash,
            method: &method,
            path: &path_and_query,
            headers: &headers,
            deadline,
            id: parse::request_id(&http, |text| {
                self.signer.verify(text, subject.service, subject.hash)
            })?,
            is_undisclosed: false,
            caller: subject.caller,
            scope: &subject.scope,
            idempotent: subject.idempotent,
            forwarded: None,
            cancel: self.path.cutoff(),
        };
        if matches!(target, parse::Target::RequestId { .. }) {
            return self.issue(&view).await;
        }
        if view.id.is_none() && !view.idempotent {
            view.id = self.path.new_id(&view);
            view.is_undisclosed = true;
        }
        let body = http.take_body();
        // The HTTP library boxes the stream; the path itself is generic over the body.
        let body = Box::pin(body.into_bytes_stream());
        let answer = self.path.serve(&mut view, body).await;
        Ok(self.reply(&view, answer, exchange))
    }

    fn subject(
        &self,
        http: &poem::Request,
        target: &parse::Target<'_>,
    ) -> Result<Subject, Problem> {
        let snapshot = self.path.published().load();
        let (name, key) = target.subject();
        let (service, definition) = snapshot.view.service(name).ok_or_else(|| {
            let now = self.path.clock().now();
            // A node without a current view does not know which services exist.
            let reason = snapshot
                .refusal(now)
                .unwrap_or(outcome::Reason::UnknownService);
            Problem::new(reason, format!("no service is named `{name}`"))
        })?;
        let caller = caller::identify(&snapshot.view, http, definition.scoped)?;
        let method = http.method().as_str();
        Ok(Subject {
            service,
            idempotent: definition.idempotent.iter().any(|name| name == method),
            hash: key::Hash::new(caller.scope, &parse::decode(key)?),
            caller: caller.id,
            scope: caller.scope.to_owned(),
        })
    }

    /// Issues a request id under the epoch of the key's current grant.
    async fn issue(&self, view: &request::View<'_>) -> Result<poem::Response, Problem> {
        let owned = self.path.wait_for_owner(view).await;
        owned.map_err(|reason| Problem::new(reason, "the key has no owner at present"))?;
        let id = self.path.new_id(view).ok_or_else(|| {
            Problem::new(outcome::Reason::Vacant, "the key has no owner at present")
        })?;
        let body =
            serde_json::json!({ "request_id": self.signer.sign(id, view.service, view.hash) });
        Ok(poem::Response::builder()
            .content_type("application/json")
            .body(body.to_string()))
    }

    fn reply(
        &self,
        view: &request::View<'_>,
        answer: answer::Answer,
        exchange: outgoing::Exchange,
    ) -> poem::Response {
        let snapshot = self.path.published().load();
        let table = snapshot.view.table(view.service);
        let holder = table.and_then(|table| table.find(view.hash).0.holder);
        let owner = holder.and_then(|holder| snapshot.view.server(holder.server));
        let id = view
            .id
            .map(|id| self.signer.sign(id, view.service, view.hash));
        let owner = owner.map(|owner| owner.caller_address);
        reply::response(answer, id, owner, exchange)
    }
}

impl<C, S> poem::Endpoint for Callers<C, S>
where
    C: clock::Clock + Send + Sync + 'static,
    S: server::Dispatch,
{
    type Output = poem::Response;

    async fn call(&self, http: poem::Request) -> poem::Result<poem::Response> {
        Ok(self.exchange(http).await)
    }
}
