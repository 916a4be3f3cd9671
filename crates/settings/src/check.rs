//! Parses and validates the text of a settings file.

use std::fmt::Display;
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::RangeInclusive;
use std::str::FromStr;

use base::prelude::*;
use log::LevelFilter;
use serde_saphyr::{Location, Spanned};

use crate::wire::{ControllerWire, GatewayWire, HostWire, PeerWire};
use crate::{
    ControllerSettings, GatewaySettings, HostSettings, PeerSettings, SettingFault, SettingsError,
};

const MILLIS_RANGE: RangeInclusive<u64> = 1..=600_000;
const CONNECTION_LIMIT_RANGE: RangeInclusive<u64> = 1..=100_000;
const BODY_BYTES_RANGE: RangeInclusive<u64> = 1_024..=64 * 1_024 * 1_024;

const DEFAULT_POLL_INTERVAL_MS: u64 = 500;
const DEFAULT_REPORT_VALIDITY_MS: u64 = 2_000;
const DEFAULT_SILENCE_LIMIT_MS: u64 = 15_000;
const DEFAULT_BALANCER_NOTICE_MS: u64 = 5_000;
const DEFAULT_DRAIN_LIMIT_MS: u64 = 120_000;
const DEFAULT_CONNECTION_LIMIT: u64 = 4_096;
const DEFAULT_BODY_LIMIT_BYTES: u64 = 4 * 1_024 * 1_024;
const DEFAULT_CLIENT_TIMEOUT_MS: u64 = 30_000;

/// Parses and validates a settings file; the error lists all faults found.
pub fn parse_settings(text: &str) -> Result<HostSettings, SettingsError> {
    let wire: HostWire = serde_saphyr::from_str(text).map_err(|error| syntax_error(&error))?;
    let mut checker = Checker::default();
    let settings = checker.host(wire);
    if checker.faults.is_empty() {
        return Ok(settings);
    }
    checker
        .faults
        .sort_by_key(|fault| (fault.line, fault.column));
    Err(SettingsError::Faulty(checker.faults))
}

fn syntax_error(error: &serde_saphyr::Error) -> SettingsError {
    let (line, column) = error
        .location()
        .map_or((1, 1), |location| (location.line(), location.column()));
    let message = error.without_snippet().to_string();
    let suffix = format!(" at line {line}, column {column}");
    let message = message.strip_suffix(&suffix).unwrap_or(&message).to_owned();
    SettingsError::Faulty(vec![SettingFault {
        line,
        column,
        message,
    }])
}

/// Collects faults, so that all of them are reported at once.
#[derive(Default)]
struct Checker {
    faults: Vec<SettingFault>,
}

impl Checker {
    fn host(&mut self, wire: HostWire) -> HostSettings {
        let settings = HostSettings {
            node: self.name(&wire.node, NodeName::new),
            domain: self.name(&wire.failure_domain, DomainName::new),
            platform: self.address(&wire.platform, "platform"),
            log_level: self.level(wire.log_level.as_ref()),
            statsd: wire.statsd.map(|text| self.address(&text, "statsd")),
            gateway: self.gateway(&wire.gateway),
            controller: self.controller(&wire.controller),
        };
        self.check_ports(&wire.gateway, &wire.controller, &settings);
        settings
    }

    fn gateway(&mut self, wire: &GatewayWire) -> GatewaySettings {
        let settings = GatewaySettings {
            listen: self.address(&wire.listen, "listen"),
            admin: self.address(&wire.admin, "admin"),
            poll_interval: self.millis(wire.poll_interval_ms.as_ref(), DEFAULT_POLL_INTERVAL_MS),
            report_validity: self
                .millis(wire.report_validity_ms.as_ref(), DEFAULT_REPORT_VALIDITY_MS),
            silence_limit: self.millis(wire.silence_limit_ms.as_ref(), DEFAULT_SILENCE_LIMIT_MS),
            balancer_notice: self
                .millis(wire.balancer_notice_ms.as_ref(), DEFAULT_BALANCER_NOTICE_MS),
            drain_limit: self.millis(wire.drain_limit_ms.as_ref(), DEFAULT_DRAIN_LIMIT_MS),
            connection_limit: self.size(
                wire.connection_limit.as_ref(),
                DEFAULT_CONNECTION_LIMIT,
                CONNECTION_LIMIT_RANGE,
            ),
            body_limit: self.size(
                wire.body_limit_bytes.as_ref(),
                DEFAULT_BODY_LIMIT_BYTES,
                BODY_BYTES_RANGE,
            ),
            client_timeout: self.millis(wire.client_timeout_ms.as_ref(), DEFAULT_CLIENT_TIMEOUT_MS),
            peers: wire.peers.as_ref().map(|peers| self.peers(peers)),
        };
        self.check_validity(wire, &settings);
        settings
    }

    fn peers(&mut self, wire: &PeerWire) -> PeerSettings {
        let seeds = wire.seeds.iter();
        let settings = PeerSettings {
            listen: self.address(&wire.listen, "listen"),
            seeds: seeds.map(|seed| self.address(seed, "seeds")).collect(),
            region: self.name(&wire.region, RegionName::new),
        };
        if settings.listen.ip().is_unspecified() {
            let message = format!(
                "'{}' is not an address that other nodes can connect to: \
                 give the address at which they reach this host",
                settings.listen,
            );
            self.push(wire.listen.referenced, message);
        }
        settings
    }

    fn controller(&mut self, wire: &ControllerWire) -> ControllerSettings {
        ControllerSettings {
            admin: self.address(&wire.admin, "admin"),
            poll_interval: self.millis(wire.poll_interval_ms.as_ref(), DEFAULT_POLL_INTERVAL_MS),
        }
    }

    /// Checks that reports stay valid until the next poll; otherwise groups would appear to lose
    /// their members between two polls.
    fn check_validity(&mut self, wire: &GatewayWire, settings: &GatewaySettings) {
        if settings.report_validity > settings.poll_interval {
            return;
        }
        let fields = [&wire.report_validity_ms, &wire.poll_interval_ms];
        if let Some(field) = fields.into_iter().flatten().next() {
            let message = format!(
                "'report_validity_ms' is {} and 'poll_interval_ms' is {}: \
                 make the validity at least twice the interval",
                settings.report_validity.as_millis(),
                settings.poll_interval.as_millis(),
            );
            self.push(field.referenced, message);
        }
    }

    fn check_ports(
        &mut self,
        gateway: &GatewayWire,
        controller: &ControllerWire,
        settings: &HostSettings,
    ) {
        let mut listeners = vec![
            (settings.gateway.listen, &gateway.listen),
            (settings.gateway.admin, &gateway.admin),
            (settings.controller.admin, &controller.admin),
        ];
        let peers = settings.gateway.peers.iter().zip(&gateway.peers);
        listeners.extend(peers.map(|(peers, wire)| (peers.listen, &wire.listen)));
        for (index, (address, field)) in listeners.iter().enumerate() {
            let previous = &listeners[..index];
            if address.port() != 0 && previous.iter().any(|(other, _)| other == address) {
                let message = format!("'{address}' is used twice: give each listener its own port");
                self.push(field.referenced, message);
            }
        }
    }

    fn name<T: Placeholder>(
        &mut self,
        text: &Spanned<String>,
        parse: impl Fn(&str) -> Result<T, NameError>,
    ) -> T {
        parse(&text.value).unwrap_or_else(|error| {
            self.push(text.referenced, &error);
            T::placeholder()
        })
    }

    fn address(&mut self, text: &Spanned<String>, field: &str) -> SocketAddr {
        SocketAddr::from_str(&text.value).unwrap_or_else(|_| {
            let message = format!(
                "'{}' is not an address: give '{field}' as an IP number and a port, \
                 such as '10.0.0.7:8080'",
                text.value,
            );
            self.push(text.referenced, message);
            SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
        })
    }

    fn level(&mut self, text: Option<&Spanned<String>>) -> LevelFilter {
        let Some(text) = text else {
            return LevelFilter::Info;
        };
        LevelFilter::from_str(&text.value).unwrap_or_else(|_| {
            let message = format!(
                "'{}' is not a log level: write error, warn, info, debug or trace",
                text.value,
            );
            self.push(text.referenced, message);
            LevelFilter::Info
        })
    }

    fn millis(&mut self, number: Option<&Spanned<u64>>, default: u64) -> Duration {
        Duration::from_millis(self.number(number, default, MILLIS_RANGE))
    }

    fn size(
        &mut self,
        number: Option<&Spanned<u64>>,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> usize {
        usize::try_from(self.number(number, default, range))
            .expect("the ranges of sizes fit into usize")
    }

    fn number(
        &mut self,
        number: Option<&Spanned<u64>>,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> u64 {
        let Some(number) = number else {
            return default;
        };
        if !range.contains(&number.value) {
            let message = format!(
                "{} is out of range: write a number from {} to {}",
                number.value,
                range.start(),
                range.end(),
            );
            self.push(number.referenced, message);
            return default;
        }
        number.value
    }

    fn push(&mut self, location: Location, message: impl Display) {
        self.faults.push(SettingFault {
            line: location.line(),
            column: location.column(),
            message: message.to_string(),
        });
    }
}

/// Substitute for an invalid name, so that the remaining settings can be checked.
trait Placeholder {
    fn placeholder() -> Self;
}

impl Placeholder for NodeName {
    fn placeholder() -> Self {
        Self::new("node").expect("the text is a valid name")
    }
}

impl Placeholder for DomainName {
    fn placeholder() -> Self {
        Self::new("domain").expect("the text is a valid name")
    }
}

impl Placeholder for RegionName {
    fn placeholder() -> Self {
        Self::new("region").expect("the text is a valid name")
    }
}
