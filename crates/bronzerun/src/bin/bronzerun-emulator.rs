//! Emulates the platform or an endpoint, or runs a load test.

use std::process::ExitCode;

fn main() -> ExitCode {
    bronzerun::run_emulator()
}
