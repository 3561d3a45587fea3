//! Framing of records: mark, length, checksum, body.

use std::ops;

/// Bytes before the body: mark, length and checksum, four bytes each.
pub(crate) const HEADER_BYTES: usize = 12;

/// Most bytes of a body.
pub(crate) const MAX_BODY_BYTES: usize = 512 * 1024 * 1024;

/// Start of each record, which makes the search for a record after a bad one
/// fast.
const MARK: [u8; 4] = *b"SYR\x01";

/// Adds a record to `buffer`. `offset` is where it starts in file `sequence`;
/// both are part of the checksum, so that a record at another place is not
/// taken for a valid one.
pub(crate) fn encode(buffer: &mut Vec<u8>, sequence: u64, offset: u64, body: &[u8]) {
    let length = (body.len() as u32).to_le_bytes();
    buffer.extend_from_slice(&MARK);
    buffer.extend_from_slice(&length);
    buffer.extend_from_slice(&checksum(sequence, offset, body).to_le_bytes());
    buffer.extend_from_slice(body);
}

/// Returns where the body of the record at `offset` lies.
///
/// # Errors
///
/// Returns what is wrong with the record.
pub(crate) fn decode(
    content: &[u8],
    sequence: u64,
    offset: usize,
) -> Result<ops::Range<usize>, &'static str> {
    let rest = &content[offset..];
    let header = rest.first_chunk::<HEADER_BYTES>();
    let header = header.ok_or("the record is incomplete")?;
    if header[..4] != MARK {
        return Err("no record starts here");
    }
    let length = u32::from_le_bytes([header[4], header[5], header[6], header[7]]) as usize;
    let expected = u32::from_le_bytes([header[8], header[9], header[10], header[11]]);
    let body = rest[HEADER_BYTES..].get(..length);
    let body = body.ok_or("the record is incomplete")?;
    if checksum(sequence, offset as u64, body) != expected {
        return Err("the checksum differs");
    }
    let start = offset + HEADER_BYTES;
    Ok(start..start + length)
}

/// Returns whether a valid record starts anywhere after `offset`.
pub(crate) fn is_any_after(content: &[u8], sequence: u64, offset: usize) -> bool {
    (offset + 1..content.len()).any(|start| decode(content, sequence, start).is_ok())
}

fn checksum(sequence: u64, offset: u64, body: &[u8]) -> u32 {
    let place = crc32c::crc32c(&sequence.to_le_bytes());
    let place = crc32c::crc32c_append(place, &offset.to_le_bytes());
    let place = crc32c::crc32c_append(place, &(body.len() as u32).to_le_bytes());
    crc32c::crc32c_append(place, body)
}
