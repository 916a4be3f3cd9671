//! Requests and parts of prompts that crash servers: what this node sees of them and exchanges with others.

use base::prelude::*;
use quarantine::commands::{
    expire, record_answer as clear_suspects, record_crash as report_crash, record_sent,
    record_told, renew_suspects, start_begun_call, start_call,
};
use quarantine::queries::{
    EvidenceCursor, PeerEvidence, blocking_verdict, evidence_hash, fresh_evidence,
    has_fresh_evidence, may_resend, next_evidence,
};
use quarantine::{CallSuspects, CrashEvidence, CrashSuspect, CrashVerdict, ServerCrash};
use reach::queries::is_cut_off;
use relay::{AttemptEnd, AttemptId, SentAttempt};

use crate::peer::{Digest, PeerMessage};
use crate::queries::{is_hub, sends_sums_to, uses_hubs};
use crate::{ByteRate, CarriedSuspects, EdgeEffect, EdgeState};

/// Interval between two messages with this node's latest crash reports.
const EVIDENCE_INTERVAL: Duration = Duration::from_millis(300);
/// Time with other evidence after which a node counts as one that messages didn't reach.
const EVIDENCE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Largest and smallest message about crashes.
const MAX_EVIDENCE_BYTES: usize = 8_000;
const MIN_EVIDENCE_BYTES: usize = 1_000;

/// Time until the end of the quarantine if a request or parts of its prompt are quarantined;
/// otherwise remembers the request.
pub(super) fn block_call(
    state: &mut EdgeState,
    call: CallId,
    id: &str,
    suspects: CallSuspects,
    now: ClockTime,
) -> Option<Duration> {
    if let Some(until) = find_quarantine(state, id, &suspects, now) {
        return Some(until.since(now));
    }
    start_call(&mut state.quarantine, call, suspects);
    None
}

/// Whether an attempt that another node asks this one to carry is quarantined; otherwise remembers
/// it.
pub(super) fn block_carried(
    state: &mut EdgeState,
    call: CallId,
    id: &str,
    carried: &CarriedSuspects,
    now: ClockTime,
) -> bool {
    let suspects = &carried.suspects;
    if find_quarantine(state, id, suspects, now).is_some() {
        return true;
    }
    let start = match carried.has_begun {
        true => start_begun_call,
        false => start_call,
    };
    start(&mut state.quarantine, call, suspects.clone());
    false
}

/// End of the quarantine of a request or of parts of its prompt, which this rejection renews.
fn find_quarantine(
    state: &mut EdgeState,
    id: &str,
    suspects: &CallSuspects,
    now: ClockTime,
) -> Option<ClockTime> {
    let effects = update_verdicts(state, now);
    if !effects.is_empty() {
        state.unsent_effects.extend(effects);
        state.evidence_due.get_or_insert(now);
    }
    let blocking = blocking_verdict(&state.quarantine, suspects);
    if let Some(blocked) = blocking.map(|verdict| verdict.suspects.clone()) {
        renew_suspects(&mut state.quarantine, &blocked, now);
        schedule_evidence(state, now);
    }
    let verdict = blocking_verdict(&state.quarantine, suspects)?;
    log::info!(id:% = id, digest:% = suspects.digest, suspects = suspect_names(verdict), crashes = verdict.crashes; "request is quarantined");
    Some(verdict.until)
}

/// Records that a server has begun to answer a request.
pub(crate) fn record_answer(
    state: &mut EdgeState,
    call: CallId,
    now: ClockTime,
) -> Vec<EdgeEffect> {
    let effects = log_new_verdicts(state, |state| {
        clear_suspects(&mut state.quarantine, call, now);
    });
    schedule_evidence(state, now);
    effects
}

/// Records that events of an answer arrive, which prove a request sound after a while.
pub(super) fn record_sustained_answer(
    state: &mut EdgeState,
    call: CallId,
    now: ClockTime,
) -> Vec<EdgeEffect> {
    if !quarantine::commands::record_progress(&mut state.quarantine, call, now) {
        return Vec::new();
    }
    let effects = log_new_verdicts(state, |state| {
        quarantine::commands::record_sustained_answer(&mut state.quarantine, call, now);
    });
    schedule_evidence(state, now);
    effects
}

/// Records that a request was answered completely.
pub(crate) fn record_whole_answer(
    state: &mut EdgeState,
    call: CallId,
    now: ClockTime,
) -> Vec<EdgeEffect> {
    let effects = log_new_verdicts(state, |state| {
        quarantine::commands::record_whole_answer(&mut state.quarantine, call, now);
    });
    schedule_evidence(state, now);
    effects
}

/// Reports a request and its parts whose connection broke before its answer was whole;
/// returns whether the request must not be sent to another server.
///
/// A node judges servers by its own connections to them, unless it reaches none, and by what nodes
/// that carry its attempts say of theirs. That the connection to such a node breaks says nothing
/// about the server; what that node has seen of it, it reports itself.
pub(super) fn record_crash(
    state: &mut EdgeState,
    attempt: AttemptId,
    end: AttemptEnd,
    now: ClockTime,
) -> bool {
    let call = attempt.call;
    let is_given_up = quarantine::queries::is_call_blocked(&state.quarantine, call);
    let is_direct = !state.passed.contains_key(&attempt);
    let is_crash = match end {
        AttemptEnd::Crashed => true,
        AttemptEnd::Lost | AttemptEnd::Cut => is_direct && !is_cut_off(&state.reach),
        _ => false,
    };
    // The server of an attempt that another node carried may have crashed.
    let may_be_crash = !is_direct && matches!(end, AttemptEnd::Lost | AttemptEnd::Cut);
    let sent = relay::queries::attempt_of(&state.relay, attempt);
    let Some(sent) = sent.filter(|_| is_crash || may_be_crash) else {
        return is_given_up;
    };
    if is_crash {
        report_broken_connection(state, call, &sent, now);
    }
    !may_resend(&state.quarantine, call, crash_of(&sent), now)
}

/// Reports a request of this node, or one that it carries, whose server broke its connection.
pub(super) fn report_broken_connection(
    state: &mut EdgeState,
    call: CallId,
    attempt: &SentAttempt,
    now: ClockTime,
) {
    let crash = crash_of(attempt);
    let effects = log_new_verdicts(state, |state| {
        let sent_at = attempt.sent_at;
        let reported = report_crash(&mut state.quarantine, call, crash, sent_at, now);
        if let Some((digest, stage)) = reported {
            log::info!(digest:% = digest, place:% = attempt.target, before:? = stage; "request suspected of a crash");
        }
    });
    state.unsent_effects.extend(effects);
    schedule_evidence(state, now);
}

fn crash_of(attempt: &SentAttempt) -> ServerCrash {
    ServerCrash::of(&attempt.target, attempt.incarnation, attempt.epoch)
}

/// Adds another node's evidence.
pub(super) fn merge_evidence(
    state: &mut EdgeState,
    evidence: &CrashEvidence,
    now: ClockTime,
) -> Vec<EdgeEffect> {
    let effects = log_new_verdicts(state, |state| {
        quarantine::commands::merge_evidence(&mut state.quarantine, evidence, now);
    });
    schedule_evidence(state, now);
    effects
}

/// Sends this node's latest crash reports and clearances to all hubs, if they are due; in a small
/// deployment to all nodes.
pub(crate) fn send_evidence(state: &mut EdgeState, now: ClockTime) -> Vec<EdgeEffect> {
    let is_verdict_due = (state.quarantine.verdict_due()).is_some_and(|due| due <= now);
    let verdict_effects = match is_verdict_due {
        true => update_verdicts(state, now),
        false => Vec::new(),
    };
    if state.evidence_due.is_none_or(|due| due > now) {
        return verdict_effects;
    }
    let mut effects = std::mem::take(&mut state.unsent_effects);
    effects.extend(verdict_effects);
    effects.extend(update_verdicts(state, now));
    if !has_fresh_evidence(&state.quarantine) {
        state.evidence_due = None;
        return effects;
    }
    state.evidence_due = Some(now + EVIDENCE_INTERVAL);
    let is_receiver = |node: &NodeName| !uses_hubs(state) || state.hubs.contains(node);
    let receivers = state.peers.iter().filter(|(node, _)| is_receiver(node));
    let receivers: Vec<_> = receivers.map(|(_, peer)| peer.address).collect();
    let (nodes, count) = (state.peers.len() + 1, receivers.len());
    let rate = ByteRate::of_own_evidence(state.settings.link_rate, nodes, count);
    let available = state.own_evidence_budget.available(rate, now);
    let max_bytes = available.checked_div(count).unwrap_or(0);
    let evidence = fresh_evidence(&state.quarantine, now).within(max_bytes.min(MAX_EVIDENCE_BYTES));
    if evidence.is_empty() {
        return effects;
    }
    let byte_count = evidence.byte_count() * count;
    state.own_evidence_budget.spend(byte_count, rate, now);
    record_sent(&mut state.quarantine, &evidence, now);
    let messages = receivers.into_iter();
    effects.extend(messages.map(|to| evidence_message(to, evidence.clone())));
    effects
}

/// Sends what every node must know to a node whose digest shows that it knows something else.
pub(super) fn send_watched_evidence(
    state: &mut EdgeState,
    digest: &Digest,
    now: ClockTime,
) -> Vec<EdgeEffect> {
    if !is_hub(state) || !is_evidence_receiver(state, &digest.from, Some(digest)) {
        return Vec::new();
    }
    let evidence_hash = quarantine_hash(state);
    let Some(peer) = state.peers.get_mut(&digest.from) else {
        return Vec::new();
    };
    let known_before = (peer.digest.as_ref()).map_or(0, |known| known.quarantine_hash);
    if digest.quarantine_hash == 0 && known_before != 0 {
        // It has started anew.
        peer.evidence_cursor = EvidenceCursor::default();
    }
    let peer_evidence = if digest.quarantine_hash == evidence_hash {
        peer.other_evidence_since = None;
        PeerEvidence::Same
    } else {
        let since = *peer.other_evidence_since.get_or_insert(now);
        match now.since(since) >= EVIDENCE_TIMEOUT {
            true => PeerEvidence::StillOther,
            false => PeerEvidence::Other,
        }
    };
    let is_current =
        peer_evidence == PeerEvidence::Same && peer.evidence_cursor.is_current(&state.quarantine);
    if is_current || peer.evidence_due > now {
        return Vec::new();
    }
    peer.evidence_due = now + EVIDENCE_INTERVAL;
    let (address, cursor) = (peer.address, peer.evidence_cursor.clone());
    let rate = ByteRate::of_watched_evidence(state.settings.link_rate);
    let budget = state.watched_evidence_budget.available(rate, now);
    if budget < MIN_EVIDENCE_BYTES {
        return Vec::new();
    }
    let receivers = count_evidence_receivers(state);
    let max_bytes = (rate.burst as usize / receivers.max(1))
        .clamp(MIN_EVIDENCE_BYTES, MAX_EVIDENCE_BYTES)
        .min(budget);
    let (evidence, cursor) = next_evidence(&state.quarantine, &cursor, peer_evidence, max_bytes);
    let byte_count = evidence.byte_count();
    if let Some(peer) = state.peers.get_mut(&digest.from) {
        peer.evidence_cursor = cursor;
        // All receivers together get no more than the rate.
        let pause = rate.time_for(byte_count * receivers);
        peer.evidence_due = now + pause.max(EVIDENCE_INTERVAL);
    }
    if evidence.is_empty() {
        return Vec::new();
    }
    state.watched_evidence_budget.spend(byte_count, rate, now);
    record_told(&mut state.quarantine, &evidence);
    vec![evidence_message(address, evidence)]
}

/// Whether this hub tells a node what all must know of crashes.
fn is_evidence_receiver(state: &EdgeState, node: &NodeName, digest: Option<&Digest>) -> bool {
    // A node that was cut off is no hub for a while, but hears of it at once.
    !uses_hubs(state) || state.hubs.contains(node) || sends_sums_to(state, node, digest)
}

fn count_evidence_receivers(state: &EdgeState) -> usize {
    let peers = state.peers.iter();
    let receivers =
        peers.filter(|(node, peer)| is_evidence_receiver(state, node, peer.digest.as_ref()));
    receivers.count()
}

/// Hash of the crash reports that every node must know.
pub(super) fn quarantine_hash(state: &EdgeState) -> u64 {
    evidence_hash(&state.quarantine)
}

fn evidence_message(to: std::net::SocketAddr, evidence: CrashEvidence) -> EdgeEffect {
    EdgeEffect::Send {
        to,
        message: PeerMessage::Crashes(Box::new(evidence)),
    }
}

/// Makes the latest evidence be sent at once, unless it was sent a moment ago.
fn schedule_evidence(state: &mut EdgeState, now: ClockTime) {
    if state.evidence_due.is_none() && has_fresh_evidence(&state.quarantine) {
        state.evidence_due = Some(now);
    }
}

/// Forgets what has expired and makes the verdicts that are due.
fn update_verdicts(state: &mut EdgeState, now: ClockTime) -> Vec<EdgeEffect> {
    log_new_verdicts(state, |state| expire(&mut state.quarantine, now))
}

/// Logs and counts the verdicts that a change adds, and logs those that it ends.
fn log_new_verdicts(state: &mut EdgeState, change: impl FnOnce(&mut EdgeState)) -> Vec<EdgeEffect> {
    change(state);
    if state.quarantine.verdict_changes() == state.logged_verdict_changes {
        return Vec::new();
    }
    state.logged_verdict_changes = state.quarantine.verdict_changes();
    let after = state.quarantine.verdicts().to_vec();
    let before = std::mem::replace(&mut state.logged_verdicts, after);
    let after = &state.logged_verdicts;
    let is_in = |verdicts: &[CrashVerdict], verdict: &CrashVerdict| {
        verdicts
            .iter()
            .any(|other| other.suspects == verdict.suspects)
    };
    let added = after.iter().filter(|verdict| !is_in(&before, verdict));
    let (mut parts, mut requests) = (0, 0);
    for verdict in added {
        let is_request = |suspect: &&CrashSuspect| matches!(suspect, CrashSuspect::Request(_));
        let count = verdict.suspects.iter().filter(is_request).count();
        requests += count;
        parts += verdict.suspects.len() - count;
        log::warn!(suspects = suspect_names(verdict), crashes = verdict.crashes; "quarantined");
    }
    for verdict in before.iter().filter(|verdict| !is_in(after, verdict)) {
        log::info!(suspects = suspect_names(verdict); "released from quarantine");
    }
    let mut effects = Vec::new();
    if parts > 0 {
        effects.push(EdgeEffect::CountQuarantinedParts(parts));
    }
    if requests > 0 {
        effects.push(EdgeEffect::CountQuarantinedRequests(requests));
    }
    effects
}

fn suspect_names(verdict: &CrashVerdict) -> String {
    let names: Vec<_> = verdict.suspects.iter().map(ToString::to_string).collect();
    names.join(",")
}
