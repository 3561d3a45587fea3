//! Length-delimited frames that hold one message in postcard each.

use std::io;
use std::marker;

use bytes::{Bytes, BytesMut};
use tokio_util::codec;

/// Largest frame, in bytes: a body of the largest size that the router accepts, and its head.
pub const MAX_FRAME: usize = 20 * 1024 * 1024;

/// Codec that sends `Out` and receives `In`.
#[derive(Debug)]
pub struct Codec<Out, In> {
    inner: codec::LengthDelimitedCodec,
    types: marker::PhantomData<fn(Out) -> In>,
}

impl<Out, In> Default for Codec<Out, In> {
    fn default() -> Self {
        Self::new()
    }
}

impl<Out, In> Codec<Out, In> {
    /// Creates a codec that enforces [`MAX_FRAME`].
    ///
    /// # Examples
    ///
    /// ```
    /// use bytes::BytesMut;
    /// use sequoiayoke_link::{codec, peer};
    /// use tokio_util::codec::{Decoder, Encoder};
    ///
    /// let mut codec = codec::Codec::<peer::ToServer, peer::ToServer>::new();
    /// let mut buffer = BytesMut::new();
    /// codec.encode(&peer::ToServer::Ping(4), &mut buffer).expect("the frame is short");
    /// let received = codec.decode(&mut buffer).expect("the frame is well formed");
    /// assert!(matches!(received, Some(peer::ToServer::Ping(4))));
    /// ```
    pub fn new() -> Self {
        let inner = codec::LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME)
            .new_codec();
        Self {
            inner,
            types: marker::PhantomData,
        }
    }
}

/// Encodes a message as one frame.
///
/// # Errors
///
/// Fails if the message exceeds the frame limit.
pub fn encode<T>(message: &T) -> io::Result<Bytes>
where
    T: serde::Serialize,
{
    let mut buffer = BytesMut::new();
    append(message, &mut buffer)?;
    Ok(buffer.freeze())
}

/// Appends a message as one frame to `buffer`.
///
/// # Errors
///
/// Fails if the message exceeds the frame limit; `buffer` is then unchanged.
pub fn append<T>(message: &T, buffer: &mut BytesMut) -> io::Result<()>
where
    T: serde::Serialize,
{
    let start = buffer.len();
    buffer.extend_from_slice(&[0; 4]);
    let encoded = postcard::to_extend(message, std::mem::take(buffer));
    *buffer = encoded.map_err(io::Error::other)?;
    let length = buffer.len() - start - 4;
    if length > MAX_FRAME {
        buffer.truncate(start);
        let text = format!("a message of {length} bytes exceeds the frame limit");
        return Err(io::Error::new(io::ErrorKind::InvalidInput, text));
    }
    buffer[start..start + 4].copy_from_slice(&(length as u32).to_be_bytes());
    Ok(())
}

impl<Out, In> codec::Encoder<&Out> for Codec<Out, In>
where
    Out: serde::Serialize,
{
    type Error = io::Error;

    fn encode(&mut self, message: &Out, buffer: &mut BytesMut) -> io::Result<()> {
        append(message, buffer)
    }
}

impl<Out, In> codec::Decoder for Codec<Out, In>
where
    In: serde::de::DeserializeOwned,
{
    type Item = In;
    type Error = io::Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> io::Result<Option<In>> {
        let Some(frame) = self.inner.decode(buffer)? else {
            return Ok(None);
        };
        let message = postcard::from_bytes(&frame);
        message
            .map(Some)
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
    }
}
