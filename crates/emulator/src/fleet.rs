//! Starts emulators: one in a process, or a whole fleet in one process.

use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

use base::prelude::*;
use interface::wire::HostWire;
use net::web::{CollectOutcome, WebClient, WebLimits, WebService, bind, full_body, serve};
use net::{DrainWatch, SystemClock, seed_from_system};

use crate::engine::{EngineOptions, EngineService, EngineState};
use crate::plain::{PlainOptions, PlainService};
use crate::platform::PlatformService;

/// Longest time to wait until the platform has listed a host.
const REGISTRATION_TIMEOUT: Duration = Duration::from_secs(5);

/// Error at the start of an emulator.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The address could not be bound.
    #[error("cannot listen on {address}: {source}; choose another address or port 0")]
    Bind {
        /// Address that was to be bound.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The emulated platform did not list the host.
    #[error("the platform at {platform} did not list the host: start the platform first")]
    Registration {
        /// Address of the platform.
        platform: SocketAddr,
    },
}

/// Host of an emulated engine or plain service.
#[derive(Clone, Debug)]
pub struct FleetHost {
    /// Name of the host.
    pub host: HostName,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Fabric domain; `None` unless the host runs an engine.
    pub fabric: Option<FabricName>,
    /// Plain service; `None` if the host runs an engine.
    pub service: Option<ServiceName>,
    /// Number of accelerators.
    pub accelerators: u32,
}

impl FleetHost {
    fn entry_at(&self, address: SocketAddr) -> HostWire {
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
    /// Hosts of the fleet.
    pub hosts: Vec<FleetHost>,
    /// Behavior of the engines.
    pub engine: EngineOptions,
    /// Behavior of the plain services.
    pub plain: PlainOptions,
}

/// Runs a platform until the drain starts; calls `on_listening` with its address.
pub async fn run_platform(
    address: SocketAddr,
    drain: DrainWatch,
    on_listening: impl FnOnce(SocketAddr),
) -> Result<(), FleetError> {
    let (address, server) = start_service(address, Rc::new(PlatformService::default()), drain)?;
    on_listening(address);
    server.await;
    Ok(())
}

/// Runs one engine until the drain starts, and registers its host with the platform.
pub async fn run_engine(
    address: SocketAddr,
    platform: SocketAddr,
    host: FleetHost,
    options: EngineOptions,
    drain: DrainWatch,
    on_listening: impl FnOnce(SocketAddr),
) -> Result<(), FleetError> {
    let service = new_engine(&host, options);
    let (address, server) = start_service(address, service, drain)?;
    register_host(platform, &host.entry_at(address)).await?;
    on_listening(address);
    server.await;
    Ok(())
}

/// Runs one plain service until the drain starts, and registers its host with the platform.
pub async fn run_plain(
    address: SocketAddr,
    platform: SocketAddr,
    host: FleetHost,
    options: PlainOptions,
    drain: DrainWatch,
    on_listening: impl FnOnce(SocketAddr),
) -> Result<(), FleetError> {
    let service = Rc::new(PlainService::new(host.host.clone(), options));
    let (address, server) = start_service(address, service, drain)?;
    register_host(platform, &host.entry_at(address)).await?;
    on_listening(address);
    server.await;
    Ok(())
}

/// Starts a platform and its hosts in this process; they stop when the drain starts.
///
/// The platform listens on the given address, every host on a port that the
/// kernel chooses. Returns the address of the platform and its service.
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
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let (address, server) = start_service(any_port, service, drain.clone())?;
        monoio::spawn(server);
        platform.set_host(host.entry_at(address));
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
    let bind_error = |source| FleetError::Bind { address, source };
    let listener = bind(address).map_err(bind_error)?;
    let bound = listener.local_addr().map_err(bind_error)?;
    Ok((bound, serve(listener, service, WebLimits::default(), drain)))
}

async fn register_host(platform: SocketAddr, entry: &HostWire) -> Result<(), FleetError> {
    let clock = Rc::new(SystemClock::default());
    let client = WebClient::new(clock.clone());
    let body = serde_json::to_vec(entry).expect("wire types are serializable");
    let request = http::Request::put(format!("/emulator/hosts/{}", entry.host))
        .body(full_body(body))
        .map_err(|_| FleetError::Registration { platform })?;
    let deadline = clock.now() + REGISTRATION_TIMEOUT;
    match client.collect(platform, request, 1_024, deadline).await {
        CollectOutcome::Response(parts, _) if parts.status.is_success() => Ok(()),
        _ => Err(FleetError::Registration { platform }),
    }
}
