//! Connections to the backend server, and single exchanges over them.

use std::io;
use std::time::Duration;

use sequoiayoke_catalog::server;
use sequoiayoke_http1::response;
use sequoiayoke_model::clock;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::oneshot;

use super::{
    Backend, Connection, Context, Error, IDENTIFY, IDLE, IDLE_PERCENT, IDLE_UNSAFE, LIMITS,
    MAX_IDLE, MAX_STRAY, connect, finish, timeout,
};
use crate::coordinator;
use crate::frontend;

impl Backend {
    /// Takes a connection that was used lately, or opens one.
    pub(super) async fn checkout(&self, max_idle: Duration) -> Result<Connection, Error> {
        let now = clock::Instant::now();
        loop {
            let newest = self.idle.borrow_mut().pop();
            let Some(mut connection) = newest else {
                return connect(self.address).await;
            };
            let age = now.saturating_since(connection.used);
            if age >= connection.idle.min(max_idle) {
                // All others are older.
                self.idle.borrow_mut().clear();
                continue;
            }
            // Bytes that arrived without a request belong to none; an end shows too.
            match connection.io.try_read_buf(&mut connection.input) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(connection),
                Ok(count) => {
                    tracing::debug!(count, "a kept connection has ended or has stray bytes")
                }
                Err(error) => tracing::debug!(%error, "a kept connection has broken"),
            }
        }
    }

    pub(super) fn check_in(&self, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE {
            idle.push(connection);
        }
    }

    /// Writes a request and reads its response; the connection is kept if it is clean.
    pub(super) async fn exchange<Frontend>(
        &self,
        frontend: &Frontend,
        mut connection: Connection,
        request: Vec<u8>,
        id: &str,
    ) -> Result<response::Response, Error>
    where
        Frontend: frontend::Frontend,
    {
        let mut written = 0;
        let mut stray = 0;
        let mut decoder = response::Decoder::new();
        let Connection { io, input, .. } = &mut connection;
        let response = loop {
            let (mut reader, mut writer) = io.split();
            let read = tokio::select! {
                biased;
                read = reader.read_buf(input) => read.map_err(Error::Broken)?,
                count = writer.write(&request[written..]), if written < request.len() => {
                    written += count.map_err(Error::Broken)?;
                    continue;
                }
            };
            if let Some(response) = decoder.decode(input, LIMITS, read == 0)? {
                if frontend
                    .response_metadata(&response)
                    .id
                    .is_none_or(|other| other == id)
                {
                    break response;
                }
                stray += 1;
                tracing::warn!(id, "discarding a response to another request");
                if stray > MAX_STRAY || read == 0 {
                    return Err(Error::Stray);
                }
                // More may have arrived with it.
                if let Some(next) = decoder.decode(input, LIMITS, false)?
                    && frontend.response_metadata(&next).id == Some(id)
                {
                    break next;
                }
            }
        };
        if response.keeps_alive && connection.input.is_empty() {
            let named = response.fields.get("keep-alive").and_then(timeout);
            if let Some(named) = named {
                connection.idle = IDLE.min(named * IDLE_PERCENT / 100);
            }
            connection.used = clock::Instant::now();
            if written == request.len() {
                self.check_in(connection);
            } else {
                finish(connection, request, written);
            }
        }
        Ok(response)
    }

    /// Sends a command about keys.
    pub(in crate::traffic) async fn command<Frontend>(
        &self,
        context: &Context<Frontend>,
        instance: &server::Instance,
        order: &frontend::Call,
        limit: Duration,
    ) -> Result<response::Response, Error>
    where
        Frontend: frontend::Frontend,
    {
        let body = [order.media_type.as_bytes(), &order.body];
        self.ask(context, instance, "POST", order.path, body, limit)
            .await
    }

    /// Sends a request of the node's own, with a media type and a body.
    async fn ask<Frontend>(
        &self,
        context: &Context<Frontend>,
        instance: &server::Instance,
        method: &str,
        path: &str,
        [media_type, body]: [&[u8]; 2],
        limit: Duration,
    ) -> Result<response::Response, Error>
    where
        Frontend: frontend::Frontend,
    {
        let connection = self.checkout(IDLE_UNSAFE).await;
        let connection = connection.inspect_err(|error| {
            if matches!(error, Error::Refused) {
                context.tell(coordinator::Event::Ended(instance.clone()));
            }
        })?;
        let mut request = format!("{method} {path} HTTP/1.1\r\nhost: {}\r\n", self.address);
        if !body.is_empty() {
            let length = body.len();
            request.push_str(&format!("content-length: {length}\r\ncontent-type: "));
        }
        let mut request = request.into_bytes();
        if !body.is_empty() {
            request.extend_from_slice(media_type);
            request.extend_from_slice(b"\r\n");
        }
        request.extend_from_slice(b"\r\n");
        request.extend_from_slice(body);
        let exchange = self.exchange(&context.frontend, connection, request, "");
        let ended = tokio::time::timeout(limit, exchange).await;
        ended.unwrap_or(Err(Error::Timeout))
    }

    /// Takes the run that the leader knows for present if it answers under its name.
    pub(in crate::traffic) async fn identify<Frontend>(
        &self,
        context: &Context<Frontend>,
        known: server::Announcement,
    ) where
        Frontend: frontend::Frontend,
    {
        let view = context.view();
        let Some(service) = view.service(&known.service) else {
            return;
        };
        let path = &service.health_path;
        let instance = &known.instance;
        let asked = self.ask(context, instance, "GET", path, [&[], &[]], IDENTIFY);
        match asked.await {
            Ok(response) if context.frontend.identity(&response) == Some(&instance.name) => {
                tracing::info!(
                    instance = instance.name,
                    "the backend server is the run that the leader knows"
                );
                self.set_slots(known.slots);
                let (reply, _) = oneshot::channel();
                context.tell(coordinator::Event::Announced {
                    announcement: known,
                    sequence: 0,
                    reply,
                });
            }
            Ok(response) => {
                let (instance, status) = (&instance.name, response.status);
                tracing::info!(instance, status, "another run is at the address");
            }
            Err(error) => {
                let instance = &instance.name;
                tracing::info!(instance, %error, "the backend server does not say who it is");
            }
        }
    }

    /// Finds out whether a backend server that is silent has ended.
    pub(in crate::traffic) async fn probe<Frontend>(
        &self,
        context: &Context<Frontend>,
        announcement: &server::Announcement,
    ) {
        match connect(self.address).await {
            Ok(connection) => self.check_in(connection),
            Err(error) => {
                let instance = &announcement.instance;
                tracing::info!(instance = instance.name, %error, "a silent backend server is not reached");
                if matches!(error, Error::Refused) {
                    context.tell(coordinator::Event::Ended(instance.clone()));
                }
            }
        }
    }
}
