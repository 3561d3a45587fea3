//! Control replica of a deployment whose group forms and changes by itself.
//!
//! It keeps the [catalog](sequoiayoke_catalog) on a replicated log, gives leases
//! to the nodes and plans which backend server owns which keys. Operators speak
//! to it through a front end that implements [`operator::Frontend`].

pub mod coordinator;
mod measure;
pub mod operator;
pub mod root;
pub mod traffic;

pub use root::Director;
