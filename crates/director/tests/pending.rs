//! Orders of operators that wait for their commit.

use std::time::Duration;

use sequoiayoke_consensus::position;
use sequoiayoke_director::coordinator::pending;
use sequoiayoke_model::clock;

fn position(index: u64) -> position::Position {
    position::Position {
        term: position::Term(1),
        index: position::Index(index),
    }
}

/// Guards against operators who wait longer than the timeout for "outcome unknown": all orders that
/// have expired are due at once, and the control thread wakes up for the next one.
#[test]
fn all_expired_orders_are_due_at_their_deadline() {
    let start = clock::Instant::from_micros(0);
    let later = start + Duration::from_millis(10);
    let mut orders = pending::Queue::new();
    for (proposed_at, index) in [(start, 1), (start, 2), (later, 3)] {
        orders.push(proposed_at, position(index), index);
    }
    assert_eq!(orders.next_deadline(), Some(start + pending::TIMEOUT));
    let early = start + (pending::TIMEOUT - Duration::from_millis(1));
    assert!(orders.take_expired(early).is_empty());
    let expired = orders.take_expired(start + pending::TIMEOUT);
    let expired: Vec<_> = expired.into_iter().map(|order| order.reply).collect();
    assert_eq!(expired, [1, 2]);
    assert_eq!(orders.next_deadline(), Some(later + pending::TIMEOUT));
    assert_eq!(orders.take_expired(later + pending::TIMEOUT).len(), 1);
    assert_eq!(orders.next_deadline(), None);
}
