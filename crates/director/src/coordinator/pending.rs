//! Orders of operators that were proposed to the log and wait for their commit.

use std::collections;
use std::time::Duration;

use sequoiayoke_consensus::position;
use sequoiayoke_model::clock;

/// Longest time for which an order waits for its commit.
pub const TIMEOUT: Duration = Duration::from_millis(900);

/// An order that waits for its commit.
#[derive(Debug)]
pub struct Order<Reply> {
    /// Position of its entry in the log.
    pub position: position::Position,
    /// Destination of the answer.
    pub reply: Reply,
    proposed_at: clock::Instant,
}

/// Orders that wait for their commit, in the order of their proposals.
///
/// # Examples
///
/// ```
/// use sequoiayoke_consensus::position;
/// use sequoiayoke_director::coordinator::pending;
/// use sequoiayoke_model::clock;
///
/// let position = position::Position { term: position::Term(1), index: position::Index(4) };
/// let mut orders = pending::Queue::new();
/// orders.push(clock::Instant::from_micros(0), position, "reply");
/// let order = orders.take(position.index).expect("it waits");
/// assert_eq!((order.position, order.reply), (position, "reply"));
/// ```
#[derive(Debug)]
pub struct Queue<Reply>(collections::VecDeque<Order<Reply>>);

impl<Reply> Queue<Reply> {
    /// Creates an empty queue.
    pub const fn new() -> Self {
        Self(collections::VecDeque::new())
    }

    /// Returns the number of orders.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether no order waits.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Adds an order that was proposed at `now`.
    pub fn push(&mut self, now: clock::Instant, position: position::Position, reply: Reply) {
        self.0.push_back(Order {
            position,
            reply,
            proposed_at: now,
        });
    }

    /// Removes and returns the order whose entry is at `index`.
    pub fn take(&mut self, index: position::Index) -> Option<Order<Reply>> {
        let mut orders = self.0.iter();
        let found = orders.position(|order| order.position.index == index)?;
        self.0.remove(found)
    }

    /// Removes and returns the orders that have waited for [`TIMEOUT`].
    pub fn take_expired(&mut self, now: clock::Instant) -> Vec<Order<Reply>> {
        let is_expired = |order: &&Order<Reply>| now.saturating_since(order.proposed_at) >= TIMEOUT;
        let count = self.0.iter().take_while(is_expired).count();
        self.0.drain(..count).collect()
    }

    /// Removes and returns all orders.
    pub fn take_all(&mut self) -> Vec<Order<Reply>> {
        std::mem::take(&mut self.0).into()
    }

    /// Returns when the next order has waited for [`TIMEOUT`].
    pub fn next_deadline(&self) -> Option<clock::Instant> {
        self.0.front().map(|order| order.proposed_at + TIMEOUT)
    }
}

impl<Reply> Default for Queue<Reply> {
    fn default() -> Self {
        Self::new()
    }
}
