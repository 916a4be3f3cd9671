//! Items that are replicated to every node.

use std::fmt;

use base::prelude::*;
use sha2::{Digest, Sha256};

/// Key of an item.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ItemKey {
    /// Section of the configuration document.
    Section(SectionName),
    /// Record of a fabric domain, with its groups.
    Fabric(FabricName),
}

/// First half of the SHA-256 of an item's body; zero for a removed item.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ItemDigest(pub [u8; 16]);

impl ItemDigest {
    /// Digest of a removed item.
    pub const REMOVED: Self = Self([0; 16]);

    /// Digest of a body.
    pub fn of_body(body: Option<&str>) -> Self {
        let Some(body) = body else {
            return Self::REMOVED;
        };
        let mut half = [0; 16];
        half.copy_from_slice(&Sha256::digest(body.as_bytes())[..16]);
        Self(half)
    }
}

impl fmt::Debug for ItemDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ItemDigest({:016x})", self.prefix())
    }
}

impl ItemDigest {
    /// First eight bytes as a big-endian number.
    pub(crate) fn prefix(&self) -> u64 {
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&self.0[..8]);
        u64::from_be_bytes(prefix)
    }
}

/// Version and digest of an item, without its body.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ItemEntry {
    /// Key of the item.
    pub key: ItemKey,
    /// Version in the store; increases with every change of the item.
    pub version: ObjectVersion,
    /// Digest of the body.
    pub digest: ItemDigest,
}

/// One version of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Key of the item.
    pub key: ItemKey,
    /// Version in the store.
    pub version: ObjectVersion,
    /// Text of the item; `None` once it has been removed.
    pub body: Option<Arc<str>>,
}

impl Item {
    /// Key, version and digest of this item.
    pub fn entry(&self) -> ItemEntry {
        ItemEntry {
            key: self.key.clone(),
            version: self.version,
            digest: ItemDigest::of_body(self.body.as_deref()),
        }
    }
}

/// All items in the store at one version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreListing {
    /// Version of the listing itself.
    pub version: ObjectVersion,
    /// Every item, removed ones included.
    pub entries: Vec<ItemEntry>,
}
