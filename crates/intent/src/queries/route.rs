//! The route of a request.

use base::prelude::*;

use crate::{Route, RoutingConfig};

/// Route with the longest prefix that begins the path.
///
/// A port in the host name doesn't count.
pub fn find_route<'a>(intent: &'a RoutingConfig, host: &str, path: &str) -> Option<&'a Arc<Route>> {
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    let lower;
    let name = if name.bytes().any(|byte| byte.is_ascii_uppercase()) {
        lower = name.to_ascii_lowercase();
        &lower
    } else {
        name
    };
    let routes = intent.routes.get(name)?;
    routes.iter().find(|route| path.starts_with(&*route.prefix))
}

/// Service for one request of a route; `draw` spreads requests by weight.
pub fn pick_service(route: &Route, draw: u64) -> Option<&ServiceName> {
    let total: u64 = route
        .targets
        .iter()
        .map(|target| u64::from(target.weight))
        .sum();
    let mut rest = draw.checked_rem(total)?;
    for target in &route.targets {
        let weight = u64::from(target.weight);
        if rest < weight {
            return Some(&target.service);
        }
        rest -= weight;
    }
    None
}
