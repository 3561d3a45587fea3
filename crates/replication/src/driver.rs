//! Driver that connects the replicated log to its disk and its state machine.
//!
//! Effects are carried out in order. The writes of a batch of events share a
//! single sync; all other effects of the batch wait for it.

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

/// Number of applied entries after the latest snapshot at which the log is compacted.
const COMPACT_AFTER_ENTRIES: u64 = 4_096;

/// Storage for durable state, which tests can replace.
pub trait Disk {
    /// Writes and syncs the changes in order.
    ///
    /// # Errors
    ///
    /// Returns an error if a write or sync failed; the replica must then stop.
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

/// A committed command with the output of the state machine, which may refuse it.
#[derive(Debug)]
pub struct Applied<Command, Output> {
    /// Position of the entry.
    pub position: position::Position,
    /// Command of the entry.
    pub command: Command,
    /// Effect of the command, or the reason why the state machine refused it.
    pub result: Output,
}

/// Outcome of a batch of events.
#[derive(Debug)]
pub struct Outcome<Command, Output> {
    /// Messages to send, with their receivers.
    pub messages: Vec<(id::Replica, message::Message<Bytes>)>,
    /// Commands that were applied, in order.
    pub applied: Vec<Applied<Command, Output>>,
    /// Whether a snapshot from the leader replaced the state.
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

/// A replica of the log with its disk and state machine.
#[derive(Debug)]
pub struct Driver<D, M> {
    disk: D,
    replica: replica::Replica<Bytes>,
    machine: M,
    // Effects that the next `flush` carries out.
    effects: Vec<effect::Effect<Bytes>>,
    applied: position::Index,
}

/// Reason why the replica cannot start or must stop.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The snapshot or an entry cannot be decoded.
    #[error("the {0} in the data directory cannot be decoded")]
    Decode(&'static str),
    /// A write or sync failed.
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
    /// Starts a replica from its durable state.
    ///
    /// # Errors
    ///
    /// Returns an error if the snapshot cannot be decoded.
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

    /// Passes an event to the replica. [`Driver::flush`] carries out its effects.
    pub fn step(&mut self, now: clock::Instant, event: event::Event<Bytes>) {
        let effects = self.replica.step(now, event);
        self.effects.extend(effects);
    }

    /// Proposes a command.
    ///
    /// Returns the position of the new entry, or `None` if the proposal was refused.
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
    /// Returns an error if a write failed, or if a snapshot or an entry cannot be
    /// decoded. The replica must then stop, since it no longer knows which state
    /// is durable.
    pub fn flush(
        &mut self,
        now: clock::Instant,
    ) -> Result<OutcomeOf<M>, error_stack::Report<Error>> {
        let mut outcome = Outcome::default();
        self.carry_out(&mut outcome)?;
        let uncompacted = self.applied.0 - self.replica.snapshot_position().index.0;
        if uncompacted >= COMPACT_AFTER_ENTRIES {
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
        let mut deferred = collections::VecDeque::new();
        for effect in effects {
            match effect {
                effect::Effect::Persist(persist) => writes.push(persist),
                deferred_effect => deferred.push_back(deferred_effect),
            }
        }
        if !writes.is_empty() {
            let result = self.disk.persist(&writes);
            result.map_err(|report| report.change_context(Error::Write))?;
        }
        for effect in deferred {
            match effect {
                effect::Effect::Send { to, message } => outcome.messages.push((to, message)),
                effect::Effect::Commit(entries) => self.apply(entries, outcome)?,
                effect::Effect::Install(snapshot) => {
                    self.machine = decode_machine(&snapshot.data)?;
                    self.applied = snapshot.position.index;
                    outcome.installed = true;
                }
                effect::Effect::Refused(refusal) => {
                    tracing::debug!(?refusal, "the replica refused an event");
                }
                effect::Effect::Role(role) => {
                    tracing::info!(
                        kind = ?role.kind,
                        term = %role.term,
                        "replica role, term or leader changed"
                    );
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
