//! Slices that this node owns: their requests in flight and their record of ids.
//!
//! Invariant: once a slice is closed, no request of it starts, and it is idle
//! when the last one in flight has ended. A slice is released only when idle.

use std::sync;
use std::sync::atomic;

use sequoiayoke_model::id;
use sequoiayoke_model::key;
use sequoiayoke_model::range;
use sequoiayoke_model::request;
use sequoiayoke_traffic::window;
use tokio::sync::Notify;

/// Set in the counter of a closed slice; the other bits count requests in flight.
const CLOSED: u64 = 1 << 63;

/// Requests in flight of a slice, and whether new ones may start.
#[derive(Debug, Default)]
struct Gauge {
    state: atomic::AtomicU64,
    idle: Notify,
}

impl Gauge {
    fn enter(&self) -> bool {
        let open = |state: u64| (state & CLOSED == 0).then_some(state + 1);
        let order = atomic::Ordering::AcqRel;
        let entered = self
            .state
            .fetch_update(order, atomic::Ordering::Acquire, open);
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

/// Part of a slice with a record of ids of its own; slices that were merged have several.
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
    gauge: sync::Arc<Gauge>,
    // Requests that started before a split or merge, on the slices of that time.
    earlier: Vec<sync::Arc<Gauge>>,
}

/// A request in flight on an owned slice.
#[derive(Debug)]
pub struct Entry {
    gauge: sync::Arc<Gauge>,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.gauge.leave();
    }
}

/// A request id that runs now; ends as unknown unless [`Run::end`] is called.
#[derive(Debug)]
pub struct Run {
    window: sync::Arc<sync::Mutex<window::Window>>,
    id: request::Id,
    ended: bool,
}

impl Run {
    /// Records how the run ended.
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
    /// Makes a slice that was just granted; `window` is the earlier owner's record.
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
            gauge: sync::Arc::default(),
            earlier: Vec::new(),
        }
    }

    /// Makes the slice `range` out of slices of the same holder, after a split or merge.
    ///
    /// What they do not cover was not served under `epoch` before, and gets a new record.
    pub fn with_parts_of<'a, I>(
        range: range::Range,
        epoch: id::Epoch,
        slices: I,
        limits: window::Limits,
    ) -> Option<Self>
    where
        I: IntoIterator<Item = &'a Self>,
    {
        let mut made: Option<Self> = None;
        for slice in slices {
            let made = made.get_or_insert_with(|| Self {
                service: slice.service,
                range,
                epoch,
                parts: Vec::new(),
                gauge: sync::Arc::default(),
                earlier: Vec::new(),
            });
            made.parts.extend(slice.parts_within(range));
            made.earlier.push(sync::Arc::clone(&slice.gauge));
            let busy = slice.earlier.iter().filter(|gauge| gauge.count() > 0);
            made.earlier.extend(busy.cloned());
        }
        let mut made = made?;
        for part in &made.parts {
            lock(&part.window).advance(epoch);
        }
        made.fill_gaps(limits);
        Some(made)
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
        self.gauge.enter().then(|| Entry {
            gauge: sync::Arc::clone(&self.gauge),
        })
    }

    /// Lets no further request start.
    pub fn close(&self) {
        self.gauge.close();
    }

    /// Tells whether no further request may start.
    pub fn is_closed(&self) -> bool {
        self.gauge.is_closed()
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u64 {
        let earlier: u64 = self.earlier.iter().map(|gauge| gauge.count()).sum();
        self.gauge.count() + earlier
    }

    /// Waits until no request is in flight; the slice must be closed.
    pub async fn wait_idle(&self) {
        self.gauge.wait_idle().await;
        for gauge in &self.earlier {
            gauge.wait_idle().await;
        }
    }

    /// Asks the record of ids about a sending of `id`.
    ///
    /// # Errors
    ///
    /// `decide` turns every verdict but [`window::Verdict::Run`] into an error.
    pub fn begin<F, T>(&self, id: request::Id, hash: key::Hash, decide: F) -> Result<Run, T>
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
            verdict => Err(decide(verdict)),
        }
    }

    /// Copies the record of ids for the next owner; the slice must be idle.
    pub fn export(&self) -> Option<window::Export> {
        let mut joint: Option<window::Window> = None;
        for part in &self.parts {
            let mut window = lock(&part.window).clone();
            if part.range.first > key::Hash::MIN {
                window = window.split(part.range.first);
            }
            if part.range.last < key::Hash::MAX {
                window.split(key::Hash(part.range.last.0 + 1));
            }
            match &mut joint {
                Some(joint) => joint.merge(window),
                None => joint = Some(window),
            }
        }
        joint.map(window::Window::export)
    }
}

fn lock(window: &sync::Mutex<window::Window>) -> sync::MutexGuard<'_, window::Window> {
    window
        .lock()
        .expect("no code panics while it holds a window's lock")
}
