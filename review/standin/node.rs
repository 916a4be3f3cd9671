//! Processes of the daemon.

use std::fs::File;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::{Req, call};

/// Program that the deploy file runs.
const PROGRAM: &str = "target/release/bronzerun-edge";

pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub log: PathBuf,
    settings: PathBuf,
    child: Option<Child>,
}

impl Node {
    /// Writes the settings of a node with a loopback address of its own and starts it.
    pub fn start(
        folder: &Path,
        (name, ip, zone): (&str, &str, &str),
        store: SocketAddr,
    ) -> io::Result<Self> {
        let settings = folder.join(format!("{name}.json"));
        let text = format!(
            r#"{{"node":"{name}","role":"node","machineClass":"edge","serves":["edge"],"ip":"{ip}","zone":"{zone}","region":"r1",
"zones":{{"z1":"r1","z2":"r1","z3":"r1"}},
"listen":{{"front":"{ip}:18227","ready":"{ip}:18220"}},"internalPorts":[18340,18355],"seeds":[],"bootstrap":true,"inTolerance":false,
"limits":{{"cpuShare":0.25,"cores":1,"memoryMb":260,"maxFds":4200,"linkMbps":1000.0,"diskMb":0}},"dataDir":null,
"discovery":"platform","entry":"vip","heartbeatMs":1200,
"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","gangs"],
"faultTolerance":{{"machines":2,"zones":0,"regions":0}},
"bounds":{{"seedLagS":3,"reuseAfterS":2,"contactMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,"graceS":8,"lossSlackMs":200,"configApplyMs":2000,"rollbackSlackMs":250,"maxStretchMs":5000,"strictRevoke":false,"revokeMs":5000,"retryBudgetRatio":0.2,"budgetWindowS":10,"retryBudgetSlack":105,"recoveryS":12,"passMs":120,"retryAfterS":0,"stallMs":5000,"requireFence":false,"ceilingWindowS":5,"ceilingOverage":1.1}},
"provider":{{"address":"{store}","form":"objects","writesPerS":400,"readsPerS":2000,"historyS":20,"valueBytes":1048576,"minTtlMs":1000}}}}"#
        );
        std::fs::write(&settings, text)?;
        let mut node = Self {
            name: name.to_owned(),
            front: format!("{ip}:18227").parse().unwrap(),
            ready: format!("{ip}:18220").parse().unwrap(),
            log: folder.join(format!("{name}.log")),
            settings,
            child: None,
        };
        node.launch()?;
        Ok(node)
    }

    pub fn launch(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(PROGRAM)
            .env("BRONZERUN_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Status of the readiness check; `None` if no answer comes within a second.
    pub fn readiness(&self) -> Option<u16> {
        let req = Req {
            method: "GET".to_owned(),
            target: "/readyz".to_owned(),
            headers: vec![
                ("host".to_owned(), self.ready.to_string()),
                ("connection".to_owned(), "close".to_owned()),
            ],
            body: Vec::new(),
        };
        call(self.ready, &req, Duration::from_secs(1)).status
    }

    /// Waits until the node is ready; whether it is.
    pub fn wait_ready(&self, patience: Duration) -> bool {
        let end = Instant::now() + patience;
        while Instant::now() < end {
            if TcpStream::connect(self.ready).is_ok() && self.readiness() == Some(200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
