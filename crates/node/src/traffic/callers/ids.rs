//! Request ids as callers see them: signed by the region's nodes.
//!
//! An owner trusts the epoch and the time of issue in an id. A caller that made
//! up its own ids could raise the floor of a slice's record, and other callers'
//! requests would then be refused as too old.

use hmac::Mac;
use sequoiayoke_model::request;

/// Bytes of the signature that an id carries; enough against guessing online.
const TAG: usize = 8;
/// Keeps these signatures apart from the proofs of connections.
const PURPOSE: &[u8] = b"sequoiayoke request id";

type Hmac = hmac::Hmac<sha2::Sha256>;

/// Signs request ids and checks their signatures.
#[derive(Clone)]
pub struct Signer(Hmac);

impl std::fmt::Debug for Signer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Signer([hidden])")
    }
}

impl Signer {
    /// Makes a signer from the secret that the region's processes share.
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_model::{id, request};
    /// use sequoiayoke_node::traffic::callers::ids;
    ///
    /// let signer = ids::Signer::new(b"the shared secret");
    /// let id = request::Id::new(id::Epoch(7), 1_000, 42);
    /// let text = signer.sign(id);
    /// assert_eq!(signer.verify(&text), Some(id));
    /// assert_eq!(signer.verify(&text.replace("3e8", "3e9")), None);
    /// ```
    pub fn new(secret: &[u8]) -> Self {
        let mut mac = Hmac::new_from_slice(secret).expect("HMAC takes a key of any length");
        mac.update(PURPOSE);
        Self(mac)
    }

    /// Returns the id with its signature, as a caller gets it.
    pub fn sign(&self, id: request::Id) -> String {
        let text = id.to_string();
        let tag = self.mac(&text).finalize().into_bytes();
        let tag = u64::from_be_bytes(tag[..TAG].try_into().expect("a tag has 8 bytes"));
        format!("{text}-{tag:016x}")
    }

    /// Returns the id, if the signature fits.
    pub fn verify(&self, signed: &str) -> Option<request::Id> {
        let (text, tag) = signed.rsplit_once('-')?;
        let tag = u64::from_str_radix(tag, 16).ok()?.to_be_bytes();
        // Compares in constant time.
        self.mac(text).verify_truncated_left(&tag).ok()?;
        text.parse().ok()
    }

    fn mac(&self, text: &str) -> Hmac {
        let mut mac = self.0.clone();
        mac.update(text.as_bytes());
        mac
    }
}
