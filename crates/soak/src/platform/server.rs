//! HTTP interface of an emulated server.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use emulator::web::{header_text, read_bytes};
use futures_util::future::LocalBoxFuture;
use http::{HeaderMap, HeaderName, HeaderValue, Request, StatusCode};
use net::web::RequestBody;
use net::web::{BodySender, WebResponse, WebService, body_channel, full_body, text_response};
use serde_json::Value;

use super::STREAM_EVENTS;
use super::fleet::{Fleet, GroupMembership, SoakServer};
use super::store::truncated_response;
use crate::deadly::CrashMoment;

/// Interval between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(25);
/// Time for which the streams of a group that has lost a member stall before they break.
const STALL_DURATION: Duration = Duration::from_secs(5);
/// Interval between two checks of a stalled group.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between two checks of a suspended server.
const PAUSE_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Delay of an order that got no response.
const ORDER_DELAY: Duration = Duration::from_millis(1_700);

/// Bytes that make the body of an answer longer than its shortest pieces.
const FILLER: &str = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";

/// Serves requests for the server that currently holds a slot.
#[derive(Clone)]
pub(crate) struct ServerService {
    pub fleet: Rc<RefCell<Fleet>>,
    pub slot: usize,
}

impl ServerService {
    /// Waits while the server is suspended.
    async fn resumed(&self) {
        while self.fleet.borrow().servers[self.slot].is_paused(Instant::now()) {
            monoio::time::sleep(PAUSE_POLL_INTERVAL).await;
        }
    }

    /// Waits while the server or another member of its group is suspended.
    async fn group_resumed(&self, membership: &GroupMembership) {
        self.resumed().await;
        while (self.fleet.borrow()).is_group_paused(membership, Instant::now()) {
            monoio::time::sleep(PAUSE_POLL_INTERVAL).await;
        }
    }

    fn current_server(&self) -> SoakServer {
        let mut fleet = self.fleet.borrow_mut();
        fleet.advance(Instant::now());
        fleet.servers[self.slot].clone()
    }

    async fn order(&self, body: Value) -> WebResponse {
        let now = Instant::now();
        let orders_delayed_until = self.fleet.borrow().orders_delayed_until;
        if orders_delayed_until.is_some_and(|until| now < until) {
            let this = self.clone();
            let server_id = self.current_server().id;
            net::spawn(async move {
                monoio::time::sleep(ORDER_DELAY).await;
                if this.current_server().id == server_id {
                    this.fleet
                        .borrow_mut()
                        .order(this.slot, &body, Instant::now());
                }
            });
            return truncated_response();
        }
        let status = self.fleet.borrow_mut().order(self.slot, &body, now);
        text_response(status, "{}")
    }

    /// Records that a request has arrived, whether or not it is run.
    fn record_arrival(&self, server: &SoakServer) {
        let now = Instant::now();
        let fleet = self.fleet.borrow();
        let mut checker = fleet.checker.borrow_mut();
        checker.record_arrival(&server.id, server.limit(now), now);
        checker.record_drained_arrival(&server.id, now);
        checker.record_turned_away(&server.id, server.busy_time(now).is_some(), now);
    }

    fn next_refusal(&self) -> Option<StatusCode> {
        let mut fleet = self.fleet.borrow_mut();
        fleet.next_refusal(self.slot, Instant::now())
    }

    /// Rejects a request and says until when the server wants none.
    fn turn_away(&self, headers: &HeaderMap, server: &SoakServer) -> WebResponse {
        let mut response = not_executed(StatusCode::SERVICE_UNAVAILABLE, headers);
        let left = server.busy_time(Instant::now()).unwrap_or_default();
        let seconds = HeaderValue::from_str(&format!("{:.3}", left.as_secs_f64()));
        let seconds = seconds.expect("numbers are valid header values");
        let headers = response.headers_mut();
        headers.insert("retry-after", seconds);
        response
    }

    /// Adds what the server announces in its responses.
    fn with_notices(&self, mut response: WebResponse) -> WebResponse {
        let server = self.current_server();
        if let Some(limit) = server.limit(Instant::now()) {
            let value = HeaderValue::from_str(&format!("{limit:.2}"));
            let value = value.expect("numbers are valid header values");
            response.headers_mut().insert("server-limit", value);
        }
        if server.is_leaving && server.announces_leaving {
            let value = HeaderValue::from_static("1");
            response.headers_mut().insert("server-leaving", value);
        }
        response
    }

    /// Records that a request starts to run here.
    fn record_run(&self, headers: &HeaderMap, path: &str) {
        let fleet = self.fleet.borrow();
        let mut checker = fleet.checker.borrow_mut();
        let has_key = headers.contains_key("api-key");
        let tenant = header_text(headers, "x-bronzerun-tenant");
        checker.record_run(
            header_text(headers, "x-bronzerun-request-id"),
            tenant,
            path,
            has_key,
        );
    }

    /// Runs a request, some also when its connection has closed meanwhile.
    async fn serve_plain(
        &self,
        headers: &HeaderMap,
        path: &str,
        server: &SoakServer,
    ) -> WebResponse {
        let persists = self.fleet.borrow_mut().next_persists();
        if !persists {
            return self.run_plain(headers, path, server).await;
        }
        let (this, headers, path, server) = (
            self.clone(),
            headers.clone(),
            path.to_owned(),
            server.clone(),
        );
        let run = net::spawn(async move { this.run_plain(&headers, &path, &server).await });
        match run.await {
            Some(response) => response,
            // The soak's run ends, and this task with it.
            None => std::future::pending().await,
        }
    }

    /// Takes a place among the running and waiting requests; `None` if there is none.
    fn take_place(&self, server: &SoakServer) -> Option<ServerPlace> {
        let mut fleet = self.fleet.borrow_mut();
        let places = server.shape.slots.saturating_add(server.shape.queue);
        let current = &mut fleet.servers[self.slot];
        if current.running as usize >= places {
            return None;
        }
        current.running += 1;
        Some(ServerPlace {
            fleet: self.fleet.clone(),
            slot: self.slot,
            server: server.id.clone(),
        })
    }

    async fn run_plain(&self, headers: &HeaderMap, path: &str, server: &SoakServer) -> WebResponse {
        let Some(_place) = self.take_place(server) else {
            return not_executed(StatusCode::SERVICE_UNAVAILABLE, headers);
        };
        self.record_run(headers, path);
        let work = (self.fleet.borrow()).work_of(path);
        monoio::time::sleep(work).await;
        self.resumed().await;
        if CrashMoment::of_path(path).is_some() {
            self.fleet.borrow_mut().crash(self.slot);
            return truncated_response();
        }
        let id = header_text(headers, "x-bronzerun-request-id");
        sealed_response(full_body(whole_body(id)), id, &server.id)
    }

    fn serve_stream(&self, headers: &HeaderMap, path: &str, server: &SoakServer) -> WebResponse {
        let model = header_text(headers, "x-bronzerun-model");
        let membership = server.membership.as_ref();
        let Some(membership) =
            membership.filter(|membership| membership.state == "open" && membership.model == model)
        else {
            return not_executed(StatusCode::SERVICE_UNAVAILABLE, headers);
        };
        let fleet = self.fleet.borrow();
        let group_size = fleet.group_size(model);
        fleet.checker.borrow_mut().check_group(
            &membership.group,
            membership.epoch,
            &membership.members,
            group_size,
        );
        drop(fleet);
        self.record_run(headers, path);
        let crash_moment = CrashMoment::of_path(path);
        if crash_moment == Some(CrashMoment::Start) {
            self.fleet.borrow_mut().crash(self.slot);
            return truncated_response();
        }
        let id = header_text(headers, "x-bronzerun-request-id").to_owned();
        let first = header_text(headers, "last-event-id").parse().unwrap_or(0) + 1;
        let (sender, body) = body_channel();
        let this = self.clone();
        let (membership, server_id) = (membership.clone(), server.id.clone());
        let response = sealed_response(body, &id, &server.id);
        net::spawn(async move {
            this.write_events(sender, id, first, membership, server_id, crash_moment)
                .await
        });
        response
    }

    /// Writes the events of a stream; aborts it when the group loses a member for good.
    async fn write_events(
        &self,
        mut sender: BodySender,
        id: String,
        first: u64,
        membership: GroupMembership,
        server_id: String,
        crash_moment: Option<CrashMoment>,
    ) {
        self.fleet.borrow_mut().servers[self.slot].running += 1;
        for event in first..=STREAM_EVENTS {
            monoio::time::sleep(EVENT_INTERVAL).await;
            self.group_resumed(&membership).await;
            let stall_end = Instant::now() + STALL_DURATION;
            while !self.fleet.borrow().is_group_intact(&membership) && Instant::now() < stall_end {
                monoio::time::sleep(POLL_INTERVAL).await;
            }
            let is_intact = self.fleet.borrow().is_group_intact(&membership);
            let text = format!("id: {event}\ndata: {id}:{event}\n\n");
            if !is_intact || sender.send(Bytes::from(text)).await.is_err() {
                sender.abort().await;
                break;
            }
            if crash_moment.is_some() {
                // Time for the event to arrive.
                monoio::time::sleep(EVENT_INTERVAL).await;
                self.fleet.borrow_mut().crash(self.slot);
                sender.abort().await;
                break;
            }
        }
        let mut fleet = self.fleet.borrow_mut();
        let server = &mut fleet.servers[self.slot];
        if server.id == server_id {
            server.running = server.running.saturating_sub(1);
        }
    }
}

/// Place of a request at a server, freed when it is dropped.
struct ServerPlace {
    fleet: Rc<RefCell<Fleet>>,
    slot: usize,
    server: String,
}

impl Drop for ServerPlace {
    fn drop(&mut self) {
        let mut fleet = self.fleet.borrow_mut();
        let current = &mut fleet.servers[self.slot];
        if current.id == self.server {
            current.running = current.running.saturating_sub(1);
        }
    }
}

/// Body of a complete answer that isn't a stream.
pub(crate) fn whole_body(id: &str) -> String {
    format!("whole:{id}:{FILLER}:end")
}

/// Response with the seal by which clients recognize that it belongs to their request.
fn sealed_response(body: net::web::WebBody, id: &str, server: &str) -> WebResponse {
    let mut response = WebResponse::new(body);
    let value = |text: String| HeaderValue::from_str(&text).expect("ids are valid header values");
    let headers = response.headers_mut();
    headers.insert("x-bronzerun-request-id", value(id.to_owned()));
    headers.insert("x-bronzerun-response-seal", value(format!("{server}.{id}")));
    response
}

/// Response that marks the request with these headers as not run.
fn not_executed(status: StatusCode, request: &HeaderMap) -> WebResponse {
    let mut response = text_response(status, "");
    let headers = response.headers_mut();
    headers.insert("x-bronzerun-not-executed", HeaderValue::from_static("1"));
    let id = request.get("x-bronzerun-request-id").cloned();
    headers.extend(id.map(|id| (HeaderName::from_static("x-bronzerun-request-id"), id)));
    response
}

impl WebService for ServerService {
    fn answer(&self, request: Request<RequestBody>) -> LocalBoxFuture<'static, WebResponse> {
        let this = self.clone();
        Box::pin(async move {
            let (parts, body) = request.into_parts();
            let body = match read_bytes(body).await {
                Ok(body) => body,
                Err(response) => return response,
            };
            this.resumed().await;
            let server = this.current_server();
            let expected = header_text(&parts.headers, "x-bronzerun-expect-instance");
            if !expected.is_empty() && expected != server.id {
                return not_executed(StatusCode::MISDIRECTED_REQUEST, &parts.headers);
            }
            if !server.is_alive {
                return truncated_response();
            }
            let path = parts.uri.path();
            let response = match path {
                "/report" => {
                    return text_response(StatusCode::OK, &server.report().to_string());
                }
                "/order" => {
                    return this
                        .order(serde_json::from_slice(&body).unwrap_or_default())
                        .await;
                }
                _ if server.busy_time(Instant::now()).is_some() => {
                    this.record_arrival(&server);
                    this.turn_away(&parts.headers, &server)
                }
                _ if let Some(status) = this.next_refusal() => {
                    this.record_arrival(&server);
                    not_executed(status, &parts.headers)
                }
                _ if !server.shape.is_engine => {
                    this.record_arrival(&server);
                    this.serve_plain(&parts.headers, path, &server).await
                }
                _ => {
                    this.record_arrival(&server);
                    this.serve_stream(&parts.headers, path, &server)
                }
            };
            this.with_notices(response)
        })
    }
}
