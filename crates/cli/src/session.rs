//! What a run talks to.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use base::prelude::*;
use futures_util::future::LocalBoxFuture;
use interface::{HostDirectory, HttpHostDirectory, HttpNodeClient, HttpObjectStore, NodeClient};
use net::web::WebClient;
use net::{SystemClock, seed_from_system, sleep_until};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use store::ObjectStore;

/// First pause before a write is tried again; doubles with each attempt.
const FIRST_PAUSE: Duration = Duration::from_millis(20);
/// Attempts after which the pause grows no longer.
const PAUSE_DOUBLINGS: u32 = 6;

/// Waiting, apart from the clock so that tests need not wait.
pub trait Waiter {
    /// Ends at the deadline.
    fn wait_until(&self, deadline: ClockTime) -> LocalBoxFuture<'static, ()>;
}

/// Waits on the system's clock.
pub struct SystemWaiter(pub Rc<dyn ClockSource>);

impl Waiter for SystemWaiter {
    fn wait_until(&self, deadline: ClockTime) -> LocalBoxFuture<'static, ()> {
        let clock = Rc::clone(&self.0);
        Box::pin(async move { sleep_until(clock.as_ref(), deadline).await })
    }
}

/// The platform, the daemons, time and chance.
pub struct Session {
    /// The platform's objects.
    pub store: Rc<dyn ObjectStore>,
    /// The platform's list of hosts.
    pub hosts: Rc<dyn HostDirectory>,
    /// Status pages of the daemons.
    pub nodes: Rc<dyn NodeClient>,
    /// Time.
    pub clock: Rc<dyn ClockSource>,
    /// Waiting.
    pub waiter: Rc<dyn Waiter>,
    random: RefCell<StdRng>,
}

impl Session {
    /// Session with the platform at an address.
    pub fn connect(platform: SocketAddr) -> Self {
        let clock: Rc<dyn ClockSource> = Rc::new(SystemClock::default());
        let client = WebClient::new(Rc::clone(&clock));
        let store = HttpObjectStore::new(client.clone(), Rc::clone(&clock), platform);
        let hosts = HttpHostDirectory::new(client.clone(), Rc::clone(&clock), platform);
        Self::new(
            Rc::new(store),
            Rc::new(hosts),
            Rc::new(HttpNodeClient::new(client)),
            Rc::clone(&clock),
            Rc::new(SystemWaiter(clock)),
            seed_from_system(),
        )
    }

    /// Session with given parts.
    pub fn new(
        store: Rc<dyn ObjectStore>,
        hosts: Rc<dyn HostDirectory>,
        nodes: Rc<dyn NodeClient>,
        clock: Rc<dyn ClockSource>,
        waiter: Rc<dyn Waiter>,
        seed: u64,
    ) -> Self {
        Self {
            store,
            hosts,
            nodes,
            clock,
            waiter,
            random: RefCell::new(StdRng::seed_from_u64(seed)),
        }
    }

    /// Mark for one write.
    pub fn next_nonce(&self) -> WriteNonce {
        WriteNonce(self.random.borrow_mut().random())
    }

    /// Waits a while that grows with the attempts and is drawn at random.
    pub async fn pause(&self, attempt: u32) {
        let longest = FIRST_PAUSE * 2u32.pow(attempt.min(PAUSE_DOUBLINGS));
        let share = self.random.borrow_mut().random_range(0.5..1.0);
        self.wait(longest.mul_f64(share)).await;
    }

    /// Waits for a span.
    pub async fn wait(&self, span: Duration) {
        self.waiter.wait_until(self.clock.now() + span).await;
    }
}
