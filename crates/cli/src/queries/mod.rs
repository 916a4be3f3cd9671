//! Queries: each reads from the platform, the daemons or files and changes nothing.

pub mod check;
pub mod check_config;
pub mod evacuations;
pub mod explain;
pub mod groups;
pub mod histograms;
pub mod hosts;
pub mod lateness;
pub mod leases;
pub mod limits;
pub mod nodes;
pub mod sections;
pub mod stranded;
pub mod watch;
