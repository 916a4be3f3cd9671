//! Starts whatever is due to be read.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::prelude::*;

use crate::state::HostQuestion;
use crate::{WatchEffect, WatchState};

/// Time in which a host must answer.
const ANSWER_SPAN: Duration = Duration::from_secs(1);

/// Asks exactly these hosts from now on; new ones are asked at once.
pub fn set_polled_hosts(state: &mut WatchState, wanted: BTreeMap<HostName, SocketAddr>) {
    let questions = &mut state.questions;
    questions.retain(|host, _| wanted.contains_key(host));
    for (host, address) in wanted {
        let ask_at = ClockTime::default();
        let question = HostQuestion { address, ask_at };
        questions.entry(host).or_insert(question).address = address;
    }
}

/// Starts every read that is due.
pub fn start_due_reads(state: &mut WatchState, now: ClockTime) -> Vec<WatchEffect> {
    let mut effects = Vec::new();
    if state.document.take(now) {
        effects.push(WatchEffect::ReadDocument {
            after: state.config.in_force.version,
            deadline: now + state.times.watch_timeout,
        });
    }
    let lists = [
        (&mut state.good_sections, WatchEffect::ReadGoodSections),
        (&mut state.fabrics, WatchEffect::ReadFabrics),
        (&mut state.listed, WatchEffect::ReadHosts),
        (&mut state.drained, WatchEffect::ReadDrains),
        (&mut state.counted, WatchEffect::ReadNodes),
    ];
    for (timer, effect) in lists {
        if timer.take(now) {
            effects.push(effect);
        }
    }
    effects.extend(ask_hosts(state, now));
    effects
}

fn ask_hosts(state: &mut WatchState, now: ClockTime) -> Vec<WatchEffect> {
    let next = now + state.times.poll_interval;
    let mut effects = Vec::new();
    for (host, question) in &mut state.questions {
        if question.ask_at > now {
            continue;
        }
        question.ask_at = next;
        effects.push(WatchEffect::PollHost {
            host: host.clone(),
            address: question.address,
            deadline: now + ANSWER_SPAN,
        });
    }
    effects
}
