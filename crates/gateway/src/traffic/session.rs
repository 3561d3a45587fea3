//! The session with the leader, and what the control thread orders.

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

use super::{Context, peers};
use crate::coordinator::{self, state};
use crate::frontend;

/// Time to open a connection.
const CONNECT: Duration = Duration::from_millis(400);
/// Pause before the next replica is tried.
const PAUSE: Duration = Duration::from_millis(150);
/// Time without a message of the leader after which another one is looked for,
/// two renewals and what their acknowledgements take.
const SILENCE: Duration = Duration::from_millis(1_300);
/// Time in which a replica says where the leader is. A frozen one still accepts
/// connections.
const FIRST_WORD: Duration = Duration::from_millis(400);
/// Time for the answer to a grant, which the backend server gives at once.
const GRANT: Duration = Duration::from_millis(500);
/// Time for the answer to a release, which waits for the work on the keys.
const RELEASE: Duration = Duration::from_millis(1_500);
/// Longest time after which a backend server may still take a grant that it has
/// not answered; 12 s are known.
const LATE: Duration = Duration::from_secs(15);
/// Addresses of replicas that are remembered.
const MAX_REPLICAS: usize = 32;

type Codec = codec::Codec<session::FromNode, session::FromControl>;

/// Where the leader may be.
struct Replicas {
    seeds: Vec<net::SocketAddr>,
    known: collections::VecDeque<net::SocketAddr>,
    leader: Option<net::SocketAddr>,
    last: Option<net::SocketAddr>,
    next: usize,
}

impl Replicas {
    /// Returns the replica to try next: the leader once, then all in turn but for
    /// the one that was tried last.
    fn next(&mut self) -> Option<net::SocketAddr> {
        let next = match self.leader.take() {
            Some(leader) if self.last != Some(leader) => Some(leader),
            _ => self.next_in_turn(),
        };
        self.last = next;
        next
    }

    fn next_in_turn(&mut self) -> Option<net::SocketAddr> {
        let mut all: Vec<_> = self.known.iter().copied().collect();
        all.extend(self.seeds.iter().filter(|seed| !self.known.contains(seed)));
        if all.len() > 1 {
            all.retain(|address| self.last != Some(*address));
        }
        self.next += 1;
        all.get(self.next % all.len().max(1)).copied()
    }
}

/// Keeps a session and carries out orders.
pub(super) async fn run<Frontend>(
    mut orders: mpsc::Receiver<coordinator::Command>,
    context: rc::Rc<Context<Frontend>>,
) where
    Frontend: frontend::Frontend,
{
    let seeds = context.reloads.borrow().replicas.clone();
    let mut replicas = Replicas {
        next: usize::from(context.settings.peers.port()) + seeds.len(),
        seeds,
        known: collections::VecDeque::new(),
        leader: None,
        last: None,
    };
    loop {
        replicas
            .seeds
            .clone_from(&context.reloads.borrow().replicas);
        let Some(address) = replicas.next() else {
            tracing::error!("the settings name no control replica");
            idle(&mut orders, &mut replicas, &context).await;
            continue;
        };
        match one_session(address, &mut replicas, &mut orders, &context).await {
            Ok(()) => {}
            Err(error) => tracing::debug!(%address, %error, "no session with a replica"),
        }
        // A known leader is tried at once.
        if replicas.leader.is_none() {
            idle(&mut orders, &mut replicas, &context).await;
        }
    }
}

/// Carries out orders during the pause between two attempts.
async fn idle<Frontend>(
    orders: &mut mpsc::Receiver<coordinator::Command>,
    replicas: &mut Replicas,
    context: &rc::Rc<Context<Frontend>>,
) where
    Frontend: frontend::Frontend,
{
    let until = tokio::time::Instant::now() + PAUSE;
    while let Ok(Some(order)) = tokio::time::timeout_at(until, orders.recv()).await {
        carry_out(order, replicas, context);
    }
}

async fn one_session<Frontend>(
    address: net::SocketAddr,
    replicas: &mut Replicas,
    orders: &mut mpsc::Receiver<coordinator::Command>,
    context: &rc::Rc<Context<Frontend>>,
) -> io::Result<()>
where
    Frontend: frontend::Frontend,
{
    let io = tokio::time::timeout(CONNECT, TcpStream::connect(address)).await??;
    peers::prepare(&io)?;
    let mut frames = Framed::new(io, Codec::new());
    context.tell(coordinator::Event::Connected);
    let mut is_leader = false;
    let mut until = tokio::time::Instant::now() + FIRST_WORD;
    loop {
        tokio::select! {
            order = orders.recv() => match order {
                Some(coordinator::Command::Effect(state::Effect::Renew(renewal))) => {
                    frames.send(&session::FromNode::Renew(renewal)).await?;
                }
                Some(order) => {
                    let redirects = matches!(order, coordinator::Command::Redirect(_));
                    carry_out(order, replicas, context);
                    if redirects {
                        return Ok(());
                    }
                }
                None => return Ok(()),
            },
            frame = frames.next() => {
                until = tokio::time::Instant::now() + SILENCE;
                let Some(frame) = frame else {
                    if is_leader {
                        tracing::warn!(%address, "the leader has ended the session");
                    }
                    return Ok(());
                };
                let message = frame?;
                if !is_leader && matches!(message, session::FromControl::State(_)) {
                    is_leader = true;
                    tracing::info!(%address, "in session with the leader");
                }
                let event = coordinator::Event::Control(message);
                context.events.send(event).await.map_err(io::Error::other)?;
            }
            () = tokio::time::sleep_until(until) => {
                tracing::warn!(%address, is_leader, "a control replica is silent, ending the session");
                return Ok(());
            }
        }
    }
}

fn carry_out<Frontend>(
    order: coordinator::Command,
    replicas: &mut Replicas,
    context: &rc::Rc<Context<Frontend>>,
) where
    Frontend: frontend::Frontend,
{
    match order {
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
            task::spawn_local(async move { command(effect, &context).await });
        }
    }
}

/// Sends a command to the backend server.
async fn command<Frontend>(effect: state::Effect, context: &Context<Frontend>)
where
    Frontend: frontend::Frontend,
{
    match effect {
        // A renewal without a session is worth nothing: the next session begins with one.
        state::Effect::Renew(_) | state::Effect::Identify(_) => {}
        state::Effect::Grant {
            instance,
            range,
            fence,
            hold,
            at,
            handover,
        } => {
            let order = frontend::Command::Grant {
                range,
                fence,
                hold,
                handover: handover.as_deref(),
            };
            let status = send(&order, &instance, context).await.map(|one| one.status);
            match status {
                Some(200) => context.tell(coordinator::Event::Granted {
                    range,
                    fence,
                    until: at + hold,
                }),
                Some(409) => context.tell(coordinator::Event::Refused { range, fence }),
                _ => {}
            }
            let is_lost = status.is_none();
            context.tell(coordinator::Event::Settled {
                range,
                fence,
                unanswered_until: is_lost.then(|| clock::Instant::now() + LATE),
            });
            let (first, last) = (range.first, range.last);
            let hold_ms = hold.as_millis() as u64;
            tracing::debug!(
                first,
                last,
                fence = fence.0,
                hold_ms,
                ?status,
                "granted keys"
            );
        }
        state::Effect::Release {
            instance,
            service: _,
            range,
            fence,
        } => {
            let start = clock::Instant::now();
            let order = frontend::Command::Release { range, fence };
            let response = send(&order, &instance, context).await;
            let waited_ms = clock::Instant::now().saturating_since(start).as_millis() as u64;
            let status = response.as_ref().map(|one| one.status);
            let (first, last) = (range.first, range.last);
            tracing::info!(
                first,
                last,
                fence = fence.0,
                waited_ms,
                ?status,
                "released keys"
            );
            if let Some(response) = response.filter(|one| one.status == 200) {
                let handover = context.frontend.handover(&response);
                context.tell(coordinator::Event::Released {
                    range,
                    fence,
                    handover,
                });
            }
        }
    }
}

async fn send<Frontend>(
    command: &frontend::Command<'_>,
    instance: &server::Instance,
    context: &Context<Frontend>,
) -> Option<sequoiayoke_http1::response::Response>
where
    Frontend: frontend::Frontend,
{
    let order = context.frontend.encode_command(command);
    let limit = match command {
        frontend::Command::Grant { .. } => GRANT,
        frontend::Command::Release { .. } => RELEASE,
    };
    let sent = context.backend.command(context, instance, &order, limit);
    match sent.await {
        Ok(response) => Some(response),
        Err(error) => {
            tracing::warn!(path = order.path, %error, "a command got no answer");
            None
        }
    }
}
