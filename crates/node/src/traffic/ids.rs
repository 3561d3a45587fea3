//! Request ids in their external form, signed by the region's nodes.
//!
//! An owner trusts the epoch and the issue time in an id. A caller that forged ids
//! could raise the floor of a slice's record, so that the requests of other callers
//! would be refused as too old. The signature also covers the key and its scope, so
//! that an id is valid only for the key for which it was issued.

use hmac::Mac;
use sequoiayoke_model::id;
use sequoiayoke_model::key;
use sequoiayoke_model::request;

/// Length in bytes of the truncated signature; enough to prevent online guessing.
const TAG_BYTES: usize = 8;
/// Domain separation between these signatures and the proofs that authenticate connections.
const DOMAIN_SEPARATOR: &[u8] = b"sequoiayoke request id";

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
    /// Creates a signer from the shared secret of the region's processes.
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_model::{id, key, request};
    /// use sequoiayoke_node::traffic::ids;
    ///
    /// let signer = ids::Signer::new(b"the shared secret");
    /// let id = request::Id::new(id::Epoch(7), 1_000, 42);
    /// let (service, hash) = (id::Service(1), key::Hash::new("mill-a", "lot-4"));
    /// let text = signer.sign(id, service, hash);
    /// assert_eq!(signer.verify(&text, service, hash), Some(id));
    /// assert_eq!(signer.verify(&text.replace("3e8", "3e9"), service, hash), None);
    /// assert_eq!(signer.verify(&text, service, key::Hash::new("mill-b", "lot-4")), None);
    /// ```
    pub fn new(secret: &[u8]) -> Self {
        let mut mac = Hmac::new_from_slice(secret).expect("HMAC accepts keys of any length");
        mac.update(DOMAIN_SEPARATOR);
        Self(mac)
    }

    /// Returns the id with its signature for this key, in the form given to callers.
    pub fn sign(&self, id: request::Id, service: id::Service, hash: key::Hash) -> String {
        let text = id.to_string();
        let tag = self.mac(&text, service, hash).finalize().into_bytes();
        let tag = u64::from_be_bytes(
            tag[..TAG_BYTES]
                .try_into()
                .expect("the slice has `TAG_BYTES` bytes"),
        );
        format!("{text}-{tag:016x}")
    }

    /// Returns the id, if it was signed for this key.
    pub fn verify(
        &self,
        signed: &str,
        service: id::Service,
        hash: key::Hash,
    ) -> Option<request::Id> {
        let (text, tag) = signed.rsplit_once('-')?;
        let tag = u64::from_str_radix(tag, 16).ok()?.to_be_bytes();
        // Compares in constant time.
        self.mac(text, service, hash)
            .verify_truncated_left(&tag)
            .ok()?;
        text.parse().ok()
    }

    fn mac(&self, text: &str, service: id::Service, hash: key::Hash) -> Hmac {
        let mut mac = self.0.clone();
        // Both have a fixed length, so the input cannot be split into fields in another way.
        mac.update(&service.0.to_be_bytes());
        mac.update(&hash.0.to_be_bytes());
        mac.update(text.as_bytes());
        mac
    }
}
