//! Tests of the planner under load patterns, without a network.

use sequoiayoke_balance::planner;
use sequoiayoke_catalog::slice;
use sequoiayoke_dispatch::usage;
use sequoiayoke_model::{clock, id};

fn owner(number: u32, parts: Vec<usage::Part>) -> planner::Owner {
    planner::Owner {
        id: id::Server(number),
        slots: 12.0,
        is_eligible: true,
        is_leaving: false,
        slowdown: 1.0,
        parts,
        has_stale_load: false,
    }
}

fn part(first: u16, last: u16, load: f64) -> usage::Part {
    usage::Part {
        range: slice::Range::new(first, last),
        load,
    }
}

fn apply(table: &mut slice::Table, moves: &[planner::Move], fence: u64) {
    for planned in moves {
        let change = slice::Move {
            service: "status".to_owned(),
            range: planned.range,
            expected: planned.fence,
            from: planned.from,
            to: planned.to,
            handover: None,
        };
        assert!(table.assign(&change, slice::Fence(fence)), "{planned:?}");
    }
}

fn owned_keys(table: &slice::Table, number: u32) -> u32 {
    let owned = table.slices().iter();
    let owned = owned.filter(|slice| slice.owner == Some(id::Server(number)));
    owned.map(|slice| slice.range.len()).sum()
}

/// Guards against keys that stay vacant, and against a single backend server that gets all of them.
#[test]
fn vacant_keys_are_divided_evenly() {
    let owners: Vec<_> = (0..5).map(|number| owner(number, Vec::new())).collect();
    let planner = planner::Planner::default();
    let mut table = slice::Table::new();
    let moves = planner.assign_vacant(&table, &owners);
    apply(&mut table, &moves, 1);
    for number in 0..5 {
        let share = owned_keys(&table, number);
        assert!((13_000..=13_300).contains(&share), "{share}");
    }
}

/// Guards against requests of other keys that wait behind those of a hot key. Other keys of its
/// owner move away until the loads are balanced.
#[test]
fn other_keys_move_away_from_the_owner_of_a_hot_key() {
    let mut planner = planner::Planner::default();
    let mut table = slice::Table::new();
    let unloaded = [owner(0, Vec::new()), owner(1, Vec::new())];
    let moves = planner.assign_vacant(&table, &unloaded);
    apply(&mut table, &moves, 1);
    let first = table.slices()[0].clone();
    let busy = first.owner.expect("the slice has an owner").0;
    let parts = vec![part(10, 10, 5.0), part(11, 200, 3.0), part(201, 900, 3.0)];
    let owners = [
        owner(busy, parts),
        owner(1 - busy, vec![part(40_000, 50_000, 2.0)]),
    ];
    let now = clock::Instant::from_micros(0);
    let moves = planner.balance(now, &table, &owners);
    assert!(!moves.is_empty());
    assert!(
        moves
            .iter()
            .all(|planned| planned.from == Some(id::Server(busy)))
    );
    let moved: f64 = moves
        .iter()
        .flat_map(|planned| {
            owners[0]
                .parts
                .iter()
                .filter(|part| part.range == planned.range)
        })
        .map(|part| part.load)
        .sum();
    assert!((3.0..=6.0).contains(&moved), "{moved}");
}

/// Guards against churn: a range that has just moved must not move again while the load report is
/// stale, and small differences of load must not cause moves.
#[test]
fn ranges_in_cooldown_and_small_differences_are_not_moved() {
    let mut planner = planner::Planner::default();
    let mut table = slice::Table::new();
    let unloaded = [owner(0, Vec::new()), owner(1, Vec::new())];
    let moves = planner.assign_vacant(&table, &unloaded);
    apply(&mut table, &moves, 1);
    let (first, second) = (table.slices()[0].owner, table.slices()[1].owner);
    let (first, second) = (first.expect("owned").0, second.expect("owned").0);
    let now = clock::Instant::from_micros(0);
    let even = [
        owner(first, vec![part(0, 100, 7.0)]),
        owner(second, vec![part(40_000, 41_000, 6.0)]),
    ];
    assert_eq!(planner.balance(now, &table, &even), []);
    let uneven = [
        owner(first, vec![part(0, 100, 6.0), part(101, 200, 4.0)]),
        owner(second, vec![part(40_000, 41_000, 2.0)]),
    ];
    let moves = planner.balance(now, &table, &uneven);
    assert_eq!(moves.len(), 1);
    // The load report is from before the move; the same range must not move again.
    assert_eq!(planner.balance(now, &table, &uneven), []);
}

/// Guards against keys that stay at a leaving backend server.
#[test]
fn all_keys_of_a_leaving_owner_move_away() {
    let mut planner = planner::Planner::default();
    let mut table = slice::Table::new();
    let mut owners: Vec<_> = (0..3).map(|number| owner(number, Vec::new())).collect();
    let moves = planner.assign_vacant(&table, &owners);
    apply(&mut table, &moves, 1);
    (owners[1].is_eligible, owners[1].is_leaving) = (false, true);
    let now = clock::Instant::from_micros(0);
    let moves = planner.balance(now, &table, &owners);
    apply(&mut table, &moves, 2);
    assert_eq!(owned_keys(&table, 1), 0);
    assert!(owned_keys(&table, 0) > 25_000 && owned_keys(&table, 2) > 25_000);
}

/// Returns the highest utilisation after `rounds` rounds, half a second apart.
///
/// Moves take effect at once, but load reports are 1.5 s late.
fn highest_utilisation(servers: u32, rounds: u64) -> f64 {
    let mut planner = planner::Planner::default();
    let mut table = slice::Table::new();
    let unloaded: Vec<_> = (0..servers)
        .map(|number| owner(number, Vec::new()))
        .collect();
    let moves = planner.assign_vacant(&table, &unloaded);
    apply(&mut table, &moves, 1);
    // The first quarter of the keys has three quarters of the load.
    let mean = 6.0 * f64::from(servers) / 65_536.0;
    let load = |key: u16| if key < 16_384 { mean * 3.0 } else { mean / 3.0 };
    let parts = |table: &slice::Table, number: u32| {
        let owned = table.slices().iter();
        let owned = owned.filter(|slice| slice.owner == Some(id::Server(number)));
        let parts = owned.flat_map(|slice| {
            let keys: Vec<_> = (slice.range.first..=slice.range.last).collect();
            let chunks = keys.chunks(keys.len().div_ceil(8));
            let slice_parts: Vec<_> = chunks
                .map(|keys| {
                    let sum = keys.iter().map(|key| load(*key)).sum();
                    part(keys[0], keys[keys.len() - 1], sum)
                })
                .collect();
            slice_parts
        });
        parts.collect::<Vec<_>>()
    };
    let mut stale_until: std::collections::HashMap<u32, u64> = std::collections::HashMap::new();
    for round in 0..rounds {
        let now = clock::Instant::from_micros(round * 500_000);
        let owners: Vec<_> = (0..servers)
            .map(|number| planner::Owner {
                has_stale_load: stale_until.get(&number).is_some_and(|until| round < *until),
                ..owner(number, parts(&table, number))
            })
            .collect();
        let moves = planner.balance(now, &table, &owners);
        apply(&mut table, &moves, round + 2);
        for planned in &moves {
            for server in [planned.from, Some(planned.to)].into_iter().flatten() {
                stale_until.insert(server.0, round + 3);
            }
        }
    }
    let loads = (0..servers).map(|number| {
        let sum: f64 = parts(&table, number).iter().map(|part| part.load).sum();
        sum / 12.0
    });
    loads.fold(0.0, f64::max)
}

/// Guards against a large service that stays imbalanced for longer than a small one, because the
/// number of moves in a round does not grow with the number of backend servers.
#[test]
fn a_large_service_is_balanced_as_fast_as_a_small_one() {
    for servers in [5, 24, 96] {
        let highest = highest_utilisation(servers, 12);
        assert!(highest < 0.75, "{servers} servers: {highest}");
    }
}

/// Guards against moves to a backend server whose node is restarting: it has no load and so would
/// be the preferred new owner.
#[test]
fn an_ineligible_owner_keeps_its_keys_and_gets_none() {
    let mut planner = planner::Planner::default();
    let mut table = slice::Table::new();
    let unloaded: Vec<_> = (0..3).map(|number| owner(number, Vec::new())).collect();
    let moves = planner.assign_vacant(&table, &unloaded);
    apply(&mut table, &moves, 1);
    let number = |slice: usize| table.slices()[slice].owner.expect("owned").0;
    let owners = [
        owner(number(0), vec![part(0, 100, 6.0), part(101, 200, 4.0)]),
        owner(number(1), vec![part(30_000, 31_000, 2.0)]),
        planner::Owner {
            is_eligible: false,
            ..owner(number(2), Vec::new())
        },
    ];
    let moves = planner.balance(clock::Instant::from_micros(0), &table, &owners);
    assert_eq!(moves.len(), 1, "{moves:?}");
    assert_eq!(moves[0].to, owners[1].id);
}

/// Guards against a backend server that stays overloaded for many rounds while the others are idle.
/// This happens after a restart of all of them, when the first one to return gets most keys.
#[test]
fn a_severe_imbalance_is_reduced_in_one_round() {
    let mut planner = planner::Planner::default();
    let mut table = slice::Table::new();
    let first = [owner(0, Vec::new())];
    let moves = planner.assign_vacant(&table, &first);
    apply(&mut table, &moves, 1);
    // This load occupies half of the slots of 24 servers with 12 slots each.
    let parts = (0..24).map(|run| part(run * 2_000, run * 2_000 + 1_999, 6.0));
    let mut owners = vec![owner(0, parts.collect())];
    owners.extend((1..24).map(|number| owner(number, Vec::new())));
    let moves = planner.balance(clock::Instant::from_micros(0), &table, &owners);
    assert!(moves.len() >= 22, "{} moves", moves.len());
}

/// Guards against rounds in which keys move away from nearly every server, so that many keys have
/// no owner at the same time, although no server is far above the mean load.
#[test]
fn a_moderate_imbalance_is_reduced_in_small_rounds() {
    let mut planner = planner::Planner::default();
    let mut table = slice::Table::new();
    let unloaded: Vec<_> = (0..24).map(|number| owner(number, Vec::new())).collect();
    let moves = planner.assign_vacant(&table, &unloaded);
    apply(&mut table, &moves, 1);
    let owners: Vec<_> = (0..)
        .zip(table.slices())
        .map(|(index, slice)| {
            let first = slice.range.first;
            let busy = (0..5).map(|run| part(first + run * 100, first + run * 100 + 99, 2.0));
            let parts = busy.take(if index % 2 == 0 { 5 } else { 0 }).collect();
            owner(slice.owner.expect("owned").0, parts)
        })
        .collect();
    let moves = planner.balance(clock::Instant::from_micros(0), &table, &owners);
    assert_eq!(moves.len(), 12, "{moves:?}");
}

/// Guards against fragmented ownership after a service with hundreds of slices has lost all owners
/// at once: a move applies to one slice, so fragments would have to be moved one at a time.
#[test]
fn adjacent_vacant_slices_get_one_owner() {
    let mut table = slice::Table::new();
    let former: Vec<_> = (0..24).map(|number| owner(number, Vec::new())).collect();
    for piece in 0..600_u16 {
        let assignment = planner::Move {
            range: slice::Range::new(piece * 100, piece * 100 + 99),
            from: None,
            fence: slice::Fence(0),
            to: former[usize::from(piece * 7 % 24)].id,
        };
        apply(&mut table, &[assignment], u64::from(piece) + 1);
    }
    for server in &former {
        table.vacate(server.id);
    }
    let owners: Vec<_> = (100..124).map(|number| owner(number, Vec::new())).collect();
    let moves = planner::Planner::default().assign_vacant(&table, &owners);
    apply(&mut table, &moves, 1_000);
    assert!(
        table.slices().len() <= 30,
        "{} slices",
        table.slices().len()
    );
    for server in &owners {
        let share = owned_keys(&table, server.id.0);
        assert!((2_600..=2_850).contains(&share), "{share}");
    }
}

/// Guards against a move of one slice that counts as a move of the whole part, when a part of the
/// load spans several slices.
#[test]
fn a_part_that_spans_several_slices_moves_as_a_whole() {
    let mut planner = planner::Planner::default();
    let mut table = slice::Table::new();
    let unloaded = [owner(0, Vec::new()), owner(1, Vec::new())];
    for piece in 0..8_u16 {
        let assignment = planner::Move {
            range: slice::Range::new(piece * 100, piece * 100 + 99),
            from: None,
            fence: slice::Fence(0),
            to: unloaded[usize::from(piece % 2)].id,
        };
        apply(&mut table, &[assignment], u64::from(piece) + 1);
    }
    let owners = [
        owner(0, vec![part(0, 599, 5.0), part(600, 699, 4.0)]),
        owner(1, Vec::new()),
    ];
    let moves = planner.balance(clock::Instant::from_micros(0), &table, &owners);
    let moved: u32 = moves.iter().map(|planned| planned.range.len()).sum();
    assert_eq!(moved, 300, "{moves:?}");
}
