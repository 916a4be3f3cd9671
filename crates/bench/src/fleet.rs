//! Emulators and daemons as child processes, for measurements.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;

use base::{ClockSource, ClockTime};
use document::commands::{EditOutcome, SectionEdit, edit_section};
use document::{Document, GoodSections, KeyDigest};
use interface::HttpObjectStore;
use interface::keys::document_key;
use net::SystemClock;
use net::web::{CollectOutcome, WebClient, empty_body};
use serde_json::Value;
use store::{ObjectChange, ObjectStore, UpdateOutcome};

/// API key of the fleet's caller.
pub const API_KEY: &str = "bench-key";
/// Engines of a group.
pub const GROUP_SIZE: usize = 4;
/// Time limit for all groups to serve, and for a page.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between two reads of the gateway's status page.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Largest page that is read.
const MAX_PAGE_BYTES: usize = 4_194_304;

/// Size of a fleet; all its engines are in groups.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// Engines, a multiple of the group size in each fabric domain.
    pub engines: usize,
    /// Fabric domains.
    pub fabrics: usize,
    /// Time between tokens at the engines, in milliseconds.
    pub token_ms: u64,
}

/// Running processes; they are killed when the value is dropped.
pub struct ProcessFleet {
    /// Address of one of the engines.
    pub engine: SocketAddr,
    /// Address of the emulated platform.
    pub platform: SocketAddr,
    /// Gateway process.
    pub gateway: DaemonProcess,
    /// Controller process.
    pub controller: DaemonProcess,
    /// Clock of the measurement.
    pub clock: Rc<SystemClock>,
    // Held only so that the processes are killed with the fleet.
    _engines: Vec<DaemonProcess>,
    _platform: DaemonProcess,
}

impl ProcessFleet {
    /// Starts a fleet and waits until all groups serve.
    pub async fn start(size: FleetSize) -> Result<Self, String> {
        let clock = Rc::new(SystemClock::default());
        let platform_process = DaemonProcess::start("bronzerun-emulator", &["platform"])?;
        let platform = platform_process.address("listen")?;
        let mut engines = Vec::new();
        for index in 0..size.engines {
            engines.push(start_engine(size, index, platform)?);
        }
        put_document(size, platform, &clock).await?;
        let settings = write_settings(platform)?;
        let path = settings.to_string_lossy().into_owned();
        let args = ["--settings", path.as_str()];
        let fleet = Self {
            engine: engines[0].address("listen")?,
            platform,
            controller: DaemonProcess::start("bronzerun-controller", &args)?,
            gateway: DaemonProcess::start("bronzerun-gateway", &args)?,
            clock,
            _engines: engines,
            _platform: platform_process,
        };
        fleet.wait_until_serving(size.engines / GROUP_SIZE).await?;
        Ok(fleet)
    }

    /// Address on which the gateway accepts callers.
    pub fn callers(&self) -> Result<SocketAddr, String> {
        self.gateway.address("callers")
    }

    /// Reads a page; `None` without a complete and successful response.
    pub async fn page(&self, address: SocketAddr, path: &str) -> Option<String> {
        let client = WebClient::new(self.clock.clone());
        let request = http::Request::get(path).body(empty_body()).ok()?;
        let deadline: ClockTime = self.clock.now() + START_TIMEOUT;
        match client
            .collect(address, request, MAX_PAGE_BYTES, deadline)
            .await
        {
            CollectOutcome::Response(parts, body) if parts.status.is_success() => {
                String::from_utf8(body.to_vec()).ok()
            }
            _ => None,
        }
    }

    /// Number of calls that the emulated platform has answered.
    pub async fn platform_calls(&self) -> Result<u64, String> {
        let page = self.page(self.platform, "/emulator/calls").await;
        let count = page.and_then(|text| text.trim().parse().ok());
        count.ok_or_else(|| "the platform emulator did not report its number of calls".to_owned())
    }

    async fn wait_until_serving(&self, groups: usize) -> Result<(), String> {
        let admin = self.gateway.address("admin")?;
        let deadline = self.clock.now() + START_TIMEOUT;
        while self.clock.now() < deadline {
            let page = self.page(admin, "/admin/status").await;
            if page.is_some_and(|text| count_serving(&text) >= groups) {
                return Ok(());
            }
            monoio::time::sleep(POLL_INTERVAL).await;
        }
        Err(format!(
            "{groups} groups did not serve before the time limit"
        ))
    }
}

fn count_serving(status: &str) -> usize {
    let status: Value = serde_json::from_str(status).unwrap_or_default();
    let groups = status["groups"].as_array();
    groups.map_or(0, |groups| {
        let serving = groups.iter().filter(|group| group["serving"] == true);
        serving.count()
    })
}

/// Child process, killed when the value is dropped.
pub struct DaemonProcess {
    child: Child,
    addresses: Value,
    // Kept open, so that the process can continue to write to it.
    _output: BufReader<ChildStdout>,
}

impl DaemonProcess {
    /// Starts a program from this program's directory and reads its addresses from the
    /// first line of its output.
    fn start(program: &str, args: &[&str]) -> Result<Self, String> {
        let current = std::env::current_exe().map_err(|error| error.to_string())?;
        let path = current.with_file_name(program);
        let hint = "build the whole workspace first: cargo build --release --workspace";
        let mut child = Command::new(&path)
            .args(args)
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|error| format!("{}: {error}; {hint}", path.display()))?;
        let output = child.stdout.take().expect("the output is a pipe");
        let mut process = Self {
            child,
            addresses: Value::Null,
            _output: BufReader::new(output),
        };
        let mut line = String::new();
        let read = process._output.read_line(&mut line);
        read.map_err(|error| format!("{program}: {error}"))?;
        process.addresses =
            serde_json::from_str(&line).map_err(|error| format!("{program}: {error}"))?;
        Ok(process)
    }

    /// Address that the process printed under a name.
    pub fn address(&self, name: &str) -> Result<SocketAddr, String> {
        let text = self.addresses[name].as_str().unwrap_or("");
        text.parse().map_err(|_| {
            format!(
                "no valid address '{name}' in the first line of the output: {}",
                self.addresses
            )
        })
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process and reaps it.
    pub fn kill(&mut self) {
        // Both fail if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

fn start_engine(
    size: FleetSize,
    index: usize,
    platform: SocketAddr,
) -> Result<DaemonProcess, String> {
    let fabric = index % size.fabrics;
    let command_line = format!(
        "engine --host h{index} --domain d{} --fabric f{fabric} --platform {platform} \
         --checks-fencing --token-ms {}",
        fabric % 3,
        size.token_ms,
    );
    let args: Vec<&str> = command_line.split_whitespace().collect();
    DaemonProcess::start("bronzerun-emulator", &args)
}

fn write_settings(platform: SocketAddr) -> Result<PathBuf, String> {
    let text = format!(
        "node: entry-1\nfailure_domain: d1\nplatform: {platform}\nlog_level: warn\n\
         gateway:\n  listen: 127.0.0.1:0\n  admin: 127.0.0.1:0\n\
         controller:\n  admin: 127.0.0.1:0\n"
    );
    let name = format!("bronzerun-bench-{}.yaml", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text).map_err(|error| format!("{}: {error}", path.display()))?;
    Ok(path)
}

async fn put_document(
    size: FleetSize,
    platform: SocketAddr,
    clock: &Rc<SystemClock>,
) -> Result<(), String> {
    let client = WebClient::new(clock.clone());
    let store = HttpObjectStore::new(client, clock.clone(), platform);
    let outcome = store.update(ObjectChange {
        key: document_key(),
        expected: base::ObjectVersion(0),
        value: build_document(size)?.encode(),
    });
    match outcome.await {
        UpdateOutcome::Applied(_) => Ok(()),
        outcome => Err(format!(
            "the document was not written to the store: {outcome:?}"
        )),
    }
}

fn build_document(size: FleetSize) -> Result<Document, String> {
    let digest = KeyDigest::of_key(API_KEY).to_hex();
    let groups = size.engines / GROUP_SIZE;
    let text = format!(
        "deployments:\n  llm: {{model: m-1, group_size: {GROUP_SIZE}, groups: {groups}, \
         checks_fencing: true, stream_limit: 256}}\n\
         services:\n  chat: {{deployment: llm}}\n\
         workspaces:\n  w: {{services: [chat], call_limit: 256, \
         callers: {{c: {{key_sha256: {digest}}}}}}}\n"
    );
    let to_text = |error: base::NameError| error.to_string();
    let edit = SectionEdit {
        section: base::SectionName::new("all").map_err(to_text)?,
        owner: base::TeamName::new("bench").map_err(to_text)?,
        expected: base::SectionRevision::default(),
        text: text.into(),
        nonce: base::WriteNonce::default(),
    };
    let mut document = Document::default();
    match edit_section(&mut document, &GoodSections::default(), &edit) {
        EditOutcome::Edited(_) => Ok(document),
        outcome => Err(format!("the document was not accepted: {outcome:?}")),
    }
}
