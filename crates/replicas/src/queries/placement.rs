//! Decides which fabric domain changes its model to follow the demand.
//!
//! A move costs the work of the closed groups while the weights are loaded, as far as the other
//! groups of their model can't take it over with their margin intact. So it is made only for a
//! shortage that has lasted at least twice as long as the load, if it pays off within a
//! horizon and the other model keeps more than its own demand. When in doubt nothing moves.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;

use crate::placement::{DomainMove, LoadFigures, SpareLoan};

/// Time over which a move must gain more requests than it loses, and in which none is undone.
pub const PLACEMENT_HORIZON: Duration = Duration::from_secs(60);
/// Ratio of a donor's remaining capacity to its demand.
const DONOR_MARGIN: f64 = 1.2;
/// The same of a donor whose requests are more urgent than the other model's.
const URGENT_DONOR_MARGIN: f64 = 1.5;
/// Difference of mean priorities from which a model counts as more urgent.
const PRIORITY_DIFFERENCE: f64 = 0.5;
/// Ratio of demand to capacity from which there is a shortage; rates vary by less at random.
const SHORTAGE_RATIO: f64 = 1.05;
/// Multiple of the load time for which a shortage must have lasted.
const SUSTAINED_LOADS: u32 = 2;
/// Least time for which a shortage must have lasted; a burst of 5 s stays in the averages for up
/// to 15 s.
const MIN_SHORTAGE: Duration = Duration::from_secs(20);
/// Demand, in requests a second, up to which a model whose capacity isn't known counts as idle.
const IDLE_DEMAND: f64 = 0.05;
/// Number of spares that a domain keeps for repairs when it lends the others.
const KEPT_SPARES: usize = 1;
/// Number of failure domains in which a model keeps a group if it has one there.
const KEPT_FAILURE_DOMAINS: usize = 2;

/// Demand for a model and what its groups carry.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSupply {
    /// The model.
    pub model: ModelName,
    /// Number of endpoints in one group.
    pub group_size: usize,
    /// Time to load the weights.
    pub load_time: Duration,
    /// Averaged demand, in requests a second.
    pub demand: f64,
    /// Requests a second that its groups carry now, on average.
    pub carried: f64,
    /// Slots of its serving groups.
    pub slots: usize,
    /// Requests a second that one group carries; `None` if it isn't known.
    pub group_capacity: Option<f64>,
    /// Since when the demand has exceeded what the groups carry.
    pub short_since: Option<ClockTime>,
    /// Mean priority of the requests, zero being the most urgent; `None` if it isn't known.
    pub priority: Option<f64>,
}

/// Fabric domain of engines.
#[derive(Clone, Debug, PartialEq)]
pub struct DomainSupply {
    /// Fabric domain.
    pub fabric: FabricName,
    /// Failure domain that it is in.
    pub domain: DomainName,
    /// Home model.
    pub model: ModelName,
    /// Number of usable endpoints, without those that are in groups of other models or are lent.
    pub usable: usize,
    /// Number of groups of the home model that serve or are being formed.
    pub groups: usize,
    /// Number of those endpoints that are in no group.
    pub spares: usize,
    /// Numbers of groups of other models.
    pub guests: BTreeMap<ModelName, usize>,
}

/// Limits on loads.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadCeiling {
    /// Starts per second.
    pub per_second: f64,
    /// Concurrent loads.
    pub concurrent: usize,
}

/// Latest move.
#[derive(Clone, Debug, PartialEq)]
pub struct PreviousMove {
    /// Model that the domain gave up.
    pub from: ModelName,
    /// Model that it runs.
    pub to: ModelName,
    /// When it ended; `None` while it is under way.
    pub ended_at: Option<ClockTime>,
}

/// What a decision depends on.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementInput {
    /// Service that the models and domains belong to.
    pub service: ServiceName,
    /// Its models.
    pub models: Vec<ModelSupply>,
    /// Its fabric domains.
    pub domains: Vec<DomainSupply>,
    /// Limits on loads.
    pub loads: LoadCeiling,
    /// Latest move of a domain, of any service.
    pub previous: Option<PreviousMove>,
    /// Whether lent spares haven't formed their groups yet.
    pub is_lending: bool,
}

impl PlacementInput {
    /// Groups of a model that its domains have or are about to form.
    fn group_count(&self, model: &ModelSupply) -> usize {
        let domains = self.domains.iter().filter(|of| of.model == model.model);
        let at_home: usize = domains.map(|of| possible_groups(of, model)).sum();
        let guests = self.domains.iter().map(|of| of.guests.get(&model.model));
        at_home + guests.flatten().sum::<usize>()
    }

    /// Demand for a model and what its groups carry; `None` if that isn't known.
    pub fn figures(&self, model: &ModelSupply) -> Option<LoadFigures> {
        Some(LoadFigures {
            demand: model.demand,
            capacity: model.group_capacity? * self.group_count(model) as f64,
        })
    }
}

/// Groups of its home model that a domain can have: groups that are being repaired count, too.
fn possible_groups(domain: &DomainSupply, model: &ModelSupply) -> usize {
    domain.groups.max(domain.usable / model.group_size.max(1))
}

/// Whether the averaged demand for a model exceeds what its groups carry.
pub fn is_short(figures: LoadFigures) -> bool {
    figures.demand > figures.capacity * SHORTAGE_RATIO
}

/// Fabric domain that changes its model now, if any.
pub fn choose_move(input: &PlacementInput, now: ClockTime) -> Option<DomainMove> {
    let mut takers = takers(input, now).into_iter();
    takers.find_map(|(taker, load)| best_domain(input, taker, load, now))
}

/// Fabric domain that lends its surplus spares now, if any.
///
/// Spares are surplus if they are too few for a group of the home model, and one stays for repairs.
/// A loan costs no group, so it comes before a move.
pub fn choose_loan(input: &PlacementInput, now: ClockTime) -> Option<SpareLoan> {
    let mut takers = takers(input, now).into_iter();
    takers.find_map(|(taker, load)| best_loan(input, taker, load))
}

/// Models with a sustained shortage in the order in which they are served; none while a move or a
/// loan is under way.
fn takers(input: &PlacementInput, now: ClockTime) -> Vec<(&ModelSupply, LoadFigures)> {
    let is_moving = input
        .previous
        .as_ref()
        .is_some_and(|previous| previous.ended_at.is_none());
    if is_moving || input.is_lending {
        return Vec::new();
    }
    let mut takers: Vec<_> = input
        .models
        .iter()
        .filter_map(|model| Some((model, sustained_shortage(input, model, now)?)))
        .collect();
    // The most urgent requests first, then the largest shortage relative to the capacity.
    let relative = |figures: &LoadFigures| figures.demand / figures.capacity.max(f64::MIN_POSITIVE);
    let urgency = |model: &ModelSupply| model.priority.unwrap_or(f64::MAX);
    takers.sort_by(|(a, a_load), (b, b_load)| {
        let by_urgency = urgency(a).total_cmp(&urgency(b));
        by_urgency.then(relative(b_load).total_cmp(&relative(a_load)))
    });
    takers
}

/// Largest loan to a model; in doubt one in a failure domain where that model has the fewest
/// groups.
fn best_loan(input: &PlacementInput, taker: &ModelSupply, load: LoadFigures) -> Option<SpareLoan> {
    let size = taker.group_size.max(1);
    let groups_in = groups_by_failure_domain(input, &taker.model);
    let missing = ((load.demand - load.capacity) / taker.group_capacity?).ceil() as usize;
    let candidates = input.domains.iter().filter_map(|domain| {
        let home = input
            .models
            .iter()
            .find(|model| model.model == domain.model && model.model != taker.model)?;
        let is_surplus = domain.spares < home.group_size && domain.guests.is_empty();
        let groups = (domain.spares.saturating_sub(KEPT_SPARES) / size).min(missing);
        let duration = load_time(input.loads, taker, groups * size);
        let present = groups_in.get(&domain.domain).copied().unwrap_or(0);
        let loan = SpareLoan {
            service: input.service.clone(),
            fabric: domain.fabric.clone(),
            model: taker.model.clone(),
            groups,
            taker: load,
            duration,
        };
        (is_surplus && groups > 0 && duration < PLACEMENT_HORIZON).then_some((loan, present))
    });
    let best = candidates.min_by_key(|(loan, present)| {
        (
            std::cmp::Reverse(loan.groups),
            *present,
            loan.fabric.clone(),
        )
    });
    best.map(|(loan, _)| loan)
}

/// Whether a model would keep enough groups without so many of them.
pub fn is_spared(input: &PlacementInput, model: &ModelName, groups: usize) -> bool {
    let model = input.models.iter().find(|of| of.model == *model);
    model.is_some_and(|model| {
        let remaining = input.group_count(model).saturating_sub(groups) as f64;
        match model.group_capacity {
            Some(capacity) => capacity * remaining >= model.demand * DONOR_MARGIN,
            None => model.demand <= IDLE_DEMAND,
        }
    })
}

/// Whether a model has been short for long enough to change something.
pub fn is_in_need(input: &PlacementInput, model: &ModelName, now: ClockTime) -> bool {
    let model = input.models.iter().find(|of| of.model == *model);
    model.is_some_and(|model| sustained_shortage(input, model, now).is_some())
}

/// Demand and capacity of a model whose shortage has lasted long enough.
fn sustained_shortage(
    input: &PlacementInput,
    model: &ModelSupply,
    now: ClockTime,
) -> Option<LoadFigures> {
    let figures = input.figures(model)?;
    let short_since = model.short_since?;
    let least = (model.load_time * SUSTAINED_LOADS).max(MIN_SHORTAGE);
    let is_sustained = now.since(short_since) >= least;
    (is_sustained && figures.demand > figures.capacity).then_some(figures)
}

/// Domain whose move to a model gains the most; in doubt one in a failure domain where that model
/// has the fewest groups.
fn best_domain(
    input: &PlacementInput,
    taker: &ModelSupply,
    load: LoadFigures,
    now: ClockTime,
) -> Option<DomainMove> {
    let groups_in = groups_by_failure_domain(input, &taker.model);
    let candidates = input.domains.iter().filter_map(|domain| {
        let donor = input
            .models
            .iter()
            .find(|model| model.model == domain.model)?;
        let planned = plan_domain(input, domain, donor, taker, load, now)?;
        let present = groups_in.get(&domain.domain).copied().unwrap_or(0);
        Some((planned, present))
    });
    let best = candidates.min_by(|((a, a_gain), a_present), ((b, b_gain), b_present)| {
        let by_gain = b_gain.total_cmp(a_gain);
        let by_place = a_present.cmp(b_present);
        by_gain.then(by_place).then(a.fabric.cmp(&b.fabric))
    });
    best.map(|((planned, _), _)| planned)
}

/// Move of a domain and the requests that it gains over the horizon, if nothing speaks against it.
fn plan_domain(
    input: &PlacementInput,
    domain: &DomainSupply,
    donor: &ModelSupply,
    taker: &ModelSupply,
    load: LoadFigures,
    now: ClockTime,
) -> Option<(DomainMove, f64)> {
    if donor.model == taker.model || is_undone(input, donor, taker, now) {
        return None;
    }
    let formed_groups = domain.usable / taker.group_size.max(1);
    let remaining = input.group_count(donor) - possible_groups(domain, donor);
    if formed_groups == 0 || remaining == 0 || !keeps_failure_domains(input, domain) {
        return None;
    }
    let is_urgent = matches!((donor.priority, taker.priority), (Some(donor), Some(taker)) if taker - donor >= PRIORITY_DIFFERENCE);
    let margin = if is_urgent {
        URGENT_DONOR_MARGIN
    } else {
        DONOR_MARGIN
    };
    // Requests a second that the remaining groups carry beyond the demand and its margin.
    let spare_capacity = match donor.group_capacity {
        Some(capacity) => capacity * remaining as f64 - donor.demand * margin,
        None if donor.demand <= IDLE_DEMAND => 0.0,
        None => return None,
    };
    if spare_capacity < 0.0 {
        return None;
    }
    let ready_times: Vec<_> = (1..=formed_groups)
        .map(|count| load_time(input.loads, taker, count * taker.group_size))
        .collect();
    let duration = *ready_times.last()?;
    // The first groups cover the shortage, as far as they can.
    let mut uncovered = load.demand - load.capacity;
    let mut gain = 0.0;
    for ready in &ready_times {
        let covered = uncovered.min(taker.group_capacity?);
        gain += covered * PLACEMENT_HORIZON.saturating_sub(*ready).as_secs_f64();
        uncovered -= covered;
    }
    let donor_groups = input.group_count(donor).max(1) as f64;
    let carried = donor.carried * domain.groups as f64 / donor_groups;
    let lost = (carried - spare_capacity).max(0.0) * duration.as_secs_f64();
    let net_gain = gain - lost;
    let planned = DomainMove {
        service: input.service.clone(),
        fabric: domain.fabric.clone(),
        from: donor.model.clone(),
        to: taker.model.clone(),
        closed_groups: domain.groups,
        formed_groups,
        donor: input.figures(donor).unwrap_or_default(),
        taker: load,
        duration,
    };
    (net_gain > 0.0).then_some((planned, net_gain))
}

/// Whether a move between these models would undo the previous one within the horizon.
fn is_undone(
    input: &PlacementInput,
    donor: &ModelSupply,
    taker: &ModelSupply,
    now: ClockTime,
) -> bool {
    input.previous.as_ref().is_some_and(|previous| {
        let is_recent = previous
            .ended_at
            .is_none_or(|at| now.since(at) < PLACEMENT_HORIZON);
        is_recent && previous.from == taker.model && previous.to == donor.model
    })
}

/// Number of groups of a model by failure domain.
fn groups_by_failure_domain<'a>(
    input: &'a PlacementInput,
    model: &ModelName,
) -> BTreeMap<&'a DomainName, usize> {
    let mut counts = BTreeMap::new();
    for domain in input.domains.iter().filter(|of| of.model == *model) {
        *counts.entry(&domain.domain).or_default() += domain.groups;
    }
    counts
}

/// Whether a donor still has groups in enough failure domains without this fabric domain.
fn keeps_failure_domains(input: &PlacementInput, without: &DomainSupply) -> bool {
    let with_groups = |skipped: Option<&FabricName>| -> BTreeSet<&DomainName> {
        let domains = input.domains.iter();
        let of_model = domains.filter(|of| of.model == without.model && of.groups > 0);
        let kept = of_model.filter(|of| Some(&of.fabric) != skipped);
        kept.map(|of| &of.domain).collect()
    };
    let before = with_groups(None).len();
    with_groups(Some(&without.fabric)).len() >= before.clamp(1, KEPT_FAILURE_DOMAINS)
}

/// Time until so many endpoints have loaded a model, within the ceilings.
fn load_time(loads: LoadCeiling, model: &ModelSupply, endpoints: usize) -> Duration {
    let waves = endpoints.div_ceil(loads.concurrent.max(1));
    let by_concurrency = model
        .load_time
        .saturating_mul(u32::try_from(waves).unwrap_or(u32::MAX));
    if loads.per_second <= 0.0 {
        return by_concurrency;
    }
    let started = Duration::from_secs_f64(endpoints as f64 / loads.per_second);
    by_concurrency.max(started + model.load_time)
}
