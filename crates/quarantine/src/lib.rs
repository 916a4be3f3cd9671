//! Requests, and parts of prompts, that crash the servers that run them.
//!
//! A request may crash every server that runs it, and so may one part of a prompt, whatever
//! else the request holds. When a server crashes, its requests whose answers are not complete are
//! reported with their parts: one of them may be the cause, most are bystanders. Crashes are judged
//! by the [`AnswerStage`] that the answer had not reached, and an answer that reaches a stage clears
//! a request and its parts of the crashes before it. What was reported for several crashes in a row
//! without such an answer in between, a part for different requests, is quarantined: such requests
//! are rejected for a while, and all others are served.
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
    AnswerStage, CallSuspects, CrashEvidence, CrashReport, CrashSuspect, PromptPart, PromptParts,
    RequestDigest, ServerCrash, SuspectClearance,
};
pub use settings::QuarantineSettings;
pub use state::{CrashVerdict, QuarantineState};
