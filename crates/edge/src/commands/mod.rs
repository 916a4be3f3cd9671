//! Commands, which change the state of the event loop.

mod calls;
mod carry;
mod cold;
mod collections;
mod departures;
mod digests;
mod distribution;
mod evacuations;
mod notices;
mod peers;
mod placement;
mod plan;
mod quarantine;
mod reach;
mod reload;
mod shared;
mod stop;
mod supply;
mod targets;

pub(crate) use calls::{arrive, check_stall, end_attempt, record_broken_attempt, record_progress};
pub(crate) use carry::{carry_attempt, record_carried_crash, record_pass_failure};
pub(crate) use cold::update_cold;
pub(crate) use collections::{apply_collection_event, expire_endpoints};
pub(crate) use digests::send_digests;
pub(crate) use distribution::send_record;
pub(crate) use evacuations::count_evacuation_skips;
pub(crate) use notices::record_notice;
pub(crate) use peers::{handle_connection, handle_message};
pub(crate) use plan::{handle_order_outcome, handle_report_outcome, plan_if_due};
pub(crate) use quarantine::{record_answer, record_whole_answer, send_evidence};
pub(crate) use reach::{handle_trial_outcome, start_trials};
pub(crate) use reload::reload;
pub(crate) use shared::{
    apply_shared_objects, handle_write_outcome, register_node, update_retry_budget,
};
pub(crate) use stop::{advance_stop, stop};
pub(crate) use supply::finish_transfer;
pub(crate) use targets::refresh_targets;
