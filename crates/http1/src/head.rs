//! Header fields of a message.

use std::ops;

use bytes::Bytes;

/// Most header fields of one message.
pub(crate) const MAX_FIELDS: usize = 64;

/// Fields that concern one connection only and are never forwarded.
const CONNECTION_FIELDS: [&str; 9] = [
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

/// Header fields, as positions in the bytes that arrived.
#[derive(Clone, Debug, Default)]
pub struct Fields {
    raw: Bytes,
    positions: Vec<(ops::Range<usize>, ops::Range<usize>)>,
}

impl Fields {
    pub(crate) fn new(raw: Bytes, headers: &[httparse::Header<'_>]) -> Self {
        let base = raw.as_ptr() as usize;
        let place = |part: &[u8]| {
            let start = part.as_ptr() as usize - base;
            start..start + part.len()
        };
        let positions = headers
            .iter()
            .map(|field| (place(field.name.as_bytes()), place(field.value)))
            .collect();
        Self { raw, positions }
    }

    /// Returns names and values in the order in which they arrived.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.positions.iter().map(|(name, value)| {
            let name = std::str::from_utf8(&self.raw[name.clone()]);
            (name.unwrap_or_default(), &self.raw[value.clone()])
        })
    }

    /// Returns the values of all fields of this name.
    pub fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> + 'a {
        self.iter()
            .filter(move |(other, _)| other.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// Returns the value of the first field of this name, if it is text.
    pub fn get(&self, name: &str) -> Option<&str> {
        let value = self
            .iter()
            .find(|(other, _)| other.eq_ignore_ascii_case(name))?
            .1;
        std::str::from_utf8(value).ok().map(str::trim)
    }

    /// Returns whether a comma-separated field holds `token`.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.get_all(name)
            .filter_map(|value| std::str::from_utf8(value).ok())
            .flat_map(|value| value.split(','))
            .any(|part| part.trim().eq_ignore_ascii_case(token))
    }

    /// Returns whether a field of this name may be passed to the next hop.
    pub fn is_end_to_end(&self, name: &str) -> bool {
        let listed = CONNECTION_FIELDS
            .iter()
            .any(|other| other.eq_ignore_ascii_case(name));
        !listed && !self.has_token("connection", name)
    }
}
