//! Chooses the replica group or server that runs a call.
