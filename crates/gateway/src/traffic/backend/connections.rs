//! Connections to the backend server, and the requests that the node itself makes.

use std::io;
use std::time::Duration;

use sequoiayoke_catalog::server;
use sequoiayoke_http1::response;
use sequoiayoke_model::clock;
use tokio::sync::oneshot;

use super::{
    Backend, Connection, Context, Error, IDENTIFY_TIMEOUT, MAX_IDLE_CONNECTIONS,
    NON_IDEMPOTENT_IDLE_TIMEOUT, connect,
};
use crate::coordinator;
use crate::frontend;

impl Backend {
    /// Returns the most recently used idle connection on which the request with this id was not
    /// refused, or opens one.
    pub(super) async fn checkout(
        &self,
        id: Option<&str>,
        max_idle: Duration,
    ) -> Result<Connection, Error> {
        while let Some(mut connection) = self.take_idle(id, max_idle) {
            // Bytes that arrive while no request is open belong to none; a closed connection shows
            // here too.
            match connection.io.try_read_buf(&mut connection.input) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(connection),
                Ok(count) => {
                    tracing::debug!(count, "an idle connection was closed or has stray bytes")
                }
                Err(error) => tracing::debug!(%error, "an idle connection has failed"),
            }
        }
        connect(self.address).await
    }

    /// Removes the idle connection for [`Backend::checkout`] from the kept ones.
    fn take_idle(&self, id: Option<&str>, max_idle: Duration) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let index = idle
            .iter()
            .rposition(|connection| id.is_none_or(|id| !connection.refusals.contains(id)))?;
        let connection = idle.remove(index);
        let age = clock::Instant::now().saturating_since(connection.used);
        if age < connection.idle.min(max_idle) {
            return Some(connection);
        }
        // The connections before it are older.
        idle.drain(..index);
        None
    }

    pub(super) fn check_in(&self, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
    }

    /// Sends a command about keys.
    pub(in crate::traffic) async fn send_command<Frontend>(
        &self,
        context: &Context<Frontend>,
        instance: &server::Instance,
        call: &frontend::Call,
        timeout: Duration,
    ) -> Result<response::Response, Error>
    where
        Frontend: frontend::Frontend,
    {
        let body = [call.media_type.as_bytes(), &call.body];
        self.send_request(context, instance, "POST", call.path, body, timeout)
            .await
    }

    /// Sends a request that the node itself makes, with a media type and a body.
    async fn send_request<Frontend>(
        &self,
        context: &Context<Frontend>,
        instance: &server::Instance,
        method: &str,
        path: &str,
        [media_type, body]: [&[u8]; 2],
        timeout: Duration,
    ) -> Result<response::Response, Error>
    where
        Frontend: frontend::Frontend,
    {
        let connection = self.checkout(None, NON_IDEMPOTENT_IDLE_TIMEOUT).await;
        let connection = connection.inspect_err(|error| {
            if matches!(error, Error::Refused) {
                context.send_event(coordinator::Event::Ended(instance.clone()));
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
        let exchange = self.exchange(context, connection, request, None);
        let result = tokio::time::timeout(timeout, exchange).await;
        result.unwrap_or(Err(Error::Timeout))
    }

    /// Announces the instance that the leader knows as running if it answers under its name.
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
        let request =
            self.send_request(context, instance, "GET", path, [&[], &[]], IDENTIFY_TIMEOUT);
        match request.await {
            Ok(response) if context.frontend.identity(&response) == Some(&instance.name) => {
                tracing::info!(
                    instance = instance.name,
                    "the backend server is the instance known to the leader"
                );
                self.set_slots(known.slots);
                let (reply, _) = oneshot::channel();
                context.send_event(coordinator::Event::Announced {
                    announcement: known,
                    sequence: 0,
                    reply,
                });
            }
            Ok(response) => {
                let (instance, status) = (&instance.name, response.status);
                tracing::info!(
                    instance,
                    status,
                    "the backend server is not the instance known to the leader"
                );
            }
            Err(error) => {
                let instance = &instance.name;
                tracing::info!(instance, %error, "the backend server could not be identified");
            }
        }
    }

    /// Checks whether a backend server that stopped announcing itself has ended.
    pub(in crate::traffic) async fn probe<Frontend>(
        &self,
        context: &Context<Frontend>,
        announcement: &server::Announcement,
    ) {
        match connect(self.address).await {
            Ok(connection) => self.check_in(connection),
            Err(error) => {
                let instance = &announcement.instance;
                tracing::info!(
                    instance = instance.name,
                    %error,
                    "cannot connect to a backend server that stopped announcing itself"
                );
                if matches!(error, Error::Refused) {
                    context.send_event(coordinator::Event::Ended(instance.clone()));
                }
            }
        }
    }
}
