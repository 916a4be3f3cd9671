//! Admin interface: status, health and readiness, for operators and the load
//! balancer.

use std::cell::RefCell;
use std::rc::Rc;

use futures_util::future::LocalBoxFuture;
use http::{Request, StatusCode};
use interface::status::{
    ConfigStatusWire, GroupStatusWire, HistogramWire, LimitStatusWire, StatusWire,
};
use interface::{RoleWire, STATUS_PATH};
use net::HistogramSet;
use net::web::RequestBody;
use net::web::{WebResponse, WebService, json_response, text_response};

use super::GatewayReplies;
use crate::{GatewayQuery, GatewayReply, GatewayStatus};

/// HTTP service of the admin address.
#[derive(Clone)]
pub struct AdminService {
    replies: GatewayReplies,
    histograms: Rc<RefCell<HistogramSet>>,
}

impl AdminService {
    /// Service that gets its data from the event loop and from `histograms`.
    pub fn new(replies: GatewayReplies, histograms: Rc<RefCell<HistogramSet>>) -> Self {
        Self {
            replies,
            histograms,
        }
    }

    async fn route(&self, path: &str) -> WebResponse {
        match path {
            "/healthz" => text_response(StatusCode::OK, "alive"),
            "/readyz" => readiness_response(&self.replies).await,
            STATUS_PATH => self.status().await,
            _ => text_response(StatusCode::NOT_FOUND, "no such page"),
        }
    }

    async fn status(&self) -> WebResponse {
        match self.replies.request(GatewayQuery::Status).await {
            Some(GatewayReply::Status(status)) => {
                json_response(StatusCode::OK, &self.status_wire(&status))
            }
            _ => text_response(StatusCode::SERVICE_UNAVAILABLE, "the gateway has stopped"),
        }
    }

    fn status_wire(&self, status: &GatewayStatus) -> StatusWire {
        let histograms = self.histograms.borrow();
        StatusWire {
            node: status.node.clone(),
            role: RoleWire::Gateway,
            ready: status.ready,
            configuration: ConfigStatusWire::from(&status.config),
            groups: group_wires(status),
            limits: limit_wires(status),
            histograms: histograms.summaries().map(HistogramWire::from).collect(),
        }
    }
}

/// Response of the readiness check.
pub async fn readiness_response(replies: &GatewayReplies) -> WebResponse {
    match replies.request(GatewayQuery::Ready).await {
        Some(GatewayReply::Ready(true)) => text_response(StatusCode::OK, "ready"),
        _ => text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
    }
}

fn group_wires(status: &GatewayStatus) -> Vec<GroupStatusWire> {
    let groups = status.groups.iter();
    groups
        .map(|(group, status)| GroupStatusWire::new(group, status.epoch, &status.readiness))
        .collect()
}

fn limit_wires(status: &GatewayStatus) -> Vec<LimitStatusWire> {
    let depths = status.queues.iter();
    depths
        .map(|depth| LimitStatusWire {
            workspace: depth.workspace.clone(),
            service: depth.service.clone(),
            running: depth.running,
            waiting: depth.waiting,
        })
        .collect()
}

impl WebService for AdminService {
    fn answer(&self, request: Request<RequestBody>) -> LocalBoxFuture<'static, WebResponse> {
        let this = self.clone();
        Box::pin(async move { this.route(request.uri().path()).await })
    }
}
