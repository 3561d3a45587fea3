//! Publication of changes of the view to the nodes.

use bytes::BytesMut;
use sequoiayoke_control::coordinator::publish;
use sequoiayoke_model::{id, key, table, view};
use sequoiayoke_wire::{convert, frame, session};
use tokio_util::codec::Decoder;

type Codec = frame::Codec<session::FromControl, session::FromControl>;

const SERVICE: id::Service = id::Service(1);

fn slice(start: u64, epoch: u64) -> view::Change {
    let holder = table::Holder {
        server: id::Server(1),
        incarnation: id::Incarnation(2),
        epoch: id::Epoch(epoch),
    };
    let slice = table::Slice {
        start: key::Hash(start),
        holder: Some(holder),
    };
    view::Change::Slice(SERVICE, slice)
}

/// Returns a publisher that has `steps` versions, and the view at each of them.
fn history(steps: u64) -> (publish::Publisher, Vec<view::View>) {
    let mut publisher = publish::Publisher::new(id::Version(0));
    let mut view = view::View::new();
    let mut views = vec![view.clone()];
    for step in 1..=steps {
        let change = slice(step * 10, step);
        view.apply(id::Version(step), [change.clone()]);
        publisher.push(id::Version(step), vec![change]);
        views.push(view.clone());
    }
    (publisher, views)
}

/// Applies frames as a node does, and returns the resulting view.
fn follow(mut view: view::View, frames: &[bytes::Bytes]) -> view::View {
    let mut parts = Vec::new();
    for bytes in frames {
        assert!(bytes.len() <= frame::MAX_FRAME + 4);
        let mut buffer = BytesMut::from(bytes.as_ref());
        let decoded = Codec::new().decode(&mut buffer).expect("a whole frame");
        let Some(session::ControlBody::Delta(delta)) = decoded.and_then(|message| message.body)
        else {
            panic!("no delta");
        };
        let changes = delta.changes.into_iter().map(convert::decode_change);
        parts.extend(changes.map(|change| change.expect("a change")));
        if delta.more {
            continue;
        }
        if delta.from == 0 {
            view = view::View::new();
        }
        assert_eq!(
            view.version(),
            id::Version(delta.from),
            "the changes fit the view"
        );
        view.apply(id::Version(delta.to), std::mem::take(&mut parts));
    }
    view
}

/// Guards against a node that misses a change: it must reach the same view from every version.
#[test]
fn every_version_leads_to_the_current_view() {
    let (publisher, views) = history(40);
    let current = &views[40];
    for view in &views {
        let frames = publisher.frames(view.version(), current);
        assert_eq!(&follow(view.clone(), &frames), current);
    }
}

/// Guards against a node that gets only the kept changes although it is further behind
/// than they reach: it must get a snapshot instead.
#[test]
fn a_node_far_behind_gets_a_snapshot() {
    let (publisher, views) = history(3_000);
    let current = &views[3_000];
    let behind = &views[5];
    let frames = publisher.frames(behind.version(), current);
    assert_eq!(&follow(behind.clone(), &frames), current);
}

/// Guards against a frame above the limit when a snapshot has many slices.
#[test]
fn a_large_snapshot_comes_in_parts() {
    let mut view = view::View::new();
    let changes = (0..50_000).map(|index| slice(index * 1_000, index));
    view.apply(id::Version(9), changes);
    let publisher = publish::Publisher::new(id::Version(9));
    let frames = publisher.frames(id::Version(0), &view);
    assert!(frames.len() > 1);
    assert_eq!(follow(view::View::new(), &frames), view);
}
