//! A member of a replicated group.

mod change;
mod election;
mod follower;
mod leader;

use std::collections::{BTreeMap, BTreeSet};
use std::mem;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sequoiayoke_model::clock;
use sequoiayoke_model::id;

use crate::config;
use crate::effect;
use crate::event;
use crate::log;
use crate::members;
use crate::message;
use crate::payload;
use crate::position;
use crate::progress;
use crate::stored;

/// A member of a replicated group.
///
/// # Examples
///
/// A group with a single member elects it and commits without other members.
///
/// ```
/// use std::time::Duration;
/// use sequoiayoke_consensus::{config, effect, event, replica, stored};
/// use sequoiayoke_model::{clock, id};
///
/// let config = config::Config::new(id::Replica(1)).with_voters([id::Replica(1)]);
/// let start = clock::Instant::from_micros(0);
/// let mut replica = replica::Replica::new(config, stored::Stored::default(), start);
/// let now = replica.next_deadline();
/// replica.step(now, event::Event::Tick);
/// assert!(replica.is_authoritative(now));
/// let effects = replica.step(now, event::Event::Propose("ticket".to_owned()));
/// assert!(matches!(effects[0], effect::Effect::Accepted(_)));
/// assert!(matches!(effects[1], effect::Effect::Persist(_)));
/// assert!(matches!(effects[2], effect::Effect::Commit(_)));
/// ```
#[derive(Debug)]
pub struct Replica<P> {
    config: config::Config,
    rng: ChaCha8Rng,
    hard: stored::Hard,
    /// Hard state in the latest `Persist` effect.
    persisted: stored::Hard,
    log: log::Log<P>,
    role: Role,
    leader: Option<id::Replica>,
    reported_role: effect::Role,
    /// Votes are refused before this time, because the authority of a leader may
    /// still depend on the latest heartbeat that this replica acknowledged.
    refuse_votes_until: clock::Instant,
    election_deadline: clock::Instant,
    incoming: Option<follower::Incoming>,
    effects: Vec<effect::Effect<P>>,
}

#[derive(Debug)]
enum Role {
    Follower,
    PreCandidate(BTreeSet<id::Replica>),
    Candidate(BTreeSet<id::Replica>),
    Leader(Leadership),
}

#[derive(Debug)]
struct Leadership {
    progress: BTreeMap<id::Replica, progress::Progress>,
    elected_at: clock::Instant,
    heartbeat_deadline: clock::Instant,
    transfer: Option<change::Transfer>,
}

impl<P> Replica<P>
where
    P: payload::Payload,
{
    /// Starts a replica from its durable state.
    ///
    /// The driver restores its state machine from `stored.snapshot` itself. The
    /// entries after the snapshot are returned in `Commit` effects again once
    /// this replica learns that they are committed.
    pub fn new(config: config::Config, stored: stored::Stored<P>, now: clock::Instant) -> Self {
        let hard = stored.hard;
        let initial = members::Members::new(
            config.voters.iter().copied(),
            config.learners.iter().copied(),
        );
        let mut replica = Self {
            rng: ChaCha8Rng::seed_from_u64(config.seed),
            hard,
            persisted: hard,
            log: log::Log::new(stored, initial),
            role: Role::Follower,
            leader: None,
            reported_role: effect::Role {
                kind: effect::Kind::Follower,
                term: hard.term,
                leader: None,
            },
            // This replica may have acknowledged a heartbeat before it restarted, and
            // the authority of the leader may still depend on that heartbeat.
            refuse_votes_until: now + config.election_min,
            election_deadline: now,
            incoming: None,
            effects: Vec::new(),
            config,
        };
        replica.reset_election_deadline(now);
        replica
    }

    /// Handles an event and returns its effects in the order in which the
    /// driver must carry them out. `now` must not decrease between calls.
    pub fn step(&mut self, now: clock::Instant, event: event::Event<P>) -> Vec<effect::Effect<P>> {
        self.check_quorum(now);
        match event {
            event::Event::Tick => self.tick(now),
            event::Event::Received { from, message } => self.receive(now, from, message),
            event::Event::Propose(payload) => self.propose(now, payload),
            event::Event::ChangeMember(change) => self.change_member(now, change),
            event::Event::Transfer => self.transfer(now),
            event::Event::Compact { index, snapshot } => self.compact(index, snapshot),
        }
        self.persist_hard_state();
        mem::take(&mut self.effects)
    }

    /// Returns the time at which the next `Tick` is due.
    pub fn next_deadline(&self) -> clock::Instant {
        match &self.role {
            Role::Leader(leadership) => {
                let transfer = leadership.transfer.as_ref().map(|t| t.deadline);
                let quorum = self.quorum_deadline(leadership);
                [transfer, quorum]
                    .into_iter()
                    .flatten()
                    .fold(leadership.heartbeat_deadline, clock::Instant::min)
            }
            _ => self.election_deadline,
        }
    }

    /// Returns the identity of this replica.
    pub fn id(&self) -> id::Replica {
        self.config.id
    }

    /// Returns the role, the term and the leader if known.
    pub fn role(&self) -> effect::Role {
        effect::Role {
            kind: match self.role {
                Role::Leader(_) => effect::Kind::Leader,
                _ => effect::Kind::Follower,
            },
            term: self.hard.term,
            leader: self.leader,
        }
    }

    /// Returns the latest membership in the log, which may be uncommitted.
    pub fn members(&self) -> &members::Members {
        self.log.members()
    }

    /// Returns whether the latest membership is not yet committed. A leader refuses another change
    /// until it is.
    pub fn has_pending_change(&self) -> bool {
        self.log.members_index() > self.log.commit()
    }

    /// Returns the index of the last entry that this replica knows to be committed.
    pub fn commit(&self) -> position::Index {
        self.log.commit()
    }

    /// Returns the position of the last entry of the log.
    pub fn last(&self) -> position::Position {
        self.log.last()
    }

    /// Returns the position of the entry at `index`, if the log still holds it.
    pub fn position_at(&self, index: position::Index) -> Option<position::Position> {
        self.log.position_at(index)
    }

    /// Returns the position of the latest snapshot.
    pub fn snapshot_position(&self) -> position::Position {
        self.log.snapshot().position
    }

    /// Returns, on the leader, the last index up to which the log of each other
    /// member is known to match its own. Empty on a follower.
    pub fn matched(&self) -> impl Iterator<Item = (id::Replica, position::Index)> + '_ {
        let progress = match &self.role {
            Role::Leader(leadership) => Some(&leadership.progress),
            _ => None,
        };
        progress
            .into_iter()
            .flatten()
            .map(|(id, progress)| (*id, progress.matched))
    }

    fn tick(&mut self, now: clock::Instant) {
        match &self.role {
            Role::Leader(_) => self.tick_leader(now),
            _ if now >= self.election_deadline => self.start_pre_vote(now),
            _ => {}
        }
    }

    fn receive(&mut self, now: clock::Instant, from: id::Replica, message: message::Message<P>) {
        let term = message.term;
        match message.body {
            message::Body::PreVote { last } => self.on_pre_vote(now, from, term, last),
            message::Body::PreVoted { granted } => self.on_pre_voted(now, from, term, granted),
            message::Body::Vote { last, transfer } => {
                self.on_vote(now, from, term, last, transfer);
            }
            message::Body::Voted { granted } => self.on_voted(now, from, term, granted),
            message::Body::Append(append) => self.on_append(now, from, term, append),
            message::Body::Appended { outcome, sent } => {
                self.on_appended(now, from, term, outcome, sent);
            }
            message::Body::Chunk(chunk) => self.on_chunk(now, from, term, chunk),
            message::Body::Received {
                position,
                offset,
                sent,
            } => self.on_received(now, from, term, position, offset, sent),
            message::Body::TimeoutNow => self.on_timeout_now(now, from, term),
        }
    }

    /// Returns whether this replica is a voter in the latest membership.
    fn is_voter(&self) -> bool {
        self.log.members().is_voter(self.config.id)
    }

    fn reset_election_deadline(&mut self, now: clock::Instant) {
        let min = self.config.election_min.as_micros() as u64;
        let max = self.config.election_max.as_micros() as u64;
        let span = self.rng.random_range(min..=max.max(min));
        self.election_deadline = now + Duration::from_micros(span);
    }

    /// Adds an effect, preceded by the hard state if that changed: a term or vote
    /// must be durable before any effect that results from it.
    fn emit(&mut self, effect: effect::Effect<P>) {
        self.persist_hard_state();
        self.effects.push(effect);
    }

    fn persist_hard_state(&mut self) {
        if self.hard != self.persisted {
            self.persisted = self.hard;
            let persist = effect::Persist::Hard(self.hard);
            self.effects.push(effect::Effect::Persist(persist));
        }
    }

    /// Reports role, term and leader if they changed.
    fn report_role(&mut self) {
        let role = self.role();
        if role != self.reported_role {
            self.reported_role = role;
            self.emit(effect::Effect::Role(role));
        }
    }

    fn send(&mut self, to: id::Replica, body: message::Body<P>) {
        self.send_in(to, self.hard.term, body);
    }

    fn send_in(&mut self, to: id::Replica, term: position::Term, body: message::Body<P>) {
        let message = message::Message { term, body };
        self.emit(effect::Effect::Send { to, message });
    }
}
