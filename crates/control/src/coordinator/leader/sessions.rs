//! Sessions with nodes.

use bytes::Bytes;
use sequoiayoke_lease::registry;
use sequoiayoke_model::clock;
use sequoiayoke_model::id;
use sequoiayoke_state::command;
use sequoiayoke_state::machine;
use sequoiayoke_state::member;
use sequoiayoke_wire::convert;
use sequoiayoke_wire::session;
use tokio::sync::mpsc;

use super::{Leader, Node, Waiter};
use crate::coordinator::event;

/// Most sessions: 5,600 nodes, and as many that reconnect at the same time.
const MAX_SESSIONS: usize = 12_288;

impl Leader {
    /// Opens a session for a node that has connected; `None` if there are too many sessions.
    pub fn node_up(&mut self, outgoing: mpsc::Sender<Bytes>) -> Option<event::Session> {
        if self.sessions.len() >= MAX_SESSIONS {
            return None;
        }
        Some(self.sessions.insert(Node {
            outgoing,
            member: None,
            sent: id::Version(0),
            hello_version: id::Version(0),
        }))
    }

    /// Closes the session of a node that has disconnected.
    pub fn node_down(&mut self, key: event::Session) {
        self.close(key);
    }

    /// Handles a frame from a node; `now` is a time at which this leader is known to lead.
    pub fn node_frame(
        &mut self,
        now: clock::Instant,
        machine: &machine::Machine,
        key: event::Session,
        frame: session::FromNode,
    ) {
        if !self.sessions.contains_key(key) {
            return;
        }
        match frame.body {
            Some(session::NodeBody::Hello(hello)) => self.hello(now, machine, key, hello),
            Some(session::NodeBody::Renew(renew)) => self.renew(now, machine, key, &renew),
            Some(session::NodeBody::Released(released)) => {
                if let Some(member) = self.member_of(key) {
                    self.released(now, machine, member, released);
                }
            }
            Some(session::NodeBody::Leaving(_)) => self.leave(key),
            None => self.close(key),
        }
    }

    fn member_of(&self, key: event::Session) -> Option<registry::Member> {
        self.sessions.get(key)?.member
    }

    fn hello(
        &mut self,
        now: clock::Instant,
        machine: &machine::Machine,
        key: event::Session,
        hello: session::Hello,
    ) {
        if hello.region != self.config.region {
            let reason = format!("this is region {}", self.config.region);
            return self.refuse(key, reason, false);
        }
        let announcement = hello.announcement.map(convert::decode_announcement);
        let Some(Ok(announcement)) = announcement else {
            return self.refuse(key, "the announcement is malformed".to_owned(), false);
        };
        if let Some(node) = self.sessions.get_mut(key) {
            node.hello_version = id::Version(hello.version);
        }
        let known = machine.server_named(&announcement.name);
        let run = known.and_then(|(id, server)| Some((id, server.run.as_ref()?)));
        match run {
            Some((id, run)) if run.announcement.nonce == announcement.nonce => {
                let member = registry::Member::new(id, run.incarnation);
                match self.leases.is_live(now, member) {
                    true => self.welcome(machine, key, member),
                    false => self.refuse(key, "the lease has ended".to_owned(), true),
                }
            }
            Some((id, run)) if self.is_held(now, id, run) => {
                let reason = format!("another run of {} holds a lease", announcement.name);
                self.refuse(key, reason, true);
            }
            _ => self.propose_for(command::Command::Join(announcement), Waiter::Join(key)),
        }
    }

    /// Returns whether an earlier run may still act as an owner.
    fn is_held(&self, now: clock::Instant, server: id::Server, run: &member::Run) -> bool {
        let member = registry::Member::new(server, run.incarnation);
        self.leases.is_live(now, member)
    }

    fn refuse(&mut self, key: event::Session, reason: String, rejoin: bool) {
        tracing::info!(reason, "the session of a node was refused");
        self.send(key, session::Refused { reason, rejoin });
        self.close(key);
    }

    fn welcome(
        &mut self,
        machine: &machine::Machine,
        key: event::Session,
        member: registry::Member,
    ) {
        let Some(node) = self.sessions.get_mut(key) else {
            return;
        };
        node.member = Some(member);
        // A node with a higher version followed a log that this leader does not have, so it gets
        // a snapshot.
        node.sent = match node.hello_version <= machine.view().version() {
            true => node.hello_version,
            false => id::Version(0),
        };
        if let Some(former) = self
            .members
            .insert(member, key)
            .filter(|former| *former != key)
        {
            self.sessions.remove(former);
        }
        self.unpublished = true;
        self.send(
            key,
            session::Welcome {
                server: member.server.0,
                incarnation: member.incarnation.0,
            },
        );
        self.note_server(machine, member.server);
        self.retry_releases(member);
    }

    fn renew(
        &mut self,
        now: clock::Instant,
        machine: &machine::Machine,
        key: event::Session,
        renew: &session::Renew,
    ) {
        let Some(member) = self.member_of(key) else {
            return;
        };
        let version = id::Version(renew.version);
        match self.leases.renew(now, member, version) {
            Ok(()) => {
                self.renewals.record(now, member, version);
                self.note_report(machine, member, renew);
                let version = machine.view().version().0;
                let sequence = renew.sequence;
                self.send(key, session::Renewed { sequence, version });
            }
            Err(refusal) => {
                tracing::warn!(server = %member.server, ?refusal, "a renewal was refused");
                self.refuse(key, "the lease has ended".to_owned(), true);
            }
        }
    }

    fn leave(&mut self, key: event::Session) {
        if let Some(member) = self.member_of(key) {
            self.leases.release(member);
            self.renewals.remove(member);
            self.close(key);
        }
    }

    /// Sends the result of an applied command to its recipient.
    pub(super) fn answer(
        &mut self,
        now: clock::Instant,
        machine: &machine::Machine,
        waiter: Waiter,
        applied: &super::Applied,
    ) {
        match waiter {
            Waiter::Nobody => {}
            Waiter::Join(key) => match applied.result.as_ref().map(|done| done.joined) {
                Ok(Some((server, incarnation))) => {
                    let member = registry::Member::new(server, incarnation);
                    self.welcome(machine, key, member);
                }
                _ => self.refuse(key, "the node could not join".to_owned(), true),
            },
            Waiter::Ticket(number, reply) => self.answer_ticket(now, number, reply, applied),
        }
    }
}
