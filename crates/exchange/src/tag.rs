//! Identifiers of exchanges.

use std::hash::{DefaultHasher, Hash, Hasher};

use base::prelude::*;

/// Identifier that a request carries and its answer repeats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExchangeTag(Arc<str>);

impl ExchangeTag {
    /// Tag with this text; `None` if it is empty, as it then identifies nothing.
    pub fn new(text: &str) -> Option<Self> {
        (!text.is_empty()).then(|| Self(text.into()))
    }

    /// Text of the tag.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Hash by which a connection remembers it.
    pub(crate) fn hash(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.0.hash(&mut hasher);
        hasher.finish()
    }
}
