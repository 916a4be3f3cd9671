//! Recorded tables of faults, made from a seed.
//!
//! The rates are those of the fleet to design for, scaled by its hosts. Three
//! in four restarts are announced by the list, as replacements are; the others
//! come without notice.

use base::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Hosts to which the rates below belong.
const FLEET_HOSTS: f64 = 4_700.0;
/// Host failures a day.
const FAILURES: f64 = 42.0;
/// Restarts and replacements a day.
const RESTARTS: f64 = 570.0;
/// Racks lost a day.
const RACKS: f64 = 1.0 / 7.0;
/// Failure domains lost a day, whatever the fleet's size.
const DOMAINS: f64 = 1.5 / 365.0;
/// Hosts in a rack.
const RACK_HOSTS: usize = 10;

const MINUTE: Duration = Duration::from_secs(60);
const DAY: Duration = Duration::from_secs(86_400);
/// Time until the platform's list drops a host that is gone.
const LIST_LAG: Duration = Duration::from_secs(5 * 60);

/// Layout of the hosts.
#[derive(Clone, Copy, Debug)]
pub struct FleetLayout {
    /// Fabric domains.
    pub fabrics: usize,
    /// Hosts in each fabric domain.
    pub fabric_hosts: usize,
    /// Failure domains.
    pub domains: usize,
}

impl FleetLayout {
    /// Hosts in all.
    pub fn hosts(&self) -> usize {
        self.fabrics * self.fabric_hosts
    }

    /// Failure domain of a fabric domain.
    pub fn domain_of(&self, fabric: usize) -> usize {
        fabric % self.domains
    }
}

/// One change of one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HostFault {
    /// Stops answering.
    Down,
    /// Answers again as another run.
    Up,
    /// Is listed as leaving.
    Leave,
    /// Is listed as staying.
    Stay,
    /// Disappears from the list.
    Delist,
    /// Is listed again.
    List,
}

/// Entry of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FaultEvent {
    /// When it strikes.
    pub at: ClockTime,
    /// Host by its number.
    pub host: usize,
    /// What happens.
    pub fault: HostFault,
}

/// Faults in the order of time.
#[derive(Debug)]
pub struct FaultTable {
    /// Its entries.
    pub events: Vec<FaultEvent>,
    /// Failures, restarts, racks and failure domains in it.
    pub counts: [usize; 4],
}

/// Makes the table of so many days from a seed.
pub fn record_faults(layout: FleetLayout, start: ClockTime, days: u32, seed: u64) -> FaultTable {
    let mut recorder = FaultRecorder {
        rng: StdRng::seed_from_u64(seed),
        start,
        end: start + DAY * days,
        events: Vec::new(),
    };
    let scale = layout.hosts() as f64 / FLEET_HOSTS;
    let hosts = layout.hosts();
    let failures = recorder.times(FAILURES * scale);
    for &at in &failures {
        let host = recorder.pick(hosts);
        recorder.lose(host, at, MINUTE * 8 * 60);
    }
    let restarts = recorder.times(RESTARTS * scale);
    for &at in &restarts {
        let host = recorder.pick(hosts);
        recorder.restart(host, at);
    }
    let racks = recorder.times(RACKS * scale);
    for &at in &racks {
        let first = recorder.pick(hosts / RACK_HOSTS) * RACK_HOSTS;
        for host in first..first + RACK_HOSTS {
            recorder.lose(host, at, MINUTE * 120);
        }
    }
    let domains = recorder.times(DOMAINS);
    for &at in &domains {
        let domain = recorder.pick(layout.domains);
        for host in 0..hosts {
            if layout.domain_of(host / layout.fabric_hosts) == domain {
                recorder.lose(host, at, MINUTE * 60);
            }
        }
    }
    let counts = [&failures, &restarts, &racks, &domains].map(Vec::len);
    let mut events = recorder.events;
    events.sort();
    FaultTable { events, counts }
}

struct FaultRecorder {
    rng: StdRng,
    start: ClockTime,
    end: ClockTime,
    events: Vec<FaultEvent>,
}

impl FaultRecorder {
    fn pick(&mut self, count: usize) -> usize {
        (self.rng.next_u64() % count.max(1) as u64) as usize
    }

    fn unit(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Instants of a Poisson process with so many events a day.
    fn times(&mut self, daily: f64) -> Vec<ClockTime> {
        let mut times = Vec::new();
        let mut at = self.start;
        loop {
            let gap = -(1.0 - self.unit()).ln() / daily;
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

    fn lose(&mut self, host: usize, at: ClockTime, span: Duration) {
        self.add(host, at, HostFault::Down);
        self.add(host, at + LIST_LAG, HostFault::Delist);
        self.add(host, at + span, HostFault::Up);
        self.add(host, at + span, HostFault::List);
    }

    fn restart(&mut self, host: usize, at: ClockTime) {
        if self.pick(4) == 0 {
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
