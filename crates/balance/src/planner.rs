//! Planner of the moves of key ranges between backend servers.

use std::collections;
use std::time::Duration;

use sequoiayoke_catalog::slice;
use sequoiayoke_dispatch::usage;
use sequoiayoke_model::clock;
use sequoiayoke_model::id;

/// Maximum number of new owners of the keys of a leaving backend server: each range costs commands
/// at both owners.
const MAX_NEW_OWNERS: usize = 12;

/// Maximum number of slices that are moved for one part of the load in a round.
const MAX_SLICES_PER_PART: usize = 8;
/// Load of a backend server, in multiples of the mean of its service, from which a round has the
/// maximum number of moves. Smaller imbalances are moved in smaller rounds, since each move leaves
/// its keys without an owner for a moment.
const IMBALANCED_RATIO: f64 = 3.0;

/// Settings of the planner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Difference of utilisation between two backend servers below which no keys move.
    pub tolerance: f64,
    /// Utilisation below which no keys move away from a backend server.
    pub min_utilisation: f64,
    /// Time for which a range that has moved is not moved again.
    pub cooldown: Duration,
    /// Minimum of the limit on the parts moved in a round. The limit is one for every two backend
    /// servers, and one for each while one of them has a multiple of the mean load.
    pub min_round_moves: usize,
}

impl Default for Config {
    /// Returns the settings for servers with about a dozen slots.
    fn default() -> Self {
        Self {
            tolerance: 0.1,
            min_utilisation: 0.5,
            cooldown: Duration::from_secs(3),
            min_round_moves: 4,
        }
    }
}

/// A backend server that may own keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Owner {
    /// Number of the backend server.
    pub id: id::Server,
    /// Number of requests that it runs concurrently.
    pub slots: f64,
    /// Whether it may receive keys.
    pub is_eligible: bool,
    /// Whether all its keys move away, because it is failing, or it or its node is about to stop.
    pub is_leaving: bool,
    /// Service time relative to the mean of its service; 1 is the mean.
    pub slowdown: f64,
    /// Load of its keys by range.
    pub parts: Vec<usage::Part>,
    /// Whether a move to or from it is in progress, or so recent that the reported load is from
    /// before the move.
    pub has_stale_load: bool,
}

impl Owner {
    /// Returns the utilisation: the load of all keys for each slot.
    fn load(&self) -> f64 {
        self.parts.iter().map(|part| part.load).sum::<f64>() / self.slots.max(1.0)
    }
}

/// A planned move of a key range to a new owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Move {
    /// Range of keys.
    pub range: slice::Range,
    /// Current owner, or `None` for vacant keys, which need no release.
    pub from: Option<id::Server>,
    /// Fencing number of the current grant of the slice.
    pub fence: slice::Fence,
    /// New owner.
    pub to: id::Server,
}

/// Plans the moves of one service.
#[derive(Debug, Default)]
pub struct Planner {
    config: Config,
    recent_moves: Vec<(slice::Range, clock::Instant)>,
}

impl Planner {
    /// Creates a planner.
    pub const fn new(config: Config) -> Self {
        Self {
            config,
            recent_moves: Vec::new(),
        }
    }

    /// Returns moves that assign all vacant slices.
    ///
    /// Vacant keys are assigned in key order to the eligible servers, starting with the one that
    /// owns the fewest keys, each up to an equal share weighted by its service time. Adjacent keys
    /// then get the same owner and merge into one slice, even if they were fragmented before.
    pub fn assign_vacant(&self, table: &slice::Table, owners: &[Owner]) -> Vec<Move> {
        let key_count = |id: Option<id::Server>| -> f64 {
            let owned = table.slices().iter().filter(|slice| slice.owner == id);
            f64::from(owned.map(|slice| slice.range.len()).sum::<u32>())
        };
        let mut eligible: Vec<_> = owners
            .iter()
            .filter(|owner| owner.is_eligible)
            .map(|owner| (key_count(Some(owner.id)) * owner.slowdown, owner))
            .collect();
        if eligible.is_empty() {
            return Vec::new();
        }
        let weighted: f64 = eligible.iter().map(|(weighted, _)| weighted).sum();
        let fair_share = (weighted + key_count(None)) / eligible.len() as f64;
        eligible.sort_by(|(left, _), (right, _)| right.total_cmp(left));
        let mut moves = Vec::new();
        // The server with the fewest keys is last and gets keys first, up to its fair share.
        let spare_keys =
            |(weighted, owner): &(f64, &Owner)| (fair_share - weighted) / owner.slowdown.max(0.01);
        let Some(mut current) = eligible.pop() else {
            return Vec::new();
        };
        let mut remaining = spare_keys(&current);
        for vacant in table.slices().iter().filter(|slice| slice.owner.is_none()) {
            let mut first = u32::from(vacant.range.first);
            let last = u32::from(vacant.range.last);
            while first <= last {
                if remaining < 1.0
                    && let Some(next) = eligible.pop()
                {
                    current = next;
                    remaining = spare_keys(&current);
                    continue;
                }
                // The last server takes the keys that rounding has left over.
                let width = match eligible.is_empty() {
                    true => last - first + 1,
                    false => (remaining as u32).clamp(1, last - first + 1),
                };
                let end = first + width - 1;
                moves.push(Move {
                    range: slice::Range::new(first as slice::Key, end as slice::Key),
                    from: None,
                    fence: vacant.fence,
                    to: current.1.id,
                });
                remaining -= f64::from(width);
                first = end + 1;
            }
        }
        moves
    }

    /// Returns moves that drain leaving owners or, if there are none, reduce the load of busy ones.
    pub fn balance(
        &mut self,
        now: clock::Instant,
        table: &slice::Table,
        owners: &[Owner],
    ) -> Vec<Move> {
        let cooldown = self.config.cooldown;
        self.recent_moves
            .retain(|(_, moved_at)| now.saturating_since(*moved_at) < cooldown);
        let mut moves = Vec::new();
        let mut loads: collections::BTreeMap<id::Server, f64> = owners
            .iter()
            .map(|owner| (owner.id, owner.load()))
            .collect();
        for owner in owners.iter().filter(|owner| owner.is_leaving) {
            self.drain_owner(table, owner, owners, &mut loads, &mut moves);
        }
        if moves.is_empty() {
            self.rebalance(now, table, owners, &mut loads, &mut moves);
        }
        moves
    }

    /// Moves all keys of `owner` to the eligible servers.
    fn drain_owner(
        &self,
        table: &slice::Table,
        owner: &Owner,
        owners: &[Owner],
        loads: &mut collections::BTreeMap<id::Server, f64>,
        moves: &mut Vec<Move>,
    ) {
        let owned: Vec<_> = table
            .slices()
            .iter()
            .filter(|slice| slice.owner == Some(owner.id))
            .collect();
        let eligible = owners.iter().filter(|other| other.is_eligible).count();
        if eligible == 0 {
            return;
        }
        let keys: u32 = owned.iter().map(|slice| slice.range.len()).sum();
        let width = (keys / eligible.min(MAX_NEW_OWNERS) as u32).max(1);
        for slice in owned {
            for range in split_range(slice.range, width) {
                let Some(to) = least_loaded(owners, loads, owner.id) else {
                    return;
                };
                let fraction = f64::from(range.len()) / f64::from(keys.max(1));
                let load = (owner.load() * fraction).max(0.001);
                *loads.entry(to).or_default() += load;
                moves.push(Move {
                    range,
                    from: Some(owner.id),
                    fence: slice.fence,
                    to,
                });
            }
        }
    }

    /// Moves parts from the most to the least loaded server among those with a current load
    /// report.
    ///
    /// The limit on moves in a round grows with the number of servers, so that a large service is
    /// balanced as fast as a small one.
    fn rebalance(
        &mut self,
        now: clock::Instant,
        table: &slice::Table,
        owners: &[Owner],
        loads: &mut collections::BTreeMap<id::Server, f64>,
        moves: &mut Vec<Move>,
    ) {
        let comparable: Vec<_> = owners
            .iter()
            .filter(|owner| !owner.has_stale_load)
            .collect();
        let normal_limit = self.config.min_round_moves.max(comparable.len() / 2);
        let max_limit = self.config.min_round_moves.max(comparable.len());
        let total: f64 = comparable.iter().map(|owner| loads[&owner.id]).sum();
        let imbalanced_load = total / comparable.len().max(1) as f64 * IMBALANCED_RATIO;
        let mut moved_parts = 0;
        while moved_parts < max_limit {
            let Some(busiest) = comparable.iter().max_by(|left, right| {
                let (left, right) = (loads[&left.id], loads[&right.id]);
                left.total_cmp(&right)
            }) else {
                return;
            };
            let Some(to) = least_loaded(comparable.iter().copied(), loads, busiest.id) else {
                return;
            };
            let (high, low) = (loads[&busiest.id], loads[&to]);
            if high < self.config.min_utilisation || high - low < self.config.tolerance {
                return;
            }
            if moved_parts >= normal_limit && high < imbalanced_load {
                return;
            }
            let slowdown_of = |id| owners.iter().find(|o| o.id == id).map(|o| o.slowdown);
            let factor = slowdown_of(to).unwrap_or(1.0) / busiest.slowdown.max(0.01);
            let slots = busiest.slots.max(1.0);
            // The largest part whose move lowers the higher load of the two servers by more than
            // half of the load of that part.
            let part = busiest
                .parts
                .iter()
                .filter(|part| !self.is_in_cooldown(part.range, moves))
                .filter(|part| low + part.load / slots * factor < high - part.load / slots * 0.5)
                .max_by(|left, right| left.load.total_cmp(&right.load));
            let Some(part) = part else {
                return;
            };
            // A part may span several slices; the slices beyond the limit move in a later round.
            let owned = table
                .slices()
                .iter()
                .filter(|slice| slice.owner == Some(busiest.id))
                .filter(|slice| slice.range.overlaps(part.range));
            let previous_count = moves.len();
            moves.extend(owned.take(MAX_SLICES_PER_PART).map(|slice| Move {
                range: slice::Range::new(
                    part.range.first.max(slice.range.first),
                    part.range.last.min(slice.range.last),
                ),
                from: Some(busiest.id),
                fence: slice.fence,
                to,
            }));
            if moves.len() == previous_count {
                return;
            }
            *loads.entry(busiest.id).or_default() -= part.load / slots;
            *loads.entry(to).or_default() += part.load / slots * factor;
            self.recent_moves.push((part.range, now));
            moved_parts += 1;
        }
    }

    /// Returns whether any key of `range` has moved recently or is in a planned move.
    fn is_in_cooldown(&self, range: slice::Range, moves: &[Move]) -> bool {
        self.recent_moves
            .iter()
            .any(|(moved, _)| moved.overlaps(range))
            || moves
                .iter()
                .any(|planned_move| planned_move.range.overlaps(range))
    }
}

/// Returns the eligible owner with the lowest load, apart from `excluded`.
fn least_loaded<'a, I>(
    owners: I,
    loads: &collections::BTreeMap<id::Server, f64>,
    excluded: id::Server,
) -> Option<id::Server>
where
    I: IntoIterator<Item = &'a Owner>,
{
    owners
        .into_iter()
        .filter(|owner| owner.is_eligible && owner.id != excluded)
        .min_by(|left, right| loads[&left.id].total_cmp(&loads[&right.id]))
        .map(|owner| owner.id)
}

/// Splits a range into ranges of about `width` keys.
fn split_range(range: slice::Range, width: u32) -> Vec<slice::Range> {
    let mut ranges = Vec::new();
    let mut first = u32::from(range.first);
    let last = u32::from(range.last);
    while first <= last {
        // A remainder of up to half of `width` is added to the range before it.
        let end = first + width - 1;
        let end = if end + width / 2 >= last { last } else { end };
        ranges.push(slice::Range::new(first as slice::Key, end as slice::Key));
        first = end + 1;
    }
    ranges
}
