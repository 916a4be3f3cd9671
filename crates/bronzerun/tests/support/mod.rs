//! The platform's stand-in and an operator at the command line.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::Command;
use std::rc::Rc;
use std::sync::mpsc;
use std::time::Instant;

use base::prelude::*;
use interface::HttpObjectStore;
use net::web::{CollectOutcome, WebClient, full_body};
use net::{SystemClock, block_on, drain_channel};
use serde_json::Value;
use store::{ObjectChange, ObjectKey, ObjectStore, ReadOutcome, StoredObject, UpdateOutcome};

const CALL_TIMEOUT: Duration = Duration::from_secs(20);
const CONDITION_TIMEOUT: Duration = Duration::from_secs(60);

/// Platform on a thread of its own, which ends with the test's process.
pub struct StandIn {
    /// Where it listens.
    pub address: SocketAddr,
}

impl StandIn {
    /// Starts a platform without objects and hosts.
    pub fn start() -> Self {
        let (sender, receiver) = mpsc::channel();
        std::thread::spawn(move || {
            block_on(async move {
                let (_switch, watch) = drain_channel();
                let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
                let listening = |address| sender.send(address).unwrap();
                emulator::run_platform(any, watch, listening).await
            })
        });
        Self {
            address: receiver.recv().unwrap(),
        }
    }

    /// Tells the platform what is to go wrong.
    pub fn set_faults(&self, faults: &Value) {
        self.send("/emulator/faults", faults);
    }

    /// Puts a host on its list.
    pub fn list_host(&self, host: &Value) {
        let name = host["host"].as_str().unwrap();
        self.send(&format!("/emulator/hosts/{name}"), host);
    }

    fn send(&self, path: &str, body: &Value) {
        let request = http::Request::put(path).body(full_body(body.to_string()));
        let outcome = block_on(async {
            let clock = Rc::new(SystemClock::default());
            let deadline = clock.now() + CALL_TIMEOUT;
            let client = WebClient::new(clock);
            let request = request.unwrap();
            client.collect(self.address, request, 1_024, deadline).await
        });
        let CollectOutcome::Response(parts, _) = outcome.unwrap() else {
            panic!("the stand-in did not answer");
        };
        assert!(parts.status.is_success());
    }

    fn store(&self) -> HttpObjectStore {
        let clock = Rc::new(SystemClock::default());
        HttpObjectStore::new(WebClient::new(clock.clone()), clock, self.address)
    }

    /// Writes an object whatever its version.
    pub fn write(&self, key: &ObjectKey, value: &str) {
        let present = self.read(key);
        let change = ObjectChange {
            key: key.clone(),
            expected: present.map_or(ObjectVersion(0), |object| object.version),
            value: Arc::from(value),
        };
        let outcome = block_on(async { self.store().update(change).await }).unwrap();
        assert!(matches!(outcome, UpdateOutcome::Applied(_)), "{outcome:?}");
    }

    /// Object as it stands.
    pub fn read(&self, key: &ObjectKey) -> Option<StoredObject> {
        match block_on(async { self.store().read(key).await }).unwrap() {
            ReadOutcome::Found(object) => Some(object),
            ReadOutcome::Missing => None,
            ReadOutcome::Unavailable => panic!("the stand-in did not answer"),
        }
    }

    /// Starts the daemons of one node, each on a thread of its own.
    pub fn start_node(&self, node: &str) {
        let text = format!(
            "node: {node}\n\
             failure_domain: kozep-a\n\
             platform: {}\n\
             gateway: {{listen: '127.0.0.1:0', admin: '127.0.0.1:0'}}\n\
             controller: {{admin: '127.0.0.1:0'}}\n",
            self.address
        );
        let settings = settings::parse_settings(&text).unwrap();
        let own = settings.clone();
        std::thread::spawn(|| block_on(gateway::run(own, |_| ())));
        std::thread::spawn(|| block_on(controller::run(settings, |_| ())));
    }
}

/// Person with a folder of files.
pub struct Operator {
    folder: PathBuf,
    platform: Option<SocketAddr>,
}

impl Operator {
    /// Operator without a platform.
    pub fn offline(name: &str) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&folder).unwrap();
        Self {
            folder,
            platform: None,
        }
    }

    /// Operator of the platform at an address.
    pub fn online(name: &str, platform: SocketAddr) -> Self {
        Self {
            platform: Some(platform),
            ..Self::offline(name)
        }
    }

    /// Writes a file into the folder.
    pub fn write(&self, file: &str, text: &str) {
        std::fs::write(self.folder.join(file), text).unwrap();
    }

    /// Runs the binary: exit status and what it printed on both outputs.
    pub fn run(&self, line: &[&str]) -> (i32, String) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_bronzerun"));
        command.args(line).current_dir(&self.folder);
        command.env_remove("BRONZERUN_PLATFORM");
        command.env_remove("BRONZERUN_OWNER");
        command.env("COLUMNS", "100");
        if let Some(platform) = self.platform {
            command.env("BRONZERUN_PLATFORM", platform.to_string());
        }
        let output = command.output().unwrap();
        let mut text = String::from_utf8(output.stdout).unwrap();
        text.push_str(&String::from_utf8(output.stderr).unwrap());
        (output.status.code().unwrap(), text)
    }

    /// Runs the binary until it prints a text; for a minute at most.
    pub fn run_until(&self, line: &[&str], wanted: &str) {
        let deadline = Instant::now() + CONDITION_TIMEOUT;
        loop {
            let (_, text) = self.run(line);
            if text.contains(wanted) {
                return;
            }
            assert!(Instant::now() < deadline, "{line:?}: {text}");
        }
    }

    /// Command line, what it printed and its exit status.
    pub fn describe(&self, line: &[&str]) -> String {
        let (status, text) = self.run(line);
        format!("$ bronzerun {}\n{text}[{status}]\n", line.join(" "))
    }
}

/// Address at which nobody listens.
pub fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    listener.local_addr().unwrap()
}
