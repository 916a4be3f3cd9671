//! The client of the object API and the platform's stand-in keep the store's contract.

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

/// Time that no watch of the check needs to the full.
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
fn the_object_api_keeps_the_contract_over_http() {
    let breaches = net::block_on(async {
        let (_switch, drain) = drain_channel();
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let (address, _platform) = start_fleet(any, &empty_plan(), &drain).unwrap();
        let clock = Rc::new(SystemClock::default());
        let client = WebClient::new(clock.clone());
        let store = HttpObjectStore::new(client, clock.clone(), address);
        let future = clock.now() + LONG_WAIT;
        check_contract(&store, "contract/", ClockTime::default(), future).await
    });
    assert_eq!(breaches.unwrap(), []);
}
