//! YAML form of the settings.

use serde::Deserialize;
use serde_saphyr::Spanned;

/// Settings file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostWire {
    pub node: Spanned<String>,
    pub failure_domain: Spanned<String>,
    pub platform: Spanned<String>,
    pub log_level: Option<Spanned<String>>,
    pub statsd: Option<Spanned<String>>,
    pub gateway: GatewayWire,
    pub controller: ControllerWire,
}

/// Section `gateway`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewayWire {
    pub listen: Spanned<String>,
    pub admin: Spanned<String>,
    pub poll_interval_ms: Option<Spanned<u64>>,
    pub report_validity_ms: Option<Spanned<u64>>,
    pub silence_limit_ms: Option<Spanned<u64>>,
    pub balancer_notice_ms: Option<Spanned<u64>>,
    pub drain_limit_ms: Option<Spanned<u64>>,
    pub connection_limit: Option<Spanned<u64>>,
    pub body_limit_bytes: Option<Spanned<u64>>,
    pub client_timeout_ms: Option<Spanned<u64>>,
    pub peers: Option<PeerWire>,
}

/// Section `gateway.peers`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerWire {
    pub listen: Spanned<String>,
    #[serde(default)]
    pub seeds: Vec<Spanned<String>>,
    pub region: Spanned<String>,
}

/// Section `controller`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControllerWire {
    pub admin: Spanned<String>,
    pub poll_interval_ms: Option<Spanned<u64>>,
}
