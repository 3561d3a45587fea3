//! Decoding of responses.

use std::ops;

use bytes::{Bytes, BytesMut};

use crate::Error;
use crate::body;
use crate::head;

/// Status codes that the protocol defines the classes of.
const STATUS_CODES: ops::RangeInclusive<u16> = 100..=599;

/// Start of a status line, up to the minor version.
const STATUS_LINE_START: &[u8] = b"HTTP/1.";

/// A complete response.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Header fields.
    pub fields: head::Fields,
    /// Body of the response.
    pub body: Bytes,
    /// Whether the connection stays open for another request.
    pub keeps_alive: bool,
}

/// Size limits of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest head, in bytes, with the interim responses before it.
    pub head: usize,
    /// Largest body, in bytes.
    pub body: u64,
}

/// Decoder of the responses of one connection.
///
/// # Examples
///
/// ```
/// use bytes::BytesMut;
/// use sequoiayoke_http1::response;
///
/// let mut decoder = response::Decoder::new();
/// let mut input = BytesMut::from("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
/// let limits = response::Limits { head: 1_024, body: 1_024 };
/// let response = decoder.decode(&mut input, limits, false).expect("it is well formed");
/// assert_eq!(response.map(|response| response.body.len()), Some(2));
/// ```
#[derive(Debug, Default)]
pub struct Decoder {
    open: Option<(Response, body::Body)>,
    is_head: bool,
    progress: head::Progress,
    /// Number of bytes before the head of the final response.
    skipped: usize,
}

impl Decoder {
    /// Creates a decoder.
    pub const fn new() -> Self {
        Self {
            open: None,
            is_head: false,
            progress: head::Progress::new(),
            skipped: 0,
        }
    }

    /// Sets the method of the requests, since a response to HEAD has no body.
    ///
    /// # Examples
    ///
    /// ```
    /// use bytes::BytesMut;
    /// use sequoiayoke_http1::response;
    ///
    /// let mut decoder = response::Decoder::new().with_method("HEAD");
    /// let mut input = BytesMut::from("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n");
    /// let limits = response::Limits { head: 1_024, body: 1_024 };
    /// let response = decoder.decode(&mut input, limits, false).expect("it is well formed");
    /// assert!(response.is_some());
    /// ```
    pub fn with_method(self, method: &str) -> Self {
        Self {
            is_head: method == "HEAD",
            ..self
        }
    }

    /// Returns the number of bytes of the open response's body that were decoded.
    ///
    /// # Examples
    ///
    /// ```
    /// use bytes::BytesMut;
    /// use sequoiayoke_http1::response;
    ///
    /// let mut decoder = response::Decoder::new();
    /// let mut input = BytesMut::from("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nab");
    /// let limits = response::Limits { head: 1_024, body: 1_024 };
    /// decoder.decode(&mut input, limits, false).expect("it is well formed");
    /// assert_eq!(decoder.body_len(), 2);
    /// ```
    pub fn body_len(&self) -> usize {
        self.open.as_ref().map_or(0, |(_, body)| body.len())
    }

    /// Consumes the available input; `is_closed` means that no more input follows.
    ///
    /// # Errors
    ///
    /// Fails if the input is not a valid response within the limits, or if it ends before the
    /// response is complete.
    pub fn decode(
        &mut self,
        input: &mut BytesMut,
        limits: Limits,
        is_closed: bool,
    ) -> Result<Option<Response>, Error> {
        if self.open.is_none() {
            self.open = self.decode_final_head(input, limits)?;
        }
        let Some((_, body)) = &mut self.open else {
            return match is_closed {
                true => Err(Error::Incomplete),
                false => Ok(None),
            };
        };
        if !body.decode(input, is_closed)? {
            return Ok(None);
        }
        let response = self.open.take().map(|(response, body)| Response {
            body: body.finish(),
            ..response
        });
        Ok(response)
    }

    /// Decodes the head of the final response, and creates the decoder of its body.
    fn decode_final_head(
        &mut self,
        input: &mut BytesMut,
        limits: Limits,
    ) -> Result<Option<(Response, body::Body)>, Error> {
        loop {
            // `httparse` skips empty lines too, but without a bound.
            self.skipped += head::skip_line_ends(input);
            let parsed = match self.progress.is_due(input) {
                true => parse_head(input)?,
                false => None,
            };
            let Some((response, length)) = parsed else {
                return match self.skipped + input.len() > limits.head {
                    true => Err(Error::HeadTooLong),
                    false => Ok(None),
                };
            };
            self.progress = head::Progress::new();
            self.skipped += length;
            if self.skipped > limits.head {
                return Err(Error::HeadTooLong);
            }
            // Skips interim responses, which precede the final one.
            if (100..200).contains(&response.status) {
                continue;
            }
            self.skipped = 0;
            let framing = match response.status {
                _ if self.is_head => body::Framing::None,
                204 | 304 => body::Framing::None,
                _ => {
                    body::Framing::declared(&response.fields)?.unwrap_or(body::Framing::UntilClose)
                }
            };
            let keeps_alive = response.keeps_alive && framing != body::Framing::UntilClose;
            let body = body::Body::new(framing, limits.body)?;
            let response = Response {
                keeps_alive,
                ..response
            };
            return Ok(Some((response, body)));
        }
    }
}

/// Parses a head and returns it with its length in bytes, if it is complete.
fn parse_head(input: &mut BytesMut) -> Result<Option<(Response, usize)>, Error> {
    if input.is_empty() {
        return Ok(None);
    }
    let mut headers = [httparse::EMPTY_HEADER; head::MAX_FIELDS];
    let mut parsed = httparse::Response::new(&mut headers);
    let length = match parsed.parse(input) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(Error::HeadTooLong),
        Err(_) => return Err(Error::Head),
    };
    let raw = input.split_to(length).freeze();
    let mut headers = [httparse::EMPTY_HEADER; head::MAX_FIELDS];
    let mut parsed = httparse::Response::new(&mut headers);
    parsed.parse(&raw).map_err(|_| Error::Head)?;
    let status = parsed.code.ok_or(Error::Head)?;
    // No request asks for another protocol, which 101 would switch to.
    if !STATUS_CODES.contains(&status) || status == 101 {
        return Err(Error::Head);
    }
    let minor = parsed.version.ok_or(Error::Head)?;
    if has_status_line(&raw[1..]) {
        return Err(Error::Head);
    }
    let fields = head::Fields::new(raw.clone(), parsed.headers);
    let keeps_alive = match minor {
        0 => fields.has_token("connection", "keep-alive"),
        _ => !fields.has_token("connection", "close"),
    };
    let response = Response {
        status,
        fields,
        body: Bytes::new(),
        keeps_alive,
    };
    Ok(Some((response, length)))
}

/// Returns whether a part of a head contains a status line.
///
/// In the reason phrase or in a field, it shows that the bytes of a response without end are followed
/// by another response.
fn has_status_line(part: &[u8]) -> bool {
    part.windows(STATUS_LINE_START.len() + 3).any(|window| {
        let rest = window.strip_prefix(STATUS_LINE_START);
        matches!(rest, Some([minor, b' ', code]) if minor.is_ascii_digit() && code.is_ascii_digit())
    })
}
