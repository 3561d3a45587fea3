//! The session with the leader, and the commands of the control thread.

use std::collections;
use std::io;
use std::net;
use std::rc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use sequoiayoke_catalog::server;
use sequoiayoke_link::{codec, session};
use sequoiayoke_model::clock;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task;
use tokio_util::codec::Framed;

use super::{Context, backend, peers};
use crate::coordinator::{self, state};
use crate::frontend;

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay before the next replica is tried.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Time without a message from the leader after which the session ends: two renewals and the time
/// for their acknowledgements.
const SESSION_TIMEOUT: Duration = Duration::from_millis(1_300);
/// Longest wait for the first message of a replica, which tells where the leader is. A suspended
/// replica still accepts connections.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest wait for the answer to a grant, which the backend server sends at once.
const GRANT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for the answer to a release, which the backend server sends after the work on the
/// keys has ended.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Largest number of replica addresses that are stored.
const MAX_REPLICAS: usize = 32;

type Codec = codec::Codec<session::FromNode, session::FromControl>;

/// Control replicas, of which one may be the leader.
struct Replicas {
    seeds: Vec<net::SocketAddr>,
    known: collections::VecDeque<net::SocketAddr>,
    leader: Option<net::SocketAddr>,
    last_tried: Option<net::SocketAddr>,
    cursor: usize,
}

impl Replicas {
    /// Returns the replica to try next: the leader once, then all in turn except the one that was
    /// tried last.
    fn next(&mut self) -> Option<net::SocketAddr> {
        let next = match self.leader.take() {
            Some(leader) if self.last_tried != Some(leader) => Some(leader),
            _ => self.next_in_turn(),
        };
        self.last_tried = next;
        next
    }

    fn next_in_turn(&mut self) -> Option<net::SocketAddr> {
        let mut candidates: Vec<_> = self.known.iter().copied().collect();
        candidates.extend(self.seeds.iter().filter(|seed| !self.known.contains(seed)));
        if candidates.len() > 1 {
            candidates.retain(|address| self.last_tried != Some(*address));
        }
        self.cursor += 1;
        candidates
            .get(self.cursor % candidates.len().max(1))
            .copied()
    }
}

/// Keeps a session with a replica and executes commands.
pub(super) async fn run<Frontend>(
    mut commands: mpsc::Receiver<coordinator::Command>,
    context: rc::Rc<Context<Frontend>>,
) where
    Frontend: frontend::Frontend,
{
    let seeds = context.reloads.borrow().replicas.clone();
    let mut replicas = Replicas {
        cursor: usize::from(context.settings.peers.port()) + seeds.len(),
        seeds,
        known: collections::VecDeque::new(),
        leader: None,
        last_tried: None,
    };
    loop {
        replicas
            .seeds
            .clone_from(&context.reloads.borrow().replicas);
        let Some(address) = replicas.next() else {
            tracing::error!("no control replica is configured");
            execute_until_retry(&mut commands, &mut replicas, &context).await;
            continue;
        };
        match run_session(address, &mut replicas, &mut commands, &context).await {
            Ok(()) => {}
            Err(error) => tracing::debug!(%address, %error, "the session with a replica failed"),
        }
        // A known leader is tried without a delay.
        if replicas.leader.is_none() {
            execute_until_retry(&mut commands, &mut replicas, &context).await;
        }
    }
}

/// Executes commands during the delay between two connection attempts.
async fn execute_until_retry<Frontend>(
    commands: &mut mpsc::Receiver<coordinator::Command>,
    replicas: &mut Replicas,
    context: &rc::Rc<Context<Frontend>>,
) where
    Frontend: frontend::Frontend,
{
    let until = tokio::time::Instant::now() + RETRY_DELAY;
    while let Ok(Some(command)) = tokio::time::timeout_at(until, commands.recv()).await {
        execute(command, replicas, context);
    }
}

async fn run_session<Frontend>(
    address: net::SocketAddr,
    replicas: &mut Replicas,
    commands: &mut mpsc::Receiver<coordinator::Command>,
    context: &rc::Rc<Context<Frontend>>,
) -> io::Result<()>
where
    Frontend: frontend::Frontend,
{
    let io = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    peers::set_socket_options(&io)?;
    let mut frames = Framed::new(io, Codec::new());
    context.send_event(coordinator::Event::Connected);
    let mut is_leader = false;
    let mut until = tokio::time::Instant::now() + FIRST_MESSAGE_TIMEOUT;
    loop {
        tokio::select! {
            command = commands.recv() => match command {
                Some(coordinator::Command::Effect(state::Effect::Renew(renewal))) => {
                    frames.send(&session::FromNode::Renew(renewal)).await?;
                }
                Some(command) => {
                    let is_redirect = matches!(command, coordinator::Command::Redirect(_));
                    execute(command, replicas, context);
                    if is_redirect {
                        return Ok(());
                    }
                }
                None => return Ok(()),
            },
            frame = frames.next() => {
                until = tokio::time::Instant::now() + SESSION_TIMEOUT;
                let Some(frame) = frame else {
                    if is_leader {
                        tracing::warn!(%address, "the leader has ended the session");
                    }
                    return Ok(());
                };
                let message = frame?;
                if !is_leader && matches!(message, session::FromControl::State(_)) {
                    is_leader = true;
                    tracing::info!(%address, "established a session with the leader");
                }
                let event = coordinator::Event::Control(message);
                context.events.send(event).await.map_err(io::Error::other)?;
            }
            () = tokio::time::sleep_until(until) => {
                tracing::warn!(
                    %address,
                    is_leader,
                    "a control replica is unresponsive; ending the session"
                );
                return Ok(());
            }
        }
    }
}

fn execute<Frontend>(
    command: coordinator::Command,
    replicas: &mut Replicas,
    context: &rc::Rc<Context<Frontend>>,
) where
    Frontend: frontend::Frontend,
{
    match command {
        coordinator::Command::Redirect(leader) => replicas.leader = leader,
        coordinator::Command::Replicas(addresses) => {
            replicas.known = addresses.into_iter().take(MAX_REPLICAS).collect();
        }
        coordinator::Command::Effect(state::Effect::Identify(known)) => {
            let context = rc::Rc::clone(context);
            task::spawn_local(async move { context.backend.identify(&context, known).await });
        }
        coordinator::Command::Probe(announcement) => {
            let context = rc::Rc::clone(context);
            task::spawn_local(async move { context.backend.probe(&context, &announcement).await });
        }
        coordinator::Command::Effect(effect) => {
            let context = rc::Rc::clone(context);
            task::spawn_local(async move { execute_effect(effect, &context).await });
        }
    }
}

/// Sends the command of an effect to the backend server.
async fn execute_effect<Frontend>(effect: state::Effect, context: &Context<Frontend>)
where
    Frontend: frontend::Frontend,
{
    // A grant for an instance that has been replaced would be taken by the one at its address now.
    let is_current = |instance: &server::Instance| {
        let view = context.view();
        let backend = view.backend.as_ref();
        backend.is_some_and(|backend| backend.announcement.instance == *instance)
    };
    match effect {
        // Nothing to do for a renewal without a session, since the next session begins with one.
        state::Effect::Renew(_) | state::Effect::Identify(_) => {}
        state::Effect::Grant {
            instance,
            range,
            fence,
            hold,
            at,
            handover,
            is_renewal,
        } => {
            let now = clock::Instant::now();
            let left = state::remaining_hold(at, hold, now);
            let Some(left) = left.filter(|_| is_current(&instance)) else {
                let (first, last) = (range.first, range.last);
                let is_current = is_current(&instance);
                tracing::warn!(
                    first,
                    last,
                    fence = fence.0,
                    is_current,
                    "a grant was held up and is not sent"
                );
                let completed = coordinator::Event::GrantCompleted {
                    range,
                    fence,
                    unanswered_until: None,
                };
                return context.deliver_event(completed).await;
            };
            let command = frontend::Command::Grant {
                range,
                fence,
                hold: left,
                handover: handover.as_deref(),
                is_renewal,
            };
            let result = send_command(&command, &instance, context).await;
            // A grant that could not be delivered does not take effect later.
            let is_undelivered = matches!(result, Err(backend::Error::Refused));
            let status = result.ok().map(|response| response.status);
            let confirmed = match status {
                Some(200) => Some(coordinator::Event::GrantConfirmed {
                    range,
                    fence,
                    until: at + hold,
                }),
                Some(409) => Some(coordinator::Event::GrantRefused { range, fence }),
                _ => None,
            };
            let is_unanswered = status.is_none() && !is_undelivered;
            let completed = coordinator::Event::GrantCompleted {
                range,
                fence,
                unanswered_until: is_unanswered
                    .then(|| clock::Instant::now() + state::MAX_GRANT_DELAY),
            };
            for event in confirmed.into_iter().chain([completed]) {
                context.deliver_event(event).await;
            }
            let message = match status {
                Some(200) => "granted keys",
                _ => "a grant was not confirmed",
            };
            tracing::debug!(
                first = range.first,
                last = range.last,
                fence = fence.0,
                hold_ms = hold.as_millis() as u64,
                ?status,
                message
            );
        }
        state::Effect::Release {
            instance,
            service: _,
            range,
            fence,
        } => {
            if !is_current(&instance) {
                return;
            }
            let start = clock::Instant::now();
            let command = frontend::Command::Release { range, fence };
            let response = send_command(&command, &instance, context).await.ok();
            let waited_ms = clock::Instant::now().saturating_since(start).as_millis() as u64;
            let status = response.as_ref().map(|response| response.status);
            let (first, last) = (range.first, range.last);
            let Some(response) = response.filter(|response| response.status == 200) else {
                tracing::info!(
                    first,
                    last,
                    fence = fence.0,
                    waited_ms,
                    ?status,
                    "keys were not released"
                );
                return;
            };
            tracing::info!(first, last, fence = fence.0, waited_ms, "released keys");
            let handover = context.frontend.handover(&response);
            let released = coordinator::Event::KeysReleased {
                range,
                fence,
                handover,
            };
            context.deliver_event(released).await;
        }
    }
}

async fn send_command<Frontend>(
    command: &frontend::Command<'_>,
    instance: &server::Instance,
    context: &Context<Frontend>,
) -> Result<sequoiayoke_http1::response::Response, backend::Error>
where
    Frontend: frontend::Frontend,
{
    let call = context.frontend.encode_command(command);
    let timeout = match command {
        frontend::Command::Grant { .. } => GRANT_TIMEOUT,
        frontend::Command::Release { .. } => RELEASE_TIMEOUT,
    };
    let response = context
        .backend
        .send_command(context, instance, command, &call, timeout);
    response.await.inspect_err(|error| {
        tracing::warn!(path = call.path, %error, "a command to the backend server failed");
    })
}
