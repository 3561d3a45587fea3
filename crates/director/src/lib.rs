//! Control replica of a deployment whose replicas discover each other and manage their own
//! membership.
//!
//! It keeps the [catalog](sequoiayoke_catalog) on a replicated log, grants leases to nodes and
//! plans which backend server owns which keys. Operators call it through a front end that
//! implements [`operator::Frontend`].

pub mod coordinator;
mod measure;
pub mod operator;
pub mod root;
pub mod traffic;

pub use root::Director;
