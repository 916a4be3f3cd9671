//! Numbers that must not be mixed up with one another.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! numbers {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Number that follows this one.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    )*};
}

numbers! {
    /// Version of an object in the platform's store; zero where none exists.
    ObjectVersion;
    /// Fencing token of a fabric domain's owner lease.
    FencingToken;
    /// Generation of a replica group's membership.
    GroupEpoch;
    /// Identity of one run of a host's engine; a restart changes it.
    HostIncarnation;
    /// Call under way in one process.
    CallId;
    /// Edits of one section so far; zero where it does not exist.
    SectionRevision;
    /// Random mark of one conditional update, to recognise it when read back.
    WriteNonce;
}
