//! Admin interface: status and health, for operators.

use futures_util::future::LocalBoxFuture;
use groups::GroupHealth;
use http::{Request, StatusCode};
use interface::status::{ConfigStatusWire, GroupStatusWire, StatusWire};
use interface::{RoleWire, STATUS_PATH};
use net::web::RequestBody;
use net::web::{WebResponse, WebService, json_response, text_response};

use super::ControllerReplies;
use crate::ControllerStatus;

/// HTTP service of the admin address.
#[derive(Clone)]
pub struct AdminService {
    replies: ControllerReplies,
}

impl AdminService {
    /// Service that gets the status from the event loop.
    pub fn new(replies: ControllerReplies) -> Self {
        Self { replies }
    }

    async fn route(&self, path: &str) -> WebResponse {
        match path {
            "/healthz" => text_response(StatusCode::OK, "alive"),
            STATUS_PATH => self.status().await,
            _ => text_response(StatusCode::NOT_FOUND, "no such page"),
        }
    }

    async fn status(&self) -> WebResponse {
        match self.replies.request(()).await {
            Some(status) => json_response(StatusCode::OK, &status_wire(&status)),
            None => text_response(
                StatusCode::SERVICE_UNAVAILABLE,
                "the controller has stopped",
            ),
        }
    }
}

fn status_wire(status: &ControllerStatus) -> StatusWire {
    let groups = status.fabrics.iter().flat_map(|fabric| &fabric.groups);
    StatusWire {
        node: status.node.clone(),
        role: RoleWire::Controller,
        ready: status.ready,
        configuration: ConfigStatusWire::from(&status.config),
        groups: groups.map(group_wire).collect(),
        limits: Vec::new(),
        histograms: Vec::new(),
    }
}

fn group_wire(health: &GroupHealth) -> GroupStatusWire {
    GroupStatusWire::new(&health.group.group, health.group.epoch, &health.readiness)
}

impl WebService for AdminService {
    fn answer(&self, request: Request<RequestBody>) -> LocalBoxFuture<'static, WebResponse> {
        let this = self.clone();
        Box::pin(async move { this.route(request.uri().path()).await })
    }
}
