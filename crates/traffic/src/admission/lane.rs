//! Fair queue between the keys of one flow.
//!
//! A lane is the waiting requests of one key. Each lane has a tag that advances
//! with each request that it starts; the lane with the smallest tag is next, and
//! among equal ones that with the earliest deadline. So the requests of a hot key
//! wait for one another, and those of other keys do not wait for all of them.

use std::collections;

use sequoiayoke_model::{clock, key};

use super::gate;

/// Advance of a tag for one request.
const STEP: u64 = 1 << 16;

#[derive(Clone, Debug)]
struct Lane {
    tag: u64,
    // By deadline; never empty.
    queue: collections::BTreeSet<(clock::Instant, gate::Key)>,
}

/// The lanes of one flow; a lane exists only while requests wait in it.
#[derive(Clone, Debug, Default)]
pub(super) struct Lanes {
    lanes: collections::HashMap<key::Hash, Lane>,
    // One entry for each lane: its tag, its earliest deadline, its key.
    order: collections::BTreeSet<(u64, clock::Instant, key::Hash)>,
    // Tag of a lane that begins now. It advances by one step in as many starts as
    // there are lanes, so that new lanes do not stay ahead of the others for ever.
    turn: u64,
    waiting: usize,
}

impl Lanes {
    /// Number of waiting requests.
    pub(super) const fn len(&self) -> usize {
        self.waiting
    }

    /// Tells whether no request waits.
    pub(super) const fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Number of waiting requests of a key.
    pub(super) fn len_of(&self, hash: key::Hash) -> usize {
        self.lanes.get(&hash).map_or(0, |lane| lane.queue.len())
    }

    /// Number of requests that start before one with this key and deadline, about.
    pub(super) fn ahead(&self, hash: key::Hash, deadline: clock::Instant) -> usize {
        let urgent = |lane: &Lane| {
            let ahead = lane.queue.iter();
            ahead.take_while(|(other, _)| *other <= deadline).count()
        };
        let own = self.lanes.get(&hash);
        let (tag, own) = own.map_or((self.turn, 0), |lane| (lane.tag, urgent(lane)));
        let others = self.lanes.iter().filter(|(other, _)| **other != hash);
        let others = others.map(|(_, lane)| match lane.tag < tag {
            true => lane.queue.len().min(own + 1),
            false => urgent(lane).min(own + 1),
        });
        own + others.sum::<usize>()
    }

    /// Returns the waiting request that is next.
    pub(super) fn first(&self) -> Option<gate::Key> {
        let (_, _, hash) = self.order.first()?;
        let (_, request) = self.lanes.get(hash)?.queue.first()?;
        Some(*request)
    }

    /// Adds a waiting request.
    pub(super) fn push(&mut self, hash: key::Hash, deadline: clock::Instant, request: gate::Key) {
        let mut lane = self.unlink(hash).unwrap_or(Lane {
            tag: self.turn,
            queue: collections::BTreeSet::new(),
        });
        lane.queue.insert((deadline, request));
        self.waiting += 1;
        self.link(hash, lane);
    }

    /// Removes a waiting request and tells whether it was there.
    pub(super) fn remove(
        &mut self,
        hash: key::Hash,
        deadline: clock::Instant,
        request: gate::Key,
    ) -> bool {
        let Some(mut lane) = self.unlink(hash) else {
            return false;
        };
        let found = lane.queue.remove(&(deadline, request));
        self.waiting -= usize::from(found);
        self.link(hash, lane);
        found
    }

    /// Advances the lane of a request that starts and waits no more.
    pub(super) fn started(&mut self, hash: key::Hash) {
        let lanes = self.lanes.len().max(1) as u64;
        if let Some(mut lane) = self.unlink(hash) {
            self.turn = self.turn.max(lane.tag);
            lane.tag += STEP;
            self.link(hash, lane);
        }
        self.turn += STEP / lanes;
    }

    fn unlink(&mut self, hash: key::Hash) -> Option<Lane> {
        let lane = self.lanes.remove(&hash)?;
        if let Some((deadline, _)) = lane.queue.first() {
            self.order.remove(&(lane.tag, *deadline, hash));
        }
        Some(lane)
    }

    fn link(&mut self, hash: key::Hash, lane: Lane) {
        if let Some((deadline, _)) = lane.queue.first() {
            self.order.insert((lane.tag, *deadline, hash));
            self.lanes.insert(hash, lane);
        }
    }
}
