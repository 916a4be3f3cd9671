//! The `peers` measurement: what the peer layer costs a node, and how soon a
//! change is in force everywhere.
//!
//! Many states run in model time, joined by queues that delay and lose frames.
//! Bytes are those of the encoded frames and [`OVERHEAD_BYTES`] for each;
//! processor time covers decisions and codec and is the only figure that
//! depends on the machine.

use std::sync::OnceLock;
use std::time::Instant;

use base::prelude::*;
use clap::Args;
use hdrhistogram::Histogram;
use members::fake::{FakeNetwork, NetworkLatency, OVERHEAD_BYTES};
use members::{
    GroupLoad, GroupObservation, GroupVerdict, ItemKey, PeerMessage, PeerSettings, PeerSummary,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Groups and nodes of the design size.
const DESIGN_GROUPS: usize = 293;
const DESIGN_NODES: usize = 1_500;
/// Routing subsets of a region at the design size.
const DESIGN_SUBSETS: usize = 24;
const SECTION_BYTES: usize = 2_000;
const OBSERVER_COUNT: usize = 2;
const START_LIMIT: Duration = Duration::from_secs(120);
const CHANGE_LIMIT: Duration = Duration::from_secs(60);

/// Options of the measurement.
#[derive(Args)]
pub struct PeersOptions {
    /// Seed of the random numbers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Numbers of nodes.
    #[arg(long, value_delimiter = ',', default_values_t = [7, 100, 400, 1_500])]
    nodes: Vec<usize>,
    /// Sections of the document.
    #[arg(long, default_value_t = 500)]
    sections: usize,
    /// Changes measured under each fault.
    #[arg(long, default_value_t = 20)]
    changes: usize,
    /// Seconds for which regions are cut from each other.
    #[arg(long, default_value_t = 3_600)]
    cut_seconds: u64,
}

/// Runs it and prints its tables.
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
    random: StdRng,
}

impl PeerMeasurement {
    fn start(options: &PeersOptions, count: usize) -> Self {
        let subsets = (count * DESIGN_SUBSETS).div_ceil(DESIGN_NODES);
        let settings = PeerSettings {
            subset_count: u32::try_from(subsets).expect("few subsets"),
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
        let random = StdRng::seed_from_u64(options.seed);
        Self {
            network,
            groups,
            random,
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
        self.measure_dark_domain(options);
        if count >= 100 {
            self.measure_region_cut(options);
        }
        self.print_others();
    }

    /// Starts all nodes within two seconds, as after a power failure.
    fn measure_start(&mut self) {
        let before = resident_bytes();
        let begin = self.network.now;
        let count = self.network.len();
        let pause = Duration::from_secs(2) / u32::try_from(count).unwrap_or(u32::MAX);
        for index in 0..count {
            self.network.start(index);
            self.network.run_for(pause);
        }
        let is_ready = self.network.run_until(START_LIMIT, |network| {
            network.states().all(|state| state.readiness().is_some())
        });
        let passed = self.network.now.since(begin).as_secs_f64();
        let busiest = self.network.store.busiest_second(begin);
        println!(
            "start of all: ready {is_ready} after {passed:.1} s, {busiest} store calls in the busiest second"
        );
        self.network.run_for(Duration::from_secs(20));
        let grown = resident_bytes().saturating_sub(before);
        println!(
            "memory: {:.2} MB a node",
            megabytes(grown) / to_float(count)
        );
        let busy = self.max_meter(|meter| meter.bytes);
        println!(
            "bytes of the start: {:.0} KB sent by the busiest node",
            to_float(busy) / 1e3
        );
    }

    /// Half a minute without changes, groups observed.
    fn measure_steady(&mut self) {
        let span = 30;
        let begin = self.network.now;
        self.network.reset_meters();
        for second in 0..span {
            self.observe_groups(second);
            self.network.run_for(Duration::from_secs(1));
        }
        let count = to_float(self.network.len());
        let seconds = to_float(span);
        let meters = || (0..self.network.len()).map(|index| self.network.meter(index));
        let bytes: u64 = meters().map(|meter| meter.bytes).sum();
        let frames: u64 = meters().map(|meter| meter.frames).sum();
        let spent: Duration = meters().map(|meter| meter.processing_time).sum();
        let calls = self.network.store.calls(begin);
        println!(
            "steady: {:.0} bytes/s a node (busiest {:.0}), {:.1} frames/s, {:.0} us/s, store {:.2} calls/s",
            to_float(bytes) / seconds / count,
            to_float(self.max_meter(|meter| meter.bytes)) / seconds,
            to_float(frames) / seconds / count,
            spent.as_secs_f64() * 1e6 / seconds / count,
            to_float(calls) / seconds,
        );
        self.print_kinds(seconds);
        self.print_ages();
    }

    fn observe_groups(&mut self, second: usize) {
        let region_states: Vec<usize> = (0..self.network.len()).step_by(3).take(2).collect();
        for (index, group) in self.groups.clone().into_iter().enumerate() {
            let teller = region_states[index % region_states.len()];
            let Some(state) = self.network.state(teller) else {
                continue;
            };
            let observers = state.observers(&group, OBSERVER_COUNT);
            let Some(observer) = observers.get(second % observers.len().max(1)) else {
                continue;
            };
            let node: usize = observer.as_str()[5..].parse().expect("a numbered node");
            self.network.command(node, |state, now| {
                let observation = GroupObservation {
                    group,
                    epoch: GroupEpoch(1),
                    verdict: GroupVerdict::Complete,
                    load: GroupLoad {
                        running: 20,
                        waiting: 1,
                    },
                    asked_at: now,
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

    /// Age of the observations that a node routes by.
    fn print_ages(&self) {
        let mut ages = new_histogram();
        let mut missing = 0;
        for (index, group) in self.groups.iter().enumerate() {
            for node in 0..self.network.len() {
                let Some(state) = self.network.state(node) else {
                    continue;
                };
                let is_near = self.network.len() < 100 || (node / 3) % 2 == index % 2;
                if !is_near || !state.routes_to(group) {
                    continue;
                }
                match state.complete_age(group, GroupEpoch(1), self.network.now) {
                    Some(age) => record_span(&mut ages, age),
                    None => missing += 1,
                }
            }
        }
        println!(
            "observations: age {}, {missing} missing of {}",
            show_spans(&ages),
            ages.len() + missing
        );
    }

    fn measure_changes(&mut self, options: &PeersOptions, label: &str) {
        let begin = self.network.now;
        self.network.reset_meters();
        let mut spans = new_histogram();
        let mut late = 0;
        for change in 0..options.changes {
            let pause = self.random.random_range(1_000..3_000);
            self.network.run_for(Duration::from_millis(pause));
            match self.change_section(options, change) {
                Some(span) => record_span(&mut spans, span),
                None => late += 1,
            }
        }
        let seconds = self.network.now.since(begin).as_secs_f64();
        let bytes = (0..self.network.len()).map(|index| self.network.meter(index).bytes);
        let rate = to_float(bytes.sum::<u64>()) / seconds / to_float(self.network.len());
        let calls = self.network.store.busiest_second(begin);
        println!(
            "change, {label}: in force {}, {late} never; {rate:.0} bytes/s a node, {calls} store calls in the busiest second",
            show_spans(&spans)
        );
        println!(
            "  {:.0} bytes a change and node",
            self.change_bytes() / to_float(options.changes.max(1))
        );
        self.print_regressions();
    }

    /// Bytes a node spent on versions and bodies.
    fn change_bytes(&self) -> f64 {
        let kinds = ["announce", "fetch", "items", "confirm", "buckets"];
        let meters = (0..self.network.len()).map(|index| self.network.meter(index));
        let sums =
            meters.flat_map(|meter| kinds.map(|kind| meter.kinds.get(kind).map_or(0, |sum| sum.1)));
        to_float(sums.sum::<u64>()) / to_float(self.network.len())
    }

    /// Writes a section and waits until it is in force; the time it took.
    fn change_section(&mut self, options: &PeersOptions, change: usize) -> Option<Duration> {
        let key = section_key(self.random.random_range(0..options.sections));
        let version = self
            .network
            .write(key.clone(), Some(section_body(change + 1)));
        let written_at = self.network.now;
        let is_in_force = self
            .network
            .run_until(CHANGE_LIMIT, |network| network.is_in_force(&key, version));
        is_in_force.then(|| self.network.now.since(written_at))
    }

    /// Each change is written at the moment when a failure domain goes dark.
    fn measure_dark_domain(&mut self, options: &PeersOptions) {
        let domain = DomainName::new("domain-0").expect("a valid name");
        let mut spans = new_histogram();
        let mut returns = new_histogram();
        let mut late = 0;
        let begin = self.network.now;
        for change in 0..options.changes {
            self.network.faults.isolated_domains.insert(domain.clone());
            match self.change_section(options, change) {
                Some(span) => record_span(&mut spans, span),
                None => late += 1,
            }
            self.network.run_for(Duration::from_secs(12));
            let dark_change = self.change_section(options, change);
            late += u64::from(dark_change.is_none());
            self.network.faults.isolated_domains.clear();
            let healed_at = self.network.now;
            let is_whole = self.network.run_until(CHANGE_LIMIT, is_uniform);
            late += u64::from(!is_whole);
            record_span(&mut returns, self.network.now.since(healed_at));
            self.network.run_for(Duration::from_secs(15));
        }
        let calls = self.network.store.busiest_second(begin);
        println!(
            "change, failure domain just gone dark: in force elsewhere {}, {late} never; in force there after its return {}; {calls} store calls in the busiest second",
            show_spans(&spans),
            show_spans(&returns)
        );
        self.print_regressions();
    }

    /// One region is cut from the other and from the store, and comes back.
    fn measure_region_cut(&mut self, options: &PeersOptions) {
        let region = RegionName::new("region-1").expect("a valid name");
        self.network.faults.are_regions_partitioned = true;
        self.network.faults.regions_without_store.insert(region);
        self.network.reset_meters();
        let begin = self.network.now;
        let changes = 100;
        let pause = Duration::from_secs(options.cut_seconds) / 100;
        for change in 0..changes {
            let key = section_key(self.random.random_range(0..options.sections));
            self.network.write(key, Some(section_body(change)));
            self.network.run_for(pause);
        }
        let cut_calls = self
            .network
            .store
            .busiest_second(begin + Duration::from_secs(1));
        self.network.faults.are_regions_partitioned = false;
        self.network.faults.regions_without_store.clear();
        let healed_at = self.network.now;
        let busy_before = self.max_meter(|meter| meter.bytes);
        let is_whole = self.network.run_until(CHANGE_LIMIT, is_uniform);
        let passed = self.network.now.since(healed_at).as_secs_f64();
        self.network.run_for(Duration::from_secs(40));
        let calls = self.network.store.busiest_second(healed_at);
        let busy = self.max_meter(|meter| meter.bytes) - busy_before;
        println!(
            "region cut for {} s, {changes} changes meanwhile: all in force {is_whole} {passed:.2} s after healing; store calls in the busiest second {cut_calls} during, {calls} after; at most {:.0} KB sent by a node after",
            options.cut_seconds,
            to_float(busy) / 1e3
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

    /// The simpler ways at this number of nodes, from sizes of encoded frames.
    fn print_others(&self) {
        let count = to_float(self.network.len());
        let frame = members::PeerFrame {
            cluster: 1,
            from: NodeName::new("node-0000").expect("a valid name"),
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
        println!("beside it: every node reads the store each second: {count:.0} store calls/s");
        println!(
            "beside it: full mesh, a heartbeat of {bytes:.0} bytes to every node each second: {:.0} bytes/s a node",
            bytes * (count - 1.0)
        );
    }

    fn max_meter(&self, read: impl Fn(&members::fake::NodeMeter) -> u64) -> u64 {
        let meters = (0..self.network.len()).map(|index| read(self.network.meter(index)));
        meters.max().unwrap_or(0)
    }
}

/// Whether every node holds what the store holds.
fn is_uniform(network: &FakeNetwork) -> bool {
    let mut items = network.store.items();
    items.all(|item| network.is_in_force(&item.key, item.version))
}

fn section_key(index: usize) -> ItemKey {
    ItemKey::Section(SectionName::new(&format!("section-{index:03}")).expect("a valid name"))
}

fn section_body(change: usize) -> Arc<str> {
    Arc::from(format!("{change:0>SECTION_BYTES$}"))
}

fn group_name(index: usize) -> GroupName {
    GroupName::new(&format!("fogas-llm-{index:03}")).expect("a valid name")
}

fn read_stopwatch() -> Duration {
    static BEGIN: OnceLock<Instant> = OnceLock::new();
    BEGIN.get_or_init(Instant::now).elapsed()
}

/// Memory that this process occupies.
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

fn record_span(spans: &mut Histogram<u64>, span: Duration) {
    let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
    spans.record(micros).expect("the histogram grows by itself");
}

fn show_spans(spans: &Histogram<u64>) -> String {
    let seconds = |micros: u64| to_float(micros) / 1e6;
    format!(
        "p50 {:.2} s, p95 {:.2} s, max {:.2} s",
        seconds(spans.value_at_quantile(0.5)),
        seconds(spans.value_at_quantile(0.95)),
        seconds(spans.max())
    )
}
