//! Tables of the measurement.

use base::prelude::*;

use super::model::run_setup;
use super::setup::{Arrivals, PolicyKind, Setup};
use super::tally::RunTally;

const POLICIES: [(PolicyKind, &str); 2] = [
    (PolicyKind::Managed, "bronzerun"),
    (PolicyKind::Plain, "plain"),
];
const LOADS: [f64; 6] = [0.5, 0.8, 1.0, 1.5, 2.0, 3.0];

fn print_head(first: &str) {
    println!(
        "{first:<22} {:<10} {:>8} {:>8} {:>7} {:>7} {:>9} {:>8} {:>9} {:>8} {:>7} {:>6}",
        "policy",
        "offered",
        "goodput",
        "p50 ms",
        "p95 ms",
        "refused",
        "retries",
        "returns",
        "lost",
        "cached",
        "peak"
    );
}

fn print_row(first: &str, policy: &str, tally: &RunTally) {
    let rate = |count: u64| count as f64 / tally.span();
    println!(
        "{first:<22} {policy:<10} {:>8.1} {:>8.1} {:>7} {:>7} {:>9.1} {:>8.1} {:>9.1} {:>8.1} {:>7.2} {:>6.2}",
        rate(tally.offered),
        rate(tally.good),
        tally.first_token(0.5),
        tally.first_token(0.95),
        rate(tally.refused),
        rate(tally.retried),
        rate(tally.returned),
        rate(tally.lost),
        tally.cached as f64 / tally.started.max(1) as f64,
        tally.peak,
    );
}

/// Loads from half of the capacity to three times.
pub fn print_loads(seed: u64) {
    let capacity = Setup::new(PolicyKind::Managed, seed, 1.0).capacity();
    println!("\nLoad against capacity ({capacity:.1} calls a second); rates a second");
    print_head("load");
    for load in LOADS {
        for (policy, name) in POLICIES {
            let tally = run_setup(Setup::new(policy, seed, load));
            print_row(&format!("{load}"), name, &tally);
        }
    }
}

/// One workspace floods while another stays within its share.
pub fn print_flood(seed: u64) {
    println!("\nOne workspace floods; first token of 'theatre' in ms");
    println!(
        "{:<22} {:<10} {:>7} {:>7} {:>8}",
        "flood's load", "policy", "p50", "p95", "goodput"
    );
    for (policy, name) in POLICIES {
        for flood in [0.2, 1.0, 3.0] {
            let tally = run_setup(flood_setup(policy, seed, flood));
            let theatre = &tally.first_tokens[0];
            println!(
                "{flood:<22} {name:<10} {:>7} {:>7} {:>8.1}",
                theatre.value_at_quantile(0.5),
                theatre.value_at_quantile(0.95),
                tally.good as f64 / tally.span(),
            );
        }
    }
}

fn flood_setup(policy: PolicyKind, seed: u64, flood: f64) -> Setup {
    let arrivals = [
        ("theatre", 0.2),
        ("venue", 0.2),
        ("clinic", 0.2),
        ("flood", flood),
    ];
    let arrivals = arrivals.map(|(workspace, load)| Arrivals {
        workspace,
        share: 1,
        load,
    });
    Setup {
        arrivals: arrivals.into(),
        ..Setup::new(policy, seed, 1.0)
    }
}

/// Half of the endpoints go dark for a while.
pub fn print_failure(seed: u64) {
    println!("\nHalf of the endpoints dark from second 40 to 60; good first tokens a second");
    println!(
        "{:<22} {:<10} {:>8} {:>8} {:>8} {:>8} {:>8} {:>10} {:>8} {:>8}",
        "load",
        "policy",
        "20-40",
        "40-45",
        "45-60",
        "61-66",
        "66-80",
        "back after",
        "retries",
        "lost"
    );
    for load in [0.8, 1.0] {
        for (policy, name) in POLICIES {
            let tally = run_setup(outage_setup(policy, seed, load));
            print_outage(&format!("{load}"), name, &tally);
        }
    }
}

fn outage_setup(policy: PolicyKind, seed: u64, load: f64) -> Setup {
    let outage = (
        ClockTime::from_millis(40_000),
        ClockTime::from_millis(60_000),
    );
    Setup {
        outage: Some(outage),
        ..Setup::new(policy, seed, load)
    }
}

fn print_outage(load: &str, policy: &str, tally: &RunTally) {
    let before = tally.good_between(20, 40);
    let back = (61..115).find(|&second| tally.good_between(second, second + 5) >= 0.95 * before);
    let back = back.map_or("never".to_owned(), |second| format!("{} s", second - 60));
    println!(
        "{load:<22} {policy:<10} {before:>8.1} {:>8.1} {:>8.1} {:>8.1} {:>8.1} {back:>10} {:>8.1} {:>8.1}",
        tally.good_between(40, 45),
        tally.good_between(45, 60),
        tally.good_between(61, 66),
        tally.good_between(66, 80),
        tally.retried as f64 / tally.span(),
        tally.lost as f64 / tally.span(),
    );
}

/// Many nodes that don't see one another's calls.
pub fn print_fleet(seed: u64) {
    println!("\nNodes that share the endpoints, at 0.9 of the capacity");
    print_head("nodes x random choices");
    for nodes in [6, 1_500] {
        for choices in [1, 2, 4, 60] {
            let mut setup = fleet_setup(PolicyKind::Managed, seed, nodes);
            setup.routes.random_choices = choices;
            print_row(
                &format!("{nodes} x {choices}"),
                "bronzerun",
                &run_setup(setup),
            );
        }
        let tally = run_setup(fleet_setup(PolicyKind::Plain, seed, nodes));
        print_row(&format!("{nodes}"), "plain", &tally);
    }
}

fn fleet_setup(policy: PolicyKind, seed: u64, nodes: usize) -> Setup {
    Setup {
        nodes,
        endpoints: 60,
        slots: 200,
        warm: ClockTime::from_millis(10_000),
        end: ClockTime::from_millis(20_000),
        ..Setup::new(policy, seed, 0.9)
    }
}

/// Other settings than the defaults.
pub fn print_variants(seed: u64) {
    println!("\nVariants; goodput a second and first-token p95 in ms");
    println!(
        "{:<22} {:>17} {:>17} {:>17} {:>17} {:>5} {:>6}",
        "variant", "load 0.8", "load 1.5", "flood 0.2", "flood 3", "peak", "cached"
    );
    for (name, change) in VARIANTS {
        let run = |mut setup: Setup| {
            change(&mut setup);
            run_setup(setup)
        };
        let kind = PolicyKind::Managed;
        let loads = [0.8, 1.5].map(|load| run(Setup::new(kind, seed, load)));
        let floods = [0.2, 3.0].map(|flood| run(flood_setup(kind, seed, flood)));
        print!("{name:<22}");
        for tally in &loads {
            print_cell(tally, tally.first_token(0.95));
        }
        for tally in &floods {
            print_cell(tally, tally.first_tokens[0].value_at_quantile(0.95));
        }
        println!(
            " {:>5.2} {:>5.2}",
            loads[1].peak,
            loads[0].cached as f64 / loads[0].started as f64
        );
    }
}

fn print_cell(tally: &RunTally, p95: u64) {
    print!(" {:>9.1} {p95:>7}", tally.good as f64 / tally.span());
}

type SetupChange = fn(&mut Setup);

const VARIANTS: [(&str, SetupChange); 6] = [
    ("defaults", |_| {}),
    ("reserve 0.1", |setup| setup.limits.reserve_share = 0.1),
    ("reserve 0.2", |setup| setup.limits.reserve_share = 0.2),
    ("even weight 1", |setup| setup.limits.even_weight = 1.0),
    ("burst 0.5", |setup| setup.limits.burst_factor = 0.5),
    ("random 4", |setup| setup.routes.random_choices = 4),
];
