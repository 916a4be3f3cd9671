//! Creates API keys.

use document::KeyDigest;
use net::seed_from_system;
use serde_json::{Value, json};

use crate::{CommandOutcome, Report, ReportBody};

const KEY_PREFIX: &str = "br-";
const KEY_WORDS: usize = 4;

/// New API key; printed with its SHA-256 digest.
pub struct KeyReport {
    key: String,
}

impl KeyReport {
    fn digest(&self) -> String {
        KeyDigest::of_key(&self.key).to_hex()
    }
}

impl Report for KeyReport {
    fn to_json(&self) -> Value {
        json!({"key": self.key, "key_sha256": self.digest()})
    }

    fn to_body(&self) -> ReportBody {
        let key = format!("key         {}", self.key);
        let digest = format!("key_sha256  {}", self.digest());
        ReportBody::Text(format!("{key}\n{digest}\n"))
    }
}

/// Creates a key of 256 random bits.
pub fn new_key() -> CommandOutcome {
    let words = (0..KEY_WORDS).map(|_| format!("{:016x}", seed_from_system()));
    let key = format!("{KEY_PREFIX}{}", words.collect::<String>());
    CommandOutcome::success(KeyReport { key })
}
