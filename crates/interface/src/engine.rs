//! Orders to model engines and their reports.

use std::net::SocketAddr;
use std::rc::Rc;

use base::prelude::*;
use futures_util::future::LocalBoxFuture;
use groups::{HostOrder, HostReport};
use http::StatusCode;
use net::web::{CollectOutcome, WebClient, empty_body, full_body};

use crate::wire::{OrderWire, ReportWire};

/// Largest report in bytes.
const REPORT_LIMIT: usize = 64 * 1_024;

/// End of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine took it.
    Accepted,
    /// The engine has seen a newer token.
    Fenced,
    /// The engine refused it or gave no answer.
    Unknown,
}

/// End of a call for a report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReportOutcome {
    /// The engine's report.
    Reported(HostReport),
    /// The engine gave no answer.
    Silent,
}

/// Control interface of model engines.
pub trait EngineClient {
    /// Asks an engine for its report.
    fn report(
        &self,
        engine: SocketAddr,
        deadline: ClockTime,
    ) -> LocalBoxFuture<'static, ReportOutcome>;

    /// Gives an engine an order, unless the deadline has passed.
    fn order(
        &self,
        engine: SocketAddr,
        order: HostOrder,
        deadline: ClockTime,
    ) -> LocalBoxFuture<'static, OrderOutcome>;
}

/// Engines over HTTP.
#[derive(Clone)]
pub struct HttpEngineClient {
    client: WebClient,
    clock: Rc<dyn ClockSource>,
}

impl HttpEngineClient {
    /// Port that uses a client's connections.
    pub fn new(client: WebClient, clock: Rc<dyn ClockSource>) -> Self {
        Self { client, clock }
    }

    async fn fetch_report(&self, engine: SocketAddr, deadline: ClockTime) -> Option<HostReport> {
        let request = http::Request::get("/status").body(empty_body()).ok()?;
        let outcome = self
            .client
            .collect(engine, request, REPORT_LIMIT, deadline)
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
            serde_json::to_vec(&OrderWire::from(order)).expect("wire types have a JSON form");
        let Ok(request) = http::Request::post("/orders").body(full_body(body)) else {
            return OrderOutcome::Unknown;
        };
        let outcome = self
            .client
            .collect(engine, request, REPORT_LIMIT, deadline)
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
