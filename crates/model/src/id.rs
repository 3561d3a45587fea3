//! Typed identifiers.
//!
//! The replicated state machine assigns the ids of servers, services and callers in log order,
//! and reuses none.

use std::fmt;

macro_rules! id {
    ($(#[$doc:meta])* $name:ident, $integer:ty, $prefix:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $integer);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!($prefix, "{}"), self.0)
            }
        }
    };
}

id!(
    /// Id of a backend server; stays the same when its node restarts.
    Server, u32, "server-"
);
id!(
    /// Id of a service: a set of keys that is partitioned among backend servers.
    Service, u32, "service-"
);
id!(
    /// Id of a caller that a ticket has registered.
    Caller, u32, "caller-"
);
id!(
    /// Id of one run of a node: the log index of its `Join`.
    Incarnation, u64, "i"
);
id!(
    /// Fencing token of a grant: the log index of its `Assign`, so it increases monotonically.
    Epoch, u64, "e"
);
id!(
    /// Version of a view: the index of the last log entry that it includes.
    Version, u64, "v"
);
id!(
    /// Number of a change ticket.
    Ticket, u64, "ticket-"
);
id!(
    /// Id of a control replica: random, and stored in its data folder.
    Replica, u64, "replica-"
);
