//! Announcements by several runs of the backend server to the same node.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use sequoiayoke_lease::holder;
use sequoiayoke_model::clock;
use sequoiayoke_node::coordinator::state;
use sequoiayoke_node::traffic::server;
use sequoiayoke_traffic::window;

const NOW: clock::Instant = clock::Instant::from_micros(1_000_000);

fn backend(instance: &str) -> server::Backend {
    server::Backend {
        name: "refunds-1".to_owned(),
        instance: instance.to_owned(),
        services: vec!["refunds".to_owned()],
        address: "127.0.0.1:1".parse().unwrap(),
        slots: 4,
        connections: 4,
        checks_fencing: true,
        checks_sender: false,
    }
}

fn node() -> state::State {
    let address = "127.0.0.1:1".parse().unwrap();
    let profile = state::Profile {
        region: "anatolia".to_owned(),
        failure_domain: "domain-1".to_owned(),
        peer_address: address,
        caller_address: address,
        max_slots: None,
    };
    state::State::new(
        profile,
        holder::Config::default(),
        window::Limits::default(),
    )
}

/// Returns the instances that the node started to use, in order.
fn used_instances(state: &mut state::State) -> Vec<String> {
    let effects = state.take_effects().into_iter();
    let instances = effects.filter_map(|effect| match effect {
        state::Effect::UseBackend(backend) => Some(backend.instance.clone()),
        _ => None,
    });
    instances.collect()
}

/// Guards against a replaced run that regains the keys: if it was only suspended, it announces
/// itself again when it resumes, and waiting requests would then run on it.
#[test]
fn replaced_run_is_ignored_while_its_successor_runs() {
    let mut state = node();
    for instance in ["a", "b", "a", "b", "a"] {
        state.handle_announcement(NOW, backend(instance));
    }
    assert_eq!(used_instances(&mut state), ["a", "b"]);
}

/// Guards against a service that stays without a server when only the replaced run is left.
#[test]
fn replaced_run_is_accepted_after_its_successor_stopped() {
    let mut state = node();
    state.handle_announcement(NOW, backend("a"));
    state.handle_announcement(NOW, backend("b"));
    let later = NOW + state::ANNOUNCE_TIMEOUT + Duration::from_millis(1);
    state.tick(later);
    state.handle_announcement(later, backend("a"));
    assert_eq!(used_instances(&mut state), ["a", "b", "a"]);
}
