//! A platform, endpoints and the daemons, each a process of its own.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;

use document::KeyDigest;
use serde_json::{Value, json};

use super::{Caller, Process, Relay, Web, wait_for, wait_until};

/// API key of the fleet's caller.
pub const API_KEY: &str = "fleet-key";
/// Plain service of the fleet.
const PLAIN_SERVICE: &str = "foglalas";
/// Hosts in each group.
const GROUP_SIZE: usize = 2;

/// What a fleet has.
#[derive(Clone, Copy)]
pub struct FleetShape {
    /// Fabric domains, each in a failure domain of its own.
    pub fabrics: usize,
    /// Engines in each fabric domain.
    pub engines: usize,
    /// Groups that the document asks for.
    pub groups: usize,
    /// Servers of the plain service.
    pub servers: usize,
    /// Gateways.
    pub gateways: usize,
    /// Controllers.
    pub controllers: usize,
    /// Time between tokens in milliseconds.
    pub token_ms: u64,
    /// Time of a plain call in milliseconds.
    pub call_ms: u64,
    /// Least level of what the daemons log.
    pub log_level: &'static str,
    /// Whether the engines are reached through relays.
    pub relayed: bool,
}

impl Default for FleetShape {
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
            relayed: false,
        }
    }
}

impl FleetShape {
    /// Plain servers only.
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

/// Process that plays a named host or node.
pub struct Node {
    /// Its name.
    pub name: String,
    /// Its process.
    pub process: Process,
}

/// Group as its fabric domain's record has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupView {
    /// Its name.
    pub name: String,
    /// Generation of its membership.
    pub epoch: u64,
    /// Its hosts by rank.
    pub hosts: Vec<String>,
}

/// Running fleet.
pub struct Fleet {
    folder: PathBuf,
    log_level: &'static str,
    /// Client for questions.
    pub web: Web,
    /// The platform.
    pub platform: Process,
    /// Engines, by host.
    pub engines: Vec<Node>,
    /// Plain servers, by host.
    pub servers: Vec<Node>,
    /// Gateways.
    pub gateways: Vec<Node>,
    /// Controllers.
    pub controllers: Vec<Node>,
    /// Relays before the engines, if there are any.
    pub relays: Vec<Relay>,
}

impl Fleet {
    /// Starts a fleet and waits until it serves.
    pub fn start(name: &str, shape: FleetShape) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        // A run before this one may have left its logs.
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).unwrap();
        let mut fleet = Self {
            web: Web::new(),
            platform: start_platform(&folder, "platform"),
            folder,
            log_level: shape.log_level,
            engines: Vec::new(),
            servers: Vec::new(),
            gateways: Vec::new(),
            controllers: Vec::new(),
            relays: Vec::new(),
        };
        fleet.put_section("models", &models_text(shape.groups), 0);
        fleet.put_section("weddings", &weddings_text("chat, foglalas"), 0);
        fleet.start_hosts(shape);
        if shape.relayed {
            fleet.relay_engines();
        }
        for index in 1..=shape.controllers {
            fleet.start_controller(&format!("entry-{index}"));
        }
        let platform = fleet.platform.address("listen");
        for index in 1..=shape.gateways {
            fleet.start_gateway(&format!("entry-{index}"), &platform);
        }
        if shape.fabrics + shape.servers == 0 {
            return fleet;
        }
        for index in 0..fleet.gateways.len() {
            fleet.wait_ready(index);
            fleet.wait_serving(index, shape.groups);
        }
        fleet
    }

    fn start_hosts(&mut self, shape: FleetShape) {
        let token = shape.token_ms.to_string();
        for fabric in 1..=shape.fabrics {
            for index in 1..=shape.engines {
                let host = format!("domain-{fabric}-{index}");
                let domain = format!("domain-{fabric}");
                let fabric = format!("fabric-{fabric}");
                let line = ["engine", "--checks-fencing", "--fabric", &fabric];
                let pace = ["--token-ms", &token];
                let node = self.start_host(&host, &domain, &[&line[..], &pace].concat());
                self.engines.push(node);
            }
        }
        let call = shape.call_ms.to_string();
        for index in 1..=shape.servers {
            let host = format!("server-{index}");
            let line = ["plain", "--service", PLAIN_SERVICE, "--call-ms", &call];
            let node = self.start_host(&host, "domain-1", &line);
            self.servers.push(node);
        }
    }

    fn relay_engines(&mut self) {
        for index in 0..self.engines.len() {
            let relay = Relay::start(&self.engines[index].process.address("listen"));
            let mut entry = self.listed(&self.engines[index].name);
            entry["address"] = json!(relay.address);
            self.list_host(&entry);
            self.relays.push(relay);
        }
    }

    fn start_host(&self, host: &str, domain: &str, line: &[&str]) -> Node {
        let platform = self.platform.address("listen");
        let named = ["--host", host, "--domain", domain, "--platform", &platform];
        Node {
            name: host.to_owned(),
            process: self.start_emulator(host, &[line, &named[..]].concat()),
        }
    }

    fn start_emulator(&self, name: &str, line: &[&str]) -> Process {
        let program = env!("CARGO_BIN_EXE_bronzerun-emulator");
        Process::start(program, name, &self.folder, line)
    }

    /// Starts a platform beside the fleet's own.
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

    /// Starts a gateway that finds the platform at an address.
    pub fn start_gateway(&mut self, node: &str, platform: &str) {
        let program = env!("CARGO_BIN_EXE_bronzerun-gateway");
        let process = self.start_daemon(program, &format!("{node}-gateway"), node, platform);
        self.gateways.push(process);
    }

    /// Starts a gateway with those already there as its seeds.
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
        let process = self.start_with(program, &format!("{node}-gateway"), node, &text);
        self.gateways.push(process);
    }

    fn start_daemon(&self, program: &str, name: &str, node: &str, platform: &str) -> Node {
        let text = settings_text(node, platform, self.log_level);
        self.start_with(program, name, node, &text)
    }

    fn start_with(&self, program: &str, name: &str, node: &str, text: &str) -> Node {
        let settings = self.folder.join(format!("{name}.yaml"));
        fs::write(&settings, text).unwrap();
        let line = ["--settings", settings.to_str().unwrap()];
        Node {
            name: node.to_owned(),
            process: Process::start(program, name, &self.folder, &line),
        }
    }

    /// Writes a section over a revision with the operators' command line.
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
        let said = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{said}");
    }

    /// Tells the platform what is to go wrong.
    pub fn set_faults(&self, faults: &Value) {
        let platform = self.platform.address("listen");
        self.web.put_json(&platform, "/emulator/faults", faults);
    }

    /// Puts a server of the plain service on the list.
    pub fn list_server(&self, host: &str, address: &str) {
        self.list_host(&json!({
            "host": host, "address": address, "failure_domain": "domain-1",
            "service": PLAIN_SERVICE, "accelerators": 0, "leaving": false,
        }));
    }

    /// Puts a listed host on the list as leaving.
    pub fn list_leaving(&self, host: &str) {
        let mut entry = self.listed(host);
        entry["leaving"] = json!(true);
        self.list_host(&entry);
    }

    /// Puts a host on the platform's list.
    pub fn list_host(&self, entry: &Value) {
        let platform = self.platform.address("listen");
        let path = format!("/emulator/hosts/{}", entry["host"].as_str().unwrap());
        self.web.put_json(&platform, &path, entry);
    }

    fn listed(&self, host: &str) -> Value {
        let platform = self.platform.address("listen");
        let list = self.web.get_json(&platform, "/v1/hosts");
        let hosts = list["hosts"].as_array().unwrap();
        let found = hosts.iter().find(|entry| entry["host"] == host);
        found.unwrap().clone()
    }

    /// Caller of a gateway.
    pub fn caller(&self, gateway: usize) -> Caller {
        Caller::new(&self.gateways[gateway].process.address("callers"))
    }

    /// Status of a gateway.
    pub fn status(&self, gateway: usize) -> Value {
        let admin = self.gateways[gateway].process.address("admin");
        self.web.get_json(&admin, "/admin/status")
    }

    /// Whether the balancer may send callers to a gateway.
    pub fn is_ready(&self, gateway: usize) -> bool {
        let callers = self.gateways[gateway].process.address("callers");
        let reply = self.web.try_get(&callers, "/readyz");
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

    /// Waits until a gateway has so many groups to send calls to.
    pub fn wait_serving(&self, gateway: usize, count: usize) {
        wait_until("groups serve", || self.serving(gateway).len() == count);
    }

    /// Records of all fabric domains.
    pub fn fabrics(&self) -> Vec<Value> {
        let platform = self.platform.address("listen");
        let list = self.web.get_json(&platform, "/v1/objects?prefix=fabrics/");
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

    /// Process of a host with an engine.
    pub fn engine(&mut self, host: &str) -> &mut Process {
        let found = self.engines.iter_mut().find(|engine| engine.name == host);
        &mut found.unwrap().process
    }

    /// Streams that an engine runs.
    pub fn running(&mut self, host: &str) -> u64 {
        let address = self.engine(host).address("listen");
        let report = self.web.get_json(&address, "/status");
        report["running"].as_u64().unwrap()
    }

    /// Group whose first member runs a stream.
    pub fn busy_group(&mut self) -> GroupView {
        let groups = self.groups();
        wait_for("a group runs a stream", || {
            let busy = groups
                .iter()
                .find(|group| self.running(&group.hosts[0]) > 0);
            busy.cloned()
        })
    }

    /// Every call that the plain servers ran, as their own record has it.
    pub fn runs(&self) -> Vec<Value> {
        let servers = self.servers.iter();
        let records = servers.map(|server| {
            let address = server.process.address("listen");
            let record = self.web.get_json(&address, "/emulator/runs");
            record.as_array().unwrap().clone()
        });
        records.flatten().collect()
    }

    /// How often the plain servers ran a call with this body.
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

/// Section of the fleet's workspace with its services.
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
