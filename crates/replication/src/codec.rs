//! Encoding of commands and snapshots in the replicated log.
//!
//! Each value starts with one byte that names the format, so that a later
//! version can read what an earlier one wrote.

use bytes::Bytes;

/// The one format so far.
const FORMAT: u8 = 1;

/// Encodes a command or a snapshot.
pub fn encode<T>(value: &T) -> Bytes
where
    T: serde::Serialize,
{
    let bytes = postcard::to_extend(value, vec![FORMAT]);
    Bytes::from(bytes.expect("commands and snapshots hold no type that postcard lacks"))
}

/// Decodes a command or a snapshot.
pub fn decode<T>(bytes: &[u8]) -> Option<T>
where
    T: serde::de::DeserializeOwned,
{
    match bytes.split_first() {
        Some((&FORMAT, rest)) => postcard::from_bytes(rest).ok(),
        _ => None,
    }
}
