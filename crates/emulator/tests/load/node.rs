//! A node that forwards to one stand-in, and misbehaves as the test selects.

use std::net;
use std::sync;
use std::sync::atomic;

use http::HeaderMap;
use http::StatusCode;

use sequoiayoke_model::id;
use sequoiayoke_model::request;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Misbehaviour {
    /// Behaves correctly.
    None,
    /// Reports a request that ran as not run.
    DenyRun,
    /// Forwards each request twice.
    RunTwice,
    /// Responds without forwarding the request.
    Fabricate,
    /// Returns the response of the previous request.
    SwapResponses,
    /// Loses the first response to each id, and runs a retry again.
    Rerun,
    /// Names this node as the owner of every key.
    NameOwner(net::SocketAddr),
}

struct Node {
    misbehaviour: Misbehaviour,
    server: net::SocketAddr,
    http: reqwest::Client,
    next_id: atomic::AtomicU64,
    previous: sync::Mutex<Option<Vec<u8>>>,
    seen_ids: sync::Mutex<std::collections::HashSet<String>>,
}

/// Starts a node on `runtime` and returns its address.
pub(crate) fn start(
    runtime: &tokio::runtime::Runtime,
    server: net::SocketAddr,
    misbehaviour: Misbehaviour,
) -> net::SocketAddr {
    let http = reqwest::Client::builder().no_proxy().build().unwrap();
    let node = sync::Arc::new(Node {
        misbehaviour,
        server,
        http,
        next_id: atomic::AtomicU64::new(0),
        previous: sync::Mutex::default(),
        seen_ids: sync::Mutex::default(),
    });
    let endpoint = poem::endpoint::make(move |request: poem::Request| {
        let node = node.clone();
        async move { Ok::<_, poem::Error>(node.respond_to(request).await) }
    });
    let listener = runtime.block_on(tokio::net::TcpListener::bind("127.0.0.1:0"));
    let listener = listener.unwrap();
    let address = listener.local_addr().unwrap();
    let _guard = runtime.enter();
    let acceptor = poem::listener::TcpAcceptor::from_tokio(listener).unwrap();
    runtime.spawn(poem::Server::new_with_acceptor(acceptor).run(endpoint));
    address
}

fn respond(
    status: StatusCode,
    outcome: &'static str,
    reason: &'static str,
    body: Vec<u8>,
) -> poem::Response {
    poem::Response::builder()
        .status(status)
        .header("sequoiayoke-outcome", outcome)
        .header("sequoiayoke-reason", reason)
        .body(body)
}

impl Node {
    async fn respond_to(&self, request: poem::Request) -> poem::Response {
        if request.uri().path().starts_with("/v1/request-ids/") {
            let next_id = self.next_id.fetch_add(1, atomic::Ordering::Relaxed);
            let id = request::Id::new(id::Epoch(1), 1, next_id).to_string();
            return poem::Body::from_json(serde_json::json!({ "request_id": id }))
                .unwrap()
                .into();
        }
        let (parts, body) = request.into_parts();
        let body = body.into_vec().await.unwrap();
        let run = || self.run(&parts.method, &parts.uri, &parts.headers, &body);
        let id = parts.headers.get("sequoiayoke-request-id");
        let id = id.map_or("", |id| id.to_str().unwrap()).to_owned();
        let is_first = !id.is_empty() && self.seen_ids.lock().unwrap().insert(id);
        let body = match self.misbehaviour {
            Misbehaviour::Fabricate => Vec::new(),
            _ => run().await,
        };
        match self.misbehaviour {
            Misbehaviour::NameOwner(owner) => {
                let mut response = respond(StatusCode::OK, "answered", "", body);
                let owner = owner.to_string().parse().unwrap();
                response.headers_mut().insert("sequoiayoke-owner", owner);
                return response;
            }
            Misbehaviour::DenyRun => {
                return respond(StatusCode::SERVICE_UNAVAILABLE, "not-run", "vacant", vec![]);
            }
            Misbehaviour::Rerun if is_first => {
                return respond(
                    StatusCode::GATEWAY_TIMEOUT,
                    "unknown",
                    "connection-lost",
                    vec![],
                );
            }
            Misbehaviour::RunTwice => drop(run().await),
            Misbehaviour::SwapResponses => {
                let previous = self.previous.lock().unwrap().replace(body.clone());
                return respond(StatusCode::OK, "answered", "", previous.unwrap_or(body));
            }
            _ => {}
        }
        respond(StatusCode::OK, "answered", "", body)
    }

    async fn run(
        &self,
        method: &http::Method,
        uri: &http::Uri,
        headers: &HeaderMap,
        body: &[u8],
    ) -> Vec<u8> {
        let url = format!("http://{}{}", self.server, uri.path());
        let mut request = self.http.request(method.clone(), url).body(body.to_vec());
        for (name, value) in headers {
            if name.as_str().starts_with("sequoiayoke-") {
                request = request.header(name, value);
            }
        }
        request.send().await.unwrap().bytes().await.unwrap().into()
    }
}
