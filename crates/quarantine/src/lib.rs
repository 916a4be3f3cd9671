//! Parts of prompts that crash the servers that answer them.
//!
//! A prompt consists of parts that requests share. One part may crash every server that begins
//! to answer a prompt with it. When a server crashes, its requests that have no event yet are
//! reported with their parts: one of them may be the cause, most are bystanders. A part of
//! which any server has since begun an answer is cleared. A part that was reported for several
//! crashes in a row, for different requests and without an answer in between, is quarantined:
//! requests with it are rejected for a while, and all others are served.
//!
//! Reports and clearances are [`CrashEvidence`], which nodes exchange. Merging evidence does not
//! depend on the order, so nodes with the same evidence come to the same verdicts. All of it
//! expires, and its size is bounded.
//!
//! [`commands`] change a [`QuarantineState`]; [`queries`] only read it.

mod evidence;
mod settings;
mod state;

pub mod commands;
pub mod queries;

pub use evidence::{
    CrashEvidence, CrashReport, PartClearance, PromptPart, PromptParts, ServerCrash,
};
pub use settings::QuarantineSettings;
pub use state::{PartVerdict, QuarantineState};
