//! Decides which slice of a service is assigned to which backend server, and when.
//!
//! [`planner::Planner`] is told what changed and returns the actions that pay,
//! each with its [`cause::Cause`]. It executes nothing: the control leader
//! turns actions into commands and reports the outcome as further changes. All
//! arithmetic is on integers and all tables are ordered, so equal inputs give
//! equal decisions. The policy and its measurements are in `docs/placement.md`.

pub mod action;
pub mod cause;
pub mod config;
pub mod load;
pub mod pin;
pub mod planner;
pub mod server;
pub mod service;
