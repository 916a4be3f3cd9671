//! The `peers` measurement: cost of the peer layer for a node, and the time until
//! a change is in force on every node.
//!
//! The states of many nodes run in virtual time, connected by a fake network that
//! delays and loses frames. Bytes are those of the encoded frames plus
//! [`OVERHEAD_BYTES`] for each. Processor time covers decisions and encoding and
//! decoding; it is the only figure that depends on the machine.

use std::sync::OnceLock;
use std::time::Instant;

use base::prelude::*;
use clap::Args;
use hdrhistogram::Histogram;
use members::fake::{FakeNetwork, NetworkLatency, OVERHEAD_BYTES};
use members::{
    GroupCompleteness, GroupLoad, GroupObservation, ItemKey, PeerMessage, PeerSettings, PeerSummary,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

// Number of groups and nodes of the design size.
const DESIGN_GROUPS: usize = 293;
const DESIGN_NODES: usize = 1_500;
/// Number of routing subsets of a region at the design size.
const DESIGN_SUBSETS: usize = 24;
const SECTION_BYTES: usize = 2_000;
const OBSERVER_COUNT: usize = 2;
const START_TIMEOUT: Duration = Duration::from_secs(120);
const CHANGE_TIMEOUT: Duration = Duration::from_secs(60);

/// Options of the measurement.
#[derive(Args)]
pub struct PeersOptions {
    /// Seed of the random numbers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Numbers of nodes to simulate.
    #[arg(long, value_delimiter = ',', default_values_t = [7, 100, 400, 1_500])]
    nodes: Vec<usize>,
    /// Number of sections of the document.
    #[arg(long, default_value_t = 500)]
    sections: usize,
    /// Number of changes measured under each fault.
    #[arg(long, default_value_t = 20)]
    changes: usize,
    /// Seconds of the network partition between regions.
    #[arg(long, default_value_t = 3_600)]
    cut_seconds: u64,
}

/// Runs the measurement and prints its results.
pub fn run(options: &PeersOptions) {
    println!(
        "seed {}; {} sections of {SECTION_BYTES} bytes; {OVERHEAD_BYTES} bytes of overhead a frame",
        options.seed, options.sections
    );
    for &count in &options.nodes {
        PeerMeasurement::start(options, count).run(options);
    }
}

struct PeerMeasurement {
    network: FakeNetwork,
    groups: Vec<GroupName>,
    rng: StdRng,
}

impl PeerMeasurement {
    fn start(options: &PeersOptions, count: usize) -> Self {
        let subsets = (count * DESIGN_SUBSETS).div_ceil(DESIGN_NODES);
        let settings = PeerSettings {
            subset_count: u32::try_from(subsets).expect("the number of subsets is small"),
            ..PeerSettings::default()
        };
        let mut network = FakeNetwork::new(settings, NetworkLatency::default(), options.seed);
        network.set_stopwatch(read_stopwatch);
        network.add_nodes(count, if count < 100 { 1 } else { 2 });
        for index in 0..options.sections {
            network
                .store
                .write(section_key(index), Some(section_body(0)));
        }
        let group_count = (count * DESIGN_GROUPS).div_ceil(DESIGN_NODES);
        let groups = (0..group_count).map(group_name).collect();
        let rng = StdRng::seed_from_u64(options.seed);
        Self {
            network,
            groups,
            rng,
        }
    }

    fn run(mut self, options: &PeersOptions) {
        let count = self.network.len();
        println!("\n== {count} nodes, {} groups", self.groups.len());
        self.measure_start();
        self.measure_steady();
        for loss in [0.0, 0.01, 0.05] {
            self.network.faults.loss = loss;
            self.measure_changes(options, &format!("loss {:.0} %", loss * 100.0));
        }
        self.network.faults.loss = 0.0;
        self.measure_isolated_domain(options);
        if count >= 100 {
            self.measure_region_partition(options);
        }
        self.print_alternatives();
    }

    /// Measures the start of all nodes within two seconds, as after a power failure.
    fn measure_start(&mut self) {
        let before = resident_bytes();
        let started_at = self.network.now;
        let count = self.network.len();
        let pause = Duration::from_secs(2) / u32::try_from(count).unwrap_or(u32::MAX);
        for index in 0..count {
            self.network.start(index);
            self.network.run_for(pause);
        }
        let is_ready = self.network.run_until(START_TIMEOUT, |network| {
            network.states().all(|state| state.readiness().is_some())
        });
        let seconds = self.network.now.since(started_at).as_secs_f64();
        let busiest = self.network.store.busiest_second(started_at);
        println!(
            "start of all: ready {is_ready} after {seconds:.1} s, {busiest} store calls in the busiest second"
        );
        self.network.run_for(Duration::from_secs(20));
        let growth = resident_bytes().saturating_sub(before);
        println!(
            "memory: {:.2} MB a node",
            megabytes(growth) / to_float(count)
        );
        let max_bytes = self.max_meter(|meter| meter.bytes);
        println!(
            "bytes of the start: {:.0} KB sent by the busiest node",
            to_float(max_bytes) / 1e3
        );
    }

    /// Measures 30 s without changes, while nodes observe the groups.
    fn measure_steady(&mut self) {
        let window_seconds = 30;
        let started_at = self.network.now;
        self.network.reset_meters();
        for second in 0..window_seconds {
            self.observe_groups(second);
            self.network.run_for(Duration::from_secs(1));
        }
        let count = to_float(self.network.len());
        let seconds = to_float(window_seconds);
        let meters = || (0..self.network.len()).map(|index| self.network.meter(index));
        let bytes: u64 = meters().map(|meter| meter.bytes).sum();
        let frames: u64 = meters().map(|meter| meter.frames).sum();
        let processing_time: Duration = meters().map(|meter| meter.processing_time).sum();
        let calls = self.network.store.calls(started_at);
        println!(
            "steady: {:.0} bytes/s a node (busiest {:.0}), {:.1} frames/s, {:.0} us/s, store {:.2} calls/s",
            to_float(bytes) / seconds / count,
            to_float(self.max_meter(|meter| meter.bytes)) / seconds,
            to_float(frames) / seconds / count,
            processing_time.as_secs_f64() * 1e6 / seconds / count,
            to_float(calls) / seconds,
        );
        self.print_kinds(seconds);
        self.print_ages();
    }

    fn observe_groups(&mut self, second: usize) {
        // Three consecutive nodes share a region, so these two are in different regions if there
        // are two.
        let viewers: Vec<usize> = (0..self.network.len()).step_by(3).take(2).collect();
        for (index, group) in self.groups.clone().into_iter().enumerate() {
            let viewer = viewers[index % viewers.len()];
            let Some(state) = self.network.state(viewer) else {
                continue;
            };
            let observers = state.observers(&group, OBSERVER_COUNT);
            let Some(observer) = observers.get(second % observers.len().max(1)) else {
                continue;
            };
            let node: usize = observer.as_str()[5..]
                .parse()
                .expect("the name of a node ends in its number");
            self.network.command(node, |state, now| {
                let observation = GroupObservation {
                    group,
                    epoch: GroupEpoch(1),
                    completeness: GroupCompleteness::Complete,
                    load: GroupLoad {
                        running: 20,
                        waiting: 1,
                    },
                    polled_at: now,
                };
                state.record_observation(observation, now)
            });
        }
    }

    fn print_kinds(&self, seconds: f64) {
        let mut kinds = std::collections::BTreeMap::new();
        for index in 0..self.network.len() {
            for (kind, (frames, bytes)) in &self.network.meter(index).kinds {
                let sum: &mut (u64, u64) = kinds.entry(*kind).or_default();
                sum.0 += frames;
                sum.1 += bytes;
            }
        }
        let count = to_float(self.network.len());
        for (kind, (frames, bytes)) in kinds {
            let frame_rate = to_float(frames) / seconds / count;
            let byte_rate = to_float(bytes) / seconds / count;
            println!("  {kind:<10} {frame_rate:>7.2} frames/s {byte_rate:>7.0} bytes/s");
        }
    }

    /// Prints the age of the group observations that nodes route by.
    fn print_ages(&self) {
        let mut ages = new_histogram();
        let mut missing = 0;
        for (index, group) in self.groups.iter().enumerate() {
            for node in 0..self.network.len() {
                let Some(state) = self.network.state(node) else {
                    continue;
                };
                let is_same_region = self.network.len() < 100 || (node / 3) % 2 == index % 2;
                if !is_same_region || !state.routes_to(group) {
                    continue;
                }
                match state.complete_age(group, GroupEpoch(1), self.network.now) {
                    Some(age) => record_duration(&mut ages, age),
                    None => missing += 1,
                }
            }
        }
        println!(
            "observations: age {}, {missing} missing of {}",
            format_durations(&ages),
            ages.len() + missing
        );
    }

    fn measure_changes(&mut self, options: &PeersOptions, label: &str) {
        let started_at = self.network.now;
        self.network.reset_meters();
        let mut durations = new_histogram();
        let mut timeouts = 0;
        for change in 0..options.changes {
            let pause = self.rng.random_range(1_000..3_000);
            self.network.run_for(Duration::from_millis(pause));
            match self.change_section(options, change) {
                Some(duration) => record_duration(&mut durations, duration),
                None => timeouts += 1,
            }
        }
        let seconds = self.network.now.since(started_at).as_secs_f64();
        let bytes = (0..self.network.len()).map(|index| self.network.meter(index).bytes);
        let rate = to_float(bytes.sum::<u64>()) / seconds / to_float(self.network.len());
        let calls = self.network.store.busiest_second(started_at);
        println!(
            "change, {label}: in force {}, {timeouts} never; {rate:.0} bytes/s a node, {calls} store calls in the busiest second",
            format_durations(&durations)
        );
        println!(
            "  {:.0} bytes a change and node",
            self.change_bytes() / to_float(options.changes.max(1))
        );
        self.print_regressions();
    }

    /// Mean bytes per node of the messages that carry versions and bodies of items.
    fn change_bytes(&self) -> f64 {
        let kinds = ["announce", "fetch", "items", "confirm", "buckets"];
        let meters = (0..self.network.len()).map(|index| self.network.meter(index));
        let sums =
            meters.flat_map(|meter| kinds.map(|kind| meter.kinds.get(kind).map_or(0, |sum| sum.1)));
        to_float(sums.sum::<u64>()) / to_float(self.network.len())
    }

    /// Writes a section and waits until it is in force on every node; returns the time
    /// this took, or `None` after the limit.
    fn change_section(&mut self, options: &PeersOptions, change: usize) -> Option<Duration> {
        let key = section_key(self.rng.random_range(0..options.sections));
        let version = self
            .network
            .write(key.clone(), Some(section_body(change + 1)));
        let written_at = self.network.now;
        let is_in_force = self
            .network
            .run_until(CHANGE_TIMEOUT, |network| network.is_in_force(&key, version));
        is_in_force.then(|| self.network.now.since(written_at))
    }

    /// Measures changes that are written just when a failure domain loses its network,
    /// and the time until the domain has them after its return.
    fn measure_isolated_domain(&mut self, options: &PeersOptions) {
        let domain = DomainName::new("domain-0").expect("the name is valid");
        let mut durations = new_histogram();
        let mut return_durations = new_histogram();
        let mut timeouts = 0;
        let started_at = self.network.now;
        for change in 0..options.changes {
            self.network.faults.isolated_domains.insert(domain.clone());
            match self.change_section(options, change) {
                Some(duration) => record_duration(&mut durations, duration),
                None => timeouts += 1,
            }
            self.network.run_for(Duration::from_secs(12));
            let isolated_change = self.change_section(options, change);
            timeouts += u64::from(isolated_change.is_none());
            self.network.faults.isolated_domains.clear();
            let healed_at = self.network.now;
            let is_converged = self.network.run_until(CHANGE_TIMEOUT, is_converged_network);
            timeouts += u64::from(!is_converged);
            record_duration(&mut return_durations, self.network.now.since(healed_at));
            self.network.run_for(Duration::from_secs(15));
        }
        let calls = self.network.store.busiest_second(started_at);
        println!(
            "change, failure domain just cut off: in force elsewhere {}, {timeouts} never; in force there after its return {}; {calls} store calls in the busiest second",
            format_durations(&durations),
            format_durations(&return_durations)
        );
        self.print_regressions();
    }

    /// Measures the return of a region that was partitioned from the other one and
    /// from the store.
    fn measure_region_partition(&mut self, options: &PeersOptions) {
        let region = RegionName::new("region-1").expect("the name is valid");
        self.network.faults.are_regions_partitioned = true;
        self.network.faults.regions_without_store.insert(region);
        self.network.reset_meters();
        let started_at = self.network.now;
        let changes = 100;
        let pause = Duration::from_secs(options.cut_seconds) / 100;
        for change in 0..changes {
            let key = section_key(self.rng.random_range(0..options.sections));
            self.network.write(key, Some(section_body(change)));
            self.network.run_for(pause);
        }
        let cut_calls = self
            .network
            .store
            .busiest_second(started_at + Duration::from_secs(1));
        self.network.faults.are_regions_partitioned = false;
        self.network.faults.regions_without_store.clear();
        let healed_at = self.network.now;
        let max_bytes_before = self.max_meter(|meter| meter.bytes);
        let is_converged = self.network.run_until(CHANGE_TIMEOUT, is_converged_network);
        let seconds = self.network.now.since(healed_at).as_secs_f64();
        self.network.run_for(Duration::from_secs(40));
        let calls = self.network.store.busiest_second(healed_at);
        let max_bytes = self.max_meter(|meter| meter.bytes) - max_bytes_before;
        println!(
            "region cut for {} s, {changes} changes meanwhile: all in force {is_converged} {seconds:.2} s after healing; store calls in the busiest second {cut_calls} during, {calls} after; at most {:.0} KB sent by a node after",
            options.cut_seconds,
            to_float(max_bytes) / 1e3
        );
        self.print_regressions();
    }

    fn print_regressions(&self) {
        let meters = (0..self.network.len()).map(|index| self.network.meter(index));
        let regressions: u64 = meters.map(|meter| meter.regressions).sum();
        if regressions > 0 {
            println!("  {regressions} REVERSIONS");
        }
    }

    /// Prints the cost of simpler designs with this number of nodes, from the size of
    /// an encoded frame.
    fn print_alternatives(&self) {
        let count = to_float(self.network.len());
        let frame = members::PeerFrame {
            cluster: 1,
            from: NodeName::new("node-0000").expect("the name is valid"),
            incarnation: members::NodeIncarnation(1),
            message: PeerMessage::Heartbeat(PeerSummary {
                items: 1,
                nodes: 1,
                is_ready: true,
                is_link: true,
            }),
        };
        let length = members::wire::encode_frame(frame).len();
        let bytes = to_float(length) + to_float(OVERHEAD_BYTES);
        println!(
            "for comparison: every node reads the store each second: {count:.0} store calls/s"
        );
        println!(
            "for comparison: full mesh, a heartbeat of {bytes:.0} bytes to every node each second: {:.0} bytes/s a node",
            bytes * (count - 1.0)
        );
    }

    fn max_meter(&self, read: impl Fn(&members::fake::NodeMeter) -> u64) -> u64 {
        let meters = (0..self.network.len()).map(|index| read(self.network.meter(index)));
        meters.max().unwrap_or(0)
    }
}

/// Whether every item of the store is in force on every node.
fn is_converged_network(network: &FakeNetwork) -> bool {
    let mut items = network.store.items();
    items.all(|item| network.is_in_force(&item.key, item.version))
}

fn section_key(index: usize) -> ItemKey {
    ItemKey::Section(SectionName::new(&format!("section-{index:03}")).expect("the name is valid"))
}

fn section_body(change: usize) -> Arc<str> {
    Arc::from(format!("{change:0>SECTION_BYTES$}"))
}

fn group_name(index: usize) -> GroupName {
    GroupName::new(&format!("fogas-llm-{index:03}")).expect("the name is valid")
}

fn read_stopwatch() -> Duration {
    static BEGIN: OnceLock<Instant> = OnceLock::new();
    BEGIN.get_or_init(Instant::now).elapsed()
}

/// Resident memory of this process in bytes.
fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = status
        .split(' ')
        .nth(1)
        .and_then(|field| field.parse::<u64>().ok());
    pages.unwrap_or(0) * 4_096
}

fn megabytes(bytes: u64) -> f64 {
    to_float(bytes) / 1e6
}

fn to_float(number: impl TryInto<u64>) -> f64 {
    let number: u64 = number.try_into().unwrap_or(u64::MAX);
    number as f64
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three significant digits are allowed")
}

fn record_duration(durations: &mut Histogram<u64>, duration: Duration) {
    let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
    durations
        .record(micros)
        .expect("the histogram resizes itself");
}

fn format_durations(durations: &Histogram<u64>) -> String {
    let seconds = |micros: u64| to_float(micros) / 1e6;
    format!(
        "p50 {:.2} s, p95 {:.2} s, max {:.2} s",
        seconds(durations.value_at_quantile(0.5)),
        seconds(durations.value_at_quantile(0.95)),
        seconds(durations.max())
    )
}
