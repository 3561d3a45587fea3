//! Messages between the nodes of a deployment, and their frames.
//!
//! `session` is spoken between a node and the leader of the control replicas,
//! `peer` between the node that a caller uses and the node beside a backend
//! server. Frames are length-delimited and hold one message in postcard, whose
//! types are the decisions' own: no second set of types has to be kept equal.

pub mod codec;
pub mod peer;
pub mod session;
