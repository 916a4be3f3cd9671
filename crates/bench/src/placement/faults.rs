//! Fault tables, generated from a seed.
//!
//! The rates are those of the fleet of the design size, scaled to the number of
//! hosts. Three in four restarts are announced in the host list, as replacements
//! are; the others come without notice.

use base::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Number of hosts of the fleet for which the rates below hold.
const FLEET_HOSTS: f64 = 4_700.0;
/// Host failures per day.
const FAILURES_PER_DAY: f64 = 42.0;
/// Restarts and replacements per day.
const RESTARTS_PER_DAY: f64 = 570.0;
/// Rack failures per day.
const RACK_FAILURES_PER_DAY: f64 = 1.0 / 7.0;
/// Failures of whole failure domains per day, independent of the fleet's size.
const DOMAIN_FAILURES_PER_DAY: f64 = 1.5 / 365.0;
/// Hosts in a rack.
const RACK_HOSTS: usize = 10;

const MINUTE: Duration = Duration::from_secs(60);
const DAY: Duration = Duration::from_secs(86_400);
/// Time until a host that is down disappears from the platform's list.
const DELIST_DELAY: Duration = Duration::from_secs(5 * 60);

/// Numbers of hosts and of domains.
#[derive(Clone, Copy, Debug)]
pub struct FleetLayout {
    /// Number of fabric domains.
    pub fabrics: usize,
    /// Hosts in each fabric domain.
    pub fabric_hosts: usize,
    /// Number of failure domains.
    pub domains: usize,
}

impl FleetLayout {
    /// Number of hosts in all fabric domains.
    pub fn hosts(&self) -> usize {
        self.fabrics * self.fabric_hosts
    }

    /// Failure domain that a fabric domain is in.
    pub fn domain_of(&self, fabric: usize) -> usize {
        fabric % self.domains
    }
}

/// Change of the state of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HostFault {
    /// Becomes unreachable.
    Down,
    /// Is reachable again, with a new incarnation.
    Up,
    /// Is listed as leaving.
    Leave,
    /// Is listed as staying.
    Stay,
    /// Disappears from the list.
    Delist,
    /// Is listed again.
    Relist,
}

/// Entry of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FaultEvent {
    /// When the fault happens.
    pub at: ClockTime,
    /// Index of the host.
    pub host: usize,
    /// Fault of the host.
    pub fault: HostFault,
}

/// Faults of one simulation.
#[derive(Debug)]
pub struct FaultTable {
    /// Entries, in order of time.
    pub events: Vec<FaultEvent>,
    /// Numbers of host failures, restarts, rack failures and domain failures.
    pub counts: [usize; 4],
}

/// Generates the table of a number of days from a seed.
pub fn generate_faults(layout: FleetLayout, start: ClockTime, days: u32, seed: u64) -> FaultTable {
    let mut generator = FaultGenerator {
        rng: StdRng::seed_from_u64(seed),
        start,
        end: start + DAY * days,
        events: Vec::new(),
    };
    let scale = layout.hosts() as f64 / FLEET_HOSTS;
    let hosts = layout.hosts();
    let failures = generator.random_times(FAILURES_PER_DAY * scale);
    for &at in &failures {
        let host = generator.random_index(hosts);
        generator.take_down(host, at, MINUTE * 8 * 60);
    }
    let restarts = generator.random_times(RESTARTS_PER_DAY * scale);
    for &at in &restarts {
        let host = generator.random_index(hosts);
        generator.restart(host, at);
    }
    let racks = generator.random_times(RACK_FAILURES_PER_DAY * scale);
    for &at in &racks {
        let first = generator.random_index(hosts / RACK_HOSTS) * RACK_HOSTS;
        for host in first..first + RACK_HOSTS {
            generator.take_down(host, at, MINUTE * 120);
        }
    }
    let domains = generator.random_times(DOMAIN_FAILURES_PER_DAY);
    for &at in &domains {
        let domain = generator.random_index(layout.domains);
        for host in 0..hosts {
            if layout.domain_of(host / layout.fabric_hosts) == domain {
                generator.take_down(host, at, MINUTE * 60);
            }
        }
    }
    let counts = [&failures, &restarts, &racks, &domains].map(Vec::len);
    let mut events = generator.events;
    events.sort();
    FaultTable { events, counts }
}

struct FaultGenerator {
    rng: StdRng,
    start: ClockTime,
    end: ClockTime,
    events: Vec<FaultEvent>,
}

impl FaultGenerator {
    fn random_index(&mut self, count: usize) -> usize {
        (self.rng.next_u64() % count.max(1) as u64) as usize
    }

    fn random_unit(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Instants of a Poisson process with this mean number of events per day.
    fn random_times(&mut self, rate_per_day: f64) -> Vec<ClockTime> {
        let mut times = Vec::new();
        let mut at = self.start;
        loop {
            let gap = -(1.0 - self.random_unit()).ln() / rate_per_day;
            at = at + DAY.mul_f64(gap);
            if at >= self.end {
                return times;
            }
            times.push(at);
        }
    }

    fn add(&mut self, host: usize, at: ClockTime, fault: HostFault) {
        self.events.push(FaultEvent { at, host, fault });
    }

    fn take_down(&mut self, host: usize, at: ClockTime, duration: Duration) {
        self.add(host, at, HostFault::Down);
        self.add(host, at + DELIST_DELAY, HostFault::Delist);
        self.add(host, at + duration, HostFault::Up);
        self.add(host, at + duration, HostFault::Relist);
    }

    fn restart(&mut self, host: usize, at: ClockTime) {
        if self.random_index(4) == 0 {
            self.add(host, at, HostFault::Down);
            self.add(host, at + MINUTE * 3, HostFault::Up);
            return;
        }
        self.add(host, at, HostFault::Leave);
        self.add(host, at + MINUTE * 10, HostFault::Down);
        self.add(host, at + MINUTE * 20, HostFault::Up);
        self.add(host, at + MINUTE * 20, HostFault::Stay);
    }
}
