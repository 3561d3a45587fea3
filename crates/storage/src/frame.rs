//! Framing of records: magic number, length, checksum, body.

use std::ops;

/// Bytes before the body: magic number, length and checksum, four bytes each.
pub(crate) const HEADER_BYTES: usize = 12;

/// Maximum length of a body in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 512 * 1024 * 1024;

/// Magic number at the start of each record, which speeds up the search for a valid record
/// after an invalid one.
const MAGIC: [u8; 4] = *b"SYR\x01";

/// Appends a record to `buffer`. The record starts at `offset` in file `sequence`. The
/// checksum covers both, so that a record that was moved elsewhere is invalid.
pub(crate) fn encode(buffer: &mut Vec<u8>, sequence: u64, offset: u64, body: &[u8]) {
    let length = (body.len() as u32).to_le_bytes();
    buffer.extend_from_slice(&MAGIC);
    buffer.extend_from_slice(&length);
    buffer.extend_from_slice(&checksum(sequence, offset, body).to_le_bytes());
    buffer.extend_from_slice(body);
}

/// Returns the range of the body of the record at `offset`.
///
/// # Errors
///
/// Returns the reason why the record is invalid.
pub(crate) fn decode(
    content: &[u8],
    sequence: u64,
    offset: usize,
) -> Result<ops::Range<usize>, &'static str> {
    let rest = &content[offset..];
    let header = rest.first_chunk::<HEADER_BYTES>();
    let header = header.ok_or("the record is incomplete")?;
    if header[..4] != MAGIC {
        return Err("the record does not start with the magic number");
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

/// Returns the ranges of the bodies of all valid records that start after `offset`.
pub(crate) fn valid_records_after(
    content: &[u8],
    sequence: u64,
    offset: usize,
) -> impl Iterator<Item = ops::Range<usize>> {
    (offset + 1..content.len()).filter_map(move |start| decode(content, sequence, start).ok())
}

fn checksum(sequence: u64, offset: u64, body: &[u8]) -> u32 {
    let crc = crc32c::crc32c(&sequence.to_le_bytes());
    let crc = crc32c::crc32c_append(crc, &offset.to_le_bytes());
    let crc = crc32c::crc32c_append(crc, &(body.len() as u32).to_le_bytes());
    crc32c::crc32c_append(crc, body)
}
