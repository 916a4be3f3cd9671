//! SHA-256 digests of API keys and of section texts.

use std::fmt;

use sha2::{Digest, Sha256};

const DIGEST_BYTES: usize = 32;

/// SHA-256 of an API key; the key itself is never stored.
///
/// Comparisons and lookups need not run in constant time: their timing can
/// reveal only the digest, from which the key can't be recovered.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest(pub [u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Digest of an API key.
    pub fn of_key(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Parses 64 hexadecimal digits; `None` for any other text.
    pub fn from_hex(text: &str) -> Option<Self> {
        if text.len() != 2 * DIGEST_BYTES || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return None;
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (index, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
        }
        Some(Self(bytes))
    }

    /// Digest as 64 lower-case hexadecimal digits.
    pub fn to_hex(self) -> String {
        to_hex(&self.0)
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// SHA-256 of a section's text.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SectionDigest([u8; DIGEST_BYTES]);

impl SectionDigest {
    /// Digest of a section's text.
    pub fn of_text(text: &str) -> Self {
        Self(Sha256::digest(text.as_bytes()).into())
    }
}

impl fmt::Display for SectionDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&to_hex(&self.0))
    }
}

impl fmt::Debug for SectionDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "SectionDigest({self})")
    }
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
