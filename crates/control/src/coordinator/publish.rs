//! Recent changes of the view, encoded for the nodes.

use std::collections;

use bytes::Bytes;
use sequoiayoke_model::id;
use sequoiayoke_model::view;
use sequoiayoke_wire::convert;
use sequoiayoke_wire::frame;
use sequoiayoke_wire::session;

/// Most versions that are kept; a node that is further behind gets a snapshot.
const MAX_VERSIONS: usize = 1_024;
/// Most changes in one frame, so that it stays below the frame limit.
const MAX_CHANGES_PER_FRAME: usize = 2_000;

/// The latest changes of the view.
#[derive(Debug, Default)]
pub struct Publisher {
    // Version before the first of `steps`.
    base: id::Version,
    steps: collections::VecDeque<(id::Version, Vec<view::Change>)>,
}

impl Publisher {
    /// Creates a publisher for a view whose earlier changes are not known.
    pub fn new(version: id::Version) -> Self {
        Self {
            base: version,
            steps: collections::VecDeque::new(),
        }
    }

    /// Adds the changes that led to `version`.
    pub fn push(&mut self, version: id::Version, changes: Vec<view::Change>) {
        self.steps.push_back((version, changes));
        if self.steps.len() > MAX_VERSIONS
            && let Some((version, _)) = self.steps.pop_front()
        {
            self.base = version;
        }
    }

    /// Encodes the frames that bring a node from version `from` to the version of `view`.
    pub fn frames(&self, from: id::Version, view: &view::View) -> Vec<Bytes> {
        if from == view.version() {
            return Vec::new();
        }
        let is_kept = from == self.base || self.steps.iter().any(|(version, _)| *version == from);
        let (from, changes) = match is_kept && from > id::Version(0) {
            true => (from, self.since(from)),
            false => (id::Version(0), view.to_changes()),
        };
        encode(from, view.version(), &changes)
    }

    fn since(&self, from: id::Version) -> Vec<view::Change> {
        let later = self.steps.iter().filter(|(version, _)| *version > from);
        later.flat_map(|(_, changes)| changes.clone()).collect()
    }
}

fn encode(from: id::Version, to: id::Version, changes: &[view::Change]) -> Vec<Bytes> {
    let count = changes.len().div_ceil(MAX_CHANGES_PER_FRAME).max(1);
    let parts = (0..count).map(|index| {
        let start = index * MAX_CHANGES_PER_FRAME;
        let part = &changes[start..changes.len().min(start + MAX_CHANGES_PER_FRAME)];
        let delta = session::Delta {
            from: from.0,
            to: to.0,
            changes: part.iter().map(convert::encode_change).collect(),
            more: index + 1 < count,
        };
        frame::encode(&session::FromControl::from(delta))
    });
    parts
        .map(|part| part.expect("a part of a delta is below the frame limit"))
        .collect()
}
