//! Handlers of commands of the node and of fault commands of tests.

use http::Method;
use http::StatusCode;
use serde::Deserialize;
use tokio::sync::oneshot;

use sequoiayoke_model::id;
use sequoiayoke_model::key;
use sequoiayoke_model::range;

use crate::standin;
use crate::standin::coordinator;
use crate::standin::coordinator::fault;
use crate::standin::traffic;
use crate::standin::traffic::endpoint;
use crate::standin::traffic::ledger;

/// Largest body of a command, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

#[derive(Debug, Deserialize)]
struct Prepare {
    service: String,
    first: String,
    last: String,
}

#[derive(Debug, Deserialize)]
struct Grant {
    service: String,
    first: String,
    last: String,
    epoch: id::Epoch,
    // Each request carries its own lease; this field is only checked for presence.
    #[serde(rename = "lease_until_us")]
    _lease_until_us: u64,
}

#[derive(Debug, Deserialize)]
struct Revoke {
    service: String,
    first: String,
    last: String,
    epoch: id::Epoch,
}

fn parse_range(first: &str, last: &str) -> Result<range::Range, String> {
    let position = |text: &str| {
        let is_valid = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = u64::from_str_radix(text, 16).ok().filter(|_| is_valid);
        number
            .map(key::Hash)
            .ok_or_else(|| format!("{text:?} is not 16 hexadecimal digits"))
    };
    let range = range::Range {
        first: position(first)?,
        last: position(last)?,
    };
    if range.first > range.last {
        return Err("the range ends before it starts".into());
    }
    Ok(range)
}

fn parse_body<T>(body: &[u8]) -> Result<T, String>
where
    T: serde::de::DeserializeOwned,
{
    serde_json::from_slice(body).map_err(|error| error.to_string())
}

fn parse_command(name: &str, body: &[u8]) -> Result<coordinator::Command, String> {
    match name {
        "prepare" => {
            let body: Prepare = parse_body(body)?;
            let range = parse_range(&body.first, &body.last)?;
            Ok(coordinator::Command::Prepare(body.service, range))
        }
        "grant" => {
            let body: Grant = parse_body(body)?;
            let range = parse_range(&body.first, &body.last)?;
            Ok(coordinator::Command::Grant(body.service, range, body.epoch))
        }
        "revoke" => {
            let body: Revoke = parse_body(body)?;
            let range = parse_range(&body.first, &body.last)?;
            Ok(coordinator::Command::Revoke(
                body.service,
                range,
                body.epoch,
            ))
        }
        "drain" => Ok(coordinator::Command::Drain),
        _ => Err(format!("there is no command {name:?}")),
    }
}

/// Parses a fault command from its name and the fields in its body.
fn parse_fault(name: &str, body: &[u8]) -> Result<fault::Command, String> {
    if matches!(name, "clear" | "undrain") {
        return parse_value(serde_json::Value::from(name));
    }
    let fields: serde_json::Value = parse_body(body)?;
    parse_value(serde_json::json!({ name: fields }))
}

fn parse_value(value: serde_json::Value) -> Result<fault::Command, String> {
    serde_json::from_value(value).map_err(|error| error.to_string())
}

impl traffic::Traffic {
    /// Handles a command of the node.
    pub(super) async fn run_command(&self, name: &str, request: poem::Request) -> poem::Response {
        self.publisher.wait_while_frozen().await;
        if !self.is_sender_known(&request) {
            return endpoint::error(StatusCode::FORBIDDEN, "unknown-sender", "wrong token");
        }
        match (request.method(), name) {
            (&Method::GET, "health") => self.health(),
            (&Method::GET, "load") => self.load(),
            (&Method::POST, _) => {
                let body = request.into_body().into_bytes_limit(MAX_BODY_BYTES).await;
                let command = body
                    .map_err(|error| error.to_string())
                    .and_then(|body| parse_command(name, &body));
                match command {
                    Ok(command) => self.submit(command).await,
                    Err(detail) => endpoint::error(StatusCode::BAD_REQUEST, "malformed", &detail),
                }
            }
            _ => endpoint::error(StatusCode::NOT_FOUND, "unknown-path", name),
        }
    }

    /// Handles a fault command of a test, also while the server is frozen.
    pub(super) async fn run_fault(&self, name: &str, request: poem::Request) -> poem::Response {
        match (request.method(), name) {
            (&Method::GET, "executions") => return self.executions(),
            (&Method::GET, "instance") => return self.identity(),
            _ => {}
        }
        let body = request.into_body().into_bytes_limit(MAX_BODY_BYTES).await;
        let command = body
            .map_err(|error| error.to_string())
            .and_then(|body| parse_fault(name, &body));
        match command {
            Ok(command) => {
                self.injector.apply(&command);
                self.submit(coordinator::Command::Fault(command)).await
            }
            Err(detail) => endpoint::error(StatusCode::BAD_REQUEST, "malformed", &detail),
        }
    }

    fn executions(&self) -> poem::Response {
        let executions = ledger::Executions {
            server: self.settings.name.clone(),
            instance: self.settings.instance.clone(),
            summary: self.ledger.summary(),
        };
        endpoint::json(StatusCode::OK, &executions)
    }

    fn identity(&self) -> poem::Response {
        let (server, instance) = (&self.settings.name, &self.settings.instance);
        let body = serde_json::json!({ "server": server, "instance": instance });
        endpoint::json(StatusCode::OK, &body)
    }

    fn is_sender_known(&self, request: &poem::Request) -> bool {
        let token = self.settings.token.as_deref();
        token.is_none_or(|token| request.header("sequoiayoke-sender") == Some(token))
    }

    fn health(&self) -> poem::Response {
        let healthy = self
            .publisher
            .current()
            .faults
            .health_override
            .unwrap_or(true);
        let body = serde_json::json!({ "healthy": healthy });
        endpoint::json(StatusCode::OK, &body)
    }

    fn load(&self) -> poem::Response {
        let load = self
            .publisher
            .current()
            .faults
            .load_override
            .unwrap_or(fault::Load {
                running: self.slots.running(),
                queued: self.slots.queued(),
            });
        let body = serde_json::json!({ "running": load.running, "queued": load.queued });
        endpoint::json(StatusCode::OK, &body)
    }

    /// Submits a command to the control thread and waits until it is in effect.
    async fn submit(&self, command: coordinator::Command) -> poem::Response {
        let (reply, result) = oneshot::channel();
        let envelope = standin::Envelope { command, reply };
        if self.commands.try_send(envelope).is_err() {
            return endpoint::error(
                StatusCode::SERVICE_UNAVAILABLE,
                "overload",
                "too many commands wait",
            );
        }
        match result.await {
            Ok(Ok(())) => endpoint::json(StatusCode::OK, &serde_json::json!({})),
            Ok(Err(coordinator::grants::Overflow)) => endpoint::error(
                StatusCode::SERVICE_UNAVAILABLE,
                "overload",
                "too many ranges",
            ),
            Err(_) => endpoint::error(StatusCode::SERVICE_UNAVAILABLE, "stopping", "stopping"),
        }
    }
}
