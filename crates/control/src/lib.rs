//! The control daemon: one replica of the control plane of a region.
//!
//! The modules follow the supervisor tree. [`root`] starts two children: [`coordinator`] on the
//! control thread, which alone owns the replicated log, the state machine, leases and
//! placement, and [`traffic`] on the traffic threads, which only move bytes between sockets and
//! the coordinator.

pub mod coordinator;
pub mod measure;
pub mod root;
pub mod traffic;

pub use root::Control;
