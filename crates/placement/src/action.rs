//! Actions that the planner asks the control leader to execute.

use std::fmt;

use sequoiayoke_model::id;
use sequoiayoke_model::key;
use sequoiayoke_model::table;

use crate::cause;

/// Incarnation of a backend server that is to receive a slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Target {
    /// Backend server.
    pub server: id::Server,
    /// Incarnation of its node; the action is invalid for any later incarnation.
    pub incarnation: id::Incarnation,
}

/// Change of the table that the planner decided on, with its cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Assigns a vacant slice to a server.
    Assign {
        /// Service of the slice.
        service: id::Service,
        /// Start of the slice.
        start: key::Hash,
        /// New holder.
        to: Target,
        /// Cause of the decision.
        cause: cause::Cause,
    },
    /// Moves a slice by prepare, release and assign.
    Move {
        /// Service of the slice.
        service: id::Service,
        /// Start of the slice.
        start: key::Hash,
        /// Current holder; the assignment expects its epoch.
        from: table::Holder,
        /// New holder.
        to: Target,
        /// Cause of the decision.
        cause: cause::Cause,
    },
    /// Splits the slice around a position.
    Split {
        /// Service of the slice.
        service: id::Service,
        /// Start of the new slice.
        at: key::Hash,
        /// Cause of the decision.
        cause: cause::Cause,
    },
    /// Merges the slice that starts at a position into the one before it.
    Merge {
        /// Service of the slice.
        service: id::Service,
        /// Start of the slice that is merged into the one before it.
        at: key::Hash,
        /// Cause of the decision.
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

    /// Returns the cause of the decision.
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
