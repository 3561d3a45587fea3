//! Keys of a backend server that collects its grants with its announcements.
//!
//! Such a backend server is sent no commands. Each announcement reports the keys that it holds, and
//! the response states all keys that it is to hold; keys that the response leaves out are released.

use std::time::Duration;

use sequoiayoke_catalog::slice;

/// Largest number of grants in a response, which has 4 KiB at most: a grant with a handover value takes
/// up to 46 bytes.
pub const MAX_GRANTS: usize = 84;

/// What a backend server reports about its keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Keys that it holds, or on which it still works.
    pub held: Vec<Holding>,
    /// Keys that it has released since its last announcement that was acknowledged.
    pub released: Vec<Released>,
}

/// Keys that are held under one grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holding {
    /// The keys.
    pub range: slice::Range,
    /// Fence of the grant.
    pub fence: slice::Fence,
}

/// Keys that were released together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Released {
    /// The keys.
    pub range: slice::Range,
    /// State that is handed over to the next owner.
    pub handover: Option<String>,
}

/// All keys that a backend server is to hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// The grants.
    pub grants: Vec<Grant>,
    /// Time for which the keys are held, counted from when the backend server sent the announcement.
    pub hold: Duration,
}

/// Keys that the backend server is to hold under one fence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The keys.
    pub range: slice::Range,
    /// Fence of the grant.
    pub fence: slice::Fence,
    /// State that the previous owner handed over.
    pub handover: Option<String>,
}

impl Report {
    /// Returns whether all keys of `range` are held under `fence`.
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_catalog::slice;
    /// use sequoiayoke_gateway::holdings;
    ///
    /// let held = [(8, 11), (12, 15)].map(|(first, last)| holdings::Holding {
    ///     range: slice::Range::new(first, last),
    ///     fence: slice::Fence(3),
    /// });
    /// let report = holdings::Report { held: held.to_vec(), released: Vec::new() };
    /// assert!(report.holds(slice::Range::new(9, 15), slice::Fence(3)));
    /// assert!(!report.holds(slice::Range::new(9, 16), slice::Fence(3)));
    /// assert!(!report.holds(slice::Range::new(9, 15), slice::Fence(4)));
    /// ```
    pub fn holds(&self, range: slice::Range, fence: slice::Fence) -> bool {
        let mut held: Vec<_> = self
            .held
            .iter()
            .filter(|holding| holding.fence == fence && holding.range.overlaps(range))
            .map(|holding| holding.range)
            .collect();
        held.sort();
        let mut next = u32::from(range.first);
        for part in held {
            if u32::from(part.first) > next {
                return false;
            }
            next = next.max(u32::from(part.last) + 1);
        }
        next > u32::from(range.last)
    }

    /// Returns whether any key of `range` is held.
    pub fn overlaps(&self, range: slice::Range) -> bool {
        self.held
            .iter()
            .any(|holding| holding.range.overlaps(range))
    }

    /// Returns the state that was handed over with the keys of `range`.
    ///
    /// Parts that were released separately have separate states, none of which is that of the
    /// whole range.
    pub fn handover(&self, range: slice::Range) -> Option<&str> {
        let mut released = self.released.iter();
        let released = released.find(|released| released.range.covers(range))?;
        released.handover.as_deref()
    }
}
