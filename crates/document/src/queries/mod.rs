//! Reads of a document and of the configuration in force.

mod callers;
mod calls;
