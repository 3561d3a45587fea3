//! Messages between nodes, and between nodes and control replicas, and their frames.
//!
//! [`session`] has the messages between a node and the control leader, [`peer`] those between the
//! node that a caller uses and the node beside a backend server. A frame is length-delimited and
//! holds one message, encoded with postcard. Messages contain the types that the decisions use, so
//! that no second set of types has to be kept in sync.
//!
//! [`account`] bounds what the connections of a listener hold, and [`receive`] reads messages within
//! these bounds.

pub mod account;
pub mod codec;
pub mod peer;
pub mod receive;
pub mod session;
