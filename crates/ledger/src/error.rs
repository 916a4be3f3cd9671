//! What can be wrong with a stored shard.

/// Fault in the stored form of a shard.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LedgerError {
    /// The value is not the JSON of a shard.
    #[error("a ledger shard can't be read ({message}): restore the object or remove it")]
    Syntax {
        /// What the parser found.
        message: String,
    },
    /// A digest or a body is not hexadecimal.
    #[error("'{text}' in a ledger shard is not hexadecimal: restore the object or remove it")]
    Hexadecimal {
        /// Text at fault.
        text: String,
    },
}
