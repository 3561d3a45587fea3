//! Bodies generated from a number, so that a retry can regenerate and check them.

use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use xxhash_rust::xxh3;

/// Size of the chunks in which a body is sent, in bytes.
const CHUNK_BYTES: u64 = 16 * 1024;

/// A body of `length` bytes that is generated from `salt`.
///
/// # Examples
///
/// ```
/// use sequoiayoke_emulator::load::payload;
///
/// let first = payload::Payload { salt: 1, length: 100 };
/// let second = payload::Payload { salt: 2, length: 100 };
/// assert_ne!(first.digest(), second.digest());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Payload {
    /// Number from which the bytes are generated.
    pub salt: u64,
    /// Length in bytes.
    pub length: u64,
}

impl Payload {
    /// Returns the XXH3 digest of the bytes, in hexadecimal.
    pub fn digest(self) -> String {
        let mut state = xxh3::Xxh3Default::new();
        for index in 0..self.chunk_count() {
            state.update(&self.chunk(index));
        }
        format!("{:016x}", state.digest())
    }

    /// Returns the whole body in memory, which is meant for small bodies.
    pub fn bytes(self) -> Bytes {
        let chunks: Vec<Bytes> = (0..self.chunk_count())
            .map(|index| self.chunk(index))
            .collect();
        chunks.concat().into()
    }

    /// Returns the body in chunks, with a pause before each chunk but the first.
    pub fn stream(
        self,
        pause: Duration,
    ) -> impl Stream<Item = Result<Bytes, std::convert::Infallible>> + Send + 'static {
        futures_util::stream::unfold(0, move |index| async move {
            if index >= self.chunk_count() {
                return None;
            }
            if index > 0 && !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
            Some((Ok(self.chunk(index)), index + 1))
        })
    }

    /// Returns whether the body is streamed in more than one chunk.
    pub const fn is_streamed(self) -> bool {
        self.length > CHUNK_BYTES
    }

    const fn chunk_count(self) -> u64 {
        self.length.div_ceil(CHUNK_BYTES)
    }

    fn chunk(self, index: u64) -> Bytes {
        let length = (self.length - index * CHUNK_BYTES).min(CHUNK_BYTES) as usize;
        let mut state = self.salt ^ index.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let mut bytes = Vec::with_capacity(length + 8);
        while bytes.len() < length {
            // SplitMix64: each word depends on the salt and the position.
            state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
            let mut word = state;
            word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
            word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
            bytes.extend_from_slice(&(word ^ (word >> 31)).to_le_bytes());
        }
        bytes.truncate(length);
        bytes.into()
    }
}
