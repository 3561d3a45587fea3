//! Leases that limit how long a node may act as the owner of its slices.
//!
//! A node holds one lease for all its slices. [`holder::Holder`] runs on the
//! node and measures the lease from when a renewal was sent.
//! [`registry::Registry`] runs on the control leader and measures it from when
//! the renewal was received, plus a margin for clock drift. Whatever the message
//! delay, the lease therefore ends on the node before the control plane assigns
//! the slices to another node. Clock readings are never compared between
//! processes: each side measures durations on its own clock, and the rates of the
//! two clocks are assumed to differ by no more than the margin.

pub mod holder;
pub mod registry;
