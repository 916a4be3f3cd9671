//! Tables of the measurement.

use base::prelude::*;

use super::setup::{Arrivals, PolicyKind, Setup};
use super::simulation::run_setup;
use super::tally::RunTally;

const POLICIES: [(PolicyKind, &str); 2] = [
    (PolicyKind::Managed, "bronzerun"),
    (PolicyKind::Plain, "plain"),
];
/// Number of runs with consecutive seeds that a row of the flood table sums up.
const FLOOD_SEEDS: u64 = 5;
const LOADS: [f64; 6] = [0.5, 0.8, 1.0, 1.5, 2.0, 3.0];

fn print_header(label: &str) {
    println!(
        "{label:<22} {:<10} {:>8} {:>8} {:>7} {:>7} {:>9} {:>8} {:>9} {:>8} {:>7} {:>6}",
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

fn print_row(label: &str, policy: &str, tally: &RunTally) {
    let rate = |count: u64| count as f64 / tally.counted_seconds();
    println!(
        "{label:<22} {policy:<10} {:>8.1} {:>8.1} {:>7} {:>7} {:>9.1} {:>8.1} {:>9.1} {:>8.1} {:>7.2} {:>6.2}",
        rate(tally.offered),
        rate(tally.good),
        tally.first_token_quantile(0.5),
        tally.first_token_quantile(0.95),
        rate(tally.refused),
        rate(tally.node_retries),
        rate(tally.caller_retries),
        rate(tally.lost),
        tally.cached as f64 / tally.started.max(1) as f64,
        tally.peak,
    );
}

/// Prints results for loads from half of the capacity to three times the capacity.
pub fn print_loads(seed: u64) {
    let capacity = Setup::new(PolicyKind::Managed, seed, 1.0).capacity();
    println!("\nLoad against capacity ({capacity:.1} calls a second); rates a second");
    print_header("load");
    for load in LOADS {
        for (policy, name) in POLICIES {
            let tally = run_setup(Setup::new(policy, seed, load));
            print_row(&format!("{load}"), name, &tally);
        }
    }
}

/// Prints results for one workspace that exceeds its share while the others stay within theirs.
pub fn print_flood(seed: u64) {
    println!(
        "\nOne workspace floods; first-token p95 of the others in ms, seeds {seed} to {}",
        seed + FLOOD_SEEDS - 1
    );
    println!(
        "{:<22} {:<10} {:>11} {:>11} {:>8}",
        "flood's load", "policy", "theatre 0.1", "venue 0.2", "goodput"
    );
    for (policy, name) in POLICIES {
        for flood in [0.2, 0.5, 1.0, 3.0] {
            let row = run_flood(seed, |seed| flood_setup(policy, seed, flood));
            println!(
                "{flood:<22} {name:<10} {:>11} {:>11} {:>8.1}",
                row.theatre, row.venue, row.goodput
            );
        }
    }
}

/// Results of one flood load over several seeds.
struct FloodRow {
    theatre: u64,
    venue: u64,
    goodput: f64,
}

fn run_flood(seed: u64, make_setup: impl Fn(u64) -> Setup) -> FloodRow {
    let seeds = seed..seed + FLOOD_SEEDS;
    let tallies: Vec<RunTally> = seeds.map(|seed| run_setup(make_setup(seed))).collect();
    let p95 = |workspace: usize| {
        let mut sum = tallies[0].first_tokens[workspace].clone();
        for tally in &tallies[1..] {
            let other = &tally.first_tokens[workspace];
            sum.add(other)
                .expect("both histograms have the same precision");
        }
        sum.value_at_quantile(0.95)
    };
    let goodput = tallies
        .iter()
        .map(|tally| tally.good as f64 / tally.counted_seconds());
    FloodRow {
        theatre: p95(0),
        venue: p95(1),
        goodput: goodput.sum::<f64>() / FLOOD_SEEDS as f64,
    }
}

fn flood_setup(policy: PolicyKind, seed: u64, flood: f64) -> Setup {
    let arrivals = [
        ("theatre", 0.1),
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

/// Prints results for an outage of half of the endpoints.
pub fn print_failure(seed: u64) {
    println!("\nHalf of the endpoints down from second 40 to 60; good first tokens a second");
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
        for (name, change) in OUTAGE_VARIANTS {
            let mut setup = outage_setup(PolicyKind::Managed, seed, load);
            change(&mut setup);
            print_outage(&format!("{load} {name}"), "bronzerun", &run_setup(setup));
        }
    }
}

const OUTAGE_VARIANTS: [(&str, SetupChange); 2] = [
    ("hint not heeded", |setup| setup.honors_retry_hint = false),
    ("even delays", |setup| {
        setup.backoff.delay_max = setup.backoff.delay_min;
    }),
];

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
        tally.node_retries as f64 / tally.counted_seconds(),
        tally.lost as f64 / tally.counted_seconds(),
    );
}

/// Prints results for many nodes that do not know of one another's calls.
pub fn print_fleet(seed: u64) {
    println!("\n1500 nodes with 60 endpoints of 200 slots, at 0.9 of the capacity");
    print_header("routing");
    for (name, change) in FLEET_ROUTES {
        let mut setup = fleet_setup(PolicyKind::Managed, seed, 1_500);
        change(&mut setup);
        print_row(name, "bronzerun", &run_setup(setup));
    }
    let tally = run_setup(fleet_setup(PolicyKind::Plain, seed, 1_500));
    print_row("round robin", "plain", &tally);
}

const FLEET_ROUTES: [(&str, SetupChange); 3] = [
    ("defaults", |_| {}),
    ("no random cost", |setup| {
        setup.routes.jitter_cost = Duration::ZERO
    }),
    ("best of all", |setup| {
        setup.routes.jitter_cost = Duration::ZERO;
        setup.routes.random_choices = 60;
    }),
];

fn fleet_setup(policy: PolicyKind, seed: u64, nodes: usize) -> Setup {
    Setup {
        nodes,
        endpoints: 60,
        slots: 200,
        warm_up_end: ClockTime::from_millis(8_000),
        end: ClockTime::from_millis(16_000),
        ..Setup::new(policy, seed, 0.9)
    }
}

/// Prints results for other settings than the defaults.
pub fn print_variants(seed: u64) {
    println!("\nVariants; goodput a second and first-token p95 in ms");
    println!(
        "{:<18} {:>22} {:>22} {:>23} {:>23} {:>23}",
        "variant", "load 0.8, peak", "load 1.5, peak", "flood 0.2", "flood 0.5", "flood 3"
    );
    for (name, change) in VARIANTS {
        let apply_variant = |mut setup: Setup| {
            change(&mut setup);
            setup
        };
        let kind = PolicyKind::Managed;
        print!("{name:<18}");
        for load in [0.8, 1.5] {
            let tally = run_setup(apply_variant(Setup::new(kind, seed, load)));
            let goodput = tally.good as f64 / tally.counted_seconds();
            print!(
                " {goodput:>8.1} {:>6} {:>6.2}",
                tally.first_token_quantile(0.95),
                tally.peak
            );
        }
        for flood in [0.2, 0.5, 3.0] {
            let row = run_flood(seed, |seed| apply_variant(flood_setup(kind, seed, flood)));
            print!(" {:>9.1} {:>6} {:>6}", row.goodput, row.theatre, row.venue);
        }
        println!();
    }
}

type SetupChange = fn(&mut Setup);

const VARIANTS: [(&str, SetupChange); 10] = [
    ("defaults", |_| {}),
    ("no reserve", |setup| setup.limits.reserve_burst = 0.0),
    ("reserve burst 1.5", |setup| {
        setup.limits.reserve_burst = 1.5
    }),
    ("flood factor 1.2", |setup| setup.limits.flood_factor = 1.2),
    ("flood factor 9", |setup| setup.limits.flood_factor = 9.0),
    ("even weight 1", |setup| setup.limits.even_weight = 1.0),
    ("burst factor 2", |setup| setup.limits.burst_factor = 2.0),
    ("no random cost", |setup| {
        setup.routes.jitter_cost = Duration::ZERO
    }),
    ("load cost 0.2 s", |setup| {
        setup.routes.load_cost = Duration::from_millis(200)
    }),
    ("no affinity", |setup| setup.routes.affinity_choices = 0),
];
