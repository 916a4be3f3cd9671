//! Callers' interface: model calls and plain services.

use std::cell::Cell;
use std::rc::Rc;

use base::prelude::*;
use exchange::HeldRequest;
use futures_channel::mpsc::UnboundedSender;
use futures_channel::oneshot;
use futures_util::future::LocalBoxFuture;
use http::header::AUTHORIZATION;
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode};
use net::seed_from_system;
use net::web::RequestBody;
use net::web::{
    UnreadRequest, WebClient, WebLimits, WebResponse, WebService, WholeRequest, drop_request,
    json_response, receive_request, text_response,
};
use serde::Serialize;

use super::GatewayReplies;
use super::admin::readiness_response;
use super::exchange::{CallExchange, ExchangeContext, ExchangeTimes};
use super::executor::GatewayExecutor;
use super::parse::{CallHeaders, ParseError, ParsedCall, parse_call, parse_digest, parse_headers};
use super::request::EndpointRequest;
use super::response::{
    REQUEST_HEADER, forwarded_headers, interrupted_response, parse_error_response,
    receive_error_response, refusal_response, stopped_response,
};
use super::task::CallTask;
use crate::{CallArrival, GatewayEvent, GatewayQuery, GatewayReply};

/// Options of the callers' interface.
#[derive(Clone, Copy, Debug)]
pub struct IngressOptions {
    /// Limits of connections and requests.
    pub limits: WebLimits,
    /// Silence of an endpoint after which its stream counts as lost.
    pub silence_limit: Duration,
    /// Time within which a caller must accept the next bytes.
    pub client_timeout: Duration,
}

/// HTTP service of the callers' address.
#[derive(Clone)]
pub struct IngressService {
    executor: Rc<GatewayExecutor>,
    replies: GatewayReplies,
    context: ExchangeContext,
    limits: WebLimits,
    instance: u64,
    last_call: Rc<Cell<CallId>>,
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

impl IngressService {
    /// Service that passes calls to the event loop.
    pub fn new(
        executor: Rc<GatewayExecutor>,
        client: WebClient,
        clock: Rc<dyn ClockSource>,
        events: UnboundedSender<GatewayEvent>,
        replies: GatewayReplies,
        options: IngressOptions,
    ) -> Self {
        let times = ExchangeTimes {
            silence_limit: options.silence_limit,
            client_timeout: options.client_timeout,
        };
        let context = ExchangeContext {
            client,
            clock,
            events,
            times,
        };
        Self {
            executor,
            replies,
            context,
            limits: options.limits,
            instance: seed_from_system(),
            last_call: Rc::default(),
        }
    }

    async fn route(&self, request: Request<RequestBody>) -> WebResponse {
        match request.uri().path() {
            "/healthz" => text_response(StatusCode::OK, "alive"),
            "/readyz" => readiness_response(&self.replies).await,
            "/v1/models" => self.list_models(request).await,
            _ => self.call(request).await,
        }
    }

    async fn list_models(&self, request: Request<RequestBody>) -> WebResponse {
        if request.method() != Method::GET {
            let error = ParseError::Method { allowed: "GET" };
            return parse_error_response(&error, drop_request(request));
        }
        let digest = match parse_digest(request.headers()) {
            Ok(digest) => digest,
            Err(error) => return parse_error_response(&error, drop_request(request)),
        };
        match self.replies.request(GatewayQuery::Services(digest)).await {
            Some(GatewayReply::Services(Ok(services))) => {
                json_response(StatusCode::OK, &models_wire(services))
            }
            Some(GatewayReply::Services(Err(refusal))) => {
                refusal_response(&refusal, self.context.clock.now())
            }
            Some(_) | None => stopped_response(drop_request(request)),
        }
    }

    async fn call(&self, request: Request<RequestBody>) -> WebResponse {
        let call_headers = match parse_headers(request.headers()) {
            Ok(call_headers) => call_headers,
            Err(error) => return parse_error_response(&error, drop_request(request)),
        };
        let held = match receive_request(request, &self.limits).await {
            Ok(held) => held,
            Err(UnreadRequest { error, proof }) => return receive_error_response(&error, proof),
        };
        match parse_call(held.request().parts(), held.request().body()) {
            Ok(parsed) => self.run_call(held, call_headers, parsed).await,
            Err(error) => parse_error_response(&error, held.give_up()),
        }
    }

    async fn run_call(
        &self,
        held: HeldRequest<WholeRequest>,
        call_headers: CallHeaders,
        parsed: ParsedCall,
    ) -> WebResponse {
        let call = self.next_call();
        let arrival = CallArrival {
            call,
            digest: call_headers.digest,
            service: parsed.service,
            kind: parsed.kind,
            key: call_headers.key,
            priority: call_headers.priority,
            timeout: call_headers.timeout,
        };
        let events = &self.context.events;
        let sent = events.unbounded_send(GatewayEvent::CallArrived(arrival));
        if sent.is_err() {
            return stopped_response(held.give_up());
        }
        let (parts, body) = held.release().split();
        let (sender, response) = oneshot::channel();
        let request = EndpointRequest {
            method: parts.method,
            path: parsed.path,
            headers: endpoint_headers(&parts.headers),
            body,
            streams: parsed.streams,
            id: self.request_id(call),
        };
        let exchange = CallExchange::new(call, request, self.context.clone(), sender);
        let task = CallTask::new(call, self.executor.clone(), exchange);
        // The task is spawned so that it outlives a caller that disconnects: the
        // outcome of a non-idempotent call must still be recorded.
        monoio::spawn(task.run());
        response.await.unwrap_or_else(|_| interrupted_response())
    }

    fn next_call(&self) -> CallId {
        let call = self.last_call.get().next();
        self.last_call.set(call);
        call
    }

    /// Request identifier, unique among all gateways and their restarts.
    fn request_id(&self, call: CallId) -> HeaderValue {
        let id = format!("{:016x}-{call}", self.instance);
        HeaderValue::from_str(&id).expect("digits and a dash make a header")
    }
}

/// Headers to forward to an endpoint, without the API key.
fn endpoint_headers(headers: &HeaderMap) -> HeaderMap {
    let mut headers = forwarded_headers(headers);
    headers.remove(AUTHORIZATION);
    headers.remove(REQUEST_HEADER);
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

impl WebService for IngressService {
    fn answer(&self, request: Request<RequestBody>) -> LocalBoxFuture<'static, WebResponse> {
        let this = self.clone();
        Box::pin(async move { this.route(request).await })
    }
}
