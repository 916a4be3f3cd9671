//! Builders for the tests of admission and retries.
#![allow(dead_code)]

use std::collections::BTreeMap;

use base::prelude::*;
use limits::commands::{set_capacity, set_workspaces};
use limits::{AdmissionRequest, AdmissionState, CallPriority, LimitSettings, WorkspaceLimits};
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Service that all tests use.
pub fn service() -> ServiceName {
    ServiceName::new("fogas-llm").expect("valid name")
}

/// Workspace with this name.
pub fn workspace(name: &str) -> WorkspaceName {
    WorkspaceName::new(name).expect("valid name")
}

/// Instant by milliseconds since the start.
pub fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

/// Call of normal priority with a deadline in milliseconds.
pub fn request(call: u64, workspace_name: &str, deadline: u64) -> AdmissionRequest {
    AdmissionRequest {
        call: CallId(call),
        workspace: workspace(workspace_name),
        service: service(),
        priority: CallPriority::Normal,
        deadline: at(deadline),
        cost: 1,
    }
}

/// State with this number of slots and workspaces with these shares.
pub fn state(slots: usize, shares: &[(&str, u32)], settings: LimitSettings) -> AdmissionState {
    let mut state = AdmissionState::new(settings, StdRng::seed_from_u64(1));
    let workspaces: BTreeMap<_, _> = shares
        .iter()
        .map(|&(name, share)| (workspace(name), limits_of(share, 1_000)))
        .collect();
    set_workspaces(&mut state, workspaces, at(0));
    set_capacity(&mut state, &service(), slots, at(0));
    state
}

/// Limits of a workspace.
pub fn limits_of(share: u32, call_limit: usize) -> WorkspaceLimits {
    WorkspaceLimits { share, call_limit }
}
