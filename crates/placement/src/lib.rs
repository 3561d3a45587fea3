//! Decides which slice of a service is assigned to which backend server, and when.
//!
//! [`planner::Planner`] receives reports of changes and returns the actions that
//! are due, each with its [`cause::Cause`]. It executes nothing: the control
//! leader turns actions into commands and reports their outcomes as further
//! changes. Decisions are deterministic, since all arithmetic is on integers and
//! all collections are ordered. `docs/placement.md` describes the policy and its
//! measurements.

pub mod action;
pub mod cause;
pub mod config;
pub mod load;
pub mod pin;
pub mod planner;
pub mod server;
pub mod service;
