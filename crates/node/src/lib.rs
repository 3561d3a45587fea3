//! The node: the process that runs beside each backend server.
//!
//! It accepts requests from callers, dispatches those whose keys it owns to its
//! backend server, and forwards the others exactly one hop to the owner's node.
//!
//! The modules below are the supervisor tree. [`root`] starts two children:
//! [`coordinator`] on the control thread, the only writer of the view, the lease
//! and the list of owned slices, and [`traffic`] on the traffic threads, which
//! read what the coordinator publishes.

pub mod coordinator;
pub mod measure;
pub mod published;
pub mod root;
pub mod traffic;

pub use root::Node;
