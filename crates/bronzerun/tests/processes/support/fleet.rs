//! An emulated platform, emulated endpoints and the daemons, each in a separate process.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;

use document::KeyDigest;
use serde_json::{Value, json};

use super::{Caller, HttpClient, Process, TcpProxy, wait_for, wait_until};

/// API key of the fleet's only caller.
pub const API_KEY: &str = "fleet-key";
/// Plain service of the fleet.
const PLAIN_SERVICE: &str = "foglalas";
/// Hosts in each group.
const GROUP_SIZE: usize = 2;

/// Size and settings of a fleet.
#[derive(Clone, Copy)]
pub struct FleetSpec {
    /// Fabric domains, each in a failure domain of its own.
    pub fabrics: usize,
    /// Engines in each fabric domain.
    pub engines: usize,
    /// Groups configured in the document.
    pub groups: usize,
    /// Servers of the plain service.
    pub servers: usize,
    /// Number of gateways.
    pub gateways: usize,
    /// Number of controllers.
    pub controllers: usize,
    /// Time between tokens, in milliseconds.
    pub token_ms: u64,
    /// Duration of a plain call, in milliseconds.
    pub call_ms: u64,
    /// Minimum log level of the daemons.
    pub log_level: &'static str,
    /// Whether the platform lists a proxy's address for each engine.
    pub is_proxied: bool,
}

impl Default for FleetSpec {
    fn default() -> Self {
        Self {
            fabrics: 2,
            engines: 3,
            groups: 2,
            servers: 1,
            gateways: 1,
            controllers: 1,
            token_ms: 20,
            call_ms: 5,
            log_level: "info",
            is_proxied: false,
        }
    }
}

impl FleetSpec {
    /// Fleet with plain servers and gateways only.
    pub fn plain(servers: usize, gateways: usize, call_ms: u64) -> Self {
        Self {
            fabrics: 0,
            groups: 0,
            controllers: 0,
            servers,
            gateways,
            call_ms,
            ..Self::default()
        }
    }
}

/// Process of an emulated host, or of a daemon of a node.
pub struct NamedProcess {
    /// Name of the host or node.
    pub name: String,
    /// Child process.
    pub process: Process,
}

/// Group as stored in the record of its fabric domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupView {
    /// Name.
    pub name: String,
    /// Epoch of its membership.
    pub epoch: u64,
    /// Hosts in order of rank.
    pub hosts: Vec<String>,
}

/// Running fleet.
pub struct Fleet {
    folder: PathBuf,
    log_level: &'static str,
    /// HTTP client for status requests and control of the emulators.
    pub http: HttpClient,
    /// Emulated platform.
    pub platform: Process,
    /// Emulated engines, one for each host.
    pub engines: Vec<NamedProcess>,
    /// Emulated plain servers, one for each host.
    pub servers: Vec<NamedProcess>,
    /// Gateways of the nodes.
    pub gateways: Vec<NamedProcess>,
    /// Controllers of the nodes.
    pub controllers: Vec<NamedProcess>,
    /// Proxies in front of the engines, in the same order; empty unless the fleet has them.
    pub proxies: Vec<TcpProxy>,
}

impl Fleet {
    /// Starts a fleet and waits until its gateways are ready and all groups serve.
    pub fn start(name: &str, spec: FleetSpec) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        // An earlier test run may have left its logs there.
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).unwrap();
        let mut fleet = Self {
            http: HttpClient::new(),
            platform: start_platform(&folder, "platform"),
            folder,
            log_level: spec.log_level,
            engines: Vec::new(),
            servers: Vec::new(),
            gateways: Vec::new(),
            controllers: Vec::new(),
            proxies: Vec::new(),
        };
        fleet.put_section("models", &models_text(spec.groups), 0);
        fleet.put_section("weddings", &weddings_text("chat, foglalas"), 0);
        fleet.start_hosts(spec);
        if spec.is_proxied {
            fleet.proxy_engines();
        }
        for index in 1..=spec.controllers {
            fleet.start_controller(&format!("entry-{index}"));
        }
        let platform = fleet.platform.address("listen");
        for index in 1..=spec.gateways {
            fleet.start_gateway(&format!("entry-{index}"), &platform);
        }
        if spec.fabrics + spec.servers == 0 {
            return fleet;
        }
        for index in 0..fleet.gateways.len() {
            fleet.wait_ready(index);
            fleet.wait_serving(index, spec.groups);
        }
        fleet
    }

    fn start_hosts(&mut self, spec: FleetSpec) {
        let token = spec.token_ms.to_string();
        for fabric in 1..=spec.fabrics {
            for index in 1..=spec.engines {
                let host = format!("domain-{fabric}-{index}");
                let domain = format!("domain-{fabric}");
                let fabric = format!("fabric-{fabric}");
                let arguments = ["engine", "--checks-fencing", "--fabric", &fabric];
                let timing = ["--token-ms", &token];
                let node = self.start_host(&host, &domain, &[&arguments[..], &timing].concat());
                self.engines.push(node);
            }
        }
        let call = spec.call_ms.to_string();
        for index in 1..=spec.servers {
            let host = format!("server-{index}");
            let arguments = ["plain", "--service", PLAIN_SERVICE, "--call-ms", &call];
            let node = self.start_host(&host, "domain-1", &arguments);
            self.servers.push(node);
        }
    }

    fn proxy_engines(&mut self) {
        for index in 0..self.engines.len() {
            let proxy = TcpProxy::start(&self.engines[index].process.address("listen"));
            let mut entry = self.host_entry(&self.engines[index].name);
            entry["address"] = json!(proxy.address);
            self.put_host(&entry);
            self.proxies.push(proxy);
        }
    }

    fn start_host(&self, host: &str, domain: &str, arguments: &[&str]) -> NamedProcess {
        let platform = self.platform.address("listen");
        let identity = ["--host", host, "--domain", domain, "--platform", &platform];
        NamedProcess {
            name: host.to_owned(),
            process: self.start_emulator(host, &[arguments, &identity[..]].concat()),
        }
    }

    fn start_emulator(&self, name: &str, arguments: &[&str]) -> Process {
        let program = env!("CARGO_BIN_EXE_bronzerun-emulator");
        Process::start(program, name, &self.folder, arguments)
    }

    /// Starts another platform besides that of the fleet.
    pub fn start_platform(&self, name: &str) -> Process {
        start_platform(&self.folder, name)
    }

    /// Starts a controller.
    pub fn start_controller(&mut self, node: &str) {
        let platform = self.platform.address("listen");
        let program = env!("CARGO_BIN_EXE_bronzerun-controller");
        let process = self.start_daemon(program, &format!("{node}-controller"), node, &platform);
        self.controllers.push(process);
    }

    /// Starts a gateway that uses the platform at an address.
    pub fn start_gateway(&mut self, node: &str, platform: &str) {
        let program = env!("CARGO_BIN_EXE_bronzerun-gateway");
        let process = self.start_daemon(program, &format!("{node}-gateway"), node, platform);
        self.gateways.push(process);
    }

    /// Starts a gateway whose seeds are the gateways already started.
    pub fn start_peer(&mut self, node: &str, platform: &str) {
        let gateways = self.gateways.iter();
        let seeds: Vec<_> = gateways
            .map(|gateway| gateway.process.address("peers"))
            .collect();
        let peers = format!(
            "\x20 peers: {{listen: 127.0.0.1:0, seeds: [{}], region: region-1}}\ncontroller:\n",
            seeds.join(", "),
        );
        let text = settings_text(node, platform, self.log_level).replace("controller:\n", &peers);
        let program = env!("CARGO_BIN_EXE_bronzerun-gateway");
        let process = self.start_with_settings(program, &format!("{node}-gateway"), node, &text);
        self.gateways.push(process);
    }

    fn start_daemon(&self, program: &str, name: &str, node: &str, platform: &str) -> NamedProcess {
        let text = settings_text(node, platform, self.log_level);
        self.start_with_settings(program, name, node, &text)
    }

    fn start_with_settings(
        &self,
        program: &str,
        name: &str,
        node: &str,
        text: &str,
    ) -> NamedProcess {
        let settings = self.folder.join(format!("{name}.yaml"));
        fs::write(&settings, text).unwrap();
        let arguments = ["--settings", settings.to_str().unwrap()];
        NamedProcess {
            name: node.to_owned(),
            process: Process::start(program, name, &self.folder, &arguments),
        }
    }

    /// Writes a section through the operators' command line, based on a revision.
    pub fn put_section(&self, section: &str, text: &str, revision: u32) {
        let file = self.folder.join(format!("{section}.yaml"));
        fs::write(&file, text).unwrap();
        let output = Command::new(env!("CARGO_BIN_EXE_bronzerun"))
            .args(["section", "put", section])
            .arg(file)
            .args(["--owner", "team", "--revision", &revision.to_string()])
            .args(["--platform", &self.platform.address("listen")])
            .output()
            .unwrap();
        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{errors}");
    }

    /// Injects faults into the platform.
    pub fn set_faults(&self, faults: &Value) {
        let platform = self.platform.address("listen");
        self.http.put_json(&platform, "/emulator/faults", faults);
    }

    /// Adds a server of the plain service to the platform's list, or replaces its entry.
    pub fn put_server(&self, host: &str, address: &str) {
        self.put_host(&json!({
            "host": host, "address": address, "failure_domain": "domain-1",
            "service": PLAIN_SERVICE, "accelerators": 0, "leaving": false,
        }));
    }

    /// Marks a listed host as leaving on the platform's list.
    pub fn mark_leaving(&self, host: &str) {
        let mut entry = self.host_entry(host);
        entry["leaving"] = json!(true);
        self.put_host(&entry);
    }

    /// Adds a host to the platform's list, or replaces its entry.
    pub fn put_host(&self, entry: &Value) {
        let platform = self.platform.address("listen");
        let path = format!("/emulator/hosts/{}", entry["host"].as_str().unwrap());
        self.http.put_json(&platform, &path, entry);
    }

    fn host_entry(&self, host: &str) -> Value {
        let platform = self.platform.address("listen");
        let list = self.http.get_json(&platform, "/v1/hosts");
        let hosts = list["hosts"].as_array().unwrap();
        let found = hosts.iter().find(|entry| entry["host"] == host);
        found.unwrap().clone()
    }

    /// API caller of a gateway.
    pub fn caller(&self, gateway: usize) -> Caller {
        Caller::new(&self.gateways[gateway].process.address("callers"))
    }

    /// Status report of a gateway.
    pub fn status(&self, gateway: usize) -> Value {
        let admin = self.gateways[gateway].process.address("admin");
        self.http.get_json(&admin, "/admin/status")
    }

    /// Whether a gateway reports to the load balancer that it is ready.
    pub fn is_ready(&self, gateway: usize) -> bool {
        let callers = self.gateways[gateway].process.address("callers");
        let reply = self.http.try_get(&callers, "/readyz");
        reply.is_some_and(|reply| reply.status == 200)
    }

    /// Waits until a gateway is ready.
    pub fn wait_ready(&self, gateway: usize) {
        wait_until("a gateway is ready", || self.is_ready(gateway));
    }

    /// Groups that a gateway sends calls to.
    pub fn serving(&self, gateway: usize) -> Vec<String> {
        let status = self.status(gateway);
        let groups = status["groups"].as_array().unwrap();
        let serving = groups.iter().filter(|group| group["serving"] == true);
        serving
            .map(|group| group["group"].as_str().unwrap().to_owned())
            .collect()
    }

    /// Waits until a gateway sends calls to exactly this number of groups.
    pub fn wait_serving(&self, gateway: usize, count: usize) {
        wait_until("groups serve", || self.serving(gateway).len() == count);
    }

    /// Records of all fabric domains.
    pub fn fabrics(&self) -> Vec<Value> {
        let platform = self.platform.address("listen");
        let list = self.http.get_json(&platform, "/v1/objects?prefix=fabrics/");
        let objects = list["objects"].as_array().unwrap();
        let values = objects.iter().map(|object| object["value"].as_str());
        values
            .map(|value| serde_json::from_str(value.unwrap()).unwrap())
            .collect()
    }

    /// Groups of all fabric domains.
    pub fn groups(&self) -> Vec<GroupView> {
        let fabrics = self.fabrics();
        let groups = fabrics
            .iter()
            .flat_map(|fabric| fabric["groups"].as_array());
        groups.flatten().map(GroupView::read).collect()
    }

    /// Process of the engine of a host.
    pub fn engine(&mut self, host: &str) -> &mut Process {
        let found = self.engines.iter_mut().find(|engine| engine.name == host);
        &mut found.unwrap().process
    }

    /// Number of streams that an engine is running.
    pub fn running(&mut self, host: &str) -> u64 {
        let address = self.engine(host).address("listen");
        let report = self.http.get_json(&address, "/status");
        report["running"].as_u64().unwrap()
    }

    /// Waits for a group whose head is running a stream.
    pub fn busy_group(&mut self) -> GroupView {
        let groups = self.groups();
        wait_for("a group runs a stream", || {
            let busy = groups
                .iter()
                .find(|group| self.running(&group.hosts[0]) > 0);
            busy.cloned()
        })
    }

    /// Every call that the plain servers ran, as recorded by them.
    pub fn runs(&self) -> Vec<Value> {
        let servers = self.servers.iter();
        let records = servers.map(|server| {
            let address = server.process.address("listen");
            let record = self.http.get_json(&address, "/emulator/runs");
            record.as_array().unwrap().clone()
        });
        records.flatten().collect()
    }

    /// Number of calls with this body that the plain servers ran.
    pub fn run_count(&self, body: &str) -> usize {
        let runs = self.runs();
        runs.iter().filter(|run| run["body"] == body).count()
    }
}

impl GroupView {
    fn read(group: &Value) -> Self {
        let members = group["members"].as_array().unwrap().iter();
        Self {
            name: group["group"].as_str().unwrap().to_owned(),
            epoch: group["epoch"].as_u64().unwrap(),
            hosts: members
                .map(|member| member["host"].as_str().unwrap().to_owned())
                .collect(),
        }
    }
}

fn start_platform(folder: &Path, name: &str) -> Process {
    let program = env!("CARGO_BIN_EXE_bronzerun-emulator");
    Process::start(program, name, folder, &["platform"])
}

fn models_text(groups: usize) -> String {
    let groups = groups.max(1);
    format!(
        "deployments:\n\
         \x20 fogas-llm: {{model: quotes-1, group_size: {GROUP_SIZE}, groups: {groups}, \
         checks_fencing: true}}\n\
         services:\n\
         \x20 chat: {{deployment: fogas-llm}}\n\
         \x20 hidden: {{deployment: fogas-llm}}\n\
         \x20 {PLAIN_SERVICE}: {{plain: {{non_idempotent: [POST /charges]}}}}\n"
    )
}

/// Text of the section that defines the fleet's workspace and the services it may call.
pub fn weddings_text(services: &str) -> String {
    let digest = KeyDigest::of_key(API_KEY).to_hex();
    format!(
        "workspaces:\n\
         \x20 weddings:\n\
         \x20   services: [{services}]\n\
         \x20   callers: {{desk: {{key_sha256: {digest}}}}}\n"
    )
}

fn settings_text(node: &str, platform: &str, log_level: &str) -> String {
    format!(
        "node: {node}\n\
         failure_domain: domain-1\n\
         platform: {platform}\n\
         log_level: {log_level}\n\
         gateway:\n\
         \x20 listen: 127.0.0.1:0\n\
         \x20 admin: 127.0.0.1:0\n\
         \x20 poll_interval_ms: 200\n\
         \x20 report_validity_ms: 1500\n\
         \x20 silence_limit_ms: 3000\n\
         \x20 balancer_notice_ms: 1000\n\
         \x20 drain_limit_ms: 30000\n\
         \x20 client_timeout_ms: 5000\n\
         \x20 body_limit_bytes: 65536\n\
         controller:\n\
         \x20 admin: 127.0.0.1:0\n\
         \x20 poll_interval_ms: 200\n"
    )
}
