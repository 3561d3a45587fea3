//! Records of request ids across grants, splits and moves that control's frames announce.

#![allow(clippy::unwrap_used)]

use sequoiayoke_lease::holder;
use sequoiayoke_model::{clock, id, key, range, request, table, view};
use sequoiayoke_node::coordinator::state;
use sequoiayoke_node::traffic::server;
use sequoiayoke_traffic::window;
use sequoiayoke_wire::{convert, session};

const SERVICE: id::Service = id::Service(1);
const NOW: clock::Instant = clock::Instant::from_micros(1_000_000);

/// A node that has joined as incarnation 4 of server 1.
struct Node {
    state: state::State,
    version: u64,
}

impl Node {
    fn new() -> Self {
        let address = "127.0.0.1:1".parse().unwrap();
        let profile = state::Profile {
            region: "anatolia".to_owned(),
            failure_domain: "domain-1".to_owned(),
            peer_address: address,
            caller_address: address,
            max_slots: None,
        };
        let lease = holder::Config::default();
        let mut state = state::State::new(profile, lease, window::Limits::default());
        state.handle_session_up();
        state.handle_announcement(
            NOW,
            server::Backend {
                name: "refunds-1".to_owned(),
                instance: "a".to_owned(),
                services: vec!["refunds".to_owned()],
                address,
                slots: 4,
                connections: 4,
                checks_fencing: true,
                checks_sender: false,
            },
        );
        let (server, incarnation) = (1, 4);
        let welcome = session::Welcome {
            server,
            incarnation,
        };
        state.handle_frame(NOW, welcome.into());
        let mut node = Self { state, version: 0 };
        let service = view::Service {
            name: "refunds".to_owned(),
            idempotent: vec!["GET".to_owned()],
            scoped: false,
        };
        node.apply(&[view::Change::Service(SERVICE, service)]);
        node
    }

    /// Applies changes of the view, and acknowledges every grant for the backend server.
    fn apply(&mut self, changes: &[view::Change]) {
        let from = self.version;
        self.version += 1;
        let delta = session::Delta {
            from,
            to: self.version,
            changes: changes.iter().map(convert::encode_change).collect(),
            more: false,
        };
        self.state.handle_frame(NOW, delta.into());
        for effect in self.state.take_effects() {
            if let state::Effect::Grant(grant, ..) = effect {
                self.state.handle_grant_result(grant, Ok(()));
            }
        }
    }

    /// Starts `id` on the owned slice that contains `hash`; returns whether it may run.
    fn may_run(&self, id: request::Id, hash: key::Hash) -> bool {
        let snapshot = self.state.snapshot();
        let slice = snapshot.owned_slice(SERVICE, hash).unwrap();
        match slice.begin(id, hash, |_| ()) {
            Ok(run) => {
                run.end(window::End::Answered(None));
                true
            }
            Err(()) => false,
        }
    }
}

fn slice(start: u64, server: u32, incarnation: u64, epoch: u64) -> view::Change {
    let holder = table::Holder {
        server: id::Server(server),
        incarnation: id::Incarnation(incarnation),
        epoch: id::Epoch(epoch),
    };
    let slice = table::Slice {
        start: key::Hash(start),
        holder: Some(holder),
    };
    view::Change::Slice(SERVICE, slice)
}

fn prepare(epoch: u64) -> session::FromControl {
    let window = session::Window {
        since: 5,
        floor: 0,
        entries: Vec::new(),
    };
    let prepare = session::Prepare {
        service: SERVICE.0,
        start: 0,
        window: Some(window),
        epoch,
    };
    prepare.into()
}

/// Guards against using a record from an earlier failed move, which lacks the ids that ran
/// under the owner in between.
#[test]
fn record_from_before_another_owner_is_dropped() {
    let mut node = Node::new();
    node.apply(&[slice(0, 2, 3, 10)]);
    node.state.handle_frame(NOW, prepare(10));
    // The move to this node fails; server 3 gets the slice, runs ids, and fails.
    node.apply(&[slice(0, 3, 6, 20)]);
    node.apply(&[slice(0, 1, 4, 30)]);
    let ran_there = request::Id::new(id::Epoch(20), 1_000, 1);
    assert!(!node.may_run(ran_there, key::Hash(7)));
    assert!(node.may_run(request::Id::new(id::Epoch(30), 1_000, 2), key::Hash(7)));
}

/// Guards against using a record from before a snapshot, which may hide an owner in between.
#[test]
fn record_from_before_a_snapshot_is_dropped() {
    let mut node = Node::new();
    node.apply(&[slice(0, 2, 3, 10)]);
    node.state.handle_frame(NOW, prepare(10));
    node.version = 0;
    let service = view::Service {
        name: "refunds".to_owned(),
        idempotent: Vec::new(),
        scoped: false,
    };
    node.apply(&[view::Change::Service(SERVICE, service), slice(0, 1, 4, 30)]);
    let ran_there = request::Id::new(id::Epoch(20), 1_000, 1);
    assert!(!node.may_run(ran_there, key::Hash(7)));
}

/// Guards against a planned move that loses the record of ids.
#[test]
fn record_of_the_previous_owner_is_used() {
    let mut node = Node::new();
    node.apply(&[slice(0, 2, 3, 10)]);
    node.state.handle_frame(NOW, prepare(10));
    node.apply(&[slice(0, 1, 4, 30)]);
    assert!(node.may_run(request::Id::new(id::Epoch(10), 1_000, 1), key::Hash(7)));
}

/// Guards against splits and merges, alone or several in one change, that lose the record of
/// a part.
#[test]
fn splits_and_merges_preserve_the_records() {
    let mut node = Node::new();
    node.apply(&[slice(0, 1, 4, 10)]);
    let hashes = [0, 50, 100, 150, u64::MAX].map(key::Hash);
    let id = |hash: key::Hash| request::Id::new(id::Epoch(10), 1_000, hash.0);
    for hash in hashes {
        assert!(node.may_run(id(hash), hash));
    }
    let steps: [&[view::Change]; 4] = [
        &[slice(100, 1, 4, 10)],
        &[slice(101, 1, 4, 10), slice(50, 1, 4, 10)],
        &[view::Change::SliceMerged(SERVICE, key::Hash(101))],
        &[
            view::Change::SliceMerged(SERVICE, key::Hash(50)),
            view::Change::SliceMerged(SERVICE, key::Hash(100)),
        ],
    ];
    for (number, step) in steps.into_iter().enumerate() {
        node.apply(step);
        for hash in hashes {
            assert!(!node.may_run(id(hash), hash), "{hash} after step {number}");
        }
    }
    let snapshot = node.state.snapshot();
    let whole = snapshot.owned_slice(SERVICE, key::Hash(0)).unwrap();
    assert_eq!(whole.range(), range::Range::FULL);
}
