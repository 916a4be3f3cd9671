//! Queries that only read the relay's state.

mod admitted;
mod choose;
mod counts;
mod domain_cost;
mod limited;
mod spread;

pub(crate) use admitted::admission_rank;
pub(crate) use choose::choose_target;
pub use counts::{
    attempt_of, is_evacuated, is_repeatable, latest_attempt, local_counts, may_send, model_load,
    model_rates, open_address, target_of, total_counts,
};
pub(crate) use limited::{cold_count, evacuated_count, limited_retry_delay, passed_over_count};
