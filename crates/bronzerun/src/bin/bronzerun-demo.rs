//! Runs the whole system in one process.

use std::process::ExitCode;

fn main() -> ExitCode {
    bronzerun::run_demo()
}
