//! Tests of the event loop and the encodings, without network.

mod bandwidth;
mod config_notices;
mod cut_off;
mod deadly;
mod events;
mod feed;
mod hubs;
mod large_configs;
mod leaving;
mod limits;
mod link_bytes;
mod messages;
mod network;
mod new_owner;
mod node;
mod odd_entries;
mod outdated_config;
mod owner_loss;
mod quarantine;
mod restored_store;
mod silent_engines;
mod silent_links;
mod silent_servers;
mod silent_store;
mod store_away;
mod support;
