//! Causes of decisions, with the figures that log lines and explanations show.

use std::fmt;

use sequoiayoke_model::id;
use sequoiayoke_model::key;

/// Load of a server over its capacity, in thousandths of the mean of its service.
///
/// 1,000 is the mean; 1,500 is 1.5 times the mean.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Relative(pub u64);

impl fmt::Display for Relative {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}", self.0 / 1_000, self.0 % 1_000)
    }
}

/// Reason for an [`crate::action::Action`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The slice had no holder; the target was among the least loaded servers.
    Vacant {
        /// The target's load before the assignment.
        target: Relative,
    },
    /// An operator pinned the slice to the target.
    Pinned,
    /// The holder's server is draining or no longer offers the service.
    Draining,
    /// The holder's server responds too slowly to keep its slices.
    Stalled,
    /// The holder's health endpoint reports a failure and other servers can take over.
    Unhealthy,
    /// The move lowers the imbalance by more than it costs.
    Imbalance {
        /// The holder's load before the move.
        holder: Relative,
        /// The target's load before the move.
        target: Relative,
        /// Weighted gain: milliseconds for which all keys together would be on an
        /// overloaded server without the move.
        gain: u64,
        /// Weighted cost, in the same unit.
        cost: u64,
    },
    /// One key causes much of the load of its slice.
    HotKey {
        /// The key's position.
        key: key::Hash,
        /// The key's rate over the mean load of a server, in thousandths.
        share: u64,
    },
    /// The slice has so much load that moving it whole does not pay.
    Large {
        /// The slice's load over the mean load of a server, in thousandths.
        share: u64,
    },
    /// There are too few slices to spread over the servers.
    Coarse {
        /// Slices of the service.
        slices: usize,
        /// Servers of the service.
        servers: usize,
    },
    /// The slice and the one before it have little load and are merged; if their
    /// holders differ, the slice is first moved to the holder of the one before.
    Cold {
        /// Holder of the slice before it.
        server: id::Server,
    },
}

impl Cause {
    /// Returns the label value for metrics.
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_placement::cause;
    ///
    /// assert_eq!(cause::Cause::Draining.as_str(), "draining");
    /// ```
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Vacant { .. } => "vacant",
            Self::Pinned => "pinned",
            Self::Draining => "draining",
            Self::Stalled => "stalled",
            Self::Unhealthy => "unhealthy",
            Self::Imbalance { .. } => "imbalance",
            Self::HotKey { .. } => "hot-key",
            Self::Large { .. } => "large",
            Self::Coarse { .. } => "coarse",
            Self::Cold { .. } => "cold",
        }
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Vacant { target } => write!(f, "vacant, target at {target} of the mean load"),
            Self::Pinned => write!(f, "pinned to the target"),
            Self::Draining => write!(f, "holder is draining"),
            Self::Stalled => write!(f, "holder is stalled"),
            Self::Unhealthy => write!(f, "holder reports ill health"),
            Self::Imbalance {
                holder,
                target,
                gain,
                cost,
            } => write!(
                f,
                "imbalance, holder at {holder} and target at {target} of the mean load, \
                 gain {gain} ms against cost {cost} ms"
            ),
            Self::HotKey { key, share } => write!(
                f,
                "key {key} causes {} of the mean load of a server",
                Relative(*share)
            ),
            Self::Large { share } => write!(
                f,
                "the slice carries {} of the mean load of a server",
                Relative(*share)
            ),
            Self::Coarse { slices, servers } => {
                write!(f, "{slices} slices for {servers} servers")
            }
            Self::Cold { server } => write!(f, "cold, like the slice before it on {server}"),
        }
    }
}
