//! Errors of commands and queries.

use base::prelude::*;
use document::{DecodeError, SectionFault};

use crate::ExitStatus;

/// Failure of a command; the message says what the operator can do.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// Neither `--platform` nor `BRONZERUN_PLATFORM` gives an address.
    #[error("the platform's address is missing: give --platform or set BRONZERUN_PLATFORM")]
    NoPlatform,
    /// A file cannot be read.
    #[error("cannot read '{path}': {source}")]
    ReadFile {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A file with a configuration cannot be read.
    #[error("cannot read '{path}': {source}")]
    ReadConfig {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A file changes while it is read.
    #[error("'{path}' changed while it was read: check it again once it is written")]
    ChangingFile {
        /// Path of the file.
        path: String,
    },
    /// A file is no configuration.
    #[error("'{path}' is no configuration: {source}")]
    NoConfig {
        /// Path of the file.
        path: String,
        /// What is wrong with it, and where.
        source: platform::UnreadableConfig,
    },
    /// `--against` is given with several files.
    #[error("--against compares one file with another one: give one file")]
    SeveralConfigs,
    /// No log line has the ID of the request.
    #[error("no log line has request ID '{id}': give the logs of every node from that time")]
    UnknownRequest {
        /// ID of the request.
        id: String,
    },
    /// The runtime cannot start, or the output cannot be written.
    #[error("operating system error: {0}")]
    System(#[from] std::io::Error),
    /// The platform did not answer, and nothing was changed.
    #[error("the platform did not answer: nothing was changed; try again")]
    Unavailable,
    /// The platform did not answer after a write was sent, so the write may be applied.
    #[error(
        "the platform did not answer, and the change may have taken effect: \
         check with '{command}' once the platform is available"
    )]
    UnknownOutcome {
        /// Command that shows whether the write was applied.
        command: String,
    },
    /// An object of the store cannot be decoded.
    #[error("cannot decode object '{key}': {reason}")]
    Undecodable {
        /// Key of the object.
        key: String,
        /// Error of the decoder.
        reason: String,
    },
    /// The document cannot be decoded.
    #[error(transparent)]
    Document(#[from] DecodeError),
    /// No object has this name.
    #[error("there is no {kind} '{name}': 'bronzerun {list}' shows the existing ones")]
    Missing {
        /// Kind of the object.
        kind: &'static str,
        /// Name that was given.
        name: String,
        /// Subcommand that lists the existing objects.
        list: &'static str,
    },
    /// The section exists, but the edit does not give the revision that it is based on.
    #[error(
        "section '{section}' exists: give the revision that the text is based on, with --revision \
         or in the first line, as 'bronzerun section show' prints it"
    )]
    NoRevision {
        /// Name of the section.
        section: SectionName,
    },
    /// The first line of the text names another section.
    #[error(
        "the text belongs to section '{found}', not to '{section}': correct the name or the text"
    )]
    OtherSection {
        /// Section given in the arguments.
        section: SectionName,
        /// Section in the first line of the text.
        found: SectionName,
    },
    /// The section was edited since the revision that the text is based on.
    #[error(
        "section '{section}' is at revision {found}, but the text is based on revision \
         {expected}: nothing was changed; show the section again, merge and put it"
    )]
    Conflict {
        /// Name of the section.
        section: SectionName,
        /// Revision that the text is based on.
        expected: SectionRevision,
        /// Current revision.
        found: SectionRevision,
    },
    /// Every attempt lost against a concurrent update of the object.
    #[error("'{key}' was updated concurrently at every attempt: nothing was changed; try again")]
    Contended {
        /// Key of the object.
        key: String,
    },
    /// The section belongs to another team.
    #[error("section '{section}' belongs to team '{owner}': nothing was changed; ask that team")]
    NotOwner {
        /// Name of the section.
        section: SectionName,
        /// Team that owns the section.
        owner: TeamName,
    },
    /// The text of the section has faults.
    #[error("section '{section}' has faults, so nothing was changed:\n{}", list_faults(.faults))]
    Faulty {
        /// Name of the section.
        section: SectionName,
        /// Faults of the text.
        faults: Vec<SectionFault>,
    },
    /// The object would exceed the size limit of the platform.
    #[error("'{key}' would be larger than the platform accepts: shorten the text")]
    TooLarge {
        /// Key of the object.
        key: String,
    },
}

impl CliError {
    /// Exit status of the process for this error.
    pub fn status(&self) -> ExitStatus {
        match self {
            Self::NoPlatform
            | Self::NoRevision { .. }
            | Self::OtherSection { .. }
            | Self::NoConfig { .. }
            | Self::ReadConfig { .. }
            | Self::ChangingFile { .. }
            | Self::SeveralConfigs
            | Self::Faulty { .. } => ExitStatus::Faulty,
            Self::Conflict { .. } | Self::Contended { .. } => ExitStatus::Conflict,
            Self::Unavailable | Self::UnknownOutcome { .. } => ExitStatus::Unavailable,
            Self::ReadFile { .. }
            | Self::System(_)
            | Self::Undecodable { .. }
            | Self::Document(_)
            | Self::Missing { .. }
            | Self::UnknownRequest { .. }
            | Self::NotOwner { .. }
            | Self::TooLarge { .. } => ExitStatus::Failed,
        }
    }
}

fn list_faults(faults: &[SectionFault]) -> String {
    let lines: Vec<_> = faults.iter().map(|fault| format!("  {fault}")).collect();
    lines.join("\n")
}
