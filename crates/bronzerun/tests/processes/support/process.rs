//! Child processes with log files and signals.

use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

use super::wait_for;

/// Child process, killed on drop.
pub struct Process {
    child: Child,
    output: PathBuf,
    errors: PathBuf,
    /// Listen addresses that it printed, by name.
    pub addresses: Value,
}

impl Process {
    /// Starts a program and waits until it has printed its listen addresses.
    pub fn start(program: &str, name: &str, folder: &Path, arguments: &[&str]) -> Self {
        let output = folder.join(format!("{name}.out"));
        let errors = folder.join(format!("{name}.err"));
        let child = Command::new(program)
            .args(arguments)
            .stdout(File::create(&output).unwrap())
            .stderr(File::create(&errors).unwrap())
            .spawn()
            .unwrap();
        let mut process = Self {
            child,
            output,
            errors,
            addresses: Value::Null,
        };
        process.addresses = wait_for(name, || process.read_addresses());
        process
    }

    /// Listen address of a name, such as `admin`.
    pub fn address(&self, name: &str) -> String {
        self.addresses[name].as_str().unwrap().to_owned()
    }

    /// Standard output so far.
    pub fn output(&self) -> String {
        fs::read_to_string(&self.output).unwrap()
    }

    /// Logs so far, which go to standard error.
    pub fn logs(&self) -> String {
        fs::read_to_string(&self.errors).unwrap()
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process with SIGKILL, as the loss of its machine would.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Suspends the process with SIGSTOP.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes the process with SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits until the process has exited; returns its exit status.
    pub fn wait_exit(&mut self) -> ExitStatus {
        wait_for("a process exits", || self.child.try_wait().unwrap())
    }

    fn signal(&self, signal: Signal) {
        let id = Pid::from_child(&self.child);
        kill_process(id, signal).unwrap();
    }

    fn read_addresses(&self) -> Option<Value> {
        let output = self.output();
        let lines = output.split_inclusive('\n');
        let complete = lines.filter(|line| line.ends_with('\n'));
        complete
            .filter_map(|line| serde_json::from_str::<Value>(line).ok())
            .find(|line| line.get("listen").is_some() || line.get("admin").is_some())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
