//! Leases of nodes: who may act as the owner of its slices, and until when.
//!
//! A node holds one lease for all its slices. [`holder::Holder`] runs on the
//! node and counts the lease from when a renewal was sent;
//! [`registry::Registry`] runs on the control leader and counts it from when
//! the renewal was received, plus a margin for clock drift. So whatever the
//! delay of messages, the node sees its lease end before the control side
//! assigns its slices to another node. No two clocks are compared: both sides
//! only measure spans on their own clock, and rely on the two clocks' rates
//! differing by no more than the margin.

pub mod holder;
pub mod registry;
