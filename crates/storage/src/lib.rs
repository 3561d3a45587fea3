//! Data directory of a control replica.
//!
//! A [`folder::Folder`] stores the identity, term, vote, log and snapshots of one
//! replica. A write returns only after its bytes and its directory entry are
//! synced, so that an acknowledged entry survives a power failure. All decisions
//! about the content of the log belong to `sequoiayoke-consensus`.

pub mod fault;
pub mod folder;
pub mod identity;
pub mod medium;

mod files;
mod frame;
mod journal;
mod positions;
mod record;
mod replay;
mod segment;
mod snapshot;
