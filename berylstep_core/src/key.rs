//! Keyed hashes of callers' keys.

use hmac::{Hmac, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// HMAC-SHA256 of a caller's key under the site's secret; the only form in which keys are held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Hashes the key `caller_key` under `site_secret`.
    pub fn of(site_secret: &[u8], caller_key: &str) -> Self {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(site_secret).expect("HMAC takes keys of any length");
        mac.update(caller_key.as_bytes());
        Self(mac.finalize().into_bytes().into())
    }

    /// Parses 64 hexadecimal digits.
    pub fn from_hex(digits: &str) -> Option<Self> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(digits, &mut bytes).ok()?;
        Some(Self(bytes))
    }

    /// Returns 64 hexadecimal digits.
    pub fn to_hex(self) -> String {
        hex::encode(self.0)
    }

    /// Compares in constant time.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}
