//! Stand-ins and daemons as processes of their own, for measurements.

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
/// Time in which all groups must serve.
const START_LIMIT: Duration = Duration::from_secs(60);
/// Pause between two looks at a condition.
const LOOK_PAUSE: Duration = Duration::from_millis(200);
/// Longest page that is read.
const PAGE_LIMIT: usize = 4_194_304;

/// What a fleet has; all engines are in groups.
#[derive(Clone, Copy, Debug)]
pub struct FleetShape {
    /// Engines, a multiple of the group size in each fabric domain.
    pub engines: usize,
    /// Fabric domains.
    pub fabrics: usize,
    /// Time between tokens at the engines, in milliseconds.
    pub token_ms: u64,
}

/// Running processes; they end with it.
pub struct ProcessFleet {
    /// An engine of the fleet.
    pub engine: SocketAddr,
    /// The platform.
    pub platform: SocketAddr,
    /// The gateway.
    pub gateway: DaemonProcess,
    /// The controller.
    pub controller: DaemonProcess,
    /// Clock of the measurement.
    pub clock: Rc<SystemClock>,
    // Held only to end with the fleet.
    _engines: Vec<DaemonProcess>,
    _platform: DaemonProcess,
}

impl ProcessFleet {
    /// Starts a fleet and waits until all groups serve.
    pub async fn start(shape: FleetShape) -> Result<Self, String> {
        let clock = Rc::new(SystemClock::default());
        let standin = DaemonProcess::start("bronzerun-emulator", &["platform"])?;
        let platform = standin.address("listen")?;
        let mut engines = Vec::new();
        for index in 0..shape.engines {
            engines.push(start_engine(shape, index, platform)?);
        }
        put_document(shape, platform, &clock).await?;
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
            _platform: standin,
        };
        fleet.wait_until_serving(shape.engines / GROUP_SIZE).await?;
        Ok(fleet)
    }

    /// Where callers connect.
    pub fn callers(&self) -> Result<SocketAddr, String> {
        self.gateway.address("callers")
    }

    /// Reads a page; `None` without a whole answer.
    pub async fn page(&self, address: SocketAddr, path: &str) -> Option<String> {
        let client = WebClient::new(self.clock.clone());
        let request = http::Request::get(path).body(empty_body()).ok()?;
        let deadline: ClockTime = self.clock.now() + START_LIMIT;
        match client.collect(address, request, PAGE_LIMIT, deadline).await {
            CollectOutcome::Response(parts, body) if parts.status.is_success() => {
                String::from_utf8(body.to_vec()).ok()
            }
            _ => None,
        }
    }

    /// Calls that the platform has answered.
    pub async fn platform_calls(&self) -> Result<u64, String> {
        let page = self.page(self.platform, "/emulator/calls").await;
        let count = page.and_then(|text| text.trim().parse().ok());
        count.ok_or_else(|| "the platform's stand-in told no calls".to_owned())
    }

    async fn wait_until_serving(&self, groups: usize) -> Result<(), String> {
        let admin = self.gateway.address("admin")?;
        let deadline = self.clock.now() + START_LIMIT;
        while self.clock.now() < deadline {
            let page = self.page(admin, "/admin/status").await;
            if page.is_some_and(|text| count_serving(&text) >= groups) {
                return Ok(());
            }
            monoio::time::sleep(LOOK_PAUSE).await;
        }
        Err(format!("{groups} groups did not serve in time"))
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

/// One process, which ends with its value.
pub struct DaemonProcess {
    child: Child,
    addresses: Value,
    // Kept open, so that the process can go on writing.
    _output: BufReader<ChildStdout>,
}

impl DaemonProcess {
    /// Starts a program beside this one and reads its first line.
    fn start(program: &str, args: &[&str]) -> Result<Self, String> {
        let own = std::env::current_exe().map_err(|fault| fault.to_string())?;
        let path = own.with_file_name(program);
        let hint = "build the whole workspace first: cargo build --release --workspace";
        let mut child = Command::new(&path)
            .args(args)
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|fault| format!("{}: {fault}; {hint}", path.display()))?;
        let output = child.stdout.take().expect("the output is a pipe");
        let mut process = Self {
            child,
            addresses: Value::Null,
            _output: BufReader::new(output),
        };
        let mut line = String::new();
        let read = process._output.read_line(&mut line);
        read.map_err(|fault| format!("{program}: {fault}"))?;
        process.addresses =
            serde_json::from_str(&line).map_err(|fault| format!("{program}: {fault}"))?;
        Ok(process)
    }

    /// Address that it announced under a name.
    pub fn address(&self, name: &str) -> Result<SocketAddr, String> {
        let text = self.addresses[name].as_str().unwrap_or("");
        text.parse()
            .map_err(|_| format!("no address '{name}': {}", self.addresses))
    }

    /// Its number.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Ends it.
    pub fn end(&mut self) {
        // A process that has ended already is as good.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        self.end();
    }
}

fn start_engine(
    shape: FleetShape,
    index: usize,
    platform: SocketAddr,
) -> Result<DaemonProcess, String> {
    let fabric = index % shape.fabrics;
    let words = format!(
        "engine --host h{index} --domain d{} --fabric f{fabric} --platform {platform} \
         --checks-fencing --token-ms {}",
        fabric % 3,
        shape.token_ms,
    );
    let args: Vec<&str> = words.split_whitespace().collect();
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
    std::fs::write(&path, text).map_err(|fault| format!("{}: {fault}", path.display()))?;
    Ok(path)
}

async fn put_document(
    shape: FleetShape,
    platform: SocketAddr,
    clock: &Rc<SystemClock>,
) -> Result<(), String> {
    let client = WebClient::new(clock.clone());
    let store = HttpObjectStore::new(client, clock.clone(), platform);
    let outcome = store.update(ObjectChange {
        key: document_key(),
        expected: base::ObjectVersion(0),
        value: build_document(shape)?.encode(),
    });
    match outcome.await {
        UpdateOutcome::Applied(_) => Ok(()),
        outcome => Err(format!("the document was not written: {outcome:?}")),
    }
}

fn build_document(shape: FleetShape) -> Result<Document, String> {
    let digest = KeyDigest::of_key(API_KEY).to_hex();
    let groups = shape.engines / GROUP_SIZE;
    let text = format!(
        "deployments:\n  llm: {{model: m-1, group_size: {GROUP_SIZE}, groups: {groups}, \
         checks_fencing: true, stream_limit: 256}}\n\
         services:\n  chat: {{deployment: llm}}\n\
         workspaces:\n  w: {{services: [chat], call_limit: 256, \
         callers: {{c: {{key_sha256: {digest}}}}}}}\n"
    );
    let fault = |error: base::NameError| error.to_string();
    let edit = SectionEdit {
        section: base::SectionName::new("all").map_err(fault)?,
        owner: base::TeamName::new("bench").map_err(fault)?,
        expected: base::SectionRevision::default(),
        text: text.into(),
        nonce: base::WriteNonce::default(),
    };
    let mut document = Document::default();
    match edit_section(&mut document, &GoodSections::default(), &edit) {
        EditOutcome::Edited(_) => Ok(document),
        outcome => Err(format!("the document is faulty: {outcome:?}")),
    }
}
