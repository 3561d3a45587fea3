//! Runs of the backend server that announce themselves to the same node.

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
    let place = state::Place {
        region: "anatolia".to_owned(),
        failure_domain: "domain-1".to_owned(),
        peer_address: address,
        caller_address: address,
        max_slots: None,
    };
    state::State::new(place, holder::Config::default(), window::Limits::default())
}

/// Returns the runs that the node begins to use.
fn used(state: &mut state::State) -> Vec<String> {
    let effects = state.take_effects().into_iter();
    let used = effects.filter_map(|effect| match effect {
        state::Effect::Use(backend) => Some(backend.instance.clone()),
        _ => None,
    });
    used.collect()
}

/// Guards against a run that was paused, was replaced meanwhile, and takes the keys back
/// when it resumes and announces itself: requests that waited would then run at it.
#[test]
fn a_replaced_run_does_not_return_while_its_successor_lives() {
    let mut state = node();
    for instance in ["a", "b", "a", "b", "a"] {
        state.announced(NOW, backend(instance));
    }
    assert_eq!(used(&mut state), ["a", "b"]);
}

/// Guards against a service without a server because only the replaced run is left.
#[test]
fn a_replaced_run_returns_once_its_successor_is_gone() {
    let mut state = node();
    state.announced(NOW, backend("a"));
    state.announced(NOW, backend("b"));
    let later = NOW + state::ANNOUNCE_TIMEOUT + Duration::from_millis(1);
    state.tick(later);
    state.announced(later, backend("a"));
    assert_eq!(used(&mut state), ["a", "b", "a"]);
}
