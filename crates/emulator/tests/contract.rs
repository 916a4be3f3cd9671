//! The client of the object API and the emulated platform satisfy the store's contract.

use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use base::{ClockSource, ClockTime};
use emulator::engine::EngineOptions;
use emulator::plain::PlainOptions;
use emulator::{FleetPlan, start_fleet};
use interface::HttpObjectStore;
use net::web::WebClient;
use net::{SystemClock, drain_channel};
use store::contract::check_contract;

/// Time from the start of the check to its `future` instant, which must not be reached during it.
const LONG_WAIT: Duration = Duration::from_secs(60);

fn empty_plan() -> FleetPlan {
    FleetPlan {
        hosts: Vec::new(),
        engine: EngineOptions {
            checks_fencing: true,
            load_time: Duration::ZERO,
            prefill_time: Duration::ZERO,
            token_time: Duration::ZERO,
        },
        plain: PlainOptions::default(),
    }
}

#[test]
fn the_object_api_satisfies_the_store_contract_over_http() {
    let violations = net::block_on(async {
        let (_signal, drain) = drain_channel();
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let (address, _platform) = start_fleet(any_port, &empty_plan(), &drain).unwrap();
        let clock = Rc::new(SystemClock::default());
        let client = WebClient::new(clock.clone());
        let store = HttpObjectStore::new(client, clock.clone(), address);
        let future = clock.now() + LONG_WAIT;
        check_contract(&store, "contract/", ClockTime::default(), future).await
    });
    assert_eq!(violations.unwrap(), []);
}
