//! The operators' command line.
//!
//! [`main`] parses the arguments into checked types, opens a [`Session`] with the
//! platform and the daemons, and runs one command (a change) or query (a read).
//! Each returns a [`CommandOutcome`]: a report, which a [`Printer`] formats as a
//! table or JSON, and the exit status of the process.

mod args;
pub mod commands;
mod daemons;
mod error;
mod objects;
mod outcome;
pub mod output;
pub mod queries;
mod run;
mod section_text;
mod session;
mod status;

pub use args::{
    Arguments, CheckArgs, Command, EndpointCommand, ExplainArgs, GroupsCommand, HistogramArgs,
    HostsCommand, KeyCommand, ListCommand, OutputFormat, PutArgs, SectionCommand, WatchArgs,
};
pub use error::CliError;
pub use outcome::CommandOutcome;
pub use output::{Printer, Report, ReportBody};
pub use run::{main, run};
pub use session::{Session, SystemWaiter, Waiter};
pub use status::ExitStatus;
