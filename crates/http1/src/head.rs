//! Header fields of a message.

use std::ops;

use bytes::{Buf, Bytes, BytesMut};

/// Largest number of header fields of one message.
pub(crate) const MAX_FIELDS: usize = 64;

/// Hop-by-hop fields, which apply to one connection and are not forwarded.
const HOP_BY_HOP_FIELDS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Progress of a head that arrives in several reads.
///
/// Each attempt to parse begins at the start of the head. An attempt is made when a line is complete
/// or the input has doubled, so that a long head in small reads costs a bounded number of attempts.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Progress {
    /// Length of the input at the last attempt.
    parsed: usize,
    /// Length of the input that was searched for line ends.
    searched: usize,
}

impl Progress {
    pub(crate) const fn new() -> Self {
        Self {
            parsed: 0,
            searched: 0,
        }
    }

    /// Returns whether the head at the start of `input` is to be parsed now.
    pub(crate) fn is_due(&mut self, input: &[u8]) -> bool {
        let added = input.get(self.searched..).unwrap_or(input);
        let is_due = input.len() >= self.parsed * 2 || added.contains(&b'\n');
        self.searched = input.len();
        if is_due {
            self.parsed = input.len();
        }
        is_due
    }
}

/// Removes the line ends at the start of the input and returns their number of bytes.
pub(crate) fn skip_line_ends(input: &mut BytesMut) -> usize {
    let mut count = 0;
    loop {
        count += match &input[count..] {
            [b'\n', ..] => 1,
            [b'\r', b'\n', ..] => 2,
            _ => break,
        };
    }
    input.advance(count);
    count
}

/// Header fields, stored as ranges of the received bytes.
#[derive(Clone, Debug, Default)]
pub struct Fields {
    raw: Bytes,
    ranges: Vec<(ops::Range<usize>, ops::Range<usize>)>,
}

impl Fields {
    pub(crate) fn new(raw: Bytes, headers: &[httparse::Header<'_>]) -> Self {
        let base = raw.as_ptr() as usize;
        let range_of = |bytes: &[u8]| {
            let start = bytes.as_ptr() as usize - base;
            start..start + bytes.len()
        };
        let ranges = headers
            .iter()
            .map(|field| (range_of(field.name.as_bytes()), range_of(field.value)))
            .collect();
        Self { raw, ranges }
    }

    /// Iterates over names and values, in the order of the message.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.ranges.iter().map(|(name, value)| {
            let name = std::str::from_utf8(&self.raw[name.clone()]);
            (name.unwrap_or_default(), &self.raw[value.clone()])
        })
    }

    /// Iterates over the values of all fields with this name.
    pub fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> + 'a {
        self.iter()
            .filter(move |(field_name, _)| field_name.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// Returns the trimmed value of the first field with this name, if it is valid UTF-8.
    pub fn get(&self, name: &str) -> Option<&str> {
        let value = self
            .iter()
            .find(|(field_name, _)| field_name.eq_ignore_ascii_case(name))?
            .1;
        std::str::from_utf8(value).ok().map(str::trim)
    }

    /// Returns whether a comma-separated field contains `token`.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.get_all(name)
            .filter_map(|value| std::str::from_utf8(value).ok())
            .flat_map(|value| value.split(','))
            .any(|item| item.trim().eq_ignore_ascii_case(token))
    }

    /// Returns whether a field with this name may be forwarded to the next hop.
    pub fn is_end_to_end(&self, name: &str) -> bool {
        let is_hop_by_hop = HOP_BY_HOP_FIELDS
            .iter()
            .any(|field_name| field_name.eq_ignore_ascii_case(name));
        !is_hop_by_hop && !self.has_token("connection", name)
    }
}
