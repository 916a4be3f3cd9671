//! Daemon processes under test.

use std::fs::File;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use platform::{NodeShape, SiteBounds, SiteShape};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

// Ports of a daemon on its own loopback address.
const CLIENT_PORT: u16 = 18_001;
const READY_PORT: u16 = 18_002;
const PEER_PORT: u16 = 18_003;
/// One daemon; its process is killed when the value is dropped.
pub(crate) struct SoakNode {
    pub name: String,
    pub shape: NodeShape,
    pub client_address: SocketAddr,
    pub ready_address: SocketAddr,
    pub peer_address: SocketAddr,
    /// Ids of all processes started so far.
    pub process_ids: Vec<u32>,
    executable: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl SoakNode {
    /// Creates a daemon on its own loopback address and writes its settings, without starting it.
    pub fn new(
        executable: &Path,
        directory: &Path,
        index: usize,
        ip: IpAddr,
        store: SocketAddr,
        site: &SiteShape,
    ) -> io::Result<Self> {
        let name = format!("edge-{index}");
        let node = Self {
            shape: site.nodes[index].clone(),
            client_address: SocketAddr::new(ip, CLIENT_PORT),
            ready_address: SocketAddr::new(ip, READY_PORT),
            peer_address: SocketAddr::new(ip, PEER_PORT),
            executable: executable.to_owned(),
            settings: directory.join(format!("{name}.json")),
            log: directory.join(format!("{name}.log")),
            process_ids: Vec::new(),
            child: None,
            name,
        };
        std::fs::write(
            &node.settings,
            node.settings_text(store, &site.bounds).to_string(),
        )?;
        Ok(node)
    }

    fn settings_text(&self, store: SocketAddr, bounds: &SiteBounds) -> Value {
        json!({
            "node": self.name, "ip": self.client_address.ip().to_string(), "zone": self.shape.domain,
            "internalPorts": [PEER_PORT, PEER_PORT + 10], "bootstrap": true,
            "listen": {"front": self.client_address.to_string(), "ready": self.ready_address.to_string()},
            "limits": {"cpuShare": self.shape.cpu_share, "memoryMb": self.shape.memory_mb,
                "linkMbps": self.shape.link_mbps},
            "bounds": {"graceS": bounds.grace.as_secs_f64(), "retryBudgetRatio": bounds.retry_share,
                "retryBudgetSlack": bounds.retry_slack,
                "budgetWindowS": bounds.retry_window.as_secs_f64(),
                "configApplyMs": bounds.config_apply.as_millis() as u64,
                "drainMs": bounds.drain.as_millis() as u64,
                "contactMs": bounds.contact.as_millis() as u64},
            "provider": {"address": store.to_string()},
        })
    }

    /// Starts the process; it appends to the log of the previous one.
    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.executable)
            .env("BRONZERUN_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.process_ids.push(child.id());
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal to the process, if it is running.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            // Fails if the process has exited meanwhile.
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// Most memory that the running process has had, in kilobytes.
    pub fn peak_memory_kb(&self) -> Option<u64> {
        let id = self.child.as_ref()?.id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Whether no process is running; reaps one that has exited.
    pub fn has_exited(&mut self) -> bool {
        let Some(child) = &mut self.child else {
            return true;
        };
        let has_exited = !matches!(child.try_wait(), Ok(None));
        if has_exited {
            self.child = None;
        }
        has_exited
    }
}

impl Drop for SoakNode {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // A process under SIGSTOP would not exit, so it is killed before the wait.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
