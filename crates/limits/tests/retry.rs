//! Retry budgets and the delays between attempts.

mod support;

use base::prelude::*;
use limits::commands::{claim_retry, record_request};
use limits::{
    BackoffSettings, BudgetSettings, CallIdempotency, IdempotentCall, RetryBackoff, RetryBudget,
    RetryOutcome,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use rand::SeedableRng;
use rand::rngs::StdRng;
use support::{at, service};

const SEED: u64 = 20_261_204;

fn idempotent() -> IdempotentCall {
    IdempotentCall::new(CallId(1), CallIdempotency::Idempotent).expect("it is idempotent")
}

#[test]
fn a_non_idempotent_call_has_no_proof() {
    assert_eq!(
        IdempotentCall::new(CallId(1), CallIdempotency::NonIdempotent),
        None
    );
}

#[test]
fn retries_stay_within_their_share_of_recent_requests() {
    println!("seed {SEED}");
    let settings = BudgetSettings::default();
    let recent = |events: &[u64], now: u64, span: u64| {
        events.iter().filter(|&&event| event + span > now).count()
    };
    let steps = prop::collection::vec((0..400_u64, 0..4_u32), 1..400);
    let mut runner = TestRunner::new(Config {
        cases: 200,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    });
    let verdict = runner.run(&steps, |steps| {
        let mut budget = RetryBudget::new(settings.clone());
        let (mut now, mut requests, mut retries) = (0, Vec::new(), Vec::new());
        for (gap, claims) in steps {
            now += gap;
            record_request(&mut budget, &service(), at(now));
            requests.push(now);
            for _ in 0..claims {
                let outcome = claim_retry(&mut budget, &service(), idempotent(), at(now));
                if outcome == RetryOutcome::Exhausted {
                    continue;
                }
                retries.push(now);
                let share = recent(&requests, now, 10_000) as f64 * settings.retry_share;
                let bound = share.max(f64::from(settings.retry_floor));
                let used = recent(&retries, now, 9_000);
                prop_assert!(used as f64 <= bound, "{used} retries above {bound}");
            }
        }
        Ok(())
    });
    verdict.expect("the budget is never exceeded");
}

#[test]
fn delays_differ_stay_in_bounds_and_respect_the_deadline() {
    let settings = BackoffSettings::default();
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut firsts = std::collections::BTreeSet::new();
    for _ in 0..100 {
        let mut plan = RetryBackoff::new(settings.clone(), at(60_000));
        let mut now = at(0);
        let mut last = settings.delay_min;
        while let Some(due) = plan.next_attempt(&mut rng, now) {
            let delay = due.since(now);
            assert!(delay >= settings.delay_min && delay <= settings.delay_max);
            assert!(delay <= last * settings.growth);
            assert!(due < at(60_000));
            if now == at(0) {
                firsts.insert(due);
            }
            last = delay;
            now = due;
        }
    }
    assert!(firsts.len() > 90, "first delays fall together");
}
