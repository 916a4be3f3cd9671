//! Checks the daemons' invariants against the requests, responses, keys and
//! groups that clients and servers observe.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::time::{Duration, Instant};

use crate::exchanges::{CopyEvidence, ExchangeLog, ExchangeStep};

/// Time after the revocation of a key during which daemons may still accept it.
const REVOCATION_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after a server's announcement that it is leaving during which daemons may still use it.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after a server first named its limit from which the limit must hold.
const LIMIT_GRACE: Duration = Duration::from_secs(3);
/// Time after a server first named its limit before which arrivals are not counted.
const LIMIT_DELAY: Duration = Duration::from_millis(500);
/// Window over which the arrivals at a limited server are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Arrivals allowed in a window, as a multiple of what the limit allows.
const LIMIT_TOLERANCE: f64 = 1.5;
/// Arrivals allowed in a window besides.
const LIMIT_SLACK: f64 = 5.0;

/// Time after a server first turned a request away from which few may follow.
const TURNED_AWAY_DELAY: Duration = Duration::from_millis(500);
/// Requests that may follow from each daemon while the server turns all away.
const TURNED_AWAY_SLACK: usize = 2;

/// Crashes of servers by one request after which few more may follow.
const DEADLY_CRASHES: usize = 3;
/// Time after the last of them until every daemon rejects the request.
const DEADLY_TIMEOUT: Duration = Duration::from_secs(2);
/// Runs of the request that are allowed after that time.
const DEADLY_SLACK: usize = 3;

/// Requests at partitioned daemons that may fail, besides one in fifty.
const CUT_SLACK: u32 = 10;
/// Part of the others' success that partitioned daemons must have.
const MIN_CUT_RATIO: f64 = 2.0 / 3.0;

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Executed at most once.
    OnceOnly,
    /// Stream that may be resumed at another server.
    Stream,
    /// Executed any number of times.
    Idempotent,
}

/// Rule about the answer to a request and its runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AnswerRule {
    /// A refusal means that the request has not run and never will.
    Refused,
    /// A request that may run once runs once.
    Twice,
    /// A client gets the whole answer of its own request, or a failure of the node's own.
    Mixed,
}

impl fmt::Display for AnswerRule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Refused => "REFUSED",
            Self::Twice => "TWICE",
            Self::Mixed => "MIXED",
        })
    }
}

/// What was judged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JudgedTally {
    /// Requests that may run once.
    pub once_only: u32,
    /// Those of them that aren't judged, as their route changed its kind.
    pub changing: u32,
    /// Runs of the judged ones.
    pub runs: u32,
    /// Refusals that their clients got.
    pub refusals: u32,
    /// Refusals and other failures that servers wrote to them.
    pub server_refusals: u32,
}

/// Request that a client has sent.
#[derive(Clone, Debug)]
pub(crate) struct RequestEntry {
    pub kind: RequestKind,
    pub tenant: String,
    pub path: String,
    runs: u32,
    /// Runs since its client sent it last.
    runs_of_attempt: u32,
    /// Whether the last response that its client received reports the request as not run.
    is_reported_not_run: bool,
    /// Whether its client got an answer or none, and waits no more.
    is_ended: bool,
    /// Whether the kind of its route changes while it is under way.
    is_excused: bool,
}

impl RequestEntry {
    /// Whether its runs are judged.
    fn is_judged(&self) -> bool {
        self.kind == RequestKind::OnceOnly && !self.is_excused
    }
}

/// Numbers of requests by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Answered completely.
    pub served: u32,
    /// Refused as not run.
    pub refused: u32,
    /// Lost, cut off or answered wrongly, with a valid key; requests whose key was rejected are not
    /// counted.
    pub failed: u32,
}

/// First tries while some daemons were partitioned from all servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CutTries {
    /// At the partitioned daemons: all, and those that were served.
    pub at_cut: (u32, u32),
    /// At the others.
    pub elsewhere: (u32, u32),
}

/// Observations of requests that may run once only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PromiseTally {
    /// Requests that clients sent, each counted once.
    pub requests: u32,
    /// Responses that report one as not run.
    pub refusals: u32,
    /// Runs at servers.
    pub runs: u32,
    /// Refusals after a run in the same attempt.
    pub refused_after_run: u32,
    /// Runs after a refusal, before the next attempt.
    pub run_after_refusal: u32,
    /// Runs after the first one of a request.
    pub repeated_runs: u32,
}

/// Arrivals at a server since it first named a limit.
#[derive(Debug)]
struct LimitedServer {
    named_at: Instant,
    arrivals: Vec<Instant>,
}

/// Requests at a server since it first turned one away.
#[derive(Debug)]
struct BusyServer {
    turned_away_at: Instant,
    later: usize,
}

/// Observations of clients and servers, and the violations found in them.
#[derive(Debug, Default)]
pub struct InvariantChecker {
    requests: HashMap<String, RequestEntry>,
    /// Members that became ready: group, epoch, member list, server id.
    ready: BTreeSet<(String, u64, Vec<String>, String)>,
    /// API keys: when they were issued, and when they were revoked.
    keys: BTreeMap<String, (Instant, Option<Instant>)>,
    /// Servers that have named a limit, by id.
    limited: HashMap<String, LimitedServer>,
    /// Servers that turn all requests away, by id.
    busy: HashMap<String, BusyServer>,
    /// Instants at which servers began to run the request that crashes them.
    deadly_runs: Vec<Instant>,
    /// Instant until which runs of a request that crashes servers are not counted.
    deadly_checks_paused_until: Option<Instant>,
    /// When servers announced in the store that they are leaving, by id.
    drained: HashMap<String, Instant>,
    /// Announcements before this instant are not checked.
    drains_checked_from: Option<Instant>,
    /// Streams that were sent before this instant may be cut.
    cuts_checked_from: Option<Instant>,
    cut_tries: CutTries,
    /// Number of daemons.
    daemons: usize,
    /// Limits are checked over windows that begin after this instant.
    limits_checked_from: Option<Instant>,
    tallies: BTreeMap<u64, Tally>,
    promises: PromiseTally,
    violations: Vec<String>,
    /// Ids of requests that ran twice, or though they were reported as not run.
    broken_requests: BTreeSet<String>,
    /// Rules that were broken, with the requests.
    broken_rules: BTreeSet<(AnswerRule, String)>,
    /// Exchanges of servers and clients.
    pub(crate) exchanges: ExchangeLog,
}

impl InvariantChecker {
    /// Creates a checker of this number of daemons.
    pub fn for_daemons(daemons: usize) -> Self {
        Self {
            daemons,
            ..Self::default()
        }
    }

    /// Records an invariant violation.
    pub(crate) fn record_violation(&mut self, text: String) {
        self.violations.push(text);
    }

    /// Invariant violations found so far.
    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    /// Records that a key was issued.
    pub fn issue_key(&mut self, key: &str, now: Instant) {
        self.keys.insert(key.to_owned(), (now, None));
    }

    /// Records that a key was revoked.
    pub fn revoke_key(&mut self, key: &str, now: Instant) {
        if let Some((_, revoked)) = self.keys.get_mut(key) {
            *revoked = Some(now);
        }
    }

    /// Whether a key was revoked longer ago than daemons may take to reject it.
    pub fn is_revocation_due(&self, key: &str, now: Instant) -> bool {
        let revoked = self.keys.get(key).and_then(|(_, revoked)| *revoked);
        revoked.is_some_and(|at| now.duration_since(at) > REVOCATION_TIMEOUT)
    }

    /// Whether a key was issued and not revoked.
    pub fn is_valid(&self, key: &str) -> bool {
        let key = self.keys.get(key);
        key.is_some_and(|(_, revoked)| revoked.is_none())
    }

    /// Whether a key was issued by an instant and not revoked since.
    pub fn is_valid_since(&self, key: &str, at: Instant) -> bool {
        let key = self.keys.get(key);
        key.is_some_and(|(issued, revoked)| revoked.is_none() && *issued <= at)
    }

    /// Records a request before it is sent.
    pub fn record_request(&mut self, id: &str, kind: RequestKind, tenant: &str, path: &str) {
        self.promises.requests += u32::from(kind == RequestKind::OnceOnly);
        let entry = RequestEntry {
            kind,
            tenant: tenant.to_owned(),
            path: path.to_owned(),
            runs: 0,
            runs_of_attempt: 0,
            is_reported_not_run: false,
            is_ended: false,
            is_excused: false,
        };
        self.requests.insert(id.to_owned(), entry);
    }

    /// Records that a client sends a request again under the same id, once it was refused.
    pub fn record_repeat(&mut self, id: &str) {
        if let Some(entry) = self.requests.get_mut(id) {
            entry.runs_of_attempt = 0;
            entry.is_reported_not_run = false;
        }
    }

    /// Ids of requests that ran twice, or though they were reported as not run, and what was
    /// written once more on their connections.
    pub fn broken_requests(&self) -> Vec<(&str, CopyEvidence)> {
        let ids = self.broken_requests.iter();
        ids.map(|id| (id.as_str(), self.exchanges.evidence(id)))
            .collect()
    }

    /// Records that a server starts to run a request, and checks what it received;
    /// `has_key` is set if it contained the client's API key.
    pub fn record_run(&mut self, id: &str, tenant: &str, path: &str, has_key: bool) {
        self.exchanges.record(id, ExchangeStep::Run);
        let Some(entry) = self.requests.get_mut(id) else {
            self.violations
                .push(format!("request {id} was run, but no client has sent it"));
            return;
        };
        entry.runs += 1;
        entry.runs_of_attempt += 1;
        self.promises.runs += u32::from(entry.kind == RequestKind::OnceOnly);
        let mut violations_found = Vec::new();
        if entry.tenant != tenant || has_key {
            violations_found.push(format!(
                "request {id} arrived with tenant {tenant}, with its API key: {has_key}"
            ));
        }
        if entry.path != path {
            violations_found.push(format!("request {id} arrived with path {path}"));
        }
        if entry.is_judged() && entry.runs > 1 {
            self.promises.repeated_runs += 1;
            self.broken_requests.insert(id.to_owned());
            self.broken_rules.insert((AnswerRule::Twice, id.to_owned()));
            violations_found.push(format!("request {id} was run {} times", entry.runs));
        }
        if entry.is_judged() && entry.is_reported_not_run {
            self.promises.run_after_refusal += 1;
            self.broken_requests.insert(id.to_owned());
            self.broken_rules
                .insert((AnswerRule::Refused, id.to_owned()));
            violations_found.push(format!(
                "request {id} was run after its client got a response that reports it as not run"
            ));
        }
        self.violations.extend(violations_found);
    }

    /// Records that a client received a response that reports its request as not run.
    pub fn record_not_run(&mut self, id: &str, status: u16) {
        let Some(entry) = self.requests.get_mut(id) else {
            return;
        };
        entry.is_reported_not_run = true;
        self.promises.refusals += u32::from(entry.kind == RequestKind::OnceOnly);
        if entry.is_judged() && entry.runs_of_attempt > 0 {
            self.promises.refused_after_run += 1;
            self.broken_requests.insert(id.to_owned());
            self.broken_rules
                .insert((AnswerRule::Refused, id.to_owned()));
            self.violations.push(format!(
                "request {id} was run, but its client got status {status}, which reports it as not run"
            ));
        }
    }

    /// What was observed of requests that may run once only.
    pub fn promises(&self) -> PromiseTally {
        self.promises
    }

    /// Records that the client of a request waits for it no more.
    pub(crate) fn record_end(&mut self, id: &str) {
        if let Some(entry) = self.requests.get_mut(id) {
            entry.is_ended = true;
        }
    }

    /// Excuses a request whose route changes its kind.
    pub fn excuse(&mut self, id: &str) {
        if let Some(entry) = self.requests.get_mut(id) {
            entry.is_excused = true;
        }
    }

    /// Excuses the requests under way whose paths begin like this.
    pub fn excuse_under_way(&mut self, prefix: &str) {
        for entry in self.requests.values_mut() {
            entry.is_excused |= !entry.is_ended && entry.path.starts_with(prefix);
        }
    }

    /// Records that a client got an answer that isn't its own, or not what its server wrote.
    pub(crate) fn record_mixed(&mut self, id: &str, text: &str) {
        self.broken_requests.insert(id.to_owned());
        self.broken_rules.insert((AnswerRule::Mixed, id.to_owned()));
        self.violations.push(format!("request {id} {text}"));
    }

    /// Rules about answers that were broken, and the requests.
    pub fn broken_rules(&self) -> &BTreeSet<(AnswerRule, String)> {
        &self.broken_rules
    }

    /// Numbers of what was judged.
    pub fn judged(&self) -> JudgedTally {
        let mut tally = JudgedTally::default();
        for entry in self.requests.values() {
            if entry.kind != RequestKind::OnceOnly {
                continue;
            }
            tally.once_only += 1;
            if entry.is_excused {
                tally.changing += 1;
                continue;
            }
            tally.runs += entry.runs;
            tally.refusals += u32::from(entry.is_reported_not_run);
        }
        let is_judged = |id: &str| (self.requests.get(id)).is_some_and(RequestEntry::is_judged);
        tally.server_refusals = self.exchanges.failures_written(is_judged);
        tally
    }

    /// Counts the outcome of a request under its second since the start.
    pub(crate) fn count_outcome(&mut self, second: u64, increment: impl FnOnce(&mut Tally)) {
        increment(self.tallies.entry(second).or_default());
    }

    /// Outcomes of the requests that ended in or after a second.
    pub fn tally_from(&self, second: u64) -> Tally {
        let mut sum = Tally::default();
        for tally in self.tallies.range(second..).map(|(_, tally)| tally) {
            sum.served += tally.served;
            sum.refused += tally.refused;
            sum.failed += tally.failed;
        }
        sum
    }

    /// Stops the checks of limits for windows that begin before an instant.
    pub fn pause_limit_checks(&mut self, until: Instant) {
        self.limits_checked_from = Some(until);
    }

    /// Stops the checks of servers that announced their leaving before an instant.
    pub fn pause_drain_checks(&mut self, until: Instant) {
        self.drains_checked_from = self.drains_checked_from.max(Some(until));
    }

    /// Excuses streams that are cut and were sent before an instant.
    pub fn pause_cut_checks(&mut self, until: Instant) {
        self.cuts_checked_from = self.cuts_checked_from.max(Some(until));
    }

    /// Records that a stream ended without a complete answer before its client's deadline.
    pub fn record_cut_stream(&mut self, id: &str, sent_at: Instant, now: Instant) {
        if self.cuts_checked_from.is_none_or(|from| sent_at >= from) {
            let elapsed = now.duration_since(sent_at).as_millis();
            self.violations.push(format!(
                "stream {id} was cut after {elapsed} ms though no server had failed"
            ));
        }
    }

    /// Records that a server has announced in the store that it is leaving.
    pub fn record_drain(&mut self, id: &str, now: Instant) {
        self.drained.insert(id.to_owned(), now);
    }

    /// Records that a request arrived at a server, and checks that it isn't leaving.
    pub fn record_drained_arrival(&mut self, id: &str, now: Instant) {
        let Some(announced_at) = self.drained.get(id) else {
            return;
        };
        let is_disturbed = (self.drains_checked_from).is_some_and(|from| *announced_at < from);
        let elapsed = now.duration_since(*announced_at);
        if !is_disturbed && elapsed > DRAIN_TIMEOUT {
            self.violations.push(format!(
                "server {id} got a request {} ms after it had announced that it is leaving",
                elapsed.as_millis()
            ));
        }
    }

    /// Records that a request arrived at a server, and checks the limit that the server names.
    pub fn record_arrival(&mut self, id: &str, limit: Option<f64>, now: Instant) {
        let Some(limit) = limit else {
            self.limited.remove(id);
            return;
        };
        let server = self
            .limited
            .entry(id.to_owned())
            .or_insert_with(|| LimitedServer {
                named_at: now,
                arrivals: Vec::new(),
            });
        if now.duration_since(server.named_at) < LIMIT_DELAY {
            return;
        }
        server.arrivals.push(now);
        server
            .arrivals
            .retain(|at| now.duration_since(*at) <= LIMIT_WINDOW);
        let is_disturbed = self
            .limits_checked_from
            .is_some_and(|from| now < from + LIMIT_WINDOW);
        let allowed = LIMIT_TOLERANCE * LIMIT_WINDOW.as_secs_f64() * limit + LIMIT_SLACK;
        let count = server.arrivals.len();
        if now.duration_since(server.named_at) >= LIMIT_GRACE
            && !is_disturbed
            && count as f64 > allowed
        {
            self.violations.push(format!(
                "server {id} named a limit of {limit:.2} a second and got {count} requests in four seconds"
            ));
        }
    }

    /// Records that a request arrived at a server that turns all away, or that it turns none away
    /// any more.
    pub fn record_turned_away(&mut self, id: &str, is_busy: bool, now: Instant) {
        if !is_busy {
            self.busy.remove(id);
            return;
        }
        let server = self.busy.entry(id.to_owned()).or_insert(BusyServer {
            turned_away_at: now,
            later: 0,
        });
        if now.duration_since(server.turned_away_at) < TURNED_AWAY_DELAY {
            return;
        }
        server.later += 1;
        let is_disturbed = self
            .limits_checked_from
            .is_some_and(|from| now < from + LIMIT_WINDOW);
        if !is_disturbed && server.later > TURNED_AWAY_SLACK * self.daemons.max(1) {
            self.violations.push(format!(
                "server {id} got {} requests that it had said it doesn't want",
                server.later
            ));
        }
    }

    /// Records the outcome of a request while some daemon was partitioned from all servers.
    pub fn record_try_in_cut(&mut self, is_at_cut: bool, is_served: bool) {
        let tries = if is_at_cut {
            &mut self.cut_tries.at_cut
        } else {
            &mut self.cut_tries.elsewhere
        };
        tries.0 += 1;
        tries.1 += u32::from(is_served);
    }

    /// Requests while some daemon was partitioned from all servers.
    pub fn cut_tries(&self) -> CutTries {
        self.cut_tries
    }

    /// Checks that callers of partitioned daemons were served nearly as often as others.
    pub fn check_cuts(&mut self) {
        let CutTries { at_cut, elsewhere } = self.cut_tries;
        let ratio = |(all, served): (u32, u32)| f64::from(served) / f64::from(all.max(1));
        let failed = at_cut.0 - at_cut.1;
        if failed > CUT_SLACK + at_cut.0 / 50 && ratio(at_cut) < ratio(elsewhere) * MIN_CUT_RATIO {
            self.violations.push(format!(
                "daemons partitioned from all servers served {} of {} requests, the others {} of {}",
                at_cut.1, at_cut.0, elsewhere.1, elsewhere.0
            ));
        }
    }

    /// Excuses runs of a request that crashes servers until an instant. Daemons that were killed
    /// know no crashes of before, and those that are cut off hear of none.
    pub fn pause_deadly_checks(&mut self, until: Instant) {
        self.deadly_checks_paused_until = self.deadly_checks_paused_until.max(Some(until));
    }

    /// Records that a server begins to run a request that crashes it.
    pub fn record_deadly_run(&mut self, now: Instant) {
        self.deadly_runs.push(now);
        let Some(known_at) = self.deadly_runs.get(DEADLY_CRASHES - 1) else {
            return;
        };
        let known_at = *known_at + DEADLY_TIMEOUT;
        let counted_from = self
            .deadly_checks_paused_until
            .map_or(known_at, |until| until.max(known_at));
        let runs = self.deadly_runs.iter();
        let late = runs.filter(|at| **at > counted_from);
        let count = late.count();
        if count == DEADLY_SLACK + 1 {
            self.violations.push(format!(
                "a request that had crashed {DEADLY_CRASHES} servers was sent to more than {DEADLY_SLACK} others later than {} s",
                DEADLY_TIMEOUT.as_secs()
            ));
        }
    }

    /// Records that a member became ready in a group.
    pub fn record_ready_member(&mut self, group: &str, epoch: u64, members: &[String], id: &str) {
        self.ready
            .insert((group.to_owned(), epoch, members.to_owned(), id.to_owned()));
    }

    /// Checks that a group that runs a request has the right size and that all its
    /// members became ready in it.
    pub fn check_group(&mut self, group: &str, epoch: u64, members: &[String], size: usize) {
        let is_ready = |id: &String| {
            self.ready
                .contains(&(group.to_owned(), epoch, members.to_owned(), id.clone()))
        };
        if members.len() != size || !members.iter().all(is_ready) {
            self.violations.push(format!(
                "group {group} of epoch {epoch} serves while incomplete"
            ));
        }
    }
}
