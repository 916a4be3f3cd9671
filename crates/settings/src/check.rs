//! From the text of a settings file to checked settings.

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

const MILLIS: RangeInclusive<u64> = 1..=600_000;
const CONNECTIONS: RangeInclusive<u64> = 1..=100_000;
const BODY_BYTES: RangeInclusive<u64> = 1_024..=64 * 1_024 * 1_024;

const DEFAULT_POLL_MS: u64 = 500;
const DEFAULT_VALIDITY_MS: u64 = 2_000;
const DEFAULT_SILENCE_MS: u64 = 15_000;
const DEFAULT_NOTICE_MS: u64 = 5_000;
const DEFAULT_DRAIN_MS: u64 = 120_000;
const DEFAULT_CONNECTIONS: u64 = 4_096;
const DEFAULT_BODY_BYTES: u64 = 4 * 1_024 * 1_024;
const DEFAULT_CLIENT_MS: u64 = 30_000;

/// Parses and checks a settings file; the error lists every fault found.
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
        .map_or((1, 1), |place| (place.line(), place.column()));
    let message = error.without_snippet().to_string();
    let suffix = format!(" at line {line}, column {column}");
    let message = message.strip_suffix(&suffix).unwrap_or(&message).to_owned();
    SettingsError::Faulty(vec![SettingFault {
        line,
        column,
        message,
    }])
}

/// Collects faults, so that one run names them all.
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
            poll_interval: self.millis(wire.poll_interval_ms.as_ref(), DEFAULT_POLL_MS),
            report_validity: self.millis(wire.report_validity_ms.as_ref(), DEFAULT_VALIDITY_MS),
            silence_limit: self.millis(wire.silence_limit_ms.as_ref(), DEFAULT_SILENCE_MS),
            balancer_notice: self.millis(wire.balancer_notice_ms.as_ref(), DEFAULT_NOTICE_MS),
            drain_limit: self.millis(wire.drain_limit_ms.as_ref(), DEFAULT_DRAIN_MS),
            connection_limit: self.size(
                wire.connection_limit.as_ref(),
                DEFAULT_CONNECTIONS,
                CONNECTIONS,
            ),
            body_limit: self.size(
                wire.body_limit_bytes.as_ref(),
                DEFAULT_BODY_BYTES,
                BODY_BYTES,
            ),
            client_timeout: self.millis(wire.client_timeout_ms.as_ref(), DEFAULT_CLIENT_MS),
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
                "'{}' is no address that other nodes can connect to: \
                 give the one by which they reach this host",
                settings.listen,
            );
            self.push(wire.listen.referenced, message);
        }
        settings
    }

    fn controller(&mut self, wire: &ControllerWire) -> ControllerSettings {
        ControllerSettings {
            admin: self.address(&wire.admin, "admin"),
            poll_interval: self.millis(wire.poll_interval_ms.as_ref(), DEFAULT_POLL_MS),
        }
    }

    /// A group would seem to lose its members between any two answers.
    fn check_validity(&mut self, wire: &GatewayWire, settings: &GatewaySettings) {
        if settings.report_validity > settings.poll_interval {
            return;
        }
        let places = [&wire.report_validity_ms, &wire.poll_interval_ms];
        if let Some(place) = places.into_iter().flatten().next() {
            let message = format!(
                "'report_validity_ms' is {} and 'poll_interval_ms' is {}: \
                 make the validity at least twice the interval",
                settings.report_validity.as_millis(),
                settings.poll_interval.as_millis(),
            );
            self.push(place.referenced, message);
        }
    }

    fn check_ports(
        &mut self,
        gateway: &GatewayWire,
        controller: &ControllerWire,
        settings: &HostSettings,
    ) {
        let mut places = vec![
            (settings.gateway.listen, &gateway.listen),
            (settings.gateway.admin, &gateway.admin),
            (settings.controller.admin, &controller.admin),
        ];
        let peers = settings.gateway.peers.iter().zip(&gateway.peers);
        places.extend(peers.map(|(peers, wire)| (peers.listen, &wire.listen)));
        for (index, (address, place)) in places.iter().enumerate() {
            let before = &places[..index];
            if address.port() != 0 && before.iter().any(|(other, _)| other == address) {
                let message = format!("'{address}' is used twice: give each listener its own port");
                self.push(place.referenced, message);
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
        Duration::from_millis(self.number(number, default, MILLIS))
    }

    fn size(
        &mut self,
        number: Option<&Spanned<u64>>,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> usize {
        usize::try_from(self.number(number, default, range))
            .expect("the ranges of sizes fit this machine's words")
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

    fn push(&mut self, place: Location, message: impl Display) {
        self.faults.push(SettingFault {
            line: place.line(),
            column: place.column(),
            message: message.to_string(),
        });
    }
}

/// Value that stands in for a faulty name until the faults are reported.
trait Placeholder {
    fn placeholder() -> Self;
}

impl Placeholder for NodeName {
    fn placeholder() -> Self {
        Self::new("node").expect("the text is a name")
    }
}

impl Placeholder for DomainName {
    fn placeholder() -> Self {
        Self::new("domain").expect("the text is a name")
    }
}

impl Placeholder for RegionName {
    fn placeholder() -> Self {
        Self::new("region").expect("the text is a name")
    }
}
