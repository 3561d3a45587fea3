//! Typed identifiers.
//!
//! Servers, services and callers get their numbers from the replicated state
//! machine in log order and no number is used twice.

use std::fmt;

macro_rules! number {
    ($(#[$doc:meta])* $name:ident, $inner:ty, $prefix:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!($prefix, "{}"), self.0)
            }
        }
    };
}

number!(
    /// A backend server, for all runs of its node.
    Server, u32, "server-"
);
number!(
    /// A service: a set of keys that backend servers share between them.
    Service, u32, "service-"
);
number!(
    /// A caller that a ticket has registered.
    Caller, u32, "caller-"
);
number!(
    /// One run of a node: the log index of its `Join`.
    Incarnation, u64, "i"
);
number!(
    /// Fencing number of a grant: the log index of its `Assign`, so it only grows.
    Epoch, u64, "e"
);
number!(
    /// Log index up to which a view has been applied.
    Version, u64, "v"
);
number!(
    /// Number of a change ticket.
    Ticket, u64, "ticket-"
);
number!(
    /// Identity of a control replica: random, bound to its data folder.
    Replica, u64, "replica-"
);
