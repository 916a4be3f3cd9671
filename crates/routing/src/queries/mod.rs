//! Readings of routing state.

mod choose;
mod load;
mod score;

pub use choose::{RouteChoice, RouteQuery, choose};
pub use load::{ServiceLoad, count_local, find_target, sum_load};
