//! Replication progress of a member, as seen by the leader.

use std::collections::VecDeque;

use sequoiayoke_model::clock;

use crate::position;
use crate::snapshot;

/// Replication progress of another member.
#[derive(Debug)]
pub(crate) struct Progress {
    /// Last index up to which the log is known to match the leader's and to be synced.
    pub(crate) matched: position::Index,
    /// Index of the next entry to send.
    pub(crate) next: position::Index,
    /// How entries are sent.
    pub(crate) mode: Mode,
    /// Latest send time of a message that the member acknowledged in this term.
    pub(crate) last_acknowledged: Option<clock::Instant>,
}

/// How entries are sent.
#[derive(Debug)]
pub(crate) enum Mode {
    /// The last matching entry is unknown: only heartbeats are sent, and their
    /// responses determine it.
    Probe,
    /// Entries are sent without waiting for responses. Holds the last index of
    /// each message that awaits a response.
    Replicate(VecDeque<position::Index>),
    /// A snapshot is being sent.
    Snapshot(Transfer),
}

/// A snapshot that is being sent in chunks. It holds its own data, so that the
/// transfer does not restart when the leader takes a newer snapshot.
#[derive(Debug)]
pub(crate) struct Transfer {
    /// Snapshot to send.
    pub(crate) snapshot: snapshot::Snapshot,
    /// Number of bytes that the member has acknowledged.
    pub(crate) offset: u64,
    /// Time at which the chunk at `offset` was sent.
    pub(crate) sent: clock::Instant,
}

impl Progress {
    pub(crate) fn new(last: position::Index) -> Self {
        Self {
            matched: position::Index(0),
            next: last.next(),
            mode: Mode::Probe,
            last_acknowledged: None,
        }
    }

    /// Records the response to a message sent at `sent`.
    pub(crate) fn acknowledge(&mut self, sent: clock::Instant) {
        self.last_acknowledged = self.last_acknowledged.max(Some(sent));
    }

    /// Records that the member's log matches the leader's up to `index`.
    pub(crate) fn advance_matched(&mut self, index: position::Index) {
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

    /// Returns whether a rejection of the entry at `rejected` is current, rather
    /// than a late response to a message sent before the leader backtracked.
    ///
    /// A hint before `matched` can mean that the peer lost the end of its log on
    /// disk. A late response may look the same; probing again for the last
    /// matching entry then costs one round trip.
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
