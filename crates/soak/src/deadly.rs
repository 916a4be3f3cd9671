//! Request that crashes every server that begins to run it, and comes again at any daemon.

use std::rc::Rc;
use std::time::{Duration, Instant};

use base::prelude::*;
use http::Method;
use net::SystemClock;
use net::web::{CallOutcome, WebClient, empty_body};

use crate::checker::RequestKind;
use crate::clients::ClientContext;

/// Interval between two client attempts.
const PERIOD: Duration = Duration::from_millis(150);
/// Time that the client waits for a response.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest body of a response.
const MAX_BODY_BYTES: usize = 64 * 1_024;
/// When a request crashes the server that runs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CrashMoment {
    /// Before the answer.
    Start,
    /// After the first event of the answer.
    FirstEvent,
}

impl CrashMoment {
    const ALL: [Self; 2] = [Self::Start, Self::FirstEvent];

    /// End of the path of such requests.
    fn path_end(self) -> &'static str {
        match self {
            Self::Start => "/deadly",
            Self::FirstEvent => "/deadly-stream",
        }
    }

    /// When a request with this path crashes the server; `None` if it doesn't.
    pub fn of_path(path: &str) -> Option<Self> {
        let mut moments = Self::ALL.into_iter();
        moments.find(|moment| path.ends_with(moment.path_end()))
    }
}

fn valid_key(context: &ClientContext) -> Option<String> {
    let (keys, checker) = (context.keys.borrow(), context.checker.borrow());
    keys.iter().find(|key| checker.is_valid(key)).cloned()
}

/// Sends the request to one daemon after the other until an instant.
pub(crate) async fn send_deadly(
    context: ClientContext,
    kind: RequestKind,
    moment: CrashMoment,
    end: Instant,
) {
    let clock: Rc<dyn ClockSource> = Rc::new(SystemClock::default());
    let (prefix, model) = match kind {
        RequestKind::OnceOnly | RequestKind::Idempotent => ("/o", ""),
        RequestKind::Stream => ("/s", "small"),
    };
    let hosts = context.entry_hosts.iter().cycle();
    for (number, host) in (0_u32..).zip(hosts) {
        if Instant::now() >= end || context.is_finished.get() {
            return;
        }
        let id = format!("deadly-{number}");
        let path = format!("{prefix}{}", moment.path_end());
        context
            .checker
            .borrow_mut()
            .record_request(&id, kind, "depot", &path);
        let key = valid_key(&context);
        let request = http::Request::builder()
            .method(Method::POST)
            .uri(&path)
            .header("host", "a.example")
            .header("api-key", key.unwrap_or_default())
            .header("x-bronzerun-request-id", &id)
            .header("x-bronzerun-deadline-ms", CLIENT_TIMEOUT.as_millis() as u64)
            .header("x-bronzerun-model", model)
            .header("x-bronzerun-token-counts", "100,60")
            .body(empty_body())
            .expect("the request is well formed");
        let (web, clock, address) = (
            WebClient::new(clock.clone()).with_strict_order(),
            clock.clone(),
            host.client_address,
        );
        net::spawn(async move {
            let deadline = clock.now() + CLIENT_TIMEOUT;
            if let CallOutcome::Response(response) = web.call(address, request, deadline).await {
                // The request earns nothing, whatever the response.
                let _ = response.collect(MAX_BODY_BYTES, deadline).await;
            }
        });
        monoio::time::sleep(PERIOD).await;
    }
}
