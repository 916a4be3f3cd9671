//! Evidence and verdicts about requests and parts of prompts that crash servers.

mod begun;
mod differences;
mod evidence;
mod parts;
mod requests;
mod support;
