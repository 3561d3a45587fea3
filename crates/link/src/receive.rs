//! Messages of one connection, read within what the connection may hold.

use std::io;
use std::rc;

use bytes::BytesMut;
use sequoiayoke_dispatch::ledger;
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio_util::codec;

use crate::account;

/// Largest number of bytes of one read.
const READ_BYTES: usize = 16 * 1024;

/// Reads the messages of a connection.
///
/// Bytes are read when there is room for them in the account of the listener, so that many messages
/// whose end does not arrive are bounded together.
///
/// # Examples
///
/// ```
/// use std::rc;
/// use sequoiayoke_dispatch::ledger;
/// use sequoiayoke_link::{account, codec, peer, receive};
/// use tokio::runtime;
///
/// let limits = ledger::Limits { bytes: 100_000, connections: 10 };
/// let account = rc::Rc::new(account::Account::new(limits));
/// let holding = rc::Rc::new(account::Holding::new(&account));
/// let sent = codec::encode(&peer::ToServer::Ping(4))?;
/// let codec = codec::Codec::<peer::ToEntry, peer::ToServer>::new();
/// let mut messages = receive::Messages::new(&sent[..], codec, holding);
/// let runtime = runtime::Builder::new_current_thread().build()?;
/// let received = runtime.block_on(messages.next())?;
/// assert!(matches!(received, Some(peer::ToServer::Ping(4))));
/// assert!(runtime.block_on(messages.next())?.is_none());
/// # Ok::<(), std::io::Error>(())
/// ```
#[derive(Debug)]
pub struct Messages<Reader, Codec> {
    reader: Reader,
    codec: Codec,
    input: BytesMut,
    holding: rc::Rc<account::Holding>,
}

impl<Reader, Codec> Messages<Reader, Codec>
where
    Reader: AsyncRead + Unpin,
    Codec: codec::Decoder<Error = io::Error>,
{
    /// Creates a reader whose bytes belong to `holding`.
    pub fn new(reader: Reader, codec: Codec, holding: rc::Rc<account::Holding>) -> Self {
        Self {
            reader,
            codec,
            input: BytesMut::new(),
            holding,
        }
    }

    /// Returns the underlying reader.
    pub const fn get_mut(&mut self) -> &mut Reader {
        &mut self.reader
    }

    /// Reads the next message; returns `None` at the end of the connection. A message that was read
    /// in part is kept if the future is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or ends within a message, if a message is malformed, and if
    /// the connection gives way to others.
    pub async fn next(&mut self) -> io::Result<Option<Codec::Item>> {
        loop {
            if let Some(message) = self.codec.decode(&mut self.input)? {
                // Fewer bytes always find room.
                self.holding.reserve(self.input.len());
                return Ok(Some(message));
            }
            match self.holding.reserve(self.input.len() + READ_BYTES) {
                ledger::Room::Granted => {}
                ledger::Room::Refused => return Err(no_room()),
                ledger::Room::After(_) | ledger::Room::Later => {
                    self.holding.account().wait_until_returned().await;
                    continue;
                }
            }
            let mut part = (&mut self.reader).take(READ_BYTES as u64);
            if part.read_buf(&mut self.input).await? == 0 {
                return match self.input.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
            self.holding.record_progress();
        }
    }
}

/// Returns the error with which a connection ends that gives way to others.
pub fn no_room() -> io::Error {
    io::Error::new(
        io::ErrorKind::OutOfMemory,
        "the connections of the listener hold too much",
    )
}
