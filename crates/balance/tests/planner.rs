//! Plans for load patterns, without a network.

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
    for one in moves {
        let change = slice::Move {
            service: "status".to_owned(),
            range: one.range,
            expected: one.fence,
            from: one.from,
            to: one.to,
            handover: None,
        };
        assert!(table.assign(&change, slice::Fence(fence)), "{one:?}");
    }
}

fn held(table: &slice::Table, number: u32) -> u32 {
    let own = table.slices().iter();
    let own = own.filter(|slice| slice.owner == Some(id::Server(number)));
    own.map(|slice| slice.range.len()).sum()
}

/// Guards against vacant keys, and against all of them at one backend server.
#[test]
fn vacant_keys_are_spread() {
    let owners: Vec<_> = (0..5).map(|number| owner(number, Vec::new())).collect();
    let planner = planner::Planner::default();
    let mut table = slice::Table::new();
    let moves = planner.assign_vacant(&table, &owners);
    apply(&mut table, &moves, 1);
    for number in 0..5 {
        let share = held(&table, number);
        assert!((13_000..=13_300).contains(&share), "{share}");
    }
}

/// A hot key: guards against neighbours that wait behind it. Its owner gives
/// other keys away until it is no busier than it must be.
#[test]
fn the_owner_of_a_hot_key_gives_keys_away() {
    let mut planner = planner::Planner::default();
    let mut table = slice::Table::new();
    let bare = [owner(0, Vec::new()), owner(1, Vec::new())];
    let moves = planner.assign_vacant(&table, &bare);
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
    assert!(moves.iter().all(|one| one.from == Some(id::Server(busy))));
    let moved: f64 = moves
        .iter()
        .flat_map(|one| {
            owners[0]
                .parts
                .iter()
                .filter(|part| part.range == one.range)
        })
        .map(|part| part.load)
        .sum();
    assert!((3.0..=6.0).contains(&moved), "{moved}");
}

/// Guards against churn: a range that has moved rests, and small differences stay.
#[test]
fn a_moved_range_rests_and_small_differences_stay() {
    let mut planner = planner::Planner::default();
    let mut table = slice::Table::new();
    let bare = [owner(0, Vec::new()), owner(1, Vec::new())];
    let moves = planner.assign_vacant(&table, &bare);
    apply(&mut table, &moves, 1);
    let (one, other) = (table.slices()[0].owner, table.slices()[1].owner);
    let (one, other) = (one.expect("owned").0, other.expect("owned").0);
    let now = clock::Instant::from_micros(0);
    let even = [
        owner(one, vec![part(0, 100, 7.0)]),
        owner(other, vec![part(40_000, 41_000, 6.0)]),
    ];
    assert_eq!(planner.balance(now, &table, &even), []);
    let uneven = [
        owner(one, vec![part(0, 100, 6.0), part(101, 200, 4.0)]),
        owner(other, vec![part(40_000, 41_000, 2.0)]),
    ];
    let moves = planner.balance(now, &table, &uneven);
    assert_eq!(moves.len(), 1);
    // The report is still the old one; the same range must not move again.
    assert_eq!(planner.balance(now, &table, &uneven), []);
}

/// Guards against a leaving backend server that keeps keys.
#[test]
fn a_closed_owner_gives_all_keys_away() {
    let mut planner = planner::Planner::default();
    let mut table = slice::Table::new();
    let mut owners: Vec<_> = (0..3).map(|number| owner(number, Vec::new())).collect();
    let moves = planner.assign_vacant(&table, &owners);
    apply(&mut table, &moves, 1);
    (owners[1].is_eligible, owners[1].is_leaving) = (false, true);
    let now = clock::Instant::from_micros(0);
    let moves = planner.balance(now, &table, &owners);
    apply(&mut table, &moves, 2);
    assert_eq!(held(&table, 1), 0);
    assert!(held(&table, 0) > 25_000 && held(&table, 2) > 25_000);
}

/// Returns the highest utilisation among the owners after `rounds` rounds, half a second
/// apart, in which moves take effect at once but load is reported 1.5 s late.
fn level_out(servers: u32, rounds: u64) -> f64 {
    let mut planner = planner::Planner::default();
    let mut table = slice::Table::new();
    let bare: Vec<_> = (0..servers).map(|one| owner(one, Vec::new())).collect();
    let moves = planner.assign_vacant(&table, &bare);
    apply(&mut table, &moves, 1);
    // The first quarter of the keys has three quarters of the load.
    let mean = 6.0 * f64::from(servers) / 65_536.0;
    let load = |key: u16| if key < 16_384 { mean * 3.0 } else { mean / 3.0 };
    let parts = |table: &slice::Table, number: u32| {
        let own = table.slices().iter();
        let own = own.filter(|slice| slice.owner == Some(id::Server(number)));
        let parts = own.flat_map(|slice| {
            let keys: Vec<_> = (slice.range.first..=slice.range.last).collect();
            let cut = keys.chunks(keys.len().div_ceil(8));
            let cut: Vec<_> = cut
                .map(|keys| {
                    let sum = keys.iter().map(|key| load(*key)).sum();
                    part(keys[0], keys[keys.len() - 1], sum)
                })
                .collect();
            cut
        });
        parts.collect::<Vec<_>>()
    };
    let mut settles: std::collections::HashMap<u32, u64> = std::collections::HashMap::new();
    for round in 0..rounds {
        let now = clock::Instant::from_micros(round * 500_000);
        let owners: Vec<_> = (0..servers)
            .map(|number| planner::Owner {
                has_stale_load: settles.get(&number).is_some_and(|until| round < *until),
                ..owner(number, parts(&table, number))
            })
            .collect();
        let moves = planner.balance(now, &table, &owners);
        apply(&mut table, &moves, round + 2);
        for one in &moves {
            for server in [one.from, Some(one.to)].into_iter().flatten() {
                settles.insert(server.0, round + 3);
            }
        }
    }
    let loads = (0..servers).map(|number| {
        let sum: f64 = parts(&table, number).iter().map(|part| part.load).sum();
        sum / 12.0
    });
    loads.fold(0.0, f64::max)
}

/// A skewed start: guards against a service of many backend servers whose busy ones keep
/// too much for longer than those of a small one, because only a few keys move at a time.
#[test]
fn many_servers_level_out_as_fast_as_a_few() {
    for servers in [5, 24, 96] {
        let highest = level_out(servers, 12);
        assert!(highest < 0.75, "{servers} servers: {highest}");
    }
}

/// Guards against keys that go to a backend server whose node is away for a restart:
/// without load it looks like the best one.
#[test]
fn an_absent_owner_keeps_its_keys_and_gets_none() {
    let mut planner = planner::Planner::default();
    let mut table = slice::Table::new();
    let bare: Vec<_> = (0..3).map(|number| owner(number, Vec::new())).collect();
    let moves = planner.assign_vacant(&table, &bare);
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

/// A backend server that was the first one back and got most keys: guards against one that
/// stays full for many rounds while the others, back a moment later, have nothing to do.
#[test]
fn one_that_has_most_of_the_load_gives_it_away_in_one_round() {
    let mut planner = planner::Planner::default();
    let mut table = slice::Table::new();
    let first = [owner(0, Vec::new())];
    let moves = planner.assign_vacant(&table, &first);
    apply(&mut table, &moves, 1);
    // 24 servers with 12 slots each could run this load at half of their slots.
    let parts = (0..24).map(|run| part(run * 2_000, run * 2_000 + 1_999, 6.0));
    let mut owners = vec![owner(0, parts.collect())];
    owners.extend((1..24).map(|number| owner(number, Vec::new())));
    let moves = planner.balance(clock::Instant::from_micros(0), &table, &owners);
    assert!(moves.len() >= 22, "{} moves", moves.len());
}

/// Every other server busier than the mean, none of them by far: guards against rounds in
/// which nearly every server gives keys away, so that many keys have no owner at once.
#[test]
fn ordinary_differences_move_in_small_rounds() {
    let mut planner = planner::Planner::default();
    let mut table = slice::Table::new();
    let bare: Vec<_> = (0..24).map(|number| owner(number, Vec::new())).collect();
    let moves = planner.assign_vacant(&table, &bare);
    apply(&mut table, &moves, 1);
    let owners: Vec<_> = (0..)
        .zip(table.slices())
        .map(|(place, slice)| {
            let first = slice.range.first;
            let busy = (0..5).map(|one| part(first + one * 100, first + one * 100 + 99, 2.0));
            let parts = busy.take(if place % 2 == 0 { 5 } else { 0 }).collect();
            owner(slice.owner.expect("owned").0, parts)
        })
        .collect();
    let moves = planner.balance(clock::Instant::from_micros(0), &table, &owners);
    assert_eq!(moves.len(), 12, "{moves:?}");
}

/// A service that has lost all owners at once, with its keys in hundreds of pieces: guards
/// against owners of pieces from everywhere, of which a move reaches only one at a time.
#[test]
fn vacant_pieces_that_are_neighbours_get_one_owner() {
    let mut table = slice::Table::new();
    let former: Vec<_> = (0..24).map(|number| owner(number, Vec::new())).collect();
    for piece in 0..600_u16 {
        let one = planner::Move {
            range: slice::Range::new(piece * 100, piece * 100 + 99),
            from: None,
            fence: slice::Fence(0),
            to: former[usize::from(piece * 7 % 24)].id,
        };
        apply(&mut table, &[one], u64::from(piece) + 1);
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
        let share = held(&table, server.id.0);
        assert!((2_600..=2_850).contains(&share), "{share}");
    }
}

/// A part of the load that lies in several slices: guards against a move of one of them
/// that counts as a move of all.
#[test]
fn a_part_in_several_slices_moves_whole() {
    let mut planner = planner::Planner::default();
    let mut table = slice::Table::new();
    let both = [owner(0, Vec::new()), owner(1, Vec::new())];
    for piece in 0..8_u16 {
        let one = planner::Move {
            range: slice::Range::new(piece * 100, piece * 100 + 99),
            from: None,
            fence: slice::Fence(0),
            to: both[usize::from(piece % 2)].id,
        };
        apply(&mut table, &[one], u64::from(piece) + 1);
    }
    let owners = [
        owner(0, vec![part(0, 599, 5.0), part(600, 699, 4.0)]),
        owner(1, Vec::new()),
    ];
    let moves = planner.balance(clock::Instant::from_micros(0), &table, &owners);
    let moved: u32 = moves.iter().map(|one| one.range.len()).sum();
    assert_eq!(moved, 300, "{moves:?}");
}
