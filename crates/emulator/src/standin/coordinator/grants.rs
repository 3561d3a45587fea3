//! Ranges that the server owns, with the epochs by which it fences requests.

use std::collections;

use sequoiayoke_model::id;
use sequoiayoke_model::key;
use sequoiayoke_model::range;

/// Segments kept for each service, far above the slices that a server can hold.
pub const MAX_SEGMENTS: usize = 65_536;

/// Services of which segments are kept.
pub const MAX_SERVICES: usize = 64;

/// The table of segments is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Ownership {
    #[default]
    Never,
    Granted,
    Revoked,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Segment {
    epoch: id::Epoch,
    ownership: Ownership,
    prepared: bool,
    // Epoch of the last revocation, with which warm state was lost.
    revoked: Option<id::Epoch>,
}

/// Per service, segments that cover the hash space, by their first position.
type Segments = collections::BTreeMap<key::Hash, Segment>;

/// Ranges granted, revoked and prepared, for all services.
///
/// # Examples
///
/// ```
/// use sequoiayoke_emulator::standin::coordinator::grants;
/// use sequoiayoke_model::{id, key, range};
///
/// let mut grants = grants::Grants::default();
/// grants.grant("refunds", range::Range::FULL, id::Epoch(7)).expect("there is room");
/// assert!(grants.admits("refunds", key::Hash(1), id::Epoch(7)));
/// assert!(!grants.admits("refunds", key::Hash(1), id::Epoch(6)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Grants {
    services: collections::BTreeMap<String, Segments>,
}

impl Grants {
    /// Owns the range, but for the parts that have seen a later epoch.
    ///
    /// A grant that arrives after its own revocation changes nothing.
    ///
    /// # Errors
    ///
    /// Fails if the table is full.
    pub fn grant(
        &mut self,
        service: &str,
        range: range::Range,
        epoch: id::Epoch,
    ) -> Result<(), Full> {
        self.change(service, range, |segment| {
            let revoked = segment.ownership == Ownership::Revoked;
            if epoch > segment.epoch || (epoch == segment.epoch && !revoked) {
                segment.epoch = epoch;
                segment.ownership = Ownership::Granted;
            }
        })
    }

    /// Disowns the range, but for the parts that have seen a later epoch.
    ///
    /// # Errors
    ///
    /// Fails if the table is full.
    pub fn revoke(
        &mut self,
        service: &str,
        range: range::Range,
        epoch: id::Epoch,
    ) -> Result<(), Full> {
        self.change(service, range, |segment| {
            if epoch >= segment.epoch {
                *segment = Segment {
                    epoch,
                    ownership: Ownership::Revoked,
                    prepared: false,
                    revoked: Some(epoch),
                };
            }
        })
    }

    /// Marks the range as warm.
    ///
    /// # Errors
    ///
    /// Fails if the table is full.
    pub fn prepare(&mut self, service: &str, range: range::Range) -> Result<(), Full> {
        self.change(service, range, |segment| segment.prepared = true)
    }

    /// Tells whether a request of this epoch may run.
    pub fn admits(&self, service: &str, hash: key::Hash, epoch: id::Epoch) -> bool {
        self.find(service, hash).is_some_and(|segment| {
            segment.ownership == Ownership::Granted && epoch >= segment.epoch
        })
    }

    /// Tells whether the position lies in a range that was prepared.
    pub fn is_prepared(&self, service: &str, hash: key::Hash) -> bool {
        let segment = self.find(service, hash);
        segment.is_some_and(|segment| segment.prepared)
    }

    /// Returns the epoch of the last revocation of the position.
    pub fn revoked(&self, service: &str, hash: key::Hash) -> Option<id::Epoch> {
        self.find(service, hash)?.revoked
    }

    /// Returns the present epoch of the position, if a grant or a revocation set one.
    pub fn epoch(&self, service: &str, hash: key::Hash) -> Option<id::Epoch> {
        self.find(service, hash)
            .filter(|segment| segment.ownership != Ownership::Never)
            .map(|segment| segment.epoch)
    }

    fn find(&self, service: &str, hash: key::Hash) -> Option<&Segment> {
        let segments = self.services.get(service)?;
        segments
            .range(..=hash)
            .next_back()
            .map(|(_, segment)| segment)
    }

    fn change<C>(&mut self, service: &str, range: range::Range, change: C) -> Result<(), Full>
    where
        C: Fn(&mut Segment),
    {
        if !self.services.contains_key(service) && self.services.len() >= MAX_SERVICES {
            return Err(Full);
        }
        let segments = self
            .services
            .entry(service.to_owned())
            .or_insert_with(|| [(key::Hash::MIN, Segment::default())].into());
        if segments.len() + 2 > MAX_SEGMENTS {
            return Err(Full);
        }
        cut(segments, range.first);
        if let Some(after) = range.last.0.checked_add(1) {
            cut(segments, key::Hash(after));
        }
        for (_, segment) in segments.range_mut(range.first..=range.last) {
            change(segment);
        }
        join(segments);
        Ok(())
    }
}

/// Makes a segment start at `at`.
fn cut(segments: &mut Segments, at: key::Hash) {
    let below = segments.range(..=at).next_back();
    let (start, segment) = below.expect("the first segment starts at zero");
    if *start != at {
        let copy = *segment;
        segments.insert(at, copy);
    }
}

/// Joins neighbours that are equal, so that the table stays small.
fn join(segments: &mut Segments) {
    let mut before = None;
    segments.retain(|_, segment| {
        let keep = before != Some(*segment);
        before = Some(*segment);
        keep
    });
}
