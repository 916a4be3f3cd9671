//! Sound endpoints that fall silent together for a while, and endpoints that are lost.

use std::collections::BTreeSet;

use crate::simulation::Simulation;
use base::prelude::*;

const DOMAINS: &[(&str, usize)] = &[("d0", 10), ("d1", 10), ("d2", 10), ("d3", 10), ("d4", 10)];
/// Deployments of 12, 24 and 50 endpoints, and one of 200.
const DEPLOYMENTS: [&[(&str, usize)]; 4] = [
    &[("d0", 6), ("d1", 6)],
    &[("d0", 8), ("d1", 8), ("d2", 8)],
    DOMAINS,
    &[("d0", 50), ("d1", 50), ("d2", 50), ("d3", 50)],
];
/// Time until nodes notice that the streams of a group stand still.
const STREAM_SUSPECT_TIME: Duration = Duration::from_millis(200);
const SEEDS: std::ops::Range<u64> = 0..3;

fn settled(domains: &[(&str, usize)], seed: u64) -> Simulation {
    let mut simulation = Simulation::new(domains, seed);
    simulation.run(9_000);
    simulation
}

/// Groups of the record, by epoch.
fn epochs(simulation: &Simulation) -> BTreeSet<GroupEpoch> {
    let (record, _) = simulation.record.as_ref().unwrap();
    record.groups.iter().map(|group| group.epoch).collect()
}

/// Endpoints in random order, so many hundredths of all.
fn random_part(simulation: &mut Simulation, percent: usize) -> Vec<HostName> {
    let mut ids: Vec<_> = simulation.endpoints.keys().cloned().collect();
    for index in (1..ids.len()).rev() {
        let other = simulation.random_below(index + 1);
        ids.swap(index, other);
    }
    ids.truncate(ids.len() * percent / 100);
    ids
}

/// Runs the owner for a while after some endpoints fell silent; nodes report the heads whose
/// streams stand still for want of a member.
fn run_with_streams(simulation: &mut Simulation, silent_since: ClockTime, millis: u64) {
    let end = simulation.now + Duration::from_millis(millis);
    let suspected_at = silent_since + STREAM_SUSPECT_TIME;
    while simulation.now < end {
        if simulation.now >= suspected_at {
            report_silent_heads(simulation);
        }
        simulation.run(50);
    }
}

fn report_silent_heads(simulation: &mut Simulation) {
    let (record, _) = simulation.record.clone().unwrap();
    for group in &record.groups {
        let mut members = group.members.iter();
        if members.any(|member| !simulation.responds(&member.id)) {
            let head = &group.head().id;
            for owner in &mut simulation.owners {
                replicas::commands::probe_group(owner, head, simulation.now);
            }
        }
    }
}

/// Percentages of the endpoints that fall silent, and for how long.
const SILENCES: [(usize, u64); 5] = [
    (100, 1_300),
    (60, 600),
    (100, 2_500),
    (60, 1_100),
    (60, 2_500),
];

#[test]
fn groups_whose_members_fall_silent_together_for_a_moment_are_kept() {
    for (domains, seed) in DEPLOYMENTS
        .into_iter()
        .flat_map(|domains| SEEDS.map(move |seed| (domains, seed)))
    {
        let mut simulation = settled(domains, seed);
        let before = epochs(&simulation);
        for (percent, millis) in SILENCES {
            let silent = random_part(&mut simulation, percent);
            simulation.suspend(&silent, Duration::from_millis(millis));
            let since = simulation.now;
            run_with_streams(&mut simulation, since, millis + 1_500);
            let count = simulation.endpoints.len();
            let name = format!("{percent} % of {count} for {millis} ms, seed {seed}");
            assert_eq!(epochs(&simulation), before, "{name}");
        }
        assert_eq!(simulation.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Time until every group that has lost a member has ended.
fn time_to_find(simulation: &mut Simulation, lost: &[HostName]) -> u64 {
    let (record, _) = simulation.record.clone().unwrap();
    let groups = record.groups.iter();
    let broken =
        groups.filter(|group| group.members.iter().any(|member| lost.contains(&member.id)));
    let broken: BTreeSet<_> = broken.map(|group| group.epoch).collect();
    for id in lost {
        simulation.kill(id);
    }
    let start = simulation.now;
    while !epochs(simulation).is_disjoint(&broken) {
        run_with_streams(simulation, start, 50);
        let elapsed = simulation.now.since(start);
        assert!(
            elapsed < Duration::from_secs(10),
            "the losses are not found"
        );
    }
    simulation.now.since(start).as_millis() as u64
}

#[test]
fn lost_endpoints_are_found_within_six_hundred_milliseconds() {
    for seed in SEEDS {
        let two = random_part(&mut settled(DOMAINS, seed), 4);
        let sixth = random_part(&mut settled(DOMAINS, seed), 17);
        let domain: Vec<_> = (0..10)
            .map(|index| HostName::new(&format!("d1-{index}")).unwrap())
            .collect();
        for lost in [two, sixth, domain] {
            let mut simulation = settled(DOMAINS, seed);
            let millis = time_to_find(&mut simulation, &lost);
            assert!(
                millis <= 600,
                "{} lost: {millis} ms, seed {seed}",
                lost.len()
            );
        }
    }
}

#[test]
fn most_endpoints_that_are_lost_together_are_found_within_four_seconds() {
    for seed in SEEDS {
        let mut simulation = settled(DOMAINS, seed);
        let lost = random_part(&mut simulation, 60);
        let millis = time_to_find(&mut simulation, &lost);
        assert!(millis <= 4_000, "{millis} ms, seed {seed}");
        simulation.run(8_000);
        assert_eq!(simulation.violations, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn an_endpoint_that_stays_silent_after_the_others_have_woken_is_replaced() {
    for seed in SEEDS {
        let mut simulation = settled(DOMAINS, seed);
        let silent = random_part(&mut simulation, 100);
        let lost = simulation.any_member("large");
        simulation.kill(&lost);
        simulation.suspend(&silent, Duration::from_millis(1_200));
        let before = epochs(&simulation);
        let since = simulation.now;
        run_with_streams(&mut simulation, since, 2_200);
        let after = epochs(&simulation);
        assert_eq!(before.difference(&after).count(), 1, "seed {seed}");
        assert_eq!(simulation.violations, Vec::<String>::new(), "seed {seed}");
    }
}
