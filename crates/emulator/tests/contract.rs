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
use store::{ObjectChange, ObjectKey, ObjectStore, ReadOutcome, UpdateOutcome, WatchOutcome};

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

#[test]
fn the_object_api_satisfies_the_store_contract_whatever_the_keys() {
    let scopes = [
        "backup of 12 May/",
        "a&after=1&b/",
        "a+b/",
        "a#b/",
        "a?after=1/",
        "a%2Fb/%zz/",
        "a\"b<c>/",
        "a\\b|^`{}/",
        "\u{1}\t\r\n\u{7f}/",
        "\u{e9}\u{1f4be}/",
    ];
    let violations = net::block_on(async {
        let (_signal, drain) = drain_channel();
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let (address, _platform) = start_fleet(any_port, &empty_plan(), &drain).unwrap();
        let clock = Rc::new(SystemClock::default());
        let client = WebClient::new(clock.clone());
        let store = HttpObjectStore::new(client, clock.clone(), address);
        let mut violations = Vec::new();
        for scope in scopes {
            let future = clock.now() + LONG_WAIT;
            let found = check_contract(&store, scope, ClockTime::default(), future).await;
            violations.extend(found.into_iter().map(|found| (scope, found)));
        }
        violations
    });
    assert_eq!(violations.unwrap(), []);
}

fn change(expected: base::ObjectVersion, value: &str) -> ObjectChange {
    ObjectChange {
        key: ObjectKey::new("document"),
        expected,
        value: value.into(),
    }
}

#[test]
fn versions_given_out_again_after_a_restore_are_newer_than_those_of_before() {
    let outcome = net::block_on(async {
        let (_signal, drain) = drain_channel();
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let (address, platform) = start_fleet(any_port, &empty_plan(), &drain).unwrap();
        let clock = Rc::new(SystemClock::default());
        let client = WebClient::new(clock.clone());
        let store = HttpObjectStore::new(client, clock.clone(), address);
        let key = ObjectKey::new("document");
        store.update(change(Default::default(), "first")).await;
        platform.copy_objects();
        let ReadOutcome::Found(first) = store.read(&key).await else {
            panic!("the object was written");
        };
        let UpdateOutcome::Applied(lost) = store.update(change(first.version, "lost")).await else {
            panic!("the object has the expected version");
        };
        platform.restore_objects();
        // The store gives the lost version's number out again.
        platform.put_object(&key, "second");
        let watch = store.watch(&key, lost, clock.now() + Duration::from_secs(1));
        let watched = watch.await;
        let stale = store.update(change(lost, "third")).await;
        let fabric = base::FabricName::new("kozep-a").unwrap();
        let fabric = interface::read_fabric(&store, &fabric).await;
        (lost, watched, stale, fabric)
    });
    let (lost, watched, stale, fabric) = outcome.unwrap();
    let WatchOutcome::Changed(object) = watched else {
        panic!("a watch from a lost version hears of the present one: {watched:?}");
    };
    assert_eq!(&*object.value, "second");
    assert_eq!(object.version.revision(), lost.revision());
    assert!(object.version > lost);
    assert_eq!(stale, UpdateOutcome::Conflict);
    let (_, absent) = fabric
        .unwrap()
        .expect("an absent record has the store's era");
    assert!(absent > lost && !absent.exists());
}
