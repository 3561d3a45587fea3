//! Ranges that the server owns, with the epochs that fence its requests.

use std::collections;

use sequoiayoke_model::id;
use sequoiayoke_model::key;
use sequoiayoke_model::range;

/// Largest number of segments of each service, far above the number of slices that a server
/// can own.
pub const MAX_SEGMENTS: usize = 65_536;

/// Largest number of services with segments.
pub const MAX_SERVICES: usize = 64;

/// The table of segments is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overflow;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Ownership {
    #[default]
    Unset,
    Granted,
    Revoked,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Segment {
    epoch: id::Epoch,
    ownership: Ownership,
    prepared: bool,
    // Epoch of the last revocation, at which the range lost its warm state.
    revocation_epoch: Option<id::Epoch>,
}

/// Segments of one service by their first position; they cover the whole hash space.
type Segments = collections::BTreeMap<key::Hash, Segment>;

/// Granted, revoked and prepared ranges of all services.
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
    /// Grants the range, except for the parts that have a later epoch.
    ///
    /// A grant that arrives after the revocation of the same epoch has no effect.
    ///
    /// # Errors
    ///
    /// Fails if the table is full.
    pub fn grant(
        &mut self,
        service: &str,
        range: range::Range,
        epoch: id::Epoch,
    ) -> Result<(), Overflow> {
        self.update_range(service, range, |segment| {
            let is_revoked = segment.ownership == Ownership::Revoked;
            if epoch > segment.epoch || (epoch == segment.epoch && !is_revoked) {
                segment.epoch = epoch;
                segment.ownership = Ownership::Granted;
            }
        })
    }

    /// Revokes the range, except for the parts that have a later epoch.
    ///
    /// # Errors
    ///
    /// Fails if the table is full.
    pub fn revoke(
        &mut self,
        service: &str,
        range: range::Range,
        epoch: id::Epoch,
    ) -> Result<(), Overflow> {
        self.update_range(service, range, |segment| {
            if epoch >= segment.epoch {
                *segment = Segment {
                    epoch,
                    ownership: Ownership::Revoked,
                    prepared: false,
                    revocation_epoch: Some(epoch),
                };
            }
        })
    }

    /// Marks the range as prepared, so that all its keys count as warm.
    ///
    /// # Errors
    ///
    /// Fails if the table is full.
    pub fn prepare(&mut self, service: &str, range: range::Range) -> Result<(), Overflow> {
        self.update_range(service, range, |segment| segment.prepared = true)
    }

    /// Returns whether a request with this epoch may run.
    pub fn admits(&self, service: &str, hash: key::Hash, epoch: id::Epoch) -> bool {
        self.segment_at(service, hash).is_some_and(|segment| {
            segment.ownership == Ownership::Granted && epoch >= segment.epoch
        })
    }

    /// Returns whether the position is in a prepared range.
    pub fn is_prepared(&self, service: &str, hash: key::Hash) -> bool {
        let segment = self.segment_at(service, hash);
        segment.is_some_and(|segment| segment.prepared)
    }

    /// Returns the epoch of the last revocation of the position.
    pub fn revocation_epoch(&self, service: &str, hash: key::Hash) -> Option<id::Epoch> {
        self.segment_at(service, hash)?.revocation_epoch
    }

    /// Returns the current epoch of the position, if a grant or a revocation has set it.
    pub fn epoch(&self, service: &str, hash: key::Hash) -> Option<id::Epoch> {
        self.segment_at(service, hash)
            .filter(|segment| segment.ownership != Ownership::Unset)
            .map(|segment| segment.epoch)
    }

    fn segment_at(&self, service: &str, hash: key::Hash) -> Option<&Segment> {
        let segments = self.services.get(service)?;
        segments
            .range(..=hash)
            .next_back()
            .map(|(_, segment)| segment)
    }

    fn update_range<U>(
        &mut self,
        service: &str,
        range: range::Range,
        update: U,
    ) -> Result<(), Overflow>
    where
        U: Fn(&mut Segment),
    {
        if !self.services.contains_key(service) && self.services.len() >= MAX_SERVICES {
            return Err(Overflow);
        }
        let segments = self
            .services
            .entry(service.to_owned())
            .or_insert_with(|| [(key::Hash::MIN, Segment::default())].into());
        if segments.len() + 2 > MAX_SEGMENTS {
            return Err(Overflow);
        }
        split_at(segments, range.first);
        if let Some(end) = range.last.0.checked_add(1) {
            split_at(segments, key::Hash(end));
        }
        for (_, segment) in segments.range_mut(range.first..=range.last) {
            update(segment);
        }
        merge_equal_neighbours(segments);
        Ok(())
    }
}

/// Splits the segment that contains `position`, so that a segment starts there.
fn split_at(segments: &mut Segments, position: key::Hash) {
    let preceding = segments.range(..=position).next_back();
    let (start, segment) = preceding.expect("the first segment starts at zero");
    if *start != position {
        let duplicate = *segment;
        segments.insert(position, duplicate);
    }
}

/// Merges equal neighbours, which limits the size of the table.
fn merge_equal_neighbours(segments: &mut Segments) {
    let mut previous = None;
    segments.retain(|_, segment| {
        let keep = previous != Some(*segment);
        previous = Some(*segment);
        keep
    });
}
