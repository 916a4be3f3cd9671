//! Session with an in-memory platform and daemons with scripted statuses.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use base::ManualClock;
use base::prelude::*;
use clap::Parser;
use cli::output::printer_for;
use cli::{Arguments, CliError, CommandOutcome, OutputFormat, Session, Waiter, run};
use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, ready};
use interface::status::StatusWire;
use interface::{HostDirectory, HostEntry, HostsOutcome, NodeClient, StatusOutcome};
use store::{MemoryStore, ObjectChange, ObjectKey, ObjectStore, ReadOutcome, UpdateOutcome};

/// List of hosts of the platform; `None` is an outage.
#[derive(Clone, Default)]
pub struct FakeHosts(pub Rc<RefCell<Option<Vec<HostEntry>>>>);

impl HostDirectory for FakeHosts {
    fn hosts(&self) -> LocalBoxFuture<'static, HostsOutcome> {
        let hosts = self.0.borrow().clone();
        let outcome = hosts.map_or(HostsOutcome::Unavailable, HostsOutcome::Listed);
        Box::pin(ready(outcome))
    }
}

/// Statuses by address; each poll returns the next one, and the last one repeats.
#[derive(Clone, Default)]
pub struct FakeNodes(pub Rc<RefCell<BTreeMap<SocketAddr, Vec<StatusWire>>>>);

impl NodeClient for FakeNodes {
    fn status(&self, admin: SocketAddr, _: ClockTime) -> LocalBoxFuture<'static, StatusOutcome> {
        let mut nodes = self.0.borrow_mut();
        let outcome = match nodes.get_mut(&admin) {
            None => StatusOutcome::Silent,
            Some(statuses) if statuses.len() > 1 => reported(statuses.remove(0)),
            Some(statuses) => reported(statuses[0].clone()),
        };
        Box::pin(ready(outcome))
    }
}

fn reported(status: StatusWire) -> StatusOutcome {
    StatusOutcome::Reported(Box::new(status))
}

/// Change made by another client while a command waits.
pub type ConcurrentAction = Box<dyn FnOnce()>;

/// Advances the clock instead of waiting, and runs one concurrent action at each wait.
#[derive(Clone, Default)]
pub struct FakeWaiter {
    pub clock: Rc<ManualClock>,
    pub concurrent_actions: Rc<RefCell<Vec<ConcurrentAction>>>,
}

impl Waiter for FakeWaiter {
    fn wait_until(&self, deadline: ClockTime) -> LocalBoxFuture<'static, ()> {
        self.clock.advance(deadline.since(self.clock.now()));
        if let Some(action) = self.concurrent_actions.borrow_mut().pop() {
            action();
        }
        Box::pin(ready(()))
    }
}

/// Platform, hosts, daemons and clock that commands run against.
#[derive(Clone, Default)]
pub struct TestSystem {
    pub store: MemoryStore,
    pub hosts: FakeHosts,
    pub nodes: FakeNodes,
    pub waiter: FakeWaiter,
}

impl TestSystem {
    /// Creates a session with the fakes.
    pub fn session(&self) -> Session {
        Session::new(
            Rc::new(self.store.clone()),
            Rc::new(self.hosts.clone()),
            Rc::new(self.nodes.clone()),
            self.waiter.clock.clone(),
            Rc::new(self.waiter.clone()),
            21,
        )
    }

    /// Runs a command line.
    pub fn run(&self, line: &[&str]) -> Result<CommandOutcome, CliError> {
        let arguments = Arguments::try_parse_from([&["bronzerun"], line].concat()).unwrap();
        run_ready(run(&self.session(), arguments.command))
    }

    /// Runs a command line; returns its output and exit status as text.
    pub fn describe(&self, line: &[&str]) -> String {
        match self.run(line) {
            Ok(outcome) => format!("{}[{:?}]\n", table_of(&outcome), outcome.status),
            Err(error) => format!("{error}\n[{:?}]\n", error.status()),
        }
    }

    /// Writes an object regardless of its version.
    pub fn write(&self, key: &ObjectKey, value: Arc<str>) {
        let expected = match run_ready(self.store.read(key)) {
            ReadOutcome::Found(object) => object.version,
            _ => ObjectVersion(0),
        };
        let change = ObjectChange {
            key: key.clone(),
            expected,
            value,
        };
        let outcome = run_ready(self.store.update(change));
        assert!(matches!(outcome, UpdateOutcome::Applied(_)));
    }

    /// Value of an object.
    pub fn read(&self, key: &ObjectKey) -> Arc<str> {
        match run_ready(self.store.read(key)) {
            ReadOutcome::Found(object) => object.value,
            outcome => panic!("{key}: {outcome:?}"),
        }
    }
}

/// Output of a command in the table format.
pub fn table_of(outcome: &CommandOutcome) -> String {
    printer_for(OutputFormat::Table).print(outcome.report.as_ref())
}

/// Output of a future that is ready at the first poll, as all are with these fakes.
pub fn run_ready<F: Future>(future: F) -> F::Output {
    future
        .now_or_never()
        .expect("the fakes never return a pending future")
}
