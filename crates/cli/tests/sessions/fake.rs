//! A fake control plane that stores tickets and injects faults.

use std::collections::VecDeque;
use std::future;
use std::io;
use std::net;
use std::sync::{Arc, Mutex};

use poem::http::{Method, StatusCode};
use sequoiayoke_api::ticket;
use serde_json::json;

/// Fault that is injected into a request.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    /// The request is carried out, and the connection closes within the response.
    Disconnect,
    /// The request is carried out, and the response is truncated but looks complete to HTTP.
    Truncate,
    /// The request is carried out, and no response is sent.
    Stall,
    /// The request is not carried out; the replica redirects to this leader.
    NotLeader(Option<net::SocketAddr>),
    /// The request is not carried out, and the replica reports an unknown outcome.
    Unknown,
    /// The response comes from a server that is not a control replica.
    OtherServer,
}

#[derive(Default)]
struct State {
    faults: VecDeque<Fault>,
    permanent_fault: Option<Fault>,
    tickets: Vec<ticket::Ticket>,
    draining: Vec<String>,
    paths: Vec<String>,
}

/// A control replica on a free port.
#[derive(Clone)]
pub(crate) struct Control {
    address: net::SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Control {
    pub(crate) fn start() -> Self {
        let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(Mutex::new(State::default()));
        let control = Self { address, state };
        let server = control.clone();
        let endpoint = poem::endpoint::make(move |request| {
            let control = server.clone();
            async move { control.respond(request).await }
        });
        let acceptor = poem::listener::TcpAcceptor::from_std(listener).unwrap();
        tokio::spawn(poem::Server::new_with_acceptor(acceptor).run(endpoint));
        control
    }

    pub(crate) fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Injects `faults` into the next requests, one each, in order.
    pub(crate) fn inject<F>(&self, faults: F)
    where
        F: IntoIterator<Item = Fault>,
    {
        self.state.lock().unwrap().faults.extend(faults);
    }

    /// Injects `fault` into all further requests.
    pub(crate) fn inject_always(&self, fault: Fault) {
        self.state.lock().unwrap().permanent_fault = Some(fault);
    }

    /// Returns the number of accepted tickets.
    pub(crate) fn tickets(&self) -> usize {
        self.state.lock().unwrap().tickets.len()
    }

    /// Returns the paths of all requests, as they were sent.
    pub(crate) fn paths(&self) -> Vec<String> {
        self.state.lock().unwrap().paths.clone()
    }

    async fn respond(&self, mut request: poem::Request) -> poem::Response {
        let body = request.take_body().into_vec().await.unwrap();
        let path = request.original_uri().to_string();
        let (fault, reply) = {
            let mut state = self.state.lock().unwrap();
            state.paths.push(path.clone());
            let fault = state
                .faults
                .pop_front()
                .or_else(|| state.permanent_fault.clone());
            let is_skipped = matches!(
                fault,
                Some(Fault::NotLeader(_) | Fault::Unknown | Fault::OtherServer)
            );
            let reply = match is_skipped {
                true => (200, json!(null)),
                false => state.carry_out(request.method(), &path, &body),
            };
            (fault, reply)
        };
        match fault {
            None => response(reply),
            Some(Fault::NotLeader(leader)) => {
                response((421, json!({ "error": "not-leader", "leader": leader })))
            }
            Some(Fault::Unknown) => {
                response((504, json!({ "error": "unknown", "detail": "no majority" })))
            }
            Some(Fault::OtherServer) => poem::Response::builder().body("<html>hello</html>"),
            Some(Fault::Stall) => future::pending().await,
            Some(Fault::Truncate) => poem::Response::builder().body("{ \"num"),
            Some(Fault::Disconnect) => {
                let chunk: Result<&[u8], io::Error> = Ok(b"{ \"num");
                let end = Err(io::Error::other("connection closed by the test"));
                let stream = futures_util::stream::iter([chunk, end]);
                // Without a content length, poem terminates the body as if it were complete.
                poem::Response::builder()
                    .header("content-length", 100)
                    .body(poem::Body::from_bytes_stream(stream))
            }
        }
    }
}

fn response((status, document): (u16, serde_json::Value)) -> poem::Response {
    poem::Response::builder()
        .status(StatusCode::from_u16(status).unwrap())
        .body(document.to_string())
}

impl State {
    fn carry_out(&mut self, method: &Method, path: &str, body: &[u8]) -> (u16, serde_json::Value) {
        let next = self.tickets.len() as u64 + 1;
        match (method.as_str(), path) {
            ("POST", "/v1/tickets") => self.submit(body),
            ("POST", "/v1/tickets/check") => check(next, body),
            ("GET", "/v1/tickets") => {
                let entries: Vec<_> = self.tickets.iter().map(entry).collect();
                (200, json!({ "next": next, "tickets": entries }))
            }
            ("GET", "/v1/status") => (200, self.status(next)),
            ("GET", path) if path.starts_with("/v1/explain/refunds/") => {
                (200, explanation(path.contains("vacant")))
            }
            ("GET", path) => {
                let number = path.strip_prefix("/v1/tickets/");
                let number = number.and_then(|number| number.parse::<u64>().ok());
                let ticket = self
                    .tickets
                    .iter()
                    .find(|ticket| Some(ticket.number.0) == number);
                match ticket {
                    Some(ticket) => (200, entry(ticket)),
                    None => (404, json!(null)),
                }
            }
            _ => (404, json!(null)),
        }
    }

    fn submit(&mut self, body: &[u8]) -> (u16, serde_json::Value) {
        let ticket = match ticket::parse(body) {
            Ok(ticket) => ticket,
            Err(error) => {
                return (
                    400,
                    json!({ "error": "malformed", "detail": error.to_string() }),
                );
            }
        };
        let next = self.tickets.len() as u64 + 1;
        let holder = self
            .tickets
            .iter()
            .find(|holder| holder.number == ticket.number);
        let repeated = match holder {
            Some(holder) if holder.is_equivalent_to(&ticket) => true,
            Some(holder) => {
                let number = ticket.number;
                return (
                    409,
                    json!({ "error": "number-taken", "number": number, "holder": holder }),
                );
            }
            None if ticket.number.0 != next => {
                return (409, json!({ "error": "number-out-of-order", "next": next }));
            }
            None => false,
        };
        if !repeated {
            for object in &ticket.objects {
                if let ticket::Object::Server(server) = object {
                    self.draining.push(server.name.clone());
                }
            }
            self.tickets.push(ticket.clone());
        }
        let version = 40 + ticket.number.0;
        let force =
            json!({ "live": 5, "confirmed": if repeated { 5 } else { 3 }, "complete": repeated });
        (
            200,
            json!({ "number": ticket.number, "status": "accepted", "version": version,
            "repeated": repeated, "in_force": force }),
        )
    }

    fn status(&self, next: u64) -> serde_json::Value {
        let server = |name: &str, service: &str, lease_left_ms: u64, slices: u64| {
            let draining = self
                .draining
                .iter()
                .any(|draining_name| draining_name == name);
            json!({ "name": name, "services": [service], "incarnation": 17,
                "state": if draining { "draining" } else { "serving" },
                "failure_domain": "hall-a", "lease_left_ms": lease_left_ms, "version": 41, "slices": slices })
        };
        json!({
            "region": "skane", "leader": "control-1", "term": 3, "commit": 41, "version": 41,
            "next_ticket": next,
            "replicas": [
                { "name": "control-1", "address": "10.0.0.1:7103", "voting": true, "matched": 41 },
                { "name": "control-2", "address": "10.0.0.2:7103", "voting": true, "matched": 40 },
                { "name": "control-3", "address": "10.0.0.3:7103", "voting": false, "matched": 12 },
            ],
            "servers": [
                server("ank-refunds-1", "refunds", 690, 8),
                server("ank-refunds-2", "refunds", 120, 6),
                server("ank-photos-1", "photos", 700, 16),
            ],
            "services": [
                { "name": "refunds", "slices": 16, "vacant": 2, "imbalance": 1.75 },
                { "name": "photos", "slices": 16, "vacant": 0, "imbalance": 1.0 },
            ],
        })
    }
}

fn entry(ticket: &ticket::Ticket) -> serde_json::Value {
    json!({ "number": ticket.number, "version": 40 + ticket.number.0, "objects": ticket.objects,
        "in_force": { "live": 5, "confirmed": 5, "complete": true } })
}

fn check(next: u64, body: &[u8]) -> (u16, serde_json::Value) {
    let ticket = ticket::parse(body).unwrap();
    let mut problems = Vec::new();
    if ticket.number.0 != next {
        problems.push(format!(
            "the next number is {next}, not {}",
            ticket.number.0
        ));
    }
    let changes: Vec<_> = ticket
        .objects
        .iter()
        .map(|after| {
            let before = match after {
                ticket::Object::Service(service) if service.name == "refunds" => {
                    let mut before = service.clone();
                    before.weights.unavailable = 1.0;
                    Some(ticket::Object::Service(before))
                }
                _ => None,
            };
            json!({ "object": after.identity(), "before": before, "after": after })
        })
        .collect();
    (
        200,
        json!({ "next": next, "problems": problems, "changes": changes }),
    )
}

fn explanation(vacant: bool) -> serde_json::Value {
    let holder = json!({ "server": "ank-refunds-2", "incarnation": 17, "epoch": 31 });
    json!({
        "service": "refunds", "key": "kiosk-17", "hash": "8c1f00d2a6b35e70",
        "first": "8000000000000000", "last": "8fffffffffffffff",
        "holder": if vacant { json!(null) } else { holder },
        "history": [
            { "version": 12, "cause": "assigned to ank-refunds-1: first assignment" },
            { "version": 31, "cause": "assigned to ank-refunds-2: lease of ank-refunds-1 expired" },
        ],
    })
}
