//! Documents of the operators' HTTP interface.
//!
//! `docs/protocol.md` defines them. The control plane and the command line
//! share these types, so that their formats cannot differ. Tickets with unknown
//! fields are rejected; in responses such fields are ignored, so that an older
//! command line works with a newer control plane.

pub mod accepted;
pub mod check;
pub mod error;
pub mod explanation;
pub mod list;
pub mod status;
pub mod ticket;

/// Request paths of the interface.
pub mod path {
    /// Submits a ticket (`POST`) or lists tickets (`GET`).
    pub const TICKETS: &str = "/v1/tickets";
    /// Checks a ticket without submitting it (`POST`).
    pub const CHECK: &str = "/v1/tickets/check";
    /// Shows the state of the control plane (`GET`).
    pub const STATUS: &str = "/v1/status";
    /// Returns the metrics in the Prometheus text format (`GET`); every replica serves it.
    pub const METRICS: &str = "/metrics";
    /// Explains who owns a key (`GET`), followed by `/{service}/{key}`.
    pub const EXPLAIN: &str = "/v1/explain";
}
