//! Driver of the replicated log: disk, messages and the state machine.
//!
//! Effects are carried out in order. The writes of one batch of events share a
//! sync; messages and commits that follow a write wait for it.

use std::collections;

use bytes::Bytes;
use sequoiayoke_consensus::config;
use sequoiayoke_consensus::effect;
use sequoiayoke_consensus::entry;
use sequoiayoke_consensus::event;
use sequoiayoke_consensus::message;
use sequoiayoke_consensus::position;
use sequoiayoke_consensus::replica;
use sequoiayoke_consensus::stored;
use sequoiayoke_model::clock;
use sequoiayoke_model::id;
use sequoiayoke_model::replicated;
use sequoiayoke_storage::fault;
use sequoiayoke_storage::folder;
use sequoiayoke_storage::medium;

use crate::codec;

/// Entries after which a snapshot replaces the log.
const COMPACT_AFTER: u64 = 4_096;

/// Where durable state goes; a fake takes its place in tests.
pub trait Disk {
    /// Makes the writes durable, in order.
    ///
    /// # Errors
    ///
    /// Fails if a write or sync failed; the replica must then stop.
    fn persist(
        &mut self,
        writes: &[effect::Persist<Bytes>],
    ) -> Result<(), error_stack::Report<fault::Fault>>;
}

impl Disk for folder::Folder<medium::Disk> {
    fn persist(
        &mut self,
        writes: &[effect::Persist<Bytes>],
    ) -> Result<(), error_stack::Report<fault::Fault>> {
        folder::Folder::persist(self, writes)
    }
}

/// A command that took effect or was refused at its place in the log.
#[derive(Debug)]
pub struct Applied<Command, Output> {
    /// Where the entry stands.
    pub position: position::Position,
    /// The command.
    pub command: Command,
    /// What it did.
    pub result: Output,
}

/// What a batch of events led to.
#[derive(Debug)]
pub struct Outcome<Command, Output> {
    /// Messages to send.
    pub messages: Vec<(id::Replica, message::Message<Bytes>)>,
    /// Commands that were applied, in order.
    pub applied: Vec<Applied<Command, Output>>,
    /// Whether a snapshot replaced the state.
    pub installed: bool,
}

impl<Command, Output> Default for Outcome<Command, Output> {
    fn default() -> Self {
        Self {
            messages: Vec::new(),
            applied: Vec::new(),
            installed: false,
        }
    }
}

type OutcomeOf<M> =
    Outcome<<M as replicated::Replicated>::Command, <M as replicated::Replicated>::Output>;

/// The replicated log and its state machine.
#[derive(Debug)]
pub struct Driver<D, M> {
    disk: D,
    replica: replica::Replica<Bytes>,
    machine: M,
    // Effects of the present batch that have not been carried out.
    effects: Vec<effect::Effect<Bytes>>,
    applied: position::Index,
}

/// The stored state cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The snapshot or an entry cannot be decoded.
    #[error("the {0} in the data directory cannot be decoded")]
    Decode(&'static str),
    /// A write failed.
    #[error("the data directory cannot be written")]
    Write,
}

impl<D, M> Driver<D, M>
where
    D: Disk,
    M: replicated::Replicated,
    M::Command: serde::Serialize + serde::de::DeserializeOwned,
    M::Snapshot: serde::Serialize + serde::de::DeserializeOwned,
{
    /// Starts from the durable state.
    ///
    /// # Errors
    ///
    /// Fails if the snapshot cannot be decoded.
    pub fn new(
        disk: D,
        config: config::Config,
        stored: stored::Stored<Bytes>,
        now: clock::Instant,
    ) -> Result<Self, error_stack::Report<Error>> {
        let machine = decode_machine(&stored.snapshot.data)?;
        let applied = stored.snapshot.position.index;
        Ok(Self {
            disk,
            replica: replica::Replica::new(config, stored, now),
            machine,
            effects: Vec::new(),
            applied,
        })
    }

    /// Returns the state machine.
    pub const fn machine(&self) -> &M {
        &self.machine
    }

    /// Returns the replica.
    pub const fn replica(&self) -> &replica::Replica<Bytes> {
        &self.replica
    }

    /// Hands an event to the replica; its effects wait for [`Driver::flush`].
    pub fn step(&mut self, now: clock::Instant, event: event::Event<Bytes>) {
        let effects = self.replica.step(now, event);
        self.effects.extend(effects);
    }

    /// Proposes a command.
    ///
    /// Returns where the entry will stand, or `None` if it was not accepted.
    pub fn propose(
        &mut self,
        now: clock::Instant,
        command: &M::Command,
    ) -> Option<position::Position> {
        let payload = codec::encode(command);
        let effects = self.replica.step(now, event::Event::Propose(payload));
        let accepted = effects.iter().find_map(|effect| match effect {
            effect::Effect::Accepted(position) => Some(*position),
            _ => None,
        });
        self.effects.extend(effects);
        accepted
    }

    /// Carries out the effects of the events since the last call.
    ///
    /// # Errors
    ///
    /// Fails if a write failed or an entry cannot be decoded; the replica has to
    /// stop then, since it no longer knows what is durable.
    pub fn flush(
        &mut self,
        now: clock::Instant,
    ) -> Result<OutcomeOf<M>, error_stack::Report<Error>> {
        let mut outcome = Outcome::default();
        self.carry_out(&mut outcome)?;
        let behind = self.applied.0 - self.replica.snapshot_position().index.0;
        if behind >= COMPACT_AFTER {
            let snapshot = codec::encode(&self.machine.to_snapshot());
            let index = self.applied;
            self.step(now, event::Event::Compact { index, snapshot });
            self.carry_out(&mut outcome)?;
        }
        Ok(outcome)
    }

    fn carry_out(&mut self, outcome: &mut OutcomeOf<M>) -> Result<(), error_stack::Report<Error>> {
        let effects = std::mem::take(&mut self.effects);
        let mut writes = Vec::new();
        let mut rest = collections::VecDeque::new();
        for effect in effects {
            match effect {
                effect::Effect::Persist(persist) => writes.push(persist),
                other => rest.push_back(other),
            }
        }
        if !writes.is_empty() {
            let written = self.disk.persist(&writes);
            written.map_err(|report| report.change_context(Error::Write))?;
        }
        for effect in rest {
            match effect {
                effect::Effect::Send { to, message } => outcome.messages.push((to, message)),
                effect::Effect::Commit(entries) => self.apply(entries, outcome)?,
                effect::Effect::Install(snapshot) => {
                    self.machine = decode_machine(&snapshot.data)?;
                    self.applied = snapshot.position.index;
                    outcome.installed = true;
                }
                effect::Effect::Refused(refusal) => {
                    tracing::debug!(?refusal, "the replicated log refused an event");
                }
                effect::Effect::Role(role) => {
                    tracing::info!(kind = ?role.kind, term = %role.term, "role has changed");
                }
                effect::Effect::Accepted(_) | effect::Effect::Persist(_) => {}
            }
        }
        Ok(())
    }

    fn apply(
        &mut self,
        entries: Vec<entry::Entry<Bytes>>,
        outcome: &mut OutcomeOf<M>,
    ) -> Result<(), error_stack::Report<Error>> {
        for entry in entries {
            self.applied = entry.position.index;
            let entry::Content::Payload(payload) = entry.content else {
                continue;
            };
            let command: M::Command = codec::decode(&payload).ok_or(Error::Decode("log entry"))?;
            let result = self.machine.apply(entry.position.index.0, &command);
            outcome.applied.push(Applied {
                position: entry.position,
                command,
                result,
            });
        }
        Ok(())
    }
}

fn decode_machine<M>(data: &Bytes) -> Result<M, Error>
where
    M: replicated::Replicated,
    M::Snapshot: serde::de::DeserializeOwned,
{
    if data.is_empty() {
        return Ok(M::new());
    }
    let snapshot = codec::decode(data).ok_or(Error::Decode("snapshot"))?;
    Ok(M::with_snapshot(snapshot))
}
