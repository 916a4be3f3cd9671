//! Runs the edge node of an entry host on the users' platform.

use std::process::ExitCode;

fn main() -> ExitCode {
    bronzerun::run_edge()
}
