//! Limit on the requests that a backend server is sent in any second.
//!
//! A backend server that has just started crashes at a rate of requests that it bears when it is
//! warm. The limit is on a sliding second, so it holds however the requests are spread.

use std::collections;
use std::time::Duration;

use sequoiayoke_model::clock;

/// Length of the window.
pub const WINDOW: Duration = Duration::from_secs(1);

/// Starts of requests within the last second.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use sequoiayoke_dispatch::pace;
/// use sequoiayoke_model::clock;
///
/// let now = clock::Instant::from_micros(0);
/// let mut window = pace::Window::new(1);
/// assert!(window.allows(now));
/// window.record(now);
/// assert!(!window.allows(now + Duration::from_millis(900)));
/// assert!(window.allows(now + pace::WINDOW));
/// ```
#[derive(Clone, Debug)]
pub struct Window {
    limit: usize,
    /// The latest starts, as many as the limit, in order.
    starts: collections::VecDeque<clock::Instant>,
}

impl Window {
    /// Creates an empty window of `limit` requests, at least one.
    pub fn new(limit: u32) -> Self {
        Self {
            limit: limit.max(1) as usize,
            starts: collections::VecDeque::new(),
        }
    }

    /// Creates a window that is full at `now`, for a process that does not know what its
    /// predecessor has started.
    pub fn full(limit: u32, now: clock::Instant) -> Self {
        let mut window = Self::new(limit);
        window.starts.resize(window.limit, now);
        window
    }

    /// Changes the limit.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit.max(1) as usize;
        while self.starts.len() > self.limit {
            self.starts.pop_front();
        }
    }

    /// Returns the largest number of starts in a second.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Records the start of a request.
    pub fn record(&mut self, now: clock::Instant) {
        if self.starts.len() >= self.limit {
            self.starts.pop_front();
        }
        self.starts.push_back(now);
    }

    /// Returns whether a request may start at `now`.
    pub fn allows(&self, now: clock::Instant) -> bool {
        self.wait(now, 0).is_zero()
    }

    /// Returns the time until a request may start that has `ahead` others before it.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use sequoiayoke_dispatch::pace;
    /// use sequoiayoke_model::clock;
    ///
    /// let now = clock::Instant::from_micros(0);
    /// let window = pace::Window::full(2, now);
    /// assert_eq!(window.wait(now, 0), pace::WINDOW);
    /// assert_eq!(window.wait(now, 2), pace::WINDOW * 2);
    /// ```
    pub fn wait(&self, now: clock::Instant, ahead: usize) -> Duration {
        // The requests ahead start as early as they may, and each keeps its place for a second.
        let (rounds, place) = (ahead / self.limit, ahead % self.limit);
        let vacant = self.limit - self.starts.len();
        let first = match place.checked_sub(vacant) {
            Some(index) => now.saturating_until(self.starts[index] + WINDOW),
            None => Duration::ZERO,
        };
        first + WINDOW * rounds as u32
    }
}
