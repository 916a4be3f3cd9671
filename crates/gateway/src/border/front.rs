//! Callers' interface: the language-model calls and the plain services.

use std::cell::Cell;
use std::rc::Rc;

use base::prelude::*;
use bytes::Bytes;
use futures_channel::mpsc::UnboundedSender;
use futures_channel::oneshot;
use futures_util::future::LocalBoxFuture;
use http::header::AUTHORIZATION;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode};
use hyper::body::Incoming;
use net::seed_from_system;
use net::web::{
    WebClient, WebLimits, WebResponse, WebService, json_response, receive_body, text_response,
};
use serde::Serialize;

use super::GatewayReplies;
use super::admin::ready_reply;
use super::exchange::{CallExchange, EndpointRequest, ExchangeTimes, ExchangeTools};
use super::executor::GatewayBorder;
use super::parse::{CallTerms, ParseError, ParsedCall, parse_call, parse_digest, parse_terms};
use super::reply::{
    REQUEST_HEADER, cut_reply, forwarded_headers, parse_reply, receive_reply, stopped_reply,
    unknown_key_reply,
};
use super::task::CallTask;
use crate::{CallArrival, GatewayAnswer, GatewayEvent, GatewayQuestion};

/// Prefix of the headers that are the gateway's own.
const OWN_HEADERS: &str = "x-bronzerun-";

/// Options of the callers' interface.
#[derive(Clone, Copy, Debug)]
pub struct FrontOptions {
    /// Limits of requests.
    pub limits: WebLimits,
    /// Silence of an endpoint after which its stream is dead.
    pub silence_limit: Duration,
    /// Time in which a caller must take the next bytes.
    pub client_timeout: Duration,
}

/// Service of the callers' address.
#[derive(Clone)]
pub struct CallerFront {
    border: Rc<GatewayBorder>,
    replies: GatewayReplies,
    tools: ExchangeTools,
    limits: WebLimits,
    run: u64,
    next: Rc<Cell<CallId>>,
}

#[derive(Serialize)]
struct ModelsWire {
    object: &'static str,
    data: Vec<ModelWire>,
}

#[derive(Serialize)]
struct ModelWire {
    id: ServiceName,
    object: &'static str,
    created: u64,
    owned_by: &'static str,
}

impl CallerFront {
    /// Front that passes calls to the loop.
    pub fn new(
        border: Rc<GatewayBorder>,
        client: WebClient,
        clock: Rc<dyn ClockSource>,
        events: UnboundedSender<GatewayEvent>,
        replies: GatewayReplies,
        options: FrontOptions,
    ) -> Self {
        let times = ExchangeTimes {
            silence_limit: options.silence_limit,
            client_timeout: options.client_timeout,
        };
        let tools = ExchangeTools {
            client,
            clock,
            events,
            times,
        };
        Self {
            border,
            replies,
            tools,
            limits: options.limits,
            run: seed_from_system(),
            next: Rc::default(),
        }
    }

    async fn route(&self, request: Request<Incoming>) -> WebResponse {
        match request.uri().path() {
            "/healthz" => text_response(StatusCode::OK, "alive"),
            "/readyz" => ready_reply(&self.replies).await,
            "/v1/models" => self.list_models(request.method(), request.headers()).await,
            _ => self.call(request).await,
        }
    }

    async fn list_models(&self, method: &Method, headers: &HeaderMap) -> WebResponse {
        if method != Method::GET {
            return parse_reply(&ParseError::Method { allowed: "GET" });
        }
        let digest = match parse_digest(headers) {
            Ok(digest) => digest,
            Err(error) => return parse_reply(&error),
        };
        match self
            .replies
            .request(GatewayQuestion::Services(digest))
            .await
        {
            Some(GatewayAnswer::Services(Some(services))) => {
                json_response(StatusCode::OK, &models_wire(services))
            }
            Some(_) => unknown_key_reply(),
            None => stopped_reply(),
        }
    }

    async fn call(&self, request: Request<Incoming>) -> WebResponse {
        let (parts, body) = request.into_parts();
        let terms = match parse_terms(&parts.headers) {
            Ok(terms) => terms,
            Err(error) => return parse_reply(&error),
        };
        let body = match receive_body(body, &self.limits).await {
            Ok(body) => body,
            Err(error) => return receive_reply(&error),
        };
        match parse_call(&parts, &body) {
            Ok(parsed) => self.run_call(terms, parsed, parts, body).await,
            Err(error) => parse_reply(&error),
        }
    }

    async fn run_call(
        &self,
        terms: CallTerms,
        parsed: ParsedCall,
        parts: Parts,
        body: Bytes,
    ) -> WebResponse {
        let call = self.next_call();
        let (sender, reply) = oneshot::channel();
        let request = EndpointRequest {
            method: parts.method,
            path: parsed.path,
            headers: endpoint_headers(&parts.headers),
            body,
            streams: parsed.streams,
            id: self.request_id(call),
        };
        let exchange = CallExchange::new(call, request, self.tools.clone(), sender);
        let events = self.tools.events.clone();
        let task = CallTask::new(call, self.border.clone(), events.clone(), exchange);
        let arrival = CallArrival {
            call,
            digest: terms.digest,
            service: parsed.service,
            kind: parsed.kind,
            key: terms.key,
            priority: terms.priority,
            timeout: terms.timeout,
        };
        let arrived = events.unbounded_send(GatewayEvent::CallArrived(arrival));
        if arrived.is_err() {
            return stopped_reply();
        }
        // A task of its own outlives a caller that leaves, so that the end of a
        // non-idempotent call is still recorded.
        monoio::spawn(task.run());
        reply.await.unwrap_or_else(|_| cut_reply())
    }

    fn next_call(&self) -> CallId {
        let call = self.next.get().next();
        self.next.set(call);
        call
    }

    /// Identifier that no other call of any gateway has.
    fn request_id(&self, call: CallId) -> HeaderValue {
        let id = format!("{:016x}-{call}", self.run);
        HeaderValue::from_str(&id).expect("digits and a dash make a header")
    }
}

/// Headers that go on to an endpoint; the API key stays here.
fn endpoint_headers(headers: &HeaderMap) -> HeaderMap {
    let mut headers = forwarded_headers(headers);
    headers.remove(AUTHORIZATION);
    headers.remove(REQUEST_HEADER);
    let own: Vec<_> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(OWN_HEADERS))
        .cloned()
        .collect();
    for name in own {
        headers.remove(name);
    }
    headers
}

fn models_wire(services: Vec<ServiceName>) -> ModelsWire {
    let data = services.into_iter().map(|id| ModelWire {
        id,
        object: "model",
        created: 0,
        owned_by: "bronzerun",
    });
    ModelsWire {
        object: "list",
        data: data.collect(),
    }
}

impl WebService for CallerFront {
    fn answer(&self, request: Request<Incoming>) -> LocalBoxFuture<'static, WebResponse> {
        let this = self.clone();
        Box::pin(async move { this.route(request).await })
    }
}
