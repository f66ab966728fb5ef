//! Keyed hashes of callers' API keys.

use hmac::{Hmac, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// HMAC-SHA256 of a caller's API key under the site secret; the only form in which keys are stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Hashes `caller_key` under `site_secret`.
    pub fn of(site_secret: &[u8], caller_key: &str) -> Self {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(site_secret).expect("HMAC accepts keys of any length");
        mac.update(caller_key.as_bytes());
        Self(mac.finalize().into_bytes().into())
    }

    /// Parses 64 hexadecimal digits; returns `None` for any other text.
    pub fn from_hex(digits: &str) -> Option<Self> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(digits, &mut bytes).ok()?;
        Some(Self(bytes))
    }

    /// Returns the hash as 64 lowercase hexadecimal digits.
    pub fn to_hex(self) -> String {
        hex::encode(self.0)
    }

    /// Compares two hashes in constant time.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}
