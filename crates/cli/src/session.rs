//! Connections, clock and random numbers that a command uses.

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

/// Longest delay before the first retry of a write; doubles with each attempt.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
/// Attempts after which the delay stops growing.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

/// Timer, separate from the clock so that tests do not wait.
pub trait Waiter {
    /// Completes at the deadline.
    fn wait_until(&self, deadline: ClockTime) -> LocalBoxFuture<'static, ()>;
}

/// Waits on the system clock.
pub struct SystemWaiter(pub Rc<dyn ClockSource>);

impl Waiter for SystemWaiter {
    fn wait_until(&self, deadline: ClockTime) -> LocalBoxFuture<'static, ()> {
        let clock = Rc::clone(&self.0);
        Box::pin(async move { sleep_until(clock.as_ref(), deadline).await })
    }
}

/// Clients of the platform and the daemons, clock, timer and random numbers.
pub struct Session {
    /// Client of the platform's object API.
    pub store: Rc<dyn ObjectStore>,
    /// Client of the platform's list of hosts.
    pub hosts: Rc<dyn HostDirectory>,
    /// Client of the status pages of the daemons.
    pub nodes: Rc<dyn NodeClient>,
    /// Clock of deadlines and intervals.
    pub clock: Rc<dyn ClockSource>,
    /// Timer that waits for deadlines of the clock.
    pub waiter: Rc<dyn Waiter>,
    random: RefCell<StdRng>,
}

impl Session {
    /// Creates a session with the platform at an address.
    pub fn connect(platform: SocketAddr) -> Self {
        let clock: Rc<dyn ClockSource> = Rc::new(SystemClock::default());
        // The platform and the daemons write one answer to each request.
        let client = WebClient::new(Rc::clone(&clock)).with_strict_order();
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

    /// Creates a session with the given parts; `seed` seeds nonces and jitter.
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

    /// Returns a random nonce that identifies one write.
    pub fn next_nonce(&self) -> WriteNonce {
        WriteNonce(self.random.borrow_mut().random())
    }

    /// Waits before a retry, with exponential backoff and jitter.
    pub async fn back_off(&self, attempt: u32) {
        let longest = INITIAL_BACKOFF * 2u32.pow(attempt.min(MAX_BACKOFF_DOUBLINGS));
        let jitter = self.random.borrow_mut().random_range(0.5..1.0);
        self.wait(longest.mul_f64(jitter)).await;
    }

    /// Waits for a duration.
    pub async fn wait(&self, duration: Duration) {
        self.waiter.wait_until(self.clock.now() + duration).await;
    }
}
