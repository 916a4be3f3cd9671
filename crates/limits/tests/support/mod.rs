//! Builders shared by the tests of admission.
#![allow(dead_code)]

use std::collections::BTreeMap;

use base::prelude::*;
use limits::commands::{set_capacity, set_workspaces};
use limits::{AdmissionRequest, AdmissionState, CallPriority, LimitSettings, WorkspaceLimits};
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Service that all tests call.
pub fn service() -> ServiceName {
    ServiceName::new("fogas-llm").expect("a good name")
}

/// Workspace by name.
pub fn workspace(name: &str) -> WorkspaceName {
    WorkspaceName::new(name).expect("a good name")
}

/// Instant so many milliseconds after the start.
pub fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

/// Usual call with a deadline in milliseconds.
pub fn request(call: u64, owner: &str, deadline: u64) -> AdmissionRequest {
    AdmissionRequest {
        call: CallId(call),
        workspace: workspace(owner),
        service: service(),
        priority: CallPriority::Normal,
        deadline: at(deadline),
        cost: 1,
    }
}

/// State with slots and workspaces of the given shares.
pub fn state(slots: usize, shares: &[(&str, u32)], settings: LimitSettings) -> AdmissionState {
    let mut state = AdmissionState::new(settings, StdRng::seed_from_u64(1));
    let shares: BTreeMap<_, _> = shares
        .iter()
        .map(|&(name, share)| (workspace(name), limits_of(share, 1_000)))
        .collect();
    set_workspaces(&mut state, shares, at(0));
    set_capacity(&mut state, &service(), slots, at(0));
    state
}

/// Share with a call limit.
pub fn limits_of(share: u32, call_limit: usize) -> WorkspaceLimits {
    WorkspaceLimits { share, call_limit }
}
