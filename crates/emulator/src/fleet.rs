//! Starts stand-ins, one a process or a whole fleet in one.

use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

use base::prelude::*;
use interface::wire::HostWire;
use net::web::{CollectOutcome, WebClient, WebLimits, WebService, bind, full_body, serve};
use net::{DrainWatch, SystemClock, seed_from_system};

use crate::engine::{EngineOptions, EngineService, EngineState};
use crate::plain::{PlainOptions, PlainService};
use crate::platform::PlatformService;

/// Time in which the platform must take a host onto its list.
const LIST_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a stand-in could not start.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The address could not be bound.
    #[error("cannot listen on {address}: {source}; choose another address or port 0")]
    Bind {
        /// Address at fault.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The platform's stand-in did not take the host.
    #[error("the platform at {platform} did not list the host: start the platform first")]
    List {
        /// Address of the platform.
        platform: SocketAddr,
    },
}

/// Host that a stand-in plays.
#[derive(Clone, Debug)]
pub struct FleetHost {
    /// Its name.
    pub host: HostName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its fabric domain, if it runs an engine.
    pub fabric: Option<FabricName>,
    /// Its plain service, if it runs one.
    pub service: Option<ServiceName>,
    /// Accelerators that it has.
    pub accelerators: u32,
}

impl FleetHost {
    fn list_at(&self, address: SocketAddr) -> HostWire {
        HostWire {
            host: self.host.clone(),
            address,
            failure_domain: self.domain.clone(),
            fabric: self.fabric.clone(),
            service: self.service.clone(),
            accelerators: self.accelerators,
            leaving: false,
        }
    }
}

/// Fleet to start in one process.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Its hosts.
    pub hosts: Vec<FleetHost>,
    /// How its engines behave.
    pub engine: EngineOptions,
    /// How its plain services behave.
    pub plain: PlainOptions,
}

/// Runs a platform until the drain starts; says where it listens.
pub async fn run_platform(
    address: SocketAddr,
    drain: DrainWatch,
    listening: impl FnOnce(SocketAddr),
) -> Result<(), FleetError> {
    let (address, server) = start_service(address, Rc::new(PlatformService::default()), drain)?;
    listening(address);
    server.await;
    Ok(())
}

/// Runs one engine and lists its host at the platform.
pub async fn run_engine(
    address: SocketAddr,
    platform: SocketAddr,
    host: FleetHost,
    options: EngineOptions,
    drain: DrainWatch,
    listening: impl FnOnce(SocketAddr),
) -> Result<(), FleetError> {
    let service = new_engine(&host, options);
    let (address, server) = start_service(address, service, drain)?;
    list_host(platform, &host.list_at(address)).await?;
    listening(address);
    server.await;
    Ok(())
}

/// Runs one plain service and lists its host at the platform.
pub async fn run_plain(
    address: SocketAddr,
    platform: SocketAddr,
    host: FleetHost,
    options: PlainOptions,
    drain: DrainWatch,
    listening: impl FnOnce(SocketAddr),
) -> Result<(), FleetError> {
    let service = Rc::new(PlainService::new(host.host.clone(), options));
    let (address, server) = start_service(address, service, drain)?;
    list_host(platform, &host.list_at(address)).await?;
    listening(address);
    server.await;
    Ok(())
}

/// Starts a platform and its hosts in this process; ends with the drain.
///
/// The platform listens on the given address, every host on a port that the
/// kernel chooses.
pub fn start_fleet(
    address: SocketAddr,
    plan: &FleetPlan,
    drain: &DrainWatch,
) -> Result<(SocketAddr, PlatformService), FleetError> {
    let platform = PlatformService::default();
    let (address, server) = start_service(address, Rc::new(platform.clone()), drain.clone())?;
    monoio::spawn(server);
    for host in &plan.hosts {
        let service: Rc<dyn WebService> = if host.service.is_some() {
            Rc::new(PlainService::new(host.host.clone(), plan.plain))
        } else {
            new_engine(host, plan.engine)
        };
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let (address, server) = start_service(any, service, drain.clone())?;
        monoio::spawn(server);
        platform.list_host(host.list_at(address));
    }
    Ok((address, platform))
}

fn new_engine(host: &FleetHost, options: EngineOptions) -> Rc<dyn WebService> {
    let incarnation = HostIncarnation(seed_from_system());
    let state = EngineState::new(host.host.clone(), incarnation, options.checks_fencing);
    Rc::new(EngineService::new(
        state,
        options,
        Rc::new(SystemClock::default()),
    ))
}

fn start_service(
    address: SocketAddr,
    service: Rc<dyn WebService>,
    drain: DrainWatch,
) -> Result<(SocketAddr, impl Future<Output = ()> + 'static), FleetError> {
    let fault = |source| FleetError::Bind { address, source };
    let listener = bind(address).map_err(fault)?;
    let bound = listener.local_addr().map_err(fault)?;
    Ok((bound, serve(listener, service, WebLimits::default(), drain)))
}

async fn list_host(platform: SocketAddr, entry: &HostWire) -> Result<(), FleetError> {
    let clock = Rc::new(SystemClock::default());
    let client = WebClient::new(clock.clone());
    let body = serde_json::to_vec(entry).expect("wire types have a JSON form");
    let request = http::Request::put(format!("/emulator/hosts/{}", entry.host))
        .body(full_body(body))
        .map_err(|_| FleetError::List { platform })?;
    let deadline = clock.now() + LIST_TIMEOUT;
    match client.collect(platform, request, 1_024, deadline).await {
        CollectOutcome::Response(parts, _) if parts.status.is_success() => Ok(()),
        _ => Err(FleetError::List { platform }),
    }
}
