//! Command-line options.

use std::path::PathBuf;
use std::time::Duration;

use clap::Parser;

use crate::plan::PlanKind;

/// Runs the entry hosts' daemon under random faults and checks its invariants.
#[derive(Clone, Debug, Parser)]
#[command(name = "bronzerun-soak", version)]
pub struct SoakOptions {
    /// Executable of the entry hosts' daemon.
    #[arg(long, default_value = "target/release/bronzerun-edge")]
    pub edge: PathBuf,
    /// Seed of the first run.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of consecutive seeds to run.
    #[arg(long, default_value_t = 1)]
    pub seeds: u64,
    /// Seconds of fault injection in each run.
    #[arg(long, default_value_t = 20)]
    pub seconds: u64,
    /// Number of daemons.
    #[arg(long, default_value_t = 4)]
    pub nodes: usize,
    /// Requests per second, over all clients.
    #[arg(long, default_value_t = 60)]
    pub rate: u64,
    /// Number of clients, of six, that send a refused request again under the same id.
    #[arg(long, default_value_t = 2)]
    pub repeating_clients: u64,
    /// Faults of the runs.
    #[arg(long, value_enum, default_value_t = PlanKind::Generated)]
    pub plan: PlanKind,
    /// Site file: runs a deployment of its shape and load in place of the built-in one.
    #[arg(long)]
    pub site: Option<PathBuf>,
    /// With a site file: servers in trouble write no answer twice.
    #[arg(long, requires = "site")]
    pub without_copies: bool,
    /// Directory for the daemons' logs; the logs of a run without violations are removed.
    #[arg(long, default_value = "target/soak")]
    pub logs: PathBuf,
}

impl SoakOptions {
    /// Duration of fault injection in each run.
    pub fn fault_duration(&self) -> Duration {
        Duration::from_secs(self.seconds)
    }
}
