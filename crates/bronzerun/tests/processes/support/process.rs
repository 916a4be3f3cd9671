//! Processes with kept logs and signals.

use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

use super::wait_for;

/// Process that ends with its test.
pub struct Process {
    child: Child,
    output: PathBuf,
    errors: PathBuf,
    /// Addresses that it announced.
    pub addresses: Value,
}

impl Process {
    /// Starts a program and waits until it says where it listens.
    pub fn start(program: &str, name: &str, folder: &Path, line: &[&str]) -> Self {
        let output = folder.join(format!("{name}.out"));
        let errors = folder.join(format!("{name}.err"));
        let child = Command::new(program)
            .args(line)
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
        process.addresses = wait_for(name, || process.announcement());
        process
    }

    /// Address that it announced under a name.
    pub fn address(&self, name: &str) -> String {
        self.addresses[name].as_str().unwrap().to_owned()
    }

    /// Everything that it printed.
    pub fn output(&self) -> String {
        fs::read_to_string(&self.output).unwrap()
    }

    /// Everything that it logged.
    pub fn logs(&self) -> String {
        fs::read_to_string(&self.errors).unwrap()
    }

    /// Its number.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Ends it at once, as a lost machine would.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Stops it from running.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets it run on.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks it to stop.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits until it has ended by itself.
    pub fn wait_end(&mut self) -> ExitStatus {
        wait_for("the end of a process", || self.child.try_wait().unwrap())
    }

    fn signal(&self, signal: Signal) {
        let id = Pid::from_child(&self.child);
        kill_process(id, signal).unwrap();
    }

    fn announcement(&self) -> Option<Value> {
        let output = self.output();
        let lines = output.split_inclusive('\n');
        let whole = lines.filter(|line| line.ends_with('\n'));
        whole
            .filter_map(|line| serde_json::from_str::<Value>(line).ok())
            .find(|line| line.get("listen").is_some() || line.get("admin").is_some())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
