//! Encoding of commands and snapshots in the replicated log.
//!
//! Each value starts with a byte that identifies the format, so that a later
//! version can decode what an earlier version encoded.

use bytes::Bytes;

/// First byte of an encoded value; only this format exists.
const FORMAT: u8 = 1;

/// Encodes a command or a snapshot.
pub fn encode<T>(value: &T) -> Bytes
where
    T: serde::Serialize,
{
    let bytes = postcard::to_extend(value, vec![FORMAT]);
    Bytes::from(bytes.expect("commands and snapshots hold only types that postcard supports"))
}

/// Decodes a command or a snapshot. Returns `None` if the format is unknown or the
/// content is malformed.
pub fn decode<T>(bytes: &[u8]) -> Option<T>
where
    T: serde::de::DeserializeOwned,
{
    match bytes.split_first() {
        Some((&FORMAT, rest)) => postcard::from_bytes(rest).ok(),
        _ => None,
    }
}
