//! Entries of lists, each decoded on its own.
//!
//! Another writer may have left an entry that can't be decoded. It is left out; the others hold.

use net::web::BodyText;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

/// Decodes the entries that can be decoded.
pub(crate) fn decode_entries<T: DeserializeOwned>(
    text: &BodyText<'_>,
    entries: &[&RawValue],
    kind: &str,
) -> Vec<T> {
    let decoded = entries
        .iter()
        .filter_map(|entry| match text.decode(entry.get()) {
            Ok(entry) => Some(entry),
            Err(error) => {
                log::warn!(kind; "entry that can't be decoded left out: {error}");
                None
            }
        });
    decoded.collect()
}
