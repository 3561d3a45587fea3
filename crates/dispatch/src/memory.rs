//! Memory for the responses that a node reads at the same time.

/// Memory that the responses being read share.
///
/// A response may take as much as is left beside it. One response gets half of the memory at most,
/// and of several without end each ends at a size that leaves the same for others: small responses
/// find room however many large ones there are.
///
/// # Examples
///
/// ```
/// use sequoiayoke_dispatch::memory;
///
/// let mut pool = memory::Pool::new(100);
/// assert!(pool.resize(0, 50));
/// assert!(!pool.resize(50, 51));
/// assert!(pool.resize(0, 25) && !pool.resize(25, 26));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Pool {
    limit: usize,
    used: usize,
    peak: usize,
}

impl Pool {
    /// Creates a pool of `limit` bytes.
    pub const fn new(limit: usize) -> Self {
        Self {
            limit,
            used: 0,
            peak: 0,
        }
    }

    /// Changes the size of one response from `before` to `after` bytes; returns whether there is
    /// room for it. If not, its size stays `before`.
    pub fn resize(&mut self, before: usize, after: usize) -> bool {
        let others = self.used.saturating_sub(before);
        if after > before && after > self.limit.saturating_sub(others + after) {
            return false;
        }
        self.used = others + after;
        self.peak = self.peak.max(self.used);
        true
    }

    /// Returns the largest number of bytes that all responses have taken together.
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_dispatch::memory;
    ///
    /// let mut pool = memory::Pool::new(100);
    /// pool.resize(0, 20);
    /// pool.resize(20, 0);
    /// assert_eq!(pool.peak(), 20);
    /// ```
    pub const fn peak(&self) -> usize {
        self.peak
    }
}
