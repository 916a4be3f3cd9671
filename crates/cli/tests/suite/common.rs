//! Session with an in-memory platform and daemons that say what they are told to.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use base::ManualClock;
use base::prelude::*;
use clap::Parser;
use cli::output::printer_for;
use cli::{Answer, Arguments, CliError, OutputFormat, Session, Waiter, run};
use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, ready};
use interface::status::StatusWire;
use interface::{HostDirectory, HostEntry, HostsOutcome, NodeClient, StatusOutcome};
use store::{MemoryStore, ObjectChange, ObjectKey, ObjectStore, ReadOutcome, UpdateOutcome};

/// Hosts that the platform lists; none is an outage.
#[derive(Clone, Default)]
pub struct FakeHosts(pub Rc<RefCell<Option<Vec<HostEntry>>>>);

impl HostDirectory for FakeHosts {
    fn hosts(&self) -> LocalBoxFuture<'static, HostsOutcome> {
        let hosts = self.0.borrow().clone();
        let outcome = hosts.map_or(HostsOutcome::Unavailable, HostsOutcome::Listed);
        Box::pin(ready(outcome))
    }
}

/// Statuses by address; each later round of questions gets the next one.
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

/// What somebody else does while a command waits.
pub type OtherAct = Box<dyn FnOnce()>;

/// Moves its clock in place of waiting, and lets others act meanwhile.
#[derive(Clone, Default)]
pub struct FakeTime {
    pub clock: Rc<ManualClock>,
    pub meanwhile: Rc<RefCell<Vec<OtherAct>>>,
}

impl Waiter for FakeTime {
    fn wait_until(&self, deadline: ClockTime) -> LocalBoxFuture<'static, ()> {
        self.clock.advance(deadline.since(self.clock.now()));
        if let Some(act) = self.meanwhile.borrow_mut().pop() {
            act();
        }
        Box::pin(ready(()))
    }
}

/// Everything that a run meets.
#[derive(Clone, Default)]
pub struct World {
    pub store: MemoryStore,
    pub hosts: FakeHosts,
    pub nodes: FakeNodes,
    pub time: FakeTime,
}

impl World {
    /// Session in this world.
    pub fn session(&self) -> Session {
        Session::new(
            Rc::new(self.store.clone()),
            Rc::new(self.hosts.clone()),
            Rc::new(self.nodes.clone()),
            self.time.clock.clone(),
            Rc::new(self.time.clone()),
            21,
        )
    }

    /// Runs a command line.
    pub fn run(&self, line: &[&str]) -> Result<Answer, CliError> {
        let arguments = Arguments::try_parse_from([&["bronzerun"], line].concat()).unwrap();
        wait_for(run(&self.session(), arguments.command))
    }

    /// Runs a command line and describes what it prints and how it ends.
    pub fn describe(&self, line: &[&str]) -> String {
        match self.run(line) {
            Ok(answer) => format!("{}[{:?}]\n", table_of(&answer), answer.status),
            Err(error) => format!("{error}\n[{:?}]\n", error.status()),
        }
    }

    /// Writes an object whatever its version.
    pub fn write(&self, key: &ObjectKey, value: Arc<str>) {
        let expected = match wait_for(self.store.read(key)) {
            ReadOutcome::Found(object) => object.version,
            _ => ObjectVersion(0),
        };
        let change = ObjectChange {
            key: key.clone(),
            expected,
            value,
        };
        let outcome = wait_for(self.store.update(change));
        assert!(matches!(outcome, UpdateOutcome::Applied(_)));
    }

    /// Value of an object.
    pub fn read(&self, key: &ObjectKey) -> Arc<str> {
        match wait_for(self.store.read(key)) {
            ReadOutcome::Found(object) => object.value,
            outcome => panic!("{key}: {outcome:?}"),
        }
    }
}

/// Output of an answer as people see it.
pub fn table_of(answer: &Answer) -> String {
    printer_for(OutputFormat::Table).print(answer.report.as_ref())
}

/// Output of a future that never has to wait, as none does in this world.
pub fn wait_for<F: Future>(future: F) -> F::Output {
    future.now_or_never().expect("every fake answers at once")
}
