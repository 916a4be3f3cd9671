//! Runs the whole system in one process, with an emulated platform and emulated hosts.

use std::process::ExitCode;

fn main() -> ExitCode {
    bronzerun::run_demo()
}
