//! Queries that only read the ledger's state.

mod deadline;
mod size;
mod status;
