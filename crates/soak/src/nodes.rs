//! Daemons as processes.

use std::fs::File;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

/// Ports of a daemon on its own loopback address.
const FRONT_PORT: u16 = 18_001;
const READY_PORT: u16 = 18_002;
const PEER_PORT: u16 = 18_003;
/// Seconds between the request to end and the kill.
pub(crate) const GRACE_SECONDS: u64 = 6;

/// One daemon; its process is ended with the value.
pub(crate) struct SoakNode {
    pub name: String,
    pub zone: &'static str,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub peers: SocketAddr,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl SoakNode {
    /// Daemon on a loopback address of its own; it isn't started yet.
    pub fn new(
        program: &Path,
        folder: &Path,
        index: usize,
        ip: IpAddr,
        store: SocketAddr,
    ) -> io::Result<Self> {
        let name = format!("edge-{index}");
        let node = Self {
            zone: ["zone-a", "zone-b"][index % 2],
            front: SocketAddr::new(ip, FRONT_PORT),
            ready: SocketAddr::new(ip, READY_PORT),
            peers: SocketAddr::new(ip, PEER_PORT),
            program: program.to_owned(),
            settings: folder.join(format!("{name}.json")),
            log: folder.join(format!("{name}.log")),
            child: None,
            name,
        };
        std::fs::write(&node.settings, node.settings_text(store).to_string())?;
        Ok(node)
    }

    fn settings_text(&self, store: SocketAddr) -> Value {
        json!({
            "node": self.name, "ip": self.front.ip().to_string(), "zone": self.zone,
            "internalPorts": [PEER_PORT, PEER_PORT + 10], "bootstrap": true,
            "listen": {"front": self.front.to_string(), "ready": self.ready.to_string()},
            "limits": {"cpuShare": 0.25},
            "bounds": {"graceS": GRACE_SECONDS, "retryBudgetRatio": 0.2, "retryBudgetSlack": 100,
                "budgetWindowS": 10},
            "provider": {"address": store.to_string()},
        })
    }

    /// Starts the process; its log goes on in the same file.
    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .env("BRONZERUN_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal to the process, if it runs.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            // It may have ended meanwhile.
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// Whether the process has ended; its end is taken in.
    pub fn has_ended(&mut self) -> bool {
        let Some(child) = &mut self.child else {
            return true;
        };
        let has_ended = !matches!(child.try_wait(), Ok(None));
        if has_ended {
            self.child = None;
        }
        has_ended
    }
}

impl Drop for SoakNode {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // A paused process can't be waited for before it is killed.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
