//! What a leader knows about another member.

use std::collections::VecDeque;

use sequoiayoke_model::clock;

use crate::position;
use crate::snapshot;

/// How far another member's log equals the leader's.
#[derive(Debug)]
pub(crate) struct Progress {
    /// Last entry known to be equal and synced.
    pub(crate) matched: position::Index,
    /// Next entry to send.
    pub(crate) next: position::Index,
    /// How entries are sent.
    pub(crate) mode: Mode,
    /// Latest time of sending of a message that the member acknowledged in
    /// this term.
    pub(crate) acknowledged: Option<clock::Instant>,
}

/// How entries are sent.
#[derive(Debug)]
pub(crate) enum Mode {
    /// The common entry is not known: only heartbeats are sent, and their
    /// responses find it.
    Probe,
    /// Entries are sent ahead of the responses; the last index of each
    /// message that awaits one.
    Replicate(VecDeque<position::Index>),
    /// A snapshot is being sent.
    Snapshot(Transfer),
}

/// A snapshot being sent, chunk by chunk. It holds the data itself, so that a
/// newer snapshot of the leader does not restart it.
#[derive(Debug)]
pub(crate) struct Transfer {
    /// The snapshot.
    pub(crate) snapshot: snapshot::Snapshot,
    /// Bytes that the member has confirmed.
    pub(crate) offset: u64,
    /// Time at which the chunk after `offset` was sent.
    pub(crate) sent: clock::Instant,
}

impl Progress {
    pub(crate) fn new(last: position::Index) -> Self {
        Self {
            matched: position::Index(0),
            next: last.next(),
            mode: Mode::Probe,
            acknowledged: None,
        }
    }

    /// Records the response to a message sent at `sent`.
    pub(crate) fn acknowledge(&mut self, sent: clock::Instant) {
        self.acknowledged = self.acknowledged.max(Some(sent));
    }

    /// Records that the member's log equals the leader's up to `index`.
    pub(crate) fn matches(&mut self, index: position::Index) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched.next());
        let matched = self.matched;
        match &mut self.mode {
            Mode::Probe => {
                self.next = matched.next();
                self.mode = Mode::Replicate(VecDeque::new());
            }
            Mode::Replicate(in_flight) => in_flight.retain(|last| *last > matched),
            Mode::Snapshot(transfer) => {
                if matched >= transfer.snapshot.position.index {
                    self.next = matched.next();
                    self.mode = Mode::Replicate(VecDeque::new());
                }
            }
        }
    }

    /// Returns whether a rejection of the entry at `rejected` is news, rather
    /// than the late response to a message sent before the log was repaired.
    ///
    /// A peer whose log is said to end before what it acknowledged may have lost
    /// the end of its disk. A late response may look the same; then looking for
    /// the last equal entry again costs one exchange.
    pub(crate) fn is_rejection_current(
        &self,
        rejected: position::Index,
        hint: position::Index,
    ) -> bool {
        match self.mode {
            Mode::Probe => rejected == self.next.previous(),
            Mode::Replicate(_) => rejected > self.matched || hint < self.matched,
            Mode::Snapshot(_) => false,
        }
    }
}
