//! A node that forwards to one stand-in, and lies on request.

use std::net;
use std::sync;
use std::sync::atomic;

use http::HeaderMap;
use http::StatusCode;

use sequoiayoke_model::id;
use sequoiayoke_model::request;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Lie {
    /// Tells the truth.
    None,
    /// Says "not run" of a request that ran.
    NotRun,
    /// Runs a request twice.
    Double,
    /// Answers without asking the server.
    Invent,
    /// Hands out the answer of the request before.
    Swap,
    /// Loses the first answer to each id, and runs a resend again.
    Forget,
    /// Names this node as the owner of every key.
    Owner(net::SocketAddr),
}

struct Node {
    lie: Lie,
    server: net::SocketAddr,
    http: reqwest::Client,
    number: atomic::AtomicU64,
    before: sync::Mutex<Option<Vec<u8>>>,
    seen: sync::Mutex<std::collections::HashSet<String>>,
}

/// Starts a node on a runtime of its own and returns its address.
pub(crate) fn start(
    runtime: &tokio::runtime::Runtime,
    server: net::SocketAddr,
    lie: Lie,
) -> net::SocketAddr {
    let http = reqwest::Client::builder().no_proxy().build().unwrap();
    let node = sync::Arc::new(Node {
        lie,
        server,
        http,
        number: atomic::AtomicU64::new(0),
        before: sync::Mutex::default(),
        seen: sync::Mutex::default(),
    });
    let endpoint = poem::endpoint::make(move |request: poem::Request| {
        let node = node.clone();
        async move { Ok::<_, poem::Error>(node.answer(request).await) }
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
    async fn answer(&self, request: poem::Request) -> poem::Response {
        if request.uri().path().starts_with("/v1/request-ids/") {
            let number = self.number.fetch_add(1, atomic::Ordering::Relaxed);
            let id = request::Id::new(id::Epoch(1), 1, number).to_string();
            return poem::Body::from_json(serde_json::json!({ "request_id": id }))
                .unwrap()
                .into();
        }
        let (parts, body) = request.into_parts();
        let body = body.into_vec().await.unwrap();
        let run = || self.run(&parts.method, &parts.uri, &parts.headers, &body);
        let id = parts.headers.get("sequoiayoke-request-id");
        let id = id.map_or("", |id| id.to_str().unwrap()).to_owned();
        let first = !id.is_empty() && self.seen.lock().unwrap().insert(id);
        let answer = match self.lie {
            Lie::Invent => Vec::new(),
            _ => run().await,
        };
        match self.lie {
            Lie::Owner(owner) => {
                let mut response = respond(StatusCode::OK, "answered", "", answer);
                let owner = owner.to_string().parse().unwrap();
                response.headers_mut().insert("sequoiayoke-owner", owner);
                return response;
            }
            Lie::NotRun => {
                return respond(StatusCode::SERVICE_UNAVAILABLE, "not-run", "vacant", vec![]);
            }
            Lie::Forget if first => {
                return respond(
                    StatusCode::GATEWAY_TIMEOUT,
                    "unknown",
                    "connection-lost",
                    vec![],
                );
            }
            Lie::Double => drop(run().await),
            Lie::Swap => {
                let before = self.before.lock().unwrap().replace(answer.clone());
                return respond(StatusCode::OK, "answered", "", before.unwrap_or(answer));
            }
            _ => {}
        }
        respond(StatusCode::OK, "answered", "", answer)
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
