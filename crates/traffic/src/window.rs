//! At most one run per request id.
//!
//! The owner of a slice keeps a [`Window`] of the ids that ran. The window relies
//! on three facts: epochs only grow; an id carries the epoch that its issuing
//! node saw for the key's slice, so an id of a later grant cannot have run under
//! an earlier one; and one owner at a time runs requests for the slice.
//!
//! A verdict speaks about this sending of the id. A caller whose earlier sending
//! ended as "unknown" still does not know, even if a resend was not run.

mod record;

pub use record::{Answer, End, Export, Limits, Record, Refusal, State, Verdict};

use std::collections;

use sequoiayoke_model::{id, key, outcome, request};

#[derive(Clone, Debug)]
struct Entry {
    hash: key::Hash,
    phase: Phase,
}

#[derive(Clone, Debug)]
enum Phase {
    Running,
    Ended(State),
}

/// The ids that ran on one slice under its present grant and earlier ones.
///
/// # Examples
///
/// ```
/// use sequoiayoke_model::{id, key, request};
/// use sequoiayoke_traffic::window;
///
/// let mut seen = window::Window::new(id::Epoch(5), window::Limits::default());
/// let request = request::Id::new(id::Epoch(5), 1_000, 42);
/// let hash = key::Hash(7);
/// assert_eq!(seen.begin(request, hash), window::Verdict::Run);
/// assert_eq!(seen.begin(request, hash), window::Verdict::Running);
/// let answer = window::Answer { status: 200, headers: vec![], body: b"done".to_vec() };
/// seen.finish(request, window::End::Answered(Some(answer.clone())));
/// assert_eq!(seen.begin(request, hash), window::Verdict::Replay(&answer));
/// ```
#[derive(Clone, Debug)]
pub struct Window {
    limits: Limits,
    // Epoch of the present grant.
    epoch: id::Epoch,
    // Every id of this epoch or a later one that ran is in `entries`, unless its
    // time of issue is at or below `floor`.
    since: id::Epoch,
    // Largest time of issue ever evicted.
    floor: Option<u64>,
    // Ordered by time of issue, since `request::Id` compares it first.
    entries: collections::BTreeMap<request::Id, Entry>,
    // Ids whose answer is kept, and the size of all these answers.
    kept: collections::BTreeSet<request::Id>,
    kept_bytes: usize,
}

impl Window {
    /// Makes the window of a grant about whose past nothing is known.
    pub fn new(epoch: id::Epoch, limits: Limits) -> Self {
        Self {
            limits,
            epoch,
            since: epoch,
            floor: None,
            entries: collections::BTreeMap::new(),
            kept: collections::BTreeSet::new(),
            kept_bytes: 0,
        }
    }

    /// Decides about a sending of `id`; on [`Verdict::Run`] the id is recorded as
    /// running and exactly one call of [`Window::finish`] must follow.
    pub fn begin(&mut self, id: request::Id, hash: key::Hash) -> Verdict<'_> {
        if self.entries.contains_key(&id) {
            return self.recall(id, hash);
        }
        if id.epoch() > self.epoch {
            return Verdict::FutureEpoch;
        }
        if id.epoch() < self.since || self.floor.is_some_and(|floor| id.issued_ms() <= floor) {
            return Verdict::TooOld;
        }
        if !self.make_room() {
            return Verdict::Full;
        }
        let phase = Phase::Running;
        self.entries.insert(id, Entry { hash, phase });
        Verdict::Run
    }

    fn recall(&self, id: request::Id, hash: key::Hash) -> Verdict<'_> {
        let entry = &self.entries[&id];
        match &entry.phase {
            // The answer belongs to whoever may read the key of the first sending.
            _ if entry.hash != hash => Verdict::OtherKey,
            Phase::Running => Verdict::Running,
            Phase::Ended(State::Answered(Some(answer))) => Verdict::Replay(answer),
            Phase::Ended(State::Answered(None)) => Verdict::AnswerNotKept,
            Phase::Ended(State::Unknown(reason)) => Verdict::Unknown(*reason),
        }
    }

    /// Records how a run ended, in the window that holds its key by now: a split
    /// or a merge may have happened since [`Window::begin`].
    ///
    /// An id that did not run is forgotten, so that a resend can run. Only a
    /// running entry is changed, but for a late answer to an unknown outcome.
    pub fn finish(&mut self, id: request::Id, end: End) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        let state = match (&entry.phase, end) {
            (Phase::Running, End::NotRun) => {
                self.entries.remove(&id);
                return;
            }
            (Phase::Running, End::Unknown(reason)) => State::Unknown(reason),
            (Phase::Running | Phase::Ended(State::Unknown(_)), End::Answered(answer)) => {
                State::Answered(answer.filter(|answer| answer.size() <= record::ANSWER_MAX))
            }
            (Phase::Ended(_), _) => return,
        };
        let size = state.answer().map(Answer::size);
        entry.phase = Phase::Ended(state);
        if let Some(size) = size {
            self.kept.insert(id);
            self.kept_bytes += size;
            self.trim_answers();
        }
    }

    /// Cuts the window at `at` and returns the part for the positions from there on.
    pub fn split(&mut self, at: key::Hash) -> Self {
        let mut upper = Self {
            since: self.since,
            floor: self.floor,
            ..Self::new(self.epoch, self.limits)
        };
        let (above, below) = std::mem::take(&mut self.entries)
            .into_iter()
            .partition(|(_, entry)| entry.hash >= at);
        self.entries = below;
        upper.entries = above;
        self.recount();
        upper.recount();
        upper
    }

    /// Joins the window of the neighbouring slice to this one.
    pub fn merge(&mut self, other: Self) {
        self.epoch = self.epoch.max(other.epoch);
        // The joint record is complete only where both are.
        self.since = self.since.max(other.since);
        self.floor = self.floor.max(other.floor);
        self.entries.extend(other.entries);
        self.recount();
        while self.entries.len() > self.limits.entries && self.evict() {}
        self.trim_answers();
    }

    /// Continues the record under a later epoch of the same holder, after a merge of slices.
    pub fn advance(&mut self, epoch: id::Epoch) {
        self.epoch = self.epoch.max(epoch);
    }

    /// Ends the window for a planned move.
    ///
    /// It consumes the window, since an id that ran here after the export would
    /// be unknown to the next owner. What still runs counts as unknown there.
    pub fn export(self) -> Export {
        let records = self.entries.into_iter().map(|(id, entry)| Record {
            id,
            hash: entry.hash,
            state: match entry.phase {
                Phase::Running => State::Unknown(outcome::Reason::Draining),
                Phase::Ended(state) => state,
            },
        });
        Export {
            epoch: self.epoch,
            since: self.since,
            floor: self.floor,
            records: records.collect(),
        }
    }

    /// Continues an exported window under the grant `epoch`.
    ///
    /// # Errors
    ///
    /// Fails if the export does not come from an earlier grant, or contradicts
    /// itself; the new owner then starts with [`Window::new`].
    pub fn import(export: Export, epoch: id::Epoch, limits: Limits) -> Result<Self, Refusal> {
        if export.epoch >= epoch {
            return Err(Refusal::NotEarlier);
        }
        if export.since > export.epoch {
            return Err(Refusal::Malformed);
        }
        let mut window = Self {
            since: export.since,
            floor: export.floor,
            ..Self::new(epoch, limits)
        };
        for record in export.records {
            let (hash, phase) = (record.hash, Phase::Ended(record.state));
            window.entries.insert(record.id, Entry { hash, phase });
        }
        window.recount();
        while window.entries.len() > limits.entries && window.evict() {}
        window.trim_answers();
        Ok(window)
    }

    /// Returns the epoch of the present grant.
    pub const fn epoch(&self) -> id::Epoch {
        self.epoch
    }

    /// Returns the epoch from which the record is complete.
    pub const fn since(&self) -> id::Epoch {
        self.since
    }

    /// Returns the largest time of issue ever evicted, in milliseconds.
    pub const fn floor(&self) -> Option<u64> {
        self.floor
    }

    /// Returns the number of ids in the window.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether the window holds no id.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the size of the answers that are kept, in bytes.
    pub const fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    /// Iterates over the ids that run now.
    pub fn running(&self) -> impl Iterator<Item = request::Id> {
        let running = |entry: &Entry| matches!(entry.phase, Phase::Running);
        let entries = self.entries.iter();
        entries.filter_map(move |(id, entry)| running(entry).then_some(*id))
    }

    fn make_room(&mut self) -> bool {
        self.entries.len() < self.limits.entries || self.evict()
    }

    /// Evicts the ended entry with the smallest time of issue; `false` if all run.
    ///
    /// A running entry stays. The floor would keep a resend from running again, but
    /// the caller would get "unknown" instead of the answer, and what runs would
    /// no longer be bounded by the size of the window.
    fn evict(&mut self) -> bool {
        let mut entries = self.entries.iter();
        let oldest = entries.find(|(_, entry)| !matches!(entry.phase, Phase::Running));
        let Some((&id, _)) = oldest else {
            return false;
        };
        self.forget_answer(id);
        self.entries.remove(&id);
        self.floor = self.floor.max(Some(id.issued_ms()));
        true
    }

    /// Drops the answers with the smallest time of issue until the rest fits.
    fn trim_answers(&mut self) {
        while self.kept_bytes > self.limits.answer_bytes {
            match self.kept.first().copied() {
                Some(id) => self.forget_answer(id),
                None => break,
            }
        }
    }

    fn forget_answer(&mut self, id: request::Id) {
        if !self.kept.remove(&id) {
            return;
        }
        if let Some(entry) = self.entries.get_mut(&id)
            && let Phase::Ended(State::Answered(answer)) = &mut entry.phase
        {
            let size = answer.take().map_or(0, |answer| answer.size());
            self.kept_bytes -= size;
        }
    }

    fn recount(&mut self) {
        self.kept.clear();
        self.kept_bytes = 0;
        for (id, entry) in &self.entries {
            if let Phase::Ended(State::Answered(Some(answer))) = &entry.phase {
                self.kept.insert(*id);
                self.kept_bytes += answer.size();
            }
        }
    }
}
