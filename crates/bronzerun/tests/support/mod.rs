//! An emulated platform and an operator who runs the command line.

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

/// Emulated platform on a separate thread, which ends with the test process.
pub struct EmulatedPlatform {
    /// Listen address.
    pub address: SocketAddr,
}

impl EmulatedPlatform {
    /// Starts a platform with no objects and no hosts.
    pub fn start() -> Self {
        let (sender, receiver) = mpsc::channel();
        std::thread::spawn(move || {
            block_on(async move {
                let (_drain_signal, watch) = drain_channel();
                let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
                let on_listening = |address| sender.send(address).unwrap();
                emulator::run_platform(any, watch, on_listening).await
            })
        });
        Self {
            address: receiver.recv().unwrap(),
        }
    }

    /// Injects faults into the platform.
    pub fn set_faults(&self, faults: &Value) {
        self.send("/emulator/faults", faults);
    }

    /// Adds a host to the platform's list, or replaces its entry.
    pub fn put_host(&self, host: &Value) {
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
            panic!("the emulated platform did not answer");
        };
        assert!(parts.status.is_success());
    }

    fn store(&self) -> HttpObjectStore {
        let clock = Rc::new(SystemClock::default());
        HttpObjectStore::new(WebClient::new(clock.clone()), clock, self.address)
    }

    /// Writes an object over whatever version is stored.
    pub fn write(&self, key: &ObjectKey, value: &str) {
        let current = self.read(key);
        let change = ObjectChange {
            key: key.clone(),
            expected: current.map_or(ObjectVersion(0), |object| object.version),
            value: Arc::from(value),
        };
        let outcome = block_on(async { self.store().update(change).await }).unwrap();
        assert!(matches!(outcome, UpdateOutcome::Applied(_)), "{outcome:?}");
    }

    /// Current object of a key; `None` if there is none.
    pub fn read(&self, key: &ObjectKey) -> Option<StoredObject> {
        match block_on(async { self.store().read(key).await }).unwrap() {
            ReadOutcome::Found(object) => Some(object),
            ReadOutcome::Missing => None,
            ReadOutcome::Unavailable => panic!("the emulated platform did not answer"),
        }
    }

    /// Starts the gateway and the controller of one node, each on a separate thread.
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
        let gateway_settings = settings.clone();
        std::thread::spawn(|| block_on(gateway::run(gateway_settings, |_| ())));
        std::thread::spawn(|| block_on(controller::run(settings, |_| ())));
    }
}

/// Operator with a working folder, who runs the `bronzerun` binary in it.
pub struct Operator {
    folder: PathBuf,
    platform: Option<SocketAddr>,
}

impl Operator {
    /// Operator who passes no platform address.
    pub fn offline(name: &str) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&folder).unwrap();
        Self {
            folder,
            platform: None,
        }
    }

    /// Operator whose environment names the platform's address.
    pub fn online(name: &str, platform: SocketAddr) -> Self {
        Self {
            platform: Some(platform),
            ..Self::offline(name)
        }
    }

    /// Writes a file into the working folder.
    pub fn write(&self, file: &str, text: &str) {
        std::fs::write(self.folder.join(file), text).unwrap();
    }

    /// Runs the binary; returns its exit status and its standard output followed by
    /// its standard error.
    pub fn run(&self, arguments: &[&str]) -> (i32, String) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_bronzerun"));
        command.args(arguments).current_dir(&self.folder);
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

    /// Runs the binary again and again until its output contains a text, for a minute at most.
    pub fn run_until(&self, arguments: &[&str], expected: &str) {
        let deadline = Instant::now() + CONDITION_TIMEOUT;
        loop {
            let (_, text) = self.run(arguments);
            if text.contains(expected) {
                return;
            }
            assert!(Instant::now() < deadline, "{arguments:?}: {text}");
        }
    }

    /// Runs the binary; returns the command line, the output and the exit status as text
    /// for a snapshot.
    pub fn describe(&self, arguments: &[&str]) -> String {
        let (status, text) = self.run(arguments);
        format!("$ bronzerun {}\n{text}[{status}]\n", arguments.join(" "))
    }
}

/// Address with no listener.
pub fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    listener.local_addr().unwrap()
}
