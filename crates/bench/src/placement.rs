//! The `placement` measurement: group downtime and stranded accelerators.
//!
//! Every policy runs with the same generated faults. Downtime counts by how many
//! complete groups each deployment falls short of those that the policy planned
//! without any fault, so that a policy gains nothing by dissolving a group. The
//! decisions are those of the `groups` crate; engines, host list and store are
//! simulated. The steps of a fabric domain are skipped while it has no new fault
//! and nothing is left to do in it.

mod fabric;
mod faults;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::prelude::*;
use clap::Args;
use document::DeploymentSpec;
use groups::{
    DesiredGroups, DissolveRule, GroupSettings, HostEntry, HostStatus, SpareRule, spread_groups,
};

use fabric::FabricRun;
use faults::{FaultTable, FleetLayout, generate_faults};

/// Interval between two steps.
const STEP: Duration = Duration::from_secs(5);
/// Steps that a fabric domain runs before a fault is applied to it.
const WARM_UP_STEPS: u64 = 3;
/// Start of the measured period.
const START: ClockTime = ClockTime::from_millis(3 * 3_600_000);
/// Accelerators per host.
const HOST_ACCELERATORS: f64 = 8.0;

/// Options of the measurement.
#[derive(Args)]
pub struct PlacementOptions {
    /// Seeds of the fault tables.
    #[arg(long, value_delimiter = ',', default_value = "1,2,3")]
    seed: Vec<u64>,
    /// Simulated days with 60 hosts.
    #[arg(long, default_value_t = 60)]
    days: u32,
    /// Simulated days with 4,700 hosts; 0 skips this part.
    #[arg(long, default_value_t = 1)]
    fleet_days: u32,
}

/// Runs the measurement and prints its tables.
pub fn run(options: &PlacementOptions) {
    let small_fleet = FleetLayout {
        fabrics: 3,
        fabric_hosts: 20,
        domains: 3,
    };
    let fleet = FleetLayout {
        fabrics: 47,
        fabric_hosts: 100,
        domains: 6,
    };
    run_layout(small_fleet, &[("llm", 4, 15)], options.days, &options.seed);
    if options.fleet_days > 0 {
        let deployments = [("large", 16, 282), ("small", 2, 94)];
        run_layout(fleet, &deployments, options.fleet_days, &options.seed);
    }
}

/// Name of a deployment, hosts in each group and desired groups.
type DeploymentSize = (&'static str, usize, usize);

fn run_layout(layout: FleetLayout, sizes: &[DeploymentSize], days: u32, seeds: &[u64]) {
    for &seed in seeds {
        let table = generate_faults(layout, START, days, seed);
        let [failures, restarts, racks, domains] = table.counts;
        println!(
            "\n{} hosts, {days} days, seed {seed}: {failures} failures, {restarts} restarts, \
             {racks} racks, {domains} failure domains",
            layout.hosts()
        );
        println!(
            "{:<28} {:>8} {:>22} {:>12} {:>28}",
            "policy",
            "promised",
            "downtime group-hours",
            "of promised",
            "stranded accelerator-hours"
        );
        for policy in policies() {
            let result = PlacementRun::new(layout, sizes, &policy).measure(&table, days);
            println!(
                "{:<28} {:>8} {:>22.2} {:>11.4}% {:>28.0}",
                policy.name,
                result.promised,
                result.downtime_hours,
                result.downtime_share * 100.0,
                result.stranded_hours * HOST_ACCELERATORS
            );
        }
    }
}

struct PlacementPolicy {
    name: &'static str,
    weight: f64,
    settings: GroupSettings,
}

fn policies() -> Vec<PlacementPolicy> {
    let settings = GroupSettings {
        lease_duration: Duration::from_secs(60),
        renew_after: Duration::from_secs(20),
        report_validity: Duration::from_secs(10),
        missing_timeout: Duration::from_secs(10),
        drain_propagation: Duration::from_secs(5),
        ..GroupSettings::default()
    };
    let fixed_spares = |name, spares, dissolve_rule, preload_spares| PlacementPolicy {
        name,
        weight: 0.5,
        settings: GroupSettings {
            spare_rule: SpareRule::Fixed(spares),
            dissolve_rule,
            preload_spares,
            ..settings.clone()
        },
    };
    let by_weight = |name, weight| PlacementPolicy {
        name,
        weight,
        settings: settings.clone(),
    };
    vec![
        by_weight("by weight, 0.9 to downtime", 0.9),
        by_weight("by weight, 0.1 to downtime", 0.1),
        fixed_spares("no spares, first fit", 0, DissolveRule::Never, false),
        fixed_spares("2 spares, unloaded", 2, DissolveRule::Never, false),
        fixed_spares("2 spares, loaded", 2, DissolveRule::Never, true),
        fixed_spares("always dissolve", 0, DissolveRule::Always, false),
    ]
}

struct PlacementResult {
    /// Groups that the policy planned without any fault.
    promised: usize,
    downtime_hours: f64,
    downtime_share: f64,
    stranded_hours: f64,
}

struct PlacementRun {
    layout: FleetLayout,
    settings: GroupSettings,
    specs: BTreeMap<DeploymentName, DeploymentSpec>,
    fabrics: Vec<FabricRun>,
    desired_groups: Vec<Vec<DesiredGroups>>,
    promised: BTreeMap<DeploymentName, usize>,
    now: ClockTime,
    downtime: f64,
    stranded: f64,
}

impl PlacementRun {
    fn new(layout: FleetLayout, sizes: &[DeploymentSize], policy: &PlacementPolicy) -> Self {
        let specs = sizes.iter().map(|size| spec(size, policy.weight));
        let fabrics = (0..layout.fabrics).map(|fabric| {
            let hosts = (0..layout.fabric_hosts).map(|host| host_entry(fabric, host));
            FabricRun::new(
                fabric_name(fabric),
                hosts.collect(),
                policy.settings.clone(),
            )
        });
        Self {
            layout,
            settings: policy.settings.clone(),
            specs: specs.collect(),
            fabrics: fabrics.collect(),
            desired_groups: vec![Vec::new(); layout.fabrics],
            promised: BTreeMap::new(),
            now: ClockTime::default(),
            downtime: 0.0,
            stranded: 0.0,
        }
    }

    fn measure(mut self, table: &FaultTable, days: u32) -> PlacementResult {
        self.step_active();
        self.update_desired_groups();
        for desired_groups in self.desired_groups.concat() {
            *self.promised.entry(desired_groups.deployment).or_default() += desired_groups.groups;
        }
        self.run_until(START);
        self.downtime = 0.0;
        self.stranded = 0.0;
        let mut events = table.events.iter().peekable();
        let end = START + Duration::from_secs(86_400) * days;
        while let Some(first) = events.peek().filter(|event| event.at < end) {
            let at = first.at;
            self.run_until(at);
            let due = std::iter::from_fn(|| events.next_if(|event| event.at == at));
            let due: Vec<_> = due.collect();
            for event in due {
                self.warm_up(event.host / self.layout.fabric_hosts);
                let (fabric, host) = self.locate(event.host);
                self.fabrics[fabric].apply_fault(host, event.fault);
                self.fabrics[fabric].activate();
            }
            self.step_active();
            self.update_desired_groups();
        }
        self.run_until(end);
        let promised = self.promised.values().sum();
        PlacementResult {
            promised,
            downtime_hours: self.downtime / 3_600.0,
            downtime_share: self.downtime / (promised as f64 * end.since(START).as_secs_f64()),
            stranded_hours: self.stranded / 3_600.0,
        }
    }

    fn locate(&self, host: usize) -> (usize, usize) {
        let size = self.layout.fabric_hosts;
        (host / size, host % size)
    }

    /// Runs the last steps of a fabric domain whose steps were skipped, so that its
    /// state is as if it had always run.
    fn warm_up(&mut self, fabric: usize) {
        if self.fabrics[fabric].is_active() {
            return;
        }
        let before = self
            .now
            .0
            .saturating_sub(WARM_UP_STEPS * STEP.as_micros() as u64);
        for step in 0..WARM_UP_STEPS as u32 {
            self.fabrics[fabric].step(ClockTime(before) + STEP * step);
        }
    }

    fn run_until(&mut self, end: ClockTime) {
        while self.now < end {
            let active = self.fabrics.iter().any(FabricRun::is_active);
            let next = if active { self.now + STEP } else { end };
            self.advance_to(next.min(end));
            self.step_active();
        }
    }

    /// Advances the time, and adds the downtime and the stranded hosts of the interval.
    fn advance_to(&mut self, until: ClockTime) {
        let seconds = until.since(self.now).as_secs_f64();
        for (deployment, &promised) in &self.promised {
            let counts = self.fabrics.iter();
            let counts = counts.map(|run| run.complete.get(deployment).copied().unwrap_or(0));
            let complete: usize = counts.sum();
            self.downtime += promised.saturating_sub(complete) as f64 * seconds;
        }
        let stranded: usize = self.fabrics.iter().map(|run| run.stranded).sum();
        self.stranded += stranded as f64 * seconds;
        self.now = until;
    }

    fn step_active(&mut self) {
        for run in self.fabrics.iter_mut().filter(|run| run.is_active()) {
            run.step(self.now);
        }
    }

    fn update_desired_groups(&mut self) {
        let layout = self.layout;
        let summaries: Vec<_> = self
            .fabrics
            .iter()
            .enumerate()
            .map(|(index, run)| run.state.summary(domain_name(layout.domain_of(index))))
            .collect();
        let spread = spread_groups(&self.specs, &summaries, &self.settings);
        for (index, run) in self.fabrics.iter_mut().enumerate() {
            let counts = &spread[&fabric_name(index)];
            let desired_groups: Vec<_> = self
                .specs
                .iter()
                .map(|(deployment, spec)| DesiredGroups {
                    deployment: deployment.clone(),
                    spec: spec.clone(),
                    groups: counts.get(deployment).copied().unwrap_or(0),
                })
                .collect();
            if desired_groups != self.desired_groups[index] {
                run.set_desired_groups(desired_groups.clone());
                run.activate();
                self.desired_groups[index] = desired_groups;
            }
        }
    }
}

fn spec(size: &DeploymentSize, weight: f64) -> (DeploymentName, DeploymentSpec) {
    let &(name, group_size, group_count) = size;
    let spec = DeploymentSpec {
        model: ModelName::new(name).expect("the name is valid"),
        group_size,
        group_count,
        downtime_weight: weight,
        checks_fencing: true,
        stream_limit: 8,
    };
    let deployment = DeploymentName::new(name).expect("the name is valid");
    (deployment, spec)
}

fn fabric_name(index: usize) -> FabricName {
    FabricName::new(&format!("f{index:02}")).expect("the name is valid")
}

fn domain_name(index: usize) -> DomainName {
    DomainName::new(&format!("d{index}")).expect("the name is valid")
}

fn host_entry(fabric: usize, host: usize) -> HostEntry {
    HostEntry {
        host: HostName::new(&format!("h{fabric:02}-{host:02}")).expect("the name is valid"),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        status: HostStatus::Live,
    }
}
