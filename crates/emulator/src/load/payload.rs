//! Bodies that derive from a number, so that they can be sent again and checked.

use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use xxhash_rust::xxh3;

/// Size of the parts in which a body is sent, in bytes.
const PART: u64 = 16 * 1024;

/// A body of `length` bytes that derives from `salt`.
///
/// # Examples
///
/// ```
/// use sequoiayoke_emulator::load::payload;
///
/// let one = payload::Payload { salt: 1, length: 100 };
/// let two = payload::Payload { salt: 2, length: 100 };
/// assert_ne!(one.digest(), two.digest());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Payload {
    /// Number from which the bytes derive.
    pub salt: u64,
    /// Length in bytes.
    pub length: u64,
}

impl Payload {
    /// Returns the XXH3 digest of the bytes, in hexadecimal.
    pub fn digest(self) -> String {
        let mut state = xxh3::Xxh3Default::new();
        for index in 0..self.parts() {
            state.update(&self.part(index));
        }
        format!("{:016x}", state.digest())
    }

    /// Returns the whole body; only for bodies that are small.
    pub fn bytes(self) -> Bytes {
        let parts: Vec<Bytes> = (0..self.parts()).map(|index| self.part(index)).collect();
        parts.concat().into()
    }

    /// Returns the body part by part, with a pause before each part but the first.
    pub fn stream(
        self,
        pause: Duration,
    ) -> impl Stream<Item = Result<Bytes, std::convert::Infallible>> + Send + 'static {
        futures_util::stream::unfold(0, move |index| async move {
            if index >= self.parts() {
                return None;
            }
            if index > 0 && !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
            Some((Ok(self.part(index)), index + 1))
        })
    }

    /// Tells whether the body is sent in more than one part.
    pub const fn is_large(self) -> bool {
        self.length > PART
    }

    const fn parts(self) -> u64 {
        self.length.div_ceil(PART)
    }

    fn part(self, index: u64) -> Bytes {
        let length = (self.length - index * PART).min(PART) as usize;
        let mut state = self.salt ^ index.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let mut bytes = Vec::with_capacity(length + 8);
        while bytes.len() < length {
            // SplitMix64: each word depends on the salt and the place.
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
