//! Sharing of the memory for responses, without a network.

use sequoiayoke_dispatch::memory;

const LIMIT: usize = 40_000;
const READ: usize = 10;

/// Guards against responses without end that take all memory of a node, or leave no room for the
/// small responses of other requests.
#[test]
fn responses_without_end_leave_room_for_others() {
    for count in [1, 2, 9, 100] {
        let mut pool = memory::Pool::new(LIMIT);
        let mut sizes = vec![0; count];
        let mut is_growing = true;
        while is_growing {
            is_growing = false;
            for size in &mut sizes {
                if pool.resize(*size, *size + READ) {
                    *size += READ;
                    is_growing = true;
                }
            }
        }
        let used: usize = sizes.iter().sum();
        let share = LIMIT / (count + 1);
        assert!(used <= LIMIT - share, "{count}: {used}");
        assert!(
            sizes.iter().all(|size| size.abs_diff(share) <= READ),
            "{sizes:?}"
        );
        assert!(pool.resize(0, share / 2));
        assert_eq!(pool.peak(), used + share / 2);
    }
}

/// Guards against memory that is not returned when a response ends.
#[test]
fn an_ended_response_returns_its_memory() {
    let mut pool = memory::Pool::new(LIMIT);
    for _ in 0..10 {
        assert!(pool.resize(0, LIMIT / 2));
        assert!(!pool.resize(0, LIMIT / 2));
        assert!(pool.resize(LIMIT / 2, 0));
    }
}
