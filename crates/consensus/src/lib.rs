//! Replicated log as a pure state machine, after Raft.
//!
//! A [`replica::Replica`] takes events and returns the effects that its driver
//! carries out: what to write to disk, what to send, what is committed. It
//! accesses no file, socket, clock or message encoding, so that tests can
//! produce any order of events and replay it from a seed.
//!
//! Compared with the basic algorithm it adds pre-vote, check-quorum, vote
//! refusal while a leader is active, a no-op entry at the start of each term,
//! fast log backtracking with a conflict hint, chunked snapshots, changes of a
//! single member through a learner stage, and leadership transfer.

pub mod config;
pub mod effect;
pub mod entry;
pub mod event;
pub mod members;
pub mod message;
pub mod payload;
pub mod position;
pub mod replica;
pub mod snapshot;
pub mod stored;

mod log;
mod progress;
