//! The planner.

use std::collections;
use std::time::Duration;

use sequoiayoke_catalog::slice;
use sequoiayoke_dispatch::usage;
use sequoiayoke_model::clock;
use sequoiayoke_model::id;

/// Backend servers that the keys of a leaving one are spread over at most: each run of
/// keys costs commands at both ends.
const MAX_HEIRS: usize = 12;

/// Slices that one part of the load moves in at most.
const MAX_SLICES: usize = 8;
/// Load of a backend server, in means of its service, that is levelled out in one round.
/// Smaller differences move in smaller rounds, since each move leaves its keys without an
/// owner for a moment.
const LOPSIDED: f64 = 3.0;

/// Settings of the planner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Difference of utilisation between two backend servers that is left alone.
    pub tolerance: f64,
    /// Utilisation below which a backend server gives nothing away.
    pub min_utilisation: f64,
    /// Time for which a range that has moved stays where it is.
    pub cooldown: Duration,
    /// Moves that a round may have however few backend servers there are; with more
    /// of them it may have one for every two, and one for each while one of them has a
    /// multiple of the mean load.
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
    /// Its number.
    pub id: id::Server,
    /// Requests that it runs at the same time.
    pub slots: f64,
    /// Whether it may be given keys.
    pub is_eligible: bool,
    /// Whether it gives all its keys away, because it fails, or it or its node is about
    /// to stop.
    pub is_leaving: bool,
    /// Relative time that it takes for a request; 1 is the mean.
    pub slowdown: f64,
    /// Load of its keys.
    pub parts: Vec<usage::Part>,
    /// Whether a move to or from it is under way, or so recent that its load is
    /// still reported as it was before.
    pub has_stale_load: bool,
}

impl Owner {
    fn load(&self) -> f64 {
        self.parts.iter().map(|part| part.load).sum::<f64>() / self.slots.max(1.0)
    }
}

/// A range that its owner should release, and for whom.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Move {
    /// The keys.
    pub range: slice::Range,
    /// Present owner; `None` for vacant keys, which need no release.
    pub from: Option<id::Server>,
    /// Grant of the slice.
    pub fence: slice::Fence,
    /// New owner.
    pub to: id::Server,
}

/// Plans the moves of one service.
#[derive(Debug, Default)]
pub struct Planner {
    config: Config,
    moved: Vec<(slice::Range, clock::Instant)>,
}

impl Planner {
    /// Makes a planner.
    pub const fn new(config: Config) -> Self {
        Self {
            config,
            moved: Vec::new(),
        }
    }

    /// Returns owners for all vacant slices.
    ///
    /// Vacant keys go in order to the open servers that hold the fewest keys, each up to
    /// an equal part of all keys. Neighbours then have one owner and become one slice,
    /// however small the pieces were before.
    pub fn assign_vacant(&self, table: &slice::Table, owners: &[Owner]) -> Vec<Move> {
        let keys_of = |id: Option<id::Server>| -> f64 {
            let own = table.slices().iter().filter(|slice| slice.owner == id);
            f64::from(own.map(|slice| slice.range.len()).sum::<u32>())
        };
        let mut open: Vec<_> = owners
            .iter()
            .filter(|owner| owner.is_eligible)
            .map(|owner| (keys_of(Some(owner.id)) * owner.slowdown, owner))
            .collect();
        if open.is_empty() {
            return Vec::new();
        }
        let held: f64 = open.iter().map(|(held, _)| held).sum();
        let fair = (held + keys_of(None)) / open.len() as f64;
        open.sort_by(|(one, _), (other, _)| other.total_cmp(one));
        let mut moves = Vec::new();
        // The one that holds the fewest is last; it is full once it has its part.
        let room = |(held, owner): &(f64, &Owner)| (fair - held) / owner.slowdown.max(0.01);
        let Some(mut present) = open.pop() else {
            return Vec::new();
        };
        let mut left = room(&present);
        for vacant in table.slices().iter().filter(|slice| slice.owner.is_none()) {
            let mut first = u32::from(vacant.range.first);
            let last = u32::from(vacant.range.last);
            while first <= last {
                if left < 1.0
                    && let Some(next) = open.pop()
                {
                    present = next;
                    left = room(&present);
                    continue;
                }
                // The last server takes what rounding has left.
                let width = match open.is_empty() {
                    true => last - first + 1,
                    false => (left as u32).clamp(1, last - first + 1),
                };
                let end = first + width - 1;
                moves.push(Move {
                    range: slice::Range::new(first as slice::Key, end as slice::Key),
                    from: None,
                    fence: vacant.fence,
                    to: present.1.id,
                });
                left -= f64::from(width);
                first = end + 1;
            }
        }
        moves
    }

    /// Returns ranges to move from busy or closed owners to others.
    pub fn balance(
        &mut self,
        now: clock::Instant,
        table: &slice::Table,
        owners: &[Owner],
    ) -> Vec<Move> {
        let rest = self.config.cooldown;
        self.moved
            .retain(|(_, at)| now.saturating_since(*at) < rest);
        let mut moves = Vec::new();
        let mut loads: collections::BTreeMap<id::Server, f64> = owners
            .iter()
            .map(|owner| (owner.id, owner.load()))
            .collect();
        for owner in owners.iter().filter(|owner| owner.is_leaving) {
            self.empty(table, owner, owners, &mut loads, &mut moves);
        }
        if moves.is_empty() {
            self.level(now, table, owners, &mut loads, &mut moves);
        }
        moves
    }

    /// Gives all keys of `owner` away, spread over the open servers.
    fn empty(
        &self,
        table: &slice::Table,
        owner: &Owner,
        owners: &[Owner],
        loads: &mut collections::BTreeMap<id::Server, f64>,
        moves: &mut Vec<Move>,
    ) {
        let own: Vec<_> = table
            .slices()
            .iter()
            .filter(|slice| slice.owner == Some(owner.id))
            .collect();
        let open = owners.iter().filter(|one| one.is_eligible).count();
        if open == 0 {
            return;
        }
        let keys: u32 = own.iter().map(|slice| slice.range.len()).sum();
        let width = (keys / open.min(MAX_HEIRS) as u32).max(1);
        for slice in own {
            for range in cut(slice.range, width) {
                let Some(to) = least(owners, loads, owner.id) else {
                    return;
                };
                let share = f64::from(range.len()) / f64::from(keys.max(1));
                let load = (owner.load() * share).max(0.001);
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

    /// Moves parts from the busiest to the least busy of the servers whose load is known.
    ///
    /// A round grows with the number of servers, so that many of them level out as
    /// fast as a few.
    fn level(
        &mut self,
        now: clock::Instant,
        table: &slice::Table,
        owners: &[Owner],
        loads: &mut collections::BTreeMap<id::Server, f64>,
        moves: &mut Vec<Move>,
    ) {
        let known: Vec<_> = owners
            .iter()
            .filter(|owner| !owner.has_stale_load)
            .collect();
        let ordinary = self.config.min_round_moves.max(known.len() / 2);
        let most = self.config.min_round_moves.max(known.len());
        let total: f64 = known.iter().map(|owner| loads[&owner.id]).sum();
        let lopsided = total / known.len().max(1) as f64 * LOPSIDED;
        let mut parts = 0;
        while parts < most {
            let Some(busiest) = known.iter().max_by(|one, other| {
                let (one, other) = (loads[&one.id], loads[&other.id]);
                one.total_cmp(&other)
            }) else {
                return;
            };
            let Some(to) = least(known.iter().copied(), loads, busiest.id) else {
                return;
            };
            let (high, low) = (loads[&busiest.id], loads[&to]);
            if high < self.config.min_utilisation || high - low < self.config.tolerance {
                return;
            }
            if parts >= ordinary && high < lopsided {
                return;
            }
            let pace = |id| {
                owners
                    .iter()
                    .find(|one| one.id == id)
                    .map(|one| one.slowdown)
            };
            let change = pace(to).unwrap_or(1.0) / busiest.slowdown.max(0.01);
            let slots = busiest.slots.max(1.0);
            // The largest part after whose move the other one is not the busier of the two.
            let part = busiest
                .parts
                .iter()
                .filter(|part| !self.is_resting(part.range, moves))
                .filter(|part| low + part.load / slots * change < high - part.load / slots * 0.5)
                .max_by(|one, other| one.load.total_cmp(&other.load));
            let Some(part) = part else {
                return;
            };
            // A part may lie in several slices; what is left of it moves in a later round.
            let own = table
                .slices()
                .iter()
                .filter(|slice| slice.owner == Some(busiest.id))
                .filter(|slice| slice.range.overlaps(part.range));
            let planned = moves.len();
            moves.extend(own.take(MAX_SLICES).map(|slice| Move {
                range: slice::Range::new(
                    part.range.first.max(slice.range.first),
                    part.range.last.min(slice.range.last),
                ),
                from: Some(busiest.id),
                fence: slice.fence,
                to,
            }));
            if moves.len() == planned {
                return;
            }
            *loads.entry(busiest.id).or_default() -= part.load / slots;
            *loads.entry(to).or_default() += part.load / slots * change;
            self.moved.push((part.range, now));
            parts += 1;
        }
    }

    fn is_resting(&self, range: slice::Range, moves: &[Move]) -> bool {
        self.moved.iter().any(|(moved, _)| moved.overlaps(range))
            || moves.iter().any(|planned| planned.range.overlaps(range))
    }
}

fn least<'a, I>(
    owners: I,
    loads: &collections::BTreeMap<id::Server, f64>,
    except: id::Server,
) -> Option<id::Server>
where
    I: IntoIterator<Item = &'a Owner>,
{
    owners
        .into_iter()
        .filter(|owner| owner.is_eligible && owner.id != except)
        .min_by(|one, other| loads[&one.id].total_cmp(&loads[&other.id]))
        .map(|owner| owner.id)
}

/// Cuts a range into runs of at most `width` keys.
fn cut(range: slice::Range, width: u32) -> Vec<slice::Range> {
    let mut parts = Vec::new();
    let mut first = u32::from(range.first);
    let last = u32::from(range.last);
    while first <= last {
        // A remainder smaller than half a run joins the run before it.
        let end = first + width - 1;
        let end = if end + width / 2 >= last { last } else { end };
        parts.push(slice::Range::new(first as slice::Key, end as slice::Key));
        first = end + 1;
    }
    parts
}
