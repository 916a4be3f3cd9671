//! What can be read off a ledger's state.

mod deadline;
mod size;
mod status;
