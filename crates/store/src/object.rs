//! Objects, their keys and proposed changes.

use std::fmt;

use base::prelude::*;

/// Largest value of an object in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Path of an object, such as `fabrics/kozep-a-1`.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ObjectKey(Arc<str>);

impl ObjectKey {
    /// Key from its path.
    pub fn new(path: &str) -> Self {
        Self(Arc::from(path))
    }

    /// Path of the key.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ObjectKey({})", self.0)
    }
}

/// Object as read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredObject {
    /// Where it is kept.
    pub key: ObjectKey,
    /// Version of this value; grows with every update.
    pub version: ObjectVersion,
    /// Encoded value.
    pub value: Arc<str>,
}

/// Conditional update of one object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObjectChange {
    /// Object to write.
    pub key: ObjectKey,
    /// Version it must still have; zero if it must not exist yet.
    pub expected: ObjectVersion,
    /// Encoded new value.
    pub value: Arc<str>,
}
