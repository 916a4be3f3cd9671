//! Route and service of a request.

use base::prelude::*;

use crate::{Route, RoutingConfig};

/// Route of the host with the longest prefix of the path.
///
/// A port after the host name is ignored, and so is its case.
pub fn find_route<'a>(config: &'a RoutingConfig, host: &str, path: &str) -> Option<&'a Arc<Route>> {
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    let lower;
    let name = if name.bytes().any(|byte| byte.is_ascii_uppercase()) {
        lower = name.to_ascii_lowercase();
        &lower
    } else {
        name
    };
    let routes = config.routes.get(name)?;
    routes.iter().find(|route| path.starts_with(&*route.prefix))
}

/// Service for one request of a route, chosen by weight; `draw` is a random number.
///
/// `None` if the weights add up to zero.
pub fn pick_service(route: &Route, draw: u64) -> Option<&ServiceName> {
    let total: u64 = route
        .services
        .iter()
        .map(|service| u64::from(service.weight))
        .sum();
    let mut remaining = draw.checked_rem(total)?;
    for weighted in &route.services {
        let weight = u64::from(weighted.weight);
        if remaining < weight {
            return Some(&weighted.service);
        }
        remaining -= weight;
    }
    None
}
