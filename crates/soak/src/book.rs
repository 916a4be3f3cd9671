//! What clients and servers have seen, and the promises that it breaks.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// Time after a key was taken away in which it may still be let in.
const REVOKE_SPAN: Duration = Duration::from_secs(2);

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// At most one run.
    OnceOnly,
    /// Stream that may go on at another server.
    Stream,
}

/// Request of a client.
#[derive(Clone, Debug)]
pub(crate) struct RequestEntry {
    pub kind: RequestKind,
    pub tenant: String,
    pub path: String,
    runs: u32,
    /// Whether the client was told that it has not run.
    is_unrun: bool,
}

/// How many requests ended how.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Answered whole.
    pub served: u32,
    /// Refused as not run.
    pub refused: u32,
    /// Anything else.
    pub failed: u32,
}

/// What clients and servers have seen.
#[derive(Debug, Default)]
pub struct RunBook {
    requests: HashMap<String, RequestEntry>,
    /// Members seen ready, by group, epoch, list and identity.
    ready: BTreeSet<(String, u64, Vec<String>, String)>,
    /// Keys: when they were given out, and when they were taken away.
    keys: BTreeMap<String, (Instant, Option<Instant>)>,
    tallies: BTreeMap<u64, Tally>,
    breaches: Vec<String>,
}

impl RunBook {
    /// Notes a broken promise.
    pub(crate) fn breach(&mut self, text: String) {
        self.breaches.push(text);
    }

    /// Broken promises.
    pub fn breaches(&self) -> &[String] {
        &self.breaches
    }

    /// Notes a key that is valid from now on.
    pub fn give_key(&mut self, key: &str, now: Instant) {
        self.keys.insert(key.to_owned(), (now, None));
    }

    /// Notes that a key was taken away.
    pub fn take_key(&mut self, key: &str, now: Instant) {
        if let Some((_, taken)) = self.keys.get_mut(key) {
            *taken = Some(now);
        }
    }

    /// Whether a key has been gone for longer than it may take to notice.
    pub fn is_dead(&self, key: &str, now: Instant) -> bool {
        let taken = self.keys.get(key).and_then(|(_, taken)| *taken);
        taken.is_some_and(|at| now.duration_since(at) > REVOKE_SPAN)
    }

    /// Whether a key was never taken away.
    pub fn is_live(&self, key: &str) -> bool {
        let known = self.keys.get(key);
        known.is_some_and(|(_, taken)| taken.is_none())
    }

    /// Whether a key has been valid since an instant at least.
    pub fn is_live_since(&self, key: &str, at: Instant) -> bool {
        let known = self.keys.get(key);
        known.is_some_and(|(given, taken)| taken.is_none() && *given <= at)
    }

    /// Notes a request before it is sent.
    pub fn ask(&mut self, id: &str, kind: RequestKind, tenant: &str, path: &str) {
        let entry = RequestEntry {
            kind,
            tenant: tenant.to_owned(),
            path: path.to_owned(),
            runs: 0,
            is_unrun: false,
        };
        self.requests.insert(id.to_owned(), entry);
    }

    /// Notes that a server begins to run a request.
    pub fn run(&mut self, id: &str, tenant: &str, path: &str, has_key: bool) {
        let Some(entry) = self.requests.get_mut(id) else {
            self.breaches
                .push(format!("request {id} runs and no client has sent it"));
            return;
        };
        entry.runs += 1;
        let mut found = Vec::new();
        if entry.tenant != tenant || has_key {
            found.push(format!("request {id} came with tenant {tenant}"));
        }
        if entry.path != path {
            found.push(format!("request {id} came with path {path}"));
        }
        if entry.kind == RequestKind::OnceOnly && entry.runs > 1 {
            found.push(format!("request {id} has run {} times", entry.runs));
        }
        if entry.kind == RequestKind::OnceOnly && entry.is_unrun {
            found.push(format!(
                "request {id} runs after its client was told that it has not"
            ));
        }
        self.breaches.extend(found);
    }

    /// Notes that a client was told that its request has not run.
    pub fn refuse(&mut self, id: &str, status: u16) {
        let Some(entry) = self.requests.get_mut(id) else {
            return;
        };
        entry.is_unrun = true;
        if entry.kind == RequestKind::OnceOnly && entry.runs > 0 {
            self.breaches
                .push(format!("request {id} has run and was answered {status}"));
        }
    }

    /// Counts how a request ended, by the second since the start.
    pub(crate) fn count(&mut self, second: u64, add: impl FnOnce(&mut Tally)) {
        add(self.tallies.entry(second).or_default());
    }

    /// Requests that ended from a second on.
    pub fn tally_from(&self, second: u64) -> Tally {
        let mut sum = Tally::default();
        for tally in self.tallies.range(second..).map(|(_, tally)| tally) {
            sum.served += tally.served;
            sum.refused += tally.refused;
            sum.failed += tally.failed;
        }
        sum
    }

    /// Notes that a member is ready in a group.
    pub fn join(&mut self, group: &str, epoch: u64, members: &[String], id: &str) {
        self.ready
            .insert((group.to_owned(), epoch, members.to_owned(), id.to_owned()));
    }

    /// Checks that all members of a group that runs a request have been ready in it.
    pub fn check_group(&mut self, group: &str, epoch: u64, members: &[String], size: usize) {
        let is_ready = |id: &String| {
            self.ready
                .contains(&(group.to_owned(), epoch, members.to_owned(), id.clone()))
        };
        if members.len() != size || !members.iter().all(is_ready) {
            self.breaches.push(format!(
                "group {group} of epoch {epoch} serves and is not whole"
            ));
        }
    }
}
