//! Record of request ids, which ensures at most one run per id.
//!
//! The owner of a slice keeps a [`Window`] of the ids that ran. The window relies
//! on three facts: epochs only grow; an id carries the epoch that its issuing
//! node saw for the key's slice, so an id of a later grant cannot have run under
//! an earlier one; and one owner at a time runs requests for the slice.
//!
//! A verdict applies to one attempt only. If an earlier attempt ended as "unknown",
//! its outcome stays unknown to the caller, even if a retry was not run.

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

/// The ids that ran on one slice under its current grant and earlier ones.
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
    // Epoch of the current grant.
    epoch: id::Epoch,
    // Every id of this epoch or a later one that ran is in `entries`, unless its
    // time of issue is at or below `floor`.
    since: id::Epoch,
    // Largest time of issue ever evicted.
    floor: Option<u64>,
    // Ordered by time of issue, since `request::Id` compares it first.
    entries: collections::BTreeMap<request::Id, Entry>,
    // Ids whose answer is kept, and the total size of these answers in bytes.
    kept_ids: collections::BTreeSet<request::Id>,
    kept_bytes: usize,
}

impl Window {
    /// Creates the window of a grant whose past is unknown; ids of earlier epochs are too old.
    pub fn new(epoch: id::Epoch, limits: Limits) -> Self {
        Self {
            limits,
            epoch,
            since: epoch,
            floor: None,
            entries: collections::BTreeMap::new(),
            kept_ids: collections::BTreeSet::new(),
            kept_bytes: 0,
        }
    }

    /// Decides about an attempt with `id`.
    ///
    /// On [`Verdict::Run`] the id is recorded as running, and exactly one call of
    /// [`Window::finish`] must follow.
    pub fn begin(&mut self, id: request::Id, hash: key::Hash) -> Verdict<'_> {
        if self.entries.contains_key(&id) {
            return self.look_up(id, hash);
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

    fn look_up(&self, id: request::Id, hash: key::Hash) -> Verdict<'_> {
        let entry = &self.entries[&id];
        match &entry.phase {
            // Only callers that may read the key of the first attempt may read the answer.
            _ if entry.hash != hash => Verdict::OtherKey,
            Phase::Running => Verdict::Running,
            Phase::Ended(State::Answered(Some(answer))) => Verdict::Replay(answer),
            Phase::Ended(State::Answered(None)) => Verdict::AnswerNotKept,
            Phase::Ended(State::Unknown(reason)) => Verdict::Unknown(*reason),
        }
    }

    /// Records how a run ended.
    ///
    /// Call it on the window that holds the key now, which a split or a merge may have
    /// changed since [`Window::begin`]. An id that did not run is removed, so that a
    /// retry can run. Only a running entry is changed, except that a late answer
    /// replaces an unknown outcome.
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
            self.kept_ids.insert(id);
            self.kept_bytes += size;
            self.trim_answers();
        }
    }

    /// Splits the window at `boundary` and returns the part for the positions from there on.
    pub fn split(&mut self, boundary: key::Hash) -> Self {
        let mut upper = Self {
            since: self.since,
            floor: self.floor,
            ..Self::new(self.epoch, self.limits)
        };
        let (above, below) = std::mem::take(&mut self.entries)
            .into_iter()
            .partition(|(_, entry)| entry.hash >= boundary);
        self.entries = below;
        upper.entries = above;
        self.reindex_answers();
        upper.reindex_answers();
        upper
    }

    /// Merges the window of the neighbouring slice into this one.
    pub fn merge(&mut self, neighbour: Self) {
        self.epoch = self.epoch.max(neighbour.epoch);
        // The merged record is complete only where both are.
        self.since = self.since.max(neighbour.since);
        self.floor = self.floor.max(neighbour.floor);
        self.entries.extend(neighbour.entries);
        self.reindex_answers();
        while self.entries.len() > self.limits.entries && self.evict() {}
        self.trim_answers();
    }

    /// Continues the record under a later epoch of the same holder, after a merge of slices.
    pub fn advance(&mut self, epoch: id::Epoch) {
        self.epoch = self.epoch.max(epoch);
    }

    /// Ends the window for a planned move.
    ///
    /// The window is consumed, since the next owner would not know of an id that ran
    /// here after the export. Requests that still run are exported as unknown.
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
    /// Fails if the export does not come from an earlier grant, or is inconsistent;
    /// the new owner then starts with [`Window::new`].
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
        window.reindex_answers();
        while window.entries.len() > limits.entries && window.evict() {}
        window.trim_answers();
        Ok(window)
    }

    /// Returns the epoch of the current grant.
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

    /// Returns whether the window holds no id.
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

    /// Evicts the ended entry with the smallest time of issue; returns `false` if all run.
    ///
    /// A running entry is never evicted. The floor would prevent a retry from running
    /// again, but the caller would get "unknown" instead of the answer, and the number of
    /// running requests would no longer be bounded by the size of the window.
    fn evict(&mut self) -> bool {
        let mut entries = self.entries.iter();
        let oldest = entries.find(|(_, entry)| !matches!(entry.phase, Phase::Running));
        let Some((&id, _)) = oldest else {
            return false;
        };
        self.drop_answer(id);
        self.entries.remove(&id);
        self.floor = self.floor.max(Some(id.issued_ms()));
        true
    }

    /// Drops the answers with the smallest time of issue until the rest fit the limit.
    fn trim_answers(&mut self) {
        while self.kept_bytes > self.limits.answer_bytes {
            match self.kept_ids.first().copied() {
                Some(id) => self.drop_answer(id),
                None => break,
            }
        }
    }

    fn drop_answer(&mut self, id: request::Id) {
        if !self.kept_ids.remove(&id) {
            return;
        }
        if let Some(entry) = self.entries.get_mut(&id)
            && let Phase::Ended(State::Answered(answer)) = &mut entry.phase
        {
            let size = answer.take().map_or(0, |answer| answer.size());
            self.kept_bytes -= size;
        }
    }

    fn reindex_answers(&mut self) {
        self.kept_ids.clear();
        self.kept_bytes = 0;
        for (id, entry) in &self.entries {
            if let Phase::Ended(State::Answered(Some(answer))) = &entry.phase {
                self.kept_ids.insert(*id);
                self.kept_bytes += answer.size();
            }
        }
    }
}
