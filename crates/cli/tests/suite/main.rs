//! Commands and queries in a world of fakes.

mod common;
mod drain;
mod explain;
mod put;
mod reads;
