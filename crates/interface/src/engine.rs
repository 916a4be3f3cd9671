//! Control interface of model engines: orders to them and their reports.

use std::net::SocketAddr;
use std::rc::Rc;

use base::prelude::*;
use futures_util::future::LocalBoxFuture;
use groups::{HostOrder, HostReport};
use http::StatusCode;
use net::web::{CollectOutcome, WebClient, empty_body, full_body};

use crate::wire::{OrderWire, ReportWire};

/// Maximum size of a report.
const MAX_REPORT_BYTES: usize = 64 * 1_024;

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine accepted the order.
    Accepted,
    /// The engine refused the order, as it has seen a newer fencing token.
    Fenced,
    /// The engine refused the order for another reason or did not respond.
    Unknown,
}

/// Outcome of a request for a report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReportOutcome {
    /// The report that the engine returned.
    Reported(HostReport),
    /// No valid response was received.
    Silent,
}

/// Client of the control interface of model engines.
pub trait EngineClient {
    /// Requests a report from an engine.
    fn report(
        &self,
        engine: SocketAddr,
        deadline: ClockTime,
    ) -> LocalBoxFuture<'static, ReportOutcome>;

    /// Sends an order to an engine, unless the deadline has passed.
    fn order(
        &self,
        engine: SocketAddr,
        order: HostOrder,
        deadline: ClockTime,
    ) -> LocalBoxFuture<'static, OrderOutcome>;
}

/// HTTP client of model engines.
///
/// Their answers to orders and requests for reports name no request, so each of these has a
/// connection of its own.
#[derive(Clone)]
pub struct HttpEngineClient {
    client: WebClient,
    clock: Rc<dyn ClockSource>,
}

impl HttpEngineClient {
    /// Creates a client.
    pub fn new(clock: Rc<dyn ClockSource>) -> Self {
        let client = WebClient::new(clock.clone());
        Self { client, clock }
    }

    async fn fetch_report(&self, engine: SocketAddr, deadline: ClockTime) -> Option<HostReport> {
        let request = http::Request::get("/status").body(empty_body()).ok()?;
        let outcome = self
            .client
            .collect(engine, request, MAX_REPORT_BYTES, deadline)
            .await;
        match outcome {
            CollectOutcome::Response(parts, body) if parts.status.is_success() => {
                let wire: ReportWire = serde_json::from_slice(&body).ok()?;
                Some(wire.into())
            }
            _ => None,
        }
    }

    async fn send_order(
        &self,
        engine: SocketAddr,
        order: HostOrder,
        deadline: ClockTime,
    ) -> OrderOutcome {
        if self.clock.now() >= deadline {
            return OrderOutcome::Unknown;
        }
        let body =
            serde_json::to_vec(&OrderWire::from(order)).expect("wire types can be encoded as JSON");
        let Ok(request) = http::Request::post("/orders").body(full_body(body)) else {
            return OrderOutcome::Unknown;
        };
        let outcome = self
            .client
            .collect(engine, request, MAX_REPORT_BYTES, deadline)
            .await;
        match outcome {
            CollectOutcome::Response(parts, _) if parts.status.is_success() => {
                OrderOutcome::Accepted
            }
            CollectOutcome::Response(parts, _) if parts.status == StatusCode::CONFLICT => {
                OrderOutcome::Fenced
            }
            _ => OrderOutcome::Unknown,
        }
    }
}

impl EngineClient for HttpEngineClient {
    fn report(
        &self,
        engine: SocketAddr,
        deadline: ClockTime,
    ) -> LocalBoxFuture<'static, ReportOutcome> {
        let this = self.clone();
        Box::pin(async move {
            match this.fetch_report(engine, deadline).await {
                Some(report) => ReportOutcome::Reported(report),
                None => ReportOutcome::Silent,
            }
        })
    }

    fn order(
        &self,
        engine: SocketAddr,
        order: HostOrder,
        deadline: ClockTime,
    ) -> LocalBoxFuture<'static, OrderOutcome> {
        let this = self.clone();
        Box::pin(async move { this.send_order(engine, order, deadline).await })
    }
}
