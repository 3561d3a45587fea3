//! Decoding of requests.

use bytes::{Bytes, BytesMut};

use crate::Error;
use crate::body;
use crate::head;

/// Head of a request.
#[derive(Clone, Debug)]
pub struct Head {
    /// Method, as received.
    pub method: String,
    /// Path and query, as received.
    pub target: String,
    /// Header fields.
    pub fields: head::Fields,
    /// Whether the connection stays open for another request.
    pub keeps_alive: bool,
    /// Whether a field declares the length or the coding of a body.
    pub has_body: bool,
}

impl Head {
    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or(&self.target)
    }
}

/// A complete request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Head of the request.
    pub head: Head,
    /// Body of the request.
    pub body: Bytes,
}

/// Size limits of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest head, in bytes.
    pub head: usize,
    /// Largest body, in bytes.
    pub body: u64,
}

/// Result of [`Decoder::decode`].
#[derive(Debug)]
pub enum Event {
    /// More bytes are needed.
    More,
    /// The caller waits for `100 Continue` before it sends the body.
    Continue,
    /// A complete request.
    Request(Request),
}

/// Decoder of the requests of one connection.
///
/// # Examples
///
/// ```
/// use bytes::BytesMut;
/// use sequoiayoke_http1::request;
///
/// let mut decoder = request::Decoder::new();
/// let mut input = BytesMut::from("GET /a?b HTTP/1.1\r\nhost: x\r\n\r\n");
/// let limits = request::Limits { head: 1_024, body: 0 };
/// let event = decoder.decode(&mut input, limits).expect("the request is well formed");
/// assert!(matches!(event, request::Event::Request(request) if request.head.path() == "/a"));
/// ```
#[derive(Debug, Default)]
pub struct Decoder {
    open: Option<(Head, body::Body)>,
    progress: head::Progress,
}

impl Decoder {
    /// Creates a decoder.
    pub const fn new() -> Self {
        Self {
            open: None,
            progress: head::Progress::new(),
        }
    }

    /// Returns whether the head of a request has been decoded, but not yet all of its body.
    pub const fn is_open(&self) -> bool {
        self.open.is_some()
    }

    /// Returns the memory that the decoded part of an unfinished request takes, in bytes.
    pub fn held(&self) -> usize {
        let open = self.open.as_ref();
        open.map_or(0, |(_, body)| body.held())
    }

    /// Returns the head of the request whose body has not been decoded completely.
    ///
    /// # Examples
    ///
    /// ```
    /// use bytes::BytesMut;
    /// use sequoiayoke_http1::request;
    ///
    /// let mut decoder = request::Decoder::new();
    /// let mut input = BytesMut::from("POST /a HTTP/1.1\r\ncontent-length: 4\r\n\r\nab");
    /// let limits = request::Limits { head: 1_024, body: 4 };
    /// decoder.decode(&mut input, limits).expect("the request is well formed");
    /// assert_eq!(decoder.open_head().map(|head| head.path()), Some("/a"));
    /// ```
    pub const fn open_head(&self) -> Option<&Head> {
        match &self.open {
            Some((head, _)) => Some(head),
            None => None,
        }
    }

    /// Consumes the available input.
    ///
    /// # Errors
    ///
    /// Fails if the input is not a valid request within the limits; the connection must then be
    /// closed.
    pub fn decode(&mut self, input: &mut BytesMut, limits: Limits) -> Result<Event, Error> {
        if self.open.is_none() {
            // Some callers send an extra CRLF after a body.
            head::skip_line_ends(input);
            let parsed = match self.progress.is_due(input) {
                true => parse_head(input, limits)?,
                false => None,
            };
            let Some(head) = parsed else {
                return match input.len() > limits.head {
                    true => Err(Error::HeadTooLong),
                    false => Ok(Event::More),
                };
            };
            self.progress = head::Progress::new();
            let framing = body::Framing::declared(&head.fields)?.unwrap_or(body::Framing::None);
            let body = body::Body::new(framing, limits.body)?;
            let is_waiting = head.fields.has_token("expect", "100-continue") && input.is_empty();
            self.open = Some((head, body));
            if is_waiting && framing != body::Framing::None {
                return Ok(Event::Continue);
            }
        }
        let Some((_, body)) = &mut self.open else {
            return Ok(Event::More);
        };
        if !body.decode(input, false)? {
            return Ok(Event::More);
        }
        match self.open.take() {
            Some((head, body)) => Ok(Event::Request(Request {
                head,
                body: body.finish(),
            })),
            None => Ok(Event::More),
        }
    }
}

fn parse_head(input: &mut BytesMut, limits: Limits) -> Result<Option<Head>, Error> {
    if input.is_empty() {
        return Ok(None);
    }
    let mut headers = [httparse::EMPTY_HEADER; head::MAX_FIELDS];
    let mut parsed = httparse::Request::new(&mut headers);
    let length = match parsed.parse(input) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(Error::HeadTooLong),
        Err(_) => return Err(Error::Head),
    };
    if length > limits.head {
        return Err(Error::HeadTooLong);
    }
    let raw = input.split_to(length).freeze();
    let mut headers = [httparse::EMPTY_HEADER; head::MAX_FIELDS];
    let mut parsed = httparse::Request::new(&mut headers);
    parsed.parse(&raw).map_err(|_| Error::Head)?;
    let minor = parsed.version.ok_or(Error::Head)?;
    let method = parsed.method.ok_or(Error::Head)?.to_owned();
    let target = parsed.path.ok_or(Error::Head)?.to_owned();
    let fields = head::Fields::new(raw.clone(), parsed.headers);
    let keeps_alive = match minor {
        0 => fields.has_token("connection", "keep-alive"),
        _ => !fields.has_token("connection", "close"),
    };
    let has_body =
        fields.get("content-length").is_some() || fields.get("transfer-encoding").is_some();
    Ok(Some(Head {
        method,
        target,
        fields,
        keeps_alive,
        has_body,
    }))
}
