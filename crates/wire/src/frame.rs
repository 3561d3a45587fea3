//! Length-delimited frames that hold one prost message each.

use std::io;
use std::marker;

use bytes::BytesMut;
use tokio_util::codec;

/// Largest frame, in bytes. A longer frame is an error, which ends the connection.
pub const MAX_FRAME: usize = 1 << 20;

/// Codec that sends `Out` and receives `In`.
///
/// # Examples
///
/// ```
/// use bytes::BytesMut;
/// use sequoiayoke_wire::{frame, session};
/// use tokio_util::codec::{Decoder, Encoder};
///
/// let mut codec = frame::Codec::<session::FromNode, session::FromNode>::new();
/// let sent = session::FromNode::from(session::Renew { sequence: 1, version: 2, load: vec![], health: None });
/// let mut buffer = BytesMut::new();
/// codec.encode(&sent, &mut buffer).expect("the frame is short");
/// let received = codec.decode(&mut buffer).expect("the frame is well formed");
/// assert_eq!(received, Some(sent));
/// ```
#[derive(Debug)]
pub struct Codec<Out, In> {
    inner: codec::LengthDelimitedCodec,
    types: marker::PhantomData<fn(Out) -> In>,
}

impl<Out, In> Codec<Out, In> {
    /// Creates a codec that enforces [`MAX_FRAME`].
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

impl<Out, In> Default for Codec<Out, In> {
    fn default() -> Self {
        Self::new()
    }
}

impl<Out, In> codec::Encoder<&Out> for Codec<Out, In>
where
    Out: prost::Message,
{
    type Error = io::Error;

    fn encode(&mut self, message: &Out, buffer: &mut BytesMut) -> io::Result<()> {
        let length = message.encoded_len();
        if length > MAX_FRAME {
            let text = format!("a message of {length} bytes exceeds the frame limit");
            return Err(io::Error::new(io::ErrorKind::InvalidInput, text));
        }
        buffer.reserve(4 + length);
        buffer.extend_from_slice(&(length as u32).to_be_bytes());
        message.encode(buffer).map_err(io::Error::other)
    }
}

impl<Out, In> codec::Decoder for Codec<Out, In>
where
    In: prost::Message + Default,
{
    type Item = In;
    type Error = io::Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> io::Result<Option<In>> {
        let Some(frame) = self.inner.decode(buffer)? else {
            return Ok(None);
        };
        let decoded = In::decode(frame.freeze());
        decoded
            .map(Some)
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
    }
}

/// Encodes a message as one frame, which several connections can share.
///
/// # Errors
///
/// Fails if the message exceeds the frame limit.
pub fn encode<Out>(message: &Out) -> io::Result<bytes::Bytes>
where
    Out: prost::Message,
{
    let mut buffer = BytesMut::new();
    codec::Encoder::encode(&mut Codec::<Out, Out>::new(), message, &mut buffer)?;
    Ok(buffer.freeze())
}
