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
    IdempotentCall::new(CallId(1), CallIdempotency::Idempotent).expect("the call is idempotent")
}

#[test]
fn a_non_idempotent_call_cannot_claim_a_retry() {
    assert_eq!(
        IdempotentCall::new(CallId(1), CallIdempotency::NonIdempotent),
        None
    );
}

#[test]
fn retries_stay_within_their_share_of_recent_requests() {
    println!("seed {SEED}");
    let settings = BudgetSettings::default();
    let recent = |events: &[u64], now: u64, window_ms: u64| {
        events
            .iter()
            .filter(|&&event| event + window_ms > now)
            .count()
    };
    let steps = prop::collection::vec((0..400_u64, 0..4_u32), 1..400);
    let mut runner = TestRunner::new(Config {
        cases: 200,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    });
    let result = runner.run(&steps, |steps| {
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
    result.expect("the retry budget was exceeded");
}

#[test]
fn delays_differ_and_stay_within_their_limits_and_the_deadline() {
    let settings = BackoffSettings::default();
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut first_attempts = std::collections::BTreeSet::new();
    for _ in 0..100 {
        let mut backoff = RetryBackoff::new(settings.clone(), at(60_000));
        let mut now = at(0);
        let mut last = settings.delay_min;
        while let Some(due) = backoff.next_attempt(&mut rng, now) {
            let delay = due.since(now);
            assert!(delay >= settings.delay_min && delay <= settings.delay_max);
            assert!(delay <= last * settings.growth_factor);
            assert!(due < at(60_000));
            if now == at(0) {
                first_attempts.insert(due);
            }
            last = delay;
            now = due;
        }
    }
    assert!(first_attempts.len() > 90, "first delays coincide");
}
