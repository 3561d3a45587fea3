//! Fair queue between the keys of one flow.
//!
//! Each key has a queue of its waiting requests, with a tag that advances whenever
//! one of them starts. The queue with the smallest tag is served next; ties go to
//! the earliest deadline. The requests of a hot key therefore wait for one another,
//! and the requests of other keys do not wait for all of them.

use std::collections;

use sequoiayoke_model::{clock, key};

use super::gate;

/// Advance of a tag for one request.
const TAG_STEP: u64 = 1 << 16;

#[derive(Clone, Debug)]
struct Queue {
    tag: u64,
    // By deadline; never empty.
    requests: collections::BTreeSet<(clock::Instant, gate::Key)>,
}

/// The queues of one flow; a queue exists only while requests wait in it.
#[derive(Clone, Debug, Default)]
pub(super) struct Queues {
    queues: collections::HashMap<key::Hash, Queue>,
    // One entry for each queue: its tag, its earliest deadline, its key.
    order: collections::BTreeSet<(u64, clock::Instant, key::Hash)>,
    // Tag of a queue that is created now. It advances by one step in as many starts as
    // there are queues; otherwise new queues would always be served before old ones.
    virtual_time: u64,
    waiting: usize,
}

impl Queues {
    /// Returns the number of waiting requests.
    pub(super) const fn len(&self) -> usize {
        self.waiting
    }

    /// Returns whether no request waits.
    pub(super) const fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Returns the number of waiting requests of a key.
    pub(super) fn key_len(&self, hash: key::Hash) -> usize {
        self.queues
            .get(&hash)
            .map_or(0, |queue| queue.requests.len())
    }

    /// Estimates the number of requests that start before one with this key and deadline.
    pub(super) fn ahead(&self, hash: key::Hash, deadline: clock::Instant) -> usize {
        let earlier = |queue: &Queue| {
            let ahead = queue.requests.iter();
            ahead.take_while(|(other, _)| *other <= deadline).count()
        };
        let own = self.queues.get(&hash);
        let (tag, own) = own.map_or((self.virtual_time, 0), |queue| (queue.tag, earlier(queue)));
        let other_queues = self.queues.iter().filter(|(other, _)| **other != hash);
        let other_queues = other_queues.map(|(_, queue)| match queue.tag < tag {
            true => queue.requests.len().min(own + 1),
            false => earlier(queue).min(own + 1),
        });
        own + other_queues.sum::<usize>()
    }

    /// Returns the waiting request that is served next.
    pub(super) fn first(&self) -> Option<gate::Key> {
        let (_, _, hash) = self.order.first()?;
        let (_, request) = self.queues.get(hash)?.requests.first()?;
        Some(*request)
    }

    /// Adds a waiting request.
    pub(super) fn push(&mut self, hash: key::Hash, deadline: clock::Instant, request: gate::Key) {
        let mut queue = self.unlink(hash).unwrap_or(Queue {
            tag: self.virtual_time,
            requests: collections::BTreeSet::new(),
        });
        queue.requests.insert((deadline, request));
        self.waiting += 1;
        self.link(hash, queue);
    }

    /// Removes a waiting request and returns whether it was present.
    pub(super) fn remove(
        &mut self,
        hash: key::Hash,
        deadline: clock::Instant,
        request: gate::Key,
    ) -> bool {
        let Some(mut queue) = self.unlink(hash) else {
            return false;
        };
        let removed = queue.requests.remove(&(deadline, request));
        self.waiting -= usize::from(removed);
        self.link(hash, queue);
        removed
    }

    /// Advances the tag of the queue from which a request starts.
    pub(super) fn advance(&mut self, hash: key::Hash) {
        let queues = self.queues.len().max(1) as u64;
        if let Some(mut queue) = self.unlink(hash) {
            self.virtual_time = self.virtual_time.max(queue.tag);
            queue.tag += TAG_STEP;
            self.link(hash, queue);
        }
        self.virtual_time += TAG_STEP / queues;
    }

    fn unlink(&mut self, hash: key::Hash) -> Option<Queue> {
        let queue = self.queues.remove(&hash)?;
        if let Some((deadline, _)) = queue.requests.first() {
            self.order.remove(&(queue.tag, *deadline, hash));
        }
        Some(queue)
    }

    fn link(&mut self, hash: key::Hash, queue: Queue) {
        if let Some((deadline, _)) = queue.requests.first() {
            self.order.insert((queue.tag, *deadline, hash));
            self.queues.insert(hash, queue);
        }
    }
}
