//! Lists with entries that another writer has left.

use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

use futures_util::future::LocalBoxFuture;
use http::{Request, Response};
use interface::{HostDirectory, HostsOutcome, HttpHostDirectory, HttpObjectStore};
use net::web::{RequestBody, WebClient, WebLimits, WebResponse, WebService};
use net::web::{bind, full_body, serve};
use net::{SystemClock, block_on, drain_channel};
use store::{ListOutcome, ObjectStore};

/// Server that always gives the same body.
struct FixedBody(RefCell<Vec<u8>>);

impl WebService for FixedBody {
    fn answer(&self, _request: Request<RequestBody>) -> LocalBoxFuture<'static, WebResponse> {
        let body = self.0.borrow().clone();
        Box::pin(async move { Response::new(full_body(body)) })
    }
}

/// Starts a server with a body.
fn spawn_server(body: Vec<u8>) -> SocketAddr {
    let listener = bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).unwrap();
    let address = listener.local_addr().unwrap();
    let service = Rc::new(FixedBody(RefCell::new(body)));
    net::spawn(async move {
        let (_signal, watch) = drain_channel();
        serve(listener, service, WebLimits::default(), watch).await;
    });
    address
}

/// Body with a list of entries, one of which is odd.
fn body(field: &str, sound: [&str; 2], odd: &[u8]) -> Vec<u8> {
    let start = format!(r#"{{"{field}":[{},"#, sound[0]);
    let end = format!(",{}]}}", sound[1]);
    [start.as_bytes(), odd, end.as_bytes()].concat()
}

#[test]
fn an_odd_host_hides_no_other() {
    let sound = [
        r#"{"host":"h-1","address":"10.0.0.1:80","failure_domain":"a","fabric":"f","service":null}"#,
        r#"{"host":"h-3","address":"10.0.0.3:80","failure_domain":"a","fabric":null,"service":"s"}"#,
    ];
    let odd: [&[u8]; 8] = [
        br#"{"host":"backup of 12 May","address":"10.0.0.2:80","failure_domain":"a","fabric":null,"service":"s"}"#,
        br#"{"host":"h-2","address":"none","failure_domain":"a","fabric":null,"service":"s"}"#,
        br#"{"host":"h-2","address":"10.0.0.2:80","fabric":null,"service":"s"}"#,
        br#"{"host":"h-2","address":"10.0.0.2:80","failure_domain":7,"fabric":null,"service":"s"}"#,
        b"{\"host\":\"h-2\",\"address\":\"10.0.0.2:80\",\"failure_domain\":\"a\",\"fabric\":null,\"service\":\"s\",\"note\":\"\xff\"}",
        br#""\ud800""#,
        b"null",
        b"[]",
    ];
    let listed = block_on(async {
        let mut listed = Vec::new();
        for odd in odd {
            let server = spawn_server(body("hosts", sound, odd));
            let clock = Rc::new(SystemClock::default());
            let client = WebClient::new(clock.clone());
            listed.push(HttpHostDirectory::new(client, clock, server).hosts().await);
        }
        listed
    });
    for (outcome, odd) in listed.unwrap().into_iter().zip(odd) {
        let odd = String::from_utf8_lossy(odd);
        let HostsOutcome::Listed(hosts) = outcome else {
            panic!("no list beside {odd}");
        };
        let names: Vec<_> = hosts.iter().map(|entry| entry.host.as_str()).collect();
        assert_eq!(names, ["h-1", "h-3"], "{odd}");
    }
}

#[test]
fn an_odd_object_hides_no_other() {
    let sound = [
        r#"{"key":"fabrics/a","version":3,"value":"{}"}"#,
        r#"{"key":"fabrics/c","version":4,"value":"{}"}"#,
    ];
    let odd: [&[u8]; 6] = [
        br#"{"key":"fabrics/b","version":"3","value":"{}"}"#,
        br#"{"key":7,"version":3,"value":"{}"}"#,
        br#"{"key":"fabrics/b","version":3,"value":{}}"#,
        br#"{"key":"fabrics/b"}"#,
        b"{\"key\":\"fabrics/b\",\"version\":3,\"value\":\"\xc3\"}",
        b"null",
    ];
    let listed = block_on(async {
        let mut listed = Vec::new();
        for odd in odd {
            let server = spawn_server(body("objects", sound, odd));
            let clock = Rc::new(SystemClock::default());
            let client = WebClient::new(clock.clone());
            listed.push(
                HttpObjectStore::new(client, clock, server)
                    .list("fabrics/")
                    .await,
            );
        }
        listed
    });
    for (outcome, odd) in listed.unwrap().into_iter().zip(odd) {
        let odd = String::from_utf8_lossy(odd);
        let ListOutcome::Found(objects) = outcome else {
            panic!("no list beside {odd}");
        };
        let keys: Vec<_> = objects.iter().map(|object| object.key.as_str()).collect();
        assert_eq!(keys, ["fabrics/a", "fabrics/c"], "{odd}");
    }
}
