//! What the planner asks the control leader to do.

use std::fmt;

use sequoiayoke_model::id;
use sequoiayoke_model::key;
use sequoiayoke_model::table;

use crate::cause;

/// One run of a backend server that is to receive a slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Target {
    /// Backend server.
    pub server: id::Server,
    /// Run of its node; the action is void if another run has begun.
    pub incarnation: id::Incarnation,
}

/// One decision and why it was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Grant a vacant slice.
    Assign {
        /// Service of the slice.
        service: id::Service,
        /// Start of the slice.
        start: key::Hash,
        /// New holder.
        to: Target,
        /// Why.
        cause: cause::Cause,
    },
    /// Move a slice by prepare, release and assign.
    Move {
        /// Service of the slice.
        service: id::Service,
        /// Start of the slice.
        start: key::Hash,
        /// Present holder; its epoch is the one that the assignment expects.
        from: table::Holder,
        /// New holder.
        to: Target,
        /// Why.
        cause: cause::Cause,
    },
    /// Split the slice around a position.
    Split {
        /// Service of the slice.
        service: id::Service,
        /// Start of the new slice.
        at: key::Hash,
        /// Why.
        cause: cause::Cause,
    },
    /// Merge the slice that starts at a position into the one before it.
    Merge {
        /// Service of the slice.
        service: id::Service,
        /// Start of the slice that goes away.
        at: key::Hash,
        /// Why.
        cause: cause::Cause,
    },
}

impl Action {
    /// Returns the service that the action changes.
    pub const fn service(&self) -> id::Service {
        match self {
            Self::Assign { service, .. }
            | Self::Move { service, .. }
            | Self::Split { service, .. }
            | Self::Merge { service, .. } => *service,
        }
    }

    /// Returns the label value for metrics.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Assign { .. } => "assign",
            Self::Move { .. } => "move",
            Self::Split { .. } => "split",
            Self::Merge { .. } => "merge",
        }
    }

    /// Returns the position at which the action changes the table.
    pub const fn position(&self) -> key::Hash {
        match self {
            Self::Assign { start, .. } | Self::Move { start, .. } => *start,
            Self::Split { at, .. } | Self::Merge { at, .. } => *at,
        }
    }

    /// Returns why the decision was taken.
    pub const fn cause(&self) -> &cause::Cause {
        match self {
            Self::Assign { cause, .. }
            | Self::Move { cause, .. }
            | Self::Split { cause, .. }
            | Self::Merge { cause, .. } => cause,
        }
    }
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (service, position) = (self.service(), self.position());
        match self {
            Self::Assign { to, .. } => {
                write!(f, "assign {service} {position} to {}", to.server)?;
            }
            Self::Move { from, to, .. } => {
                write!(
                    f,
                    "move {service} {position} from {} to {}",
                    from.server, to.server
                )?;
            }
            Self::Split { .. } => write!(f, "split {service} at {position}")?,
            Self::Merge { .. } => write!(f, "merge {service} at {position}")?,
        }
        write!(f, ": {}", self.cause())
    }
}
