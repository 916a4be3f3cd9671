//! Runs the gateway of an entry host.

use std::process::ExitCode;

fn main() -> ExitCode {
    bronzerun::run_gateway()
}
