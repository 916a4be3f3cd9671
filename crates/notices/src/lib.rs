//! What servers announce about themselves in their responses.
//!
//! A server that leaves says so; one that turns a request away may say for how long it wants
//! nothing from that node. Both hold until the server starts anew, the second only at the node
//! that heard it.
//!
//! A server in need names a limit: the requests a second that it takes from all nodes together.
//! Nodes tell one another what they heard, so the latest announcement prevails at all of them,
//! and a node that has sent the server nothing yet knows it too.
//!
//! Each node takes a share of the limit, in proportion to its part of all requests. The shares
//! of all nodes sum up to one, so the limit holds whatever their number. A share is turned into
//! single turns to send: the nodes' turns are staggered, and an unused turn ends after a second.
//! So the turns of hundreds of nodes, each of which has far less than one a second, never add up
//! to more than the limit allows in a second.
//!
//! However many servers announce something, a message to other nodes has a bounded number of
//! announcements: those that were told least often go first.
//!
//! A server that is cold takes few requests from all nodes together, too. Its entry in the store
//! says so, and only a few nodes send to it meanwhile; see [`ColdState`] and [`ColdWindow`].
//!
//! Beside these, what the platform's store says of servers that have left: [`DepartureState`].
//!
//! [`commands`] change a [`NoticeState`]; [`queries`] only read it.

mod allowance;
mod cold;
mod departures;
mod notice;
mod state;

pub mod commands;
pub mod queries;

pub use cold::{ColdCeiling, ColdReading, ColdSource, ColdState, ColdWindow, select_senders};
pub use departures::{Departure, DepartureState};
pub use notice::{
    LeavingReport, LimitChange, LimitReport, NoticeChange, NoticeReports, ReportScope, RequestRate,
    ServerNotice, ServerRun,
};
pub use state::{ColdLimit, NodeShare, NoticeState};
