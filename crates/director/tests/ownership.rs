//! Random exploration of the owners of keys: a leader, nodes and backend servers of both kinds, which
//! get commands or collect their grants with their announcements.
//!
//! Messages are lost, late and repeated, nodes and leaders restart, commits stall, and the clocks of
//! backend servers run up to 2 % slow. Backend servers crash and start again under their names, and
//! whichever run listens at the address gets the commands. `OWNERSHIP_SEED` selects a single seed,
//! `OWNERSHIP_SEEDS` the number of seeds; a failure message has its seed.

#[path = "ownership/backend.rs"]
mod backend;
#[path = "ownership/world.rs"]
mod world;

use std::env;
use std::time::Duration;

/// Length of a lease that the leader grants.
const LEASE: Duration = Duration::from_millis(4_500);
/// Number of explored seeds for each kind of backend server.
const SEEDS: u64 = 60;

fn number_of(variable: &str) -> Option<u64> {
    env::var(variable).ok()?.parse().ok()
}

fn explore(kind: backend::Kind, node_lease: Duration) -> Option<String> {
    let seed = number_of("OWNERSHIP_SEED");
    let count = number_of("OWNERSHIP_SEEDS").unwrap_or(SEEDS);
    let seeds = seed.map_or(0..count, |seed| seed..seed + 1);
    let mut moves = 0;
    for number in seeds {
        let mut world = world::World::new(number, kind, (LEASE, node_lease), seed.is_some());
        match world.run() {
            Ok(assignments) => moves += assignments,
            Err(violation) => return Some(format!("seed {number}: {violation}")),
        }
    }
    assert!(moves > 0, "no keys have moved");
    None
}

/// Guards against a second owner of keys at backend servers that get commands.
#[test]
fn keys_have_one_owner_at_servers_that_get_commands() {
    assert_eq!(explore(backend::Kind::Push, LEASE), None);
}

/// Guards against a second owner of keys at backend servers that collect their grants.
#[test]
fn keys_have_one_owner_at_servers_that_collect_their_grants() {
    assert_eq!(explore(backend::Kind::Collect, LEASE), None);
}

/// Shows that the exploration finds a second owner when nodes take their lease for longer than the
/// leader does.
#[test]
fn a_lease_without_its_margin_leads_to_two_owners() {
    for kind in [backend::Kind::Push, backend::Kind::Collect] {
        let violation = explore(kind, LEASE * 3 / 2);
        assert!(violation.is_some(), "{kind:?}: no second owner was found");
    }
}
