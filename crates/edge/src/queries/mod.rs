//! Queries, which only inspect the state of the event loop.

mod cold;
mod config_age;
mod deadline;
mod demand;
mod evacuations;
mod hubs;
mod owner;
mod pass;
mod repeat;
mod share;
mod status;
mod supply;
mod targets;

pub(crate) use cold::{
    cold_hosts, cold_limits, cold_start, has_cold_limits, keep_cold_ends, longest_cold_start,
};
pub(crate) use config_age::{ConfigAge, admit, config_age, content_wait};
pub use deadline::next_deadline;
pub(crate) use deadline::next_plan;
pub(crate) use demand::{local_demand, total_demand};
pub(crate) use evacuations::{may_send, sent_evacuations, watches_evacuations};
pub(crate) use hubs::{
    choose_summing_hub, complete_targets_version, has_able_hub, is_hub, lists_endpoints,
    receives_targets, select_hubs, sends_sums_to, uses_hubs,
};
pub(crate) use owner::{
    awaits_list, can_own, heard_contact, is_cut_off_alone, is_peer_alive, is_prober, owner,
    store_contact,
};
pub(crate) use pass::pass_candidates;
pub(crate) use repeat::{is_once_only, may_repeat, may_send_attempt};
pub(crate) use share::{local_weight, node_share, total_weight};
pub(crate) use status::startup_wait;
pub use status::status;
pub(crate) use supply::supply_delay;
pub(crate) use targets::{NewerPart, current_targets, lacks_targets, newer_part};
pub use targets::{TargetsSource, choose_source, merge_targets};
