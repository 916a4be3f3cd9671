//! What daemons see of one server.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use emulator::web::{header_text, read_bytes};
use futures_util::future::LocalBoxFuture;
use http::{HeaderMap, HeaderValue, Request, StatusCode};
use hyper::body::Incoming;
use net::web::{BodySender, WebResponse, WebService, body_channel, full_body, text_response};
use serde_json::Value;

use super::STREAM_EVENTS;
use super::fleet::{Fleet, GroupPlace, SoakServer};
use super::store::lost_reply;

/// Time of a plain request.
const PLAIN_SPAN: Duration = Duration::from_millis(120);
/// Time between two events of a stream.
const EVENT_SPAN: Duration = Duration::from_millis(25);
/// Time for which a group that has lost a member stands still before it breaks.
const STALL_SPAN: Duration = Duration::from_secs(5);
/// Pause between two looks at a group that stands still.
const LOOK_PERIOD: Duration = Duration::from_millis(50);
/// Time after which an order that got no answer is carried out.
const LATE_SPAN: Duration = Duration::from_millis(1_700);

/// One server's slot; the server in it changes.
#[derive(Clone)]
pub(crate) struct ServerDesk {
    pub fleet: Rc<RefCell<Fleet>>,
    pub slot: usize,
}

impl ServerDesk {
    fn seen(&self) -> SoakServer {
        let mut fleet = self.fleet.borrow_mut();
        fleet.settle(Instant::now());
        fleet.servers[self.slot].clone()
    }

    async fn order(&self, body: Value) -> WebResponse {
        let now = Instant::now();
        let late_until = self.fleet.borrow().late_until;
        if late_until.is_some_and(|until| now < until) {
            let this = self.clone();
            let life = self.seen().id;
            monoio::spawn(async move {
                monoio::time::sleep(LATE_SPAN).await;
                if this.seen().id == life {
                    this.fleet
                        .borrow_mut()
                        .order(this.slot, &body, Instant::now());
                }
            });
            return lost_reply();
        }
        let status = self.fleet.borrow_mut().order(self.slot, &body, now);
        text_response(status, "{}")
    }

    /// Notes that a request runs here.
    fn run(&self, headers: &HeaderMap, path: &str) {
        let fleet = self.fleet.borrow();
        let mut book = fleet.book.borrow_mut();
        let has_key = headers.contains_key("api-key");
        let tenant = header_text(headers, "x-bronzerun-tenant");
        book.run(
            header_text(headers, "x-bronzerun-request-id"),
            tenant,
            path,
            has_key,
        );
    }

    async fn plain(&self, headers: &HeaderMap, path: &str, server: &SoakServer) -> WebResponse {
        self.run(headers, path);
        monoio::time::sleep(PLAIN_SPAN).await;
        let id = header_text(headers, "x-bronzerun-request-id");
        sealed(full_body(format!("whole:{id}")), id, &server.id)
    }

    fn stream(&self, headers: &HeaderMap, path: &str, server: &SoakServer) -> WebResponse {
        let model = header_text(headers, "x-bronzerun-model");
        let place = server.place.as_ref();
        let Some(place) = place.filter(|place| place.state == "open" && place.model == model)
        else {
            return unrun(StatusCode::SERVICE_UNAVAILABLE);
        };
        let size = SoakServer::size_of(model);
        let fleet = self.fleet.borrow();
        fleet
            .book
            .borrow_mut()
            .check_group(&place.group, place.epoch, &place.members, size);
        drop(fleet);
        self.run(headers, path);
        let id = header_text(headers, "x-bronzerun-request-id").to_owned();
        let first = header_text(headers, "last-event-id").parse().unwrap_or(0) + 1;
        let (sender, body) = body_channel();
        let this = self.clone();
        let (place, life) = (place.clone(), server.id.clone());
        let reply = sealed(body, &id, &server.id);
        monoio::spawn(async move { this.write_events(sender, id, first, place, life).await });
        reply
    }

    /// Writes a stream's events while the group stands.
    async fn write_events(
        &self,
        mut sender: BodySender,
        id: String,
        first: u64,
        place: GroupPlace,
        life: String,
    ) {
        self.fleet.borrow_mut().servers[self.slot].running += 1;
        for event in first..=STREAM_EVENTS {
            monoio::time::sleep(EVENT_SPAN).await;
            let stalls_until = Instant::now() + STALL_SPAN;
            while !self.fleet.borrow().is_sound(&place) && Instant::now() < stalls_until {
                monoio::time::sleep(LOOK_PERIOD).await;
            }
            let stands = self.fleet.borrow().is_sound(&place);
            let text = format!("id: {event}\ndata: {id}:{event}\n\n");
            if !stands || sender.send(Bytes::from(text)).await.is_err() {
                sender.abort().await;
                break;
            }
        }
        let mut fleet = self.fleet.borrow_mut();
        let server = &mut fleet.servers[self.slot];
        if server.id == life {
            server.running = server.running.saturating_sub(1);
        }
    }
}

/// Answer that carries the proof of being the server's own.
fn sealed(body: net::web::WebBody, id: &str, server: &str) -> WebResponse {
    let mut reply = WebResponse::new(body);
    let value = |text: String| HeaderValue::from_str(&text).expect("identities are plain text");
    let headers = reply.headers_mut();
    headers.insert("x-bronzerun-request-id", value(id.to_owned()));
    headers.insert("x-bronzerun-response-seal", value(format!("{server}.{id}")));
    reply
}

/// Answer that says that the request has not run.
fn unrun(status: StatusCode) -> WebResponse {
    let mut reply = text_response(status, "");
    let headers = reply.headers_mut();
    headers.insert("x-bronzerun-not-executed", HeaderValue::from_static("1"));
    reply
}

impl WebService for ServerDesk {
    fn answer(&self, request: Request<Incoming>) -> LocalBoxFuture<'static, WebResponse> {
        let this = self.clone();
        Box::pin(async move {
            let (parts, body) = request.into_parts();
            let body = match read_bytes(body).await {
                Ok(body) => body,
                Err(reply) => return reply,
            };
            let server = this.seen();
            let expected = header_text(&parts.headers, "x-bronzerun-expect-instance");
            if !expected.is_empty() && expected != server.id {
                return unrun(StatusCode::MISDIRECTED_REQUEST);
            }
            let path = parts.uri.path();
            match path {
                "/report" => text_response(StatusCode::OK, &server.report().to_string()),
                "/order" => {
                    this.order(serde_json::from_slice(&body).unwrap_or_default())
                        .await
                }
                _ if server.service == "app" => this.plain(&parts.headers, path, &server).await,
                _ => this.stream(&parts.headers, path, &server),
            }
        })
    }
}
