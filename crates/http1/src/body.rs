//! Message bodies: their framing, and decoding of their bytes as they arrive.

use bytes::{Buf, Bytes, BytesMut};

use crate::Error;
use crate::head;

/// Longest chunk-size line, in bytes.
const MAX_CHUNK_LINE: usize = 256;
/// Largest total size of the extensions of the chunks of one body, in bytes.
const MAX_EXTENSIONS: usize = 16 * 1024;
/// Largest total size of the trailers, in bytes.
const MAX_TRAILERS: usize = 8 * 1024;

/// How the length of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The message has no body.
    None,
    /// The body has this many bytes.
    Length(u64),
    /// The body uses chunked transfer coding.
    Chunked,
    /// The body ends when the connection is closed.
    UntilClose,
}

impl Framing {
    /// Returns the framing that the header fields declare, if any.
    ///
    /// # Errors
    ///
    /// Fails if the fields are contradictory or malformed: such a message could smuggle another one
    /// in its body.
    pub fn declared(fields: &head::Fields) -> Result<Option<Self>, Error> {
        let mut codings = fields.get_all("transfer-encoding");
        let mut lengths = fields.get_all("content-length");
        let (coding, length) = (codings.next(), lengths.next());
        match (coding, length) {
            (Some(coding), None) => {
                let chunked = coding.trim_ascii().eq_ignore_ascii_case(b"chunked");
                if !chunked || codings.next().is_some() {
                    return Err(Error::Framing);
                }
                Ok(Some(Self::Chunked))
            }
            (None, Some(length)) => {
                if lengths.any(|other| other != length) {
                    return Err(Error::Framing);
                }
                let digits = length.trim_ascii();
                let is_number = !digits.is_empty() && digits.iter().all(u8::is_ascii_digit);
                let number = std::str::from_utf8(digits)
                    .ok()
                    .and_then(|text| text.parse().ok());
                match number {
                    Some(number) if is_number => Ok(Some(Self::Length(number))),
                    _ => Err(Error::Framing),
                }
            }
            (None, None) => Ok(None),
            (Some(_), Some(_)) => Err(Error::Framing),
        }
    }
}

/// Decoder of a body.
#[derive(Debug)]
pub(crate) struct Body {
    framing: Framing,
    content: Vec<u8>,
    limit: u64,
    /// Number of bytes that extensions of chunks may still take.
    extensions_left: usize,
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Data(u64),
    ChunkSize,
    ChunkEnd,
    Trailers(usize),
    Done,
}

impl Body {
    pub(crate) fn new(framing: Framing, limit: u64) -> Result<Self, Error> {
        let state = match framing {
            Framing::None | Framing::Length(0) => State::Done,
            Framing::Length(length) if length > limit => return Err(Error::BodyTooLong),
            Framing::Length(length) => State::Data(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::Data(u64::MAX),
        };
        Ok(Self {
            framing,
            content: Vec::new(),
            limit,
            extensions_left: MAX_EXTENSIONS,
            state,
        })
    }

    /// Consumes the available input; returns whether the body is complete.
    ///
    /// `is_closed` means that no more input follows.
    pub(crate) fn decode(&mut self, input: &mut BytesMut, is_closed: bool) -> Result<bool, Error> {
        while self.state != State::Done {
            if !self.step(input)? {
                break;
            }
        }
        if self.state == State::Done {
            return Ok(true);
        }
        match (is_closed, self.framing) {
            (true, Framing::UntilClose) => {
                self.state = State::Done;
                Ok(true)
            }
            (true, _) => Err(Error::Incomplete),
            (false, _) => Ok(false),
        }
    }

    /// Returns the number of bytes that were decoded.
    pub(crate) fn len(&self) -> usize {
        self.content.len()
    }

    /// Returns the memory that the decoded bytes take, in bytes.
    pub(crate) fn held(&self) -> usize {
        self.content.capacity()
    }

    pub(crate) fn finish(self) -> Bytes {
        self.content.into()
    }

    /// Makes room for `count` bytes. The memory grows by half each time, and not beyond the length that
    /// the message states: its sender may never send the rest.
    fn reserve(&mut self, count: usize) {
        let length = self.content.len();
        if self.content.capacity() - length >= count {
            return;
        }
        let limit = match self.framing {
            Framing::Length(total) => usize::try_from(total).unwrap_or(usize::MAX),
            _ => usize::MAX,
        };
        let additional = (length / 2).min(limit - length).max(count);
        self.content.reserve_exact(additional);
    }

    /// Makes one transition of the state; returns whether there was enough input for it.
    fn step(&mut self, input: &mut BytesMut) -> Result<bool, Error> {
        match self.state {
            State::Data(left) => {
                if input.is_empty() {
                    return Ok(false);
                }
                let count = left.min(input.len() as u64);
                if self.content.len() as u64 + count > self.limit {
                    return Err(Error::BodyTooLong);
                }
                self.reserve(count as usize);
                self.content.extend_from_slice(&input[..count as usize]);
                input.advance(count as usize);
                self.state = match (left - count, self.framing) {
                    (0, Framing::Chunked) => State::ChunkEnd,
                    (0, _) => State::Done,
                    (left, _) => State::Data(left),
                };
            }
            State::ChunkSize => {
                let Some(line) = take_line(input, MAX_CHUNK_LINE)? else {
                    return Ok(false);
                };
                let size = match httparse::parse_chunk_size(&line) {
                    Ok(httparse::Status::Complete((_, size))) => size,
                    _ => return Err(Error::Chunk),
                };
                if size > self.limit - self.content.len() as u64 {
                    return Err(Error::BodyTooLong);
                }
                let digits = line.iter().take_while(|byte| byte.is_ascii_hexdigit());
                let extension = line.len() - digits.count() - "\r\n".len();
                let extensions_left = self.extensions_left.checked_sub(extension);
                self.extensions_left = extensions_left.ok_or(Error::Chunk)?;
                self.state = match size {
                    0 => State::Trailers(MAX_TRAILERS),
                    size => State::Data(size),
                };
            }
            State::ChunkEnd => {
                if input.len() < 2 {
                    return Ok(false);
                }
                if &input[..2] != b"\r\n" {
                    return Err(Error::Chunk);
                }
                input.advance(2);
                self.state = State::ChunkSize;
            }
            State::Trailers(left) => {
                let Some(line) = take_line(input, left)? else {
                    return Ok(false);
                };
                let left = left.saturating_sub(line.len());
                self.state = match line.len() {
                    2 => State::Done,
                    _ => State::Trailers(left),
                };
            }
            State::Done => {}
        }
        Ok(true)
    }
}

/// Removes a line with its CRLF from the input, if the line is complete.
fn take_line(input: &mut BytesMut, limit: usize) -> Result<Option<BytesMut>, Error> {
    match input.windows(2).position(|pair| pair == b"\r\n") {
        Some(end) if end <= limit => Ok(Some(input.split_to(end + 2))),
        Some(_) => Err(Error::Chunk),
        None if input.len() > limit => Err(Error::Chunk),
        None => Ok(None),
    }
}
