//! Slices that this node owns: their requests in flight and their records of ids.
//!
//! Invariant: no request of a closed slice starts, and the slice is idle when the
//! last request in flight has ended. A slice is released only when it is idle.

use std::sync;
use std::sync::atomic;

use sequoiayoke_model::id;
use sequoiayoke_model::key;
use sequoiayoke_model::range;
use sequoiayoke_model::request;
use sequoiayoke_traffic::window;
use tokio::sync::Notify;

/// Bit of the counter that marks a closed slice; the other bits count requests in flight.
const CLOSED: u64 = 1 << 63;

/// Counts the requests in flight of a slice, until the slice is closed to new ones.
#[derive(Debug, Default)]
struct Counter {
    state: atomic::AtomicU64,
    idle: Notify,
}

impl Counter {
    fn enter(&self) -> bool {
        let increment = |state: u64| (state & CLOSED == 0).then_some(state + 1);
        let success = atomic::Ordering::AcqRel;
        let entered = self
            .state
            .fetch_update(success, atomic::Ordering::Acquire, increment);
        entered.is_ok()
    }

    fn leave(&self) {
        let before = self.state.fetch_sub(1, atomic::Ordering::AcqRel);
        if before & !CLOSED == 1 {
            self.idle.notify_waiters();
        }
    }

    fn close(&self) {
        self.state.fetch_or(CLOSED, atomic::Ordering::AcqRel);
    }

    fn is_closed(&self) -> bool {
        self.state.load(atomic::Ordering::Acquire) & CLOSED != 0
    }

    fn count(&self) -> u64 {
        self.state.load(atomic::Ordering::Acquire) & !CLOSED
    }

    async fn wait_idle(&self) {
        loop {
            let idle = self.idle.notified();
            if self.count() == 0 {
                return;
            }
            idle.await;
        }
    }
}

/// Part of a slice with its own record of ids; merged slices have several.
#[derive(Clone, Debug)]
struct Part {
    range: range::Range,
    window: sync::Arc<sync::Mutex<window::Window>>,
}

impl Part {
    fn new(range: range::Range, epoch: id::Epoch, limits: window::Limits) -> Self {
        let window = window::Window::new(epoch, limits);
        Self {
            range,
            window: sync::Arc::new(sync::Mutex::new(window)),
        }
    }
}

/// A slice that this node owns under one epoch.
#[derive(Debug)]
pub struct Slice {
    service: id::Service,
    range: range::Range,
    epoch: id::Epoch,
    parts: Vec<Part>,
    counter: sync::Arc<Counter>,
    // Counters of the slices from which this one was split or merged; requests that started
    // on them may still run.
    earlier_counters: Vec<sync::Arc<Counter>>,
}

/// A request in flight on an owned slice.
#[derive(Debug)]
pub struct Entry {
    counter: sync::Arc<Counter>,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.counter.leave();
    }
}

/// A running request with an id; its outcome is unknown unless [`Run::end`] is called.
#[derive(Debug)]
pub struct Run {
    window: sync::Arc<sync::Mutex<window::Window>>,
    id: request::Id,
    ended: bool,
}

impl Run {
    /// Records the outcome of the run.
    pub fn end(mut self, end: window::End) {
        self.ended = true;
        lock(&self.window).finish(self.id, end);
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if !self.ended {
            let unknown = window::End::Unknown(sequoiayoke_model::outcome::Reason::Cancelled);
            lock(&self.window).finish(self.id, unknown);
        }
    }
}

impl Slice {
    /// Creates a newly granted slice; `window` is the previous owner's record.
    pub fn new(
        service: id::Service,
        range: range::Range,
        epoch: id::Epoch,
        window: window::Window,
    ) -> Self {
        let part = Part {
            range,
            window: sync::Arc::new(sync::Mutex::new(window)),
        };
        Self {
            service,
            range,
            epoch,
            parts: vec![part],
            counter: sync::Arc::default(),
            earlier_counters: Vec::new(),
        }
    }

    /// Creates the slice `range` from slices of the same holder, after a split or merge.
    ///
    /// Ranges that they do not cover were not served under `epoch` before, and get new records.
    pub fn with_parts_of<'a, I>(
        range: range::Range,
        epoch: id::Epoch,
        slices: I,
        limits: window::Limits,
    ) -> Option<Self>
    where
        I: IntoIterator<Item = &'a Self>,
    {
        let mut combined: Option<Self> = None;
        for slice in slices {
            let combined = combined.get_or_insert_with(|| Self {
                service: slice.service,
                range,
                epoch,
                parts: Vec::new(),
                counter: sync::Arc::default(),
                earlier_counters: Vec::new(),
            });
            combined.parts.extend(slice.parts_within(range));
            combined
                .earlier_counters
                .push(sync::Arc::clone(&slice.counter));
            let busy = slice
                .earlier_counters
                .iter()
                .filter(|counter| counter.count() > 0);
            combined.earlier_counters.extend(busy.cloned());
        }
        let mut combined = combined?;
        for part in &combined.parts {
            lock(&part.window).advance(epoch);
        }
        combined.fill_gaps(limits);
        Some(combined)
    }

    fn fill_gaps(&mut self, limits: window::Limits) {
        self.parts.sort_by_key(|part| part.range.first);
        let mut parts = Vec::with_capacity(self.parts.len());
        let mut next = Some(self.range.first);
        for part in self.parts.drain(..) {
            if let Some(first) = next.filter(|first| *first < part.range.first) {
                let last = key::Hash(part.range.first.0 - 1);
                parts.push(Part::new(range::Range { first, last }, self.epoch, limits));
            }
            next = part.range.last.0.checked_add(1).map(key::Hash);
            parts.push(part);
        }
        if let Some(first) = next.filter(|first| *first <= self.range.last) {
            let last = self.range.last;
            parts.push(Part::new(range::Range { first, last }, self.epoch, limits));
        }
        self.parts = parts;
    }

    fn parts_within(&self, range: range::Range) -> impl Iterator<Item = Part> {
        self.parts.iter().filter_map(move |part| {
            let first = part.range.first.max(range.first);
            let last = part.range.last.min(range.last);
            (first <= last).then(|| Part {
                range: range::Range { first, last },
                window: sync::Arc::clone(&part.window),
            })
        })
    }

    /// Returns the service.
    pub const fn service(&self) -> id::Service {
        self.service
    }

    /// Returns the positions that the slice covers.
    pub const fn range(&self) -> range::Range {
        self.range
    }

    /// Returns the epoch of the grant.
    pub const fn epoch(&self) -> id::Epoch {
        self.epoch
    }

    /// Counts a request as in flight, unless the slice is closed.
    pub fn enter(&self) -> Option<Entry> {
        self.counter.enter().then(|| Entry {
            counter: sync::Arc::clone(&self.counter),
        })
    }

    /// Prevents further requests from starting.
    pub fn close(&self) {
        self.counter.close();
    }

    /// Returns whether no further request may start.
    pub fn is_closed(&self) -> bool {
        self.counter.is_closed()
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u64 {
        let earlier_counters: u64 = self
            .earlier_counters
            .iter()
            .map(|counter| counter.count())
            .sum();
        self.counter.count() + earlier_counters
    }

    /// Waits until no request is in flight; the slice must be closed.
    pub async fn wait_idle(&self) {
        self.counter.wait_idle().await;
        for counter in &self.earlier_counters {
            counter.wait_idle().await;
        }
    }

    /// Looks up an attempt with `id` in the record of ids, and records that it runs.
    ///
    /// # Errors
    ///
    /// Fails with the result of `map_verdict` for any verdict other than [`window::Verdict::Run`].
    pub fn begin<F, T>(&self, id: request::Id, hash: key::Hash, map_verdict: F) -> Result<Run, T>
    where
        F: FnOnce(window::Verdict<'_>) -> T,
    {
        let part = self.parts.iter().find(|part| part.range.contains(hash));
        let part = part.expect("the parts cover the slice and the hash lies in it");
        match lock(&part.window).begin(id, hash) {
            window::Verdict::Run => Ok(Run {
                window: sync::Arc::clone(&part.window),
                id,
                ended: false,
            }),
            verdict => Err(map_verdict(verdict)),
        }
    }

    /// Returns the record of ids for the next owner; the slice must be idle.
    pub fn export(&self) -> Option<window::Export> {
        let mut merged: Option<window::Window> = None;
        for part in &self.parts {
            let mut window = lock(&part.window).clone();
            if part.range.first > key::Hash::MIN {
                window = window.split(part.range.first);
            }
            if part.range.last < key::Hash::MAX {
                window.split(key::Hash(part.range.last.0 + 1));
            }
            match &mut merged {
                Some(merged) => merged.merge(window),
                None => merged = Some(window),
            }
        }
        merged.map(window::Window::export)
    }
}

fn lock(window: &sync::Mutex<window::Window>) -> sync::MutexGuard<'_, window::Window> {
    window
        .lock()
        .expect("no code panics while it holds a window's lock")
}
