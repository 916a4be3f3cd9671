//! Options of the command.

use std::path::PathBuf;
use std::time::Duration;

use clap::Parser;

/// Runs the entry hosts' daemon under random faults and checks its promises.
#[derive(Clone, Debug, Parser)]
#[command(name = "bronzerun-soak", version)]
pub struct SoakOptions {
    /// Program of the entry hosts' daemon.
    #[arg(long, default_value = "target/release/bronzerun-edge")]
    pub edge: PathBuf,
    /// First seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Seeds to run, one after the other.
    #[arg(long, default_value_t = 1)]
    pub seeds: u64,
    /// Seconds with faults in each run.
    #[arg(long, default_value_t = 20)]
    pub seconds: u64,
    /// Daemons.
    #[arg(long, default_value_t = 4)]
    pub nodes: usize,
    /// Requests a second that clients send.
    #[arg(long, default_value_t = 60)]
    pub rate: u64,
    /// Folder for the daemons' logs; those of a run that breaks nothing are removed.
    #[arg(long, default_value = "target/soak")]
    pub logs: PathBuf,
}

impl SoakOptions {
    /// Time with faults in each run.
    pub fn span(&self) -> Duration {
        Duration::from_secs(self.seconds)
    }
}
