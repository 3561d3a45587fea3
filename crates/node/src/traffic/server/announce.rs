//! HTTP endpoint for the announcements of the backend server of this VM.

use std::net;

use poem::http::StatusCode;
use tokio::sync::mpsc;

use super::Backend;
use crate::coordinator::event;

/// Maximum size of an announcement, in bytes.
const MAX_BYTES: usize = 16 * 1024;
/// Maximum number of services in an announcement.
const MAX_SERVICES: usize = 64;

#[derive(Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    name: String,
    instance: String,
    services: Vec<String>,
    address: net::SocketAddr,
    slots: u32,
    connections: u32,
    checks_fencing: bool,
    checks_sender: bool,
}

/// Endpoint that accepts announcements.
#[derive(Clone, Debug)]
pub struct Announce {
    events: mpsc::Sender<event::Event>,
}

impl Announce {
    /// Creates the endpoint, which forwards announcements to the coordinator through `events`.
    pub const fn new(events: mpsc::Sender<event::Event>) -> Self {
        Self { events }
    }
}

impl poem::Endpoint for Announce {
    type Output = poem::Response;

    async fn call(&self, mut request: poem::Request) -> poem::Result<poem::Response> {
        if request.uri().path() != "/v1/announce" {
            return Ok(refuse(StatusCode::NOT_FOUND, "unknown path"));
        }
        let Ok(bytes) = request.take_body().into_bytes_limit(MAX_BYTES).await else {
            return Ok(refuse(StatusCode::BAD_REQUEST, "the body is too long"));
        };
        let backend = match parse(&bytes) {
            Ok(backend) => backend,
            Err(detail) => return Ok(refuse(StatusCode::BAD_REQUEST, &detail)),
        };
        let sent = self.events.send(event::Event::Announced(backend)).await;
        Ok(match sent {
            Ok(()) => poem::Response::builder()
                .content_type("application/json")
                .body("{}"),
            Err(_) => refuse(StatusCode::SERVICE_UNAVAILABLE, "the node is stopping"),
        })
    }
}

fn parse(bytes: &[u8]) -> Result<Backend, String> {
    let body: Body = serde_json::from_slice(bytes).map_err(|error| error.to_string())?;
    if body.name.is_empty() || body.name.len() > 64 {
        return Err("name: must have 1 to 64 characters".to_owned());
    }
    if body.services.is_empty() || body.services.len() > MAX_SERVICES {
        return Err(format!("services: must name 1 to {MAX_SERVICES}"));
    }
    if body.slots == 0 || body.connections == 0 {
        return Err("slots, connections: must be at least 1".to_owned());
    }
    Ok(Backend {
        name: body.name,
        instance: body.instance,
        services: body.services,
        address: body.address,
        slots: body.slots,
        connections: body.connections,
        checks_fencing: body.checks_fencing,
        checks_sender: body.checks_sender,
    })
}

fn refuse(status: StatusCode, detail: &str) -> poem::Response {
    let body = serde_json::json!({ "error": "refused", "detail": detail });
    poem::Response::builder()
        .status(status)
        .content_type("application/json")
        .body(body.to_string())
}
