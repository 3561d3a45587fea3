//! Connections to the backend server, and the requests that the node itself makes.

use std::io;
use std::time::Duration;

use sequoiayoke_catalog::{server, slice};
use sequoiayoke_http1::response;
use sequoiayoke_model::clock;
use tokio::time;

use super::{
    Backend, Connection, Context, Error, IDENTIFY_ATTEMPTS, IDENTIFY_PAUSE, IDENTIFY_TIMEOUT,
    MAX_IDLE_CONNECTIONS, NON_IDEMPOTENT_IDLE_TIMEOUT, connect,
};
use crate::coordinator;
use crate::frontend;

/// What a request of the node itself is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Subject {
    /// A grant that the backend server has not confirmed.
    Grant(slice::Range, slice::Fence),
    /// The renewal of a grant.
    Renewal,
    /// A release.
    Release(slice::Range, slice::Fence),
    /// The identity of the backend server.
    Identity,
}

impl Subject {
    const fn new(command: &frontend::Command<'_>) -> Self {
        match command {
            frontend::Command::Grant {
                is_renewal: true, ..
            } => Self::Renewal,
            frontend::Command::Grant { range, fence, .. } => Self::Grant(*range, *fence),
            frontend::Command::Release { range, fence } => Self::Release(*range, *fence),
        }
    }

    /// Returns whether a request about this may use a connection with this subject.
    ///
    /// The answers to the node's own requests have no id, so that a repeated one can be mistaken for
    /// the answer to a later request. For a renewal that is harmless: if it was lost, the backend
    /// server refuses requests until the next one.
    fn allows(self, connection: Option<Self>) -> bool {
        match self {
            Self::Renewal => true,
            Self::Grant(..) => connection.is_none_or(|subject| subject == self),
            Self::Release(..) | Self::Identity => connection.is_none(),
        }
    }
}

impl Backend {
    /// Returns the most recently used idle connection on which the request with this id was not
    /// refused, or opens one.
    pub(super) async fn checkout(&self, id: &str, max_idle: Duration) -> Result<Connection, Error> {
        let is_usable = |connection: &Connection| !connection.refusals.contains(id);
        self.checkout_if(max_idle, is_usable).await
    }

    /// Returns the most recently used idle connection that is usable, or opens one.
    async fn checkout_if<IsUsable>(
        &self,
        max_idle: Duration,
        is_usable: IsUsable,
    ) -> Result<Connection, Error>
    where
        IsUsable: Fn(&Connection) -> bool,
    {
        match self.reuse(max_idle, is_usable) {
            Some(connection) => Ok(connection),
            None => connect(self.address).await,
        }
    }

    /// Returns the most recently used idle connection that is usable and open.
    fn reuse<IsUsable>(&self, max_idle: Duration, is_usable: IsUsable) -> Option<Connection>
    where
        IsUsable: Fn(&Connection) -> bool,
    {
        while let Some(mut connection) = self.take_idle(max_idle, &is_usable) {
            // Bytes that arrive while no request is open belong to none; a closed connection shows
            // here too.
            match connection.io.try_read_buf(&mut connection.input) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Some(connection),
                Ok(count) => {
                    tracing::debug!(count, "an idle connection was closed or has stray bytes")
                }
                Err(error) => tracing::debug!(%error, "an idle connection has failed"),
            }
        }
        None
    }

    /// Removes the most recently used idle connection that is usable from the kept ones.
    fn take_idle<IsUsable>(&self, max_idle: Duration, is_usable: IsUsable) -> Option<Connection>
    where
        IsUsable: Fn(&Connection) -> bool,
    {
        let mut idle = self.idle.borrow_mut();
        let index = idle.iter().rposition(is_usable)?;
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

    /// Sends a command about keys, which `call` encodes.
    pub(in crate::traffic) async fn send_command<Frontend>(
        &self,
        context: &Context<Frontend>,
        instance: &server::Instance,
        command: &frontend::Command<'_>,
        call: &frontend::Call,
        timeout: Duration,
    ) -> Result<response::Response, Error>
    where
        Frontend: frontend::Frontend,
    {
        let request =
            self.encode_request("POST", call.path, [call.media_type.as_bytes(), &call.body]);
        self.send_request(context, instance, Subject::new(command), request, timeout)
            .await
    }

    /// Sends a request that the node itself makes.
    async fn send_request<Frontend>(
        &self,
        context: &Context<Frontend>,
        instance: &server::Instance,
        subject: Subject,
        request: Vec<u8>,
        timeout: Duration,
    ) -> Result<response::Response, Error>
    where
        Frontend: frontend::Frontend,
    {
        // Renewals prefer connections that had a request of the node, so that the others stay
        // usable for first grants and releases.
        let is_used = |connection: &Connection| connection.subject.is_some();
        let used = match subject {
            Subject::Renewal => self.reuse(NON_IDEMPOTENT_IDLE_TIMEOUT, is_used),
            _ => None,
        };
        let is_usable = |connection: &Connection| subject.allows(connection.subject);
        let connection = match used {
            Some(connection) => Ok(connection),
            None => {
                self.checkout_if(NON_IDEMPOTENT_IDLE_TIMEOUT, is_usable)
                    .await
            }
        };
        let mut connection = connection.inspect_err(|error| {
            if matches!(error, Error::Refused) {
                context.send_event(coordinator::Event::Ended(instance.clone()));
            }
        })?;
        connection.subject = Some(subject);
        let exchange = self.exchange(context, connection, request, None);
        let result = tokio::time::timeout(timeout, exchange).await;
        result.unwrap_or(Err(Error::Timeout))
    }

    /// Encodes a request that the node itself makes, with a media type and a body.
    fn encode_request(&self, method: &str, path: &str, [media_type, body]: [&[u8]; 2]) -> Vec<u8> {
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
        request
    }

    /// Asks the backend server whether it is the instance that the leader knows, and in use.
    pub(in crate::traffic) async fn identify<Frontend>(
        &self,
        context: &Context<Frontend>,
        known: server::Announcement,
    ) where
        Frontend: frontend::Frontend,
    {
        let mut is_in_use = None;
        for attempt in 0..IDENTIFY_ATTEMPTS {
            if attempt > 0 {
                time::sleep(IDENTIFY_PAUSE).await;
            }
            is_in_use = self.ask_identity(context, &known).await;
            if is_in_use.is_some() {
                break;
            }
        }
        let identified = coordinator::Event::Identified { known, is_in_use };
        context.deliver_event(identified).await;
    }

    /// Returns whether the backend server is the known instance and in use, or `None` if there is no
    /// answer. One that is leaving or fails answers its health check with another status than 200.
    async fn ask_identity<Frontend>(
        &self,
        context: &Context<Frontend>,
        known: &server::Announcement,
    ) -> Option<bool>
    where
        Frontend: frontend::Frontend,
    {
        let view = context.view();
        let path = &view.service(&known.service)?.health_path;
        let instance = &known.instance;
        let request = self.encode_request("GET", path, [&[], &[]]);
        let subject = Subject::Identity;
        let sent = clock::Instant::now();
        let response = self.send_request(context, instance, subject, request, IDENTIFY_TIMEOUT);
        match response.await {
            Ok(response) => {
                let status = response.status;
                let health = context.frontend.health(&response);
                let is_same = health.instance == Some(&instance.name);
                if is_same {
                    self.record_health(sent, &health);
                }
                let is_in_use = is_same && status == 200;
                tracing::info!(
                    instance = instance.name,
                    is_same,
                    status,
                    is_in_use,
                    "asked the backend server whether it is the instance known to the leader"
                );
                Some(is_in_use)
            }
            Err(error) => {
                let instance = &instance.name;
                tracing::info!(instance, %error, "the backend server could not be identified");
                matches!(error, Error::Refused).then_some(false)
            }
        }
    }

    /// Requests the health of the backend server over a new connection.
    pub(super) async fn request_health<Frontend>(
        &self,
        context: &Context<Frontend>,
        path: &str,
    ) -> Result<response::Response, Error>
    where
        Frontend: frontend::Frontend,
    {
        let request = self.encode_request("GET", path, [&[], &[]]);
        let exchange = async {
            let mut connection = connect(self.address).await?;
            connection.subject = Some(Subject::Identity);
            self.exchange(context, connection, request, None).await
        };
        let result = time::timeout(IDENTIFY_TIMEOUT, exchange).await;
        result.unwrap_or(Err(Error::Timeout))
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
                self.doubt_after(&error);
                if matches!(error, Error::Refused) {
                    context.send_event(coordinator::Event::Ended(instance.clone()));
                }
            }
        }
    }
}
