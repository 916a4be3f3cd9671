//! The `slopes` measurement: processor time and memory of the daemon processes by
//! size.
//!
//! Processor time is what the kernel accounts to a process and memory is its
//! resident set, so other load on the machine affects them little. Every line is
//! a least squares fit over several sizes; the slopes of the single repeats show
//! its variation.

use std::fs;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use base::ClockSource;
use clap::Args;
use emulator::{LoadPlan, run_load};

use crate::fleet::{API_KEY, FleetSize, ProcessFleet};

/// Engines and fabric domains of fleets with eight engines in each domain.
const ENGINE_SIZES: [(usize, usize); 4] = [(8, 1), (16, 2), (32, 4), (64, 8)];
/// Engines and fabric domains of fleets of the same number of engines.
const FABRIC_SIZES: [(usize, usize); 3] = [(32, 2), (32, 4), (32, 8)];
/// Tokens of a response.
const TOKEN_SIZES: [usize; 4] = [1, 16, 64, 256];
/// Concurrent streams.
const STREAM_SIZES: [usize; 4] = [8, 32, 128, 256];
/// Idle connections.
const CONNECTION_SIZES: [usize; 4] = [64, 128, 256, 512];
/// Time for the gateway to accept connections and for its memory to settle.
const SETTLE_DELAY: Duration = Duration::from_millis(500);
/// Time between tokens at the engines, in milliseconds.
const TOKEN_MS: u64 = 10;

/// Options of the measurement.
#[derive(Args)]
pub struct SlopesOptions {
    /// Measurement windows of an idle fleet, and runs of each load.
    #[arg(long, default_value_t = 3)]
    repeats: usize,
    /// Length of a measurement window in milliseconds.
    #[arg(long, default_value_t = 4_000)]
    window_ms: u64,
}

/// Runs the measurement and prints its tables.
pub fn run(options: &SlopesOptions) {
    let outcome = net::block_on(measure(options)).expect("the event loop starts");
    if let Err(message) = outcome {
        eprintln!("{message}");
        std::process::exit(1);
    }
}

async fn measure(options: &SlopesOptions) -> Result<(), String> {
    println!("{} repeats of {} ms", options.repeats, options.window_ms);
    println!();
    println!(
        "engines domains | idle us/s: gateway controller | calls/s: gateway controller | \
         forming: calls controller ms | KB: hosts list, records"
    );
    let by_engines = measure_idle(options, &ENGINE_SIZES).await?;
    let by_fabrics = measure_idle(options, &FABRIC_SIZES).await?;
    let load = measure_load(options).await?;
    println!();
    println!(
        "{:<52} {:>10} {:>10}  repeats",
        "line", "slope", "intercept"
    );
    print_idle("engine, domains of 8", &by_engines, |sample| sample.engines);
    print_idle("domain, 32 engines", &by_fabrics, |sample| sample.fabrics);
    for line in load {
        line.print();
    }
    Ok(())
}

/// Cost of one idle fleet.
struct IdleSample {
    engines: f64,
    fabrics: f64,
    /// Processor time in microseconds per second, by window.
    gateway_cpu: Vec<f64>,
    controller_cpu: Vec<f64>,
    gateway_calls: f64,
    controller_calls: f64,
    forming_millis: f64,
    hosts_bytes: f64,
    records_bytes: f64,
}

async fn measure_idle(
    options: &SlopesOptions,
    sizes: &[(usize, usize)],
) -> Result<Vec<IdleSample>, String> {
    let mut samples = Vec::new();
    for &(engines, fabrics) in sizes {
        samples.push(measure_fleet(options, engines, fabrics).await?);
    }
    Ok(samples)
}

async fn measure_fleet(
    options: &SlopesOptions,
    engines: usize,
    fabrics: usize,
) -> Result<IdleSample, String> {
    let mut fleet = ProcessFleet::start(FleetSize {
        engines,
        fabrics,
        token_ms: TOKEN_MS,
    })
    .await?;
    let forming_calls = fleet.platform_calls().await?;
    let forming_millis = cpu_micros(fleet.controller.id())? / 1_000.0;
    let mut windows = Vec::new();
    for _ in 0..options.repeats {
        windows.push(IdleWindow::measure(&fleet, options, true).await?);
    }
    let hosts = fleet.page(fleet.platform, "/v1/hosts").await;
    let records = fleet
        .page(fleet.platform, "/v1/objects?prefix=fabrics/")
        .await;
    // A gateway renews no leases, so one window is enough to count its calls.
    fleet.controller.kill();
    let gateway_alone = IdleWindow::measure(&fleet, options, false).await?;
    let total_calls = mean(
        &windows
            .iter()
            .map(|window| window.calls)
            .collect::<Vec<_>>(),
    );
    let sample = IdleSample {
        engines: engines as f64,
        fabrics: fabrics as f64,
        gateway_cpu: windows.iter().map(|window| window.gateway).collect(),
        controller_cpu: windows.iter().map(|window| window.controller).collect(),
        gateway_calls: gateway_alone.calls,
        controller_calls: total_calls - gateway_alone.calls,
        forming_millis,
        hosts_bytes: hosts.map_or(0.0, |text| text.len() as f64),
        records_bytes: records.map_or(0.0, |text| text.len() as f64),
    };
    println!(
        "{engines:>7} {fabrics:>7} | {:>18.0} {:>10.0} | {:>16.2} {:>10.2} | {:>14} {:>13.0} | \
         {:>14.1} {:>8.1}",
        mean(&sample.gateway_cpu),
        mean(&sample.controller_cpu),
        sample.gateway_calls,
        sample.controller_calls,
        forming_calls,
        sample.forming_millis,
        sample.hosts_bytes / 1_000.0,
        sample.records_bytes / 1_000.0,
    );
    Ok(sample)
}

/// Rates in one window of an idle fleet: processor time in microseconds per second,
/// and calls to the platform per second.
struct IdleWindow {
    gateway: f64,
    controller: f64,
    calls: f64,
}

impl IdleWindow {
    async fn measure(
        fleet: &ProcessFleet,
        options: &SlopesOptions,
        has_controller: bool,
    ) -> Result<Self, String> {
        let read_controller = || match has_controller {
            true => cpu_micros(fleet.controller.id()),
            false => Ok(0.0),
        };
        let start = fleet.clock.now();
        let calls = fleet.platform_calls().await?;
        let before = (cpu_micros(fleet.gateway.id())?, read_controller()?);
        monoio::time::sleep(Duration::from_millis(options.window_ms)).await;
        let after = (cpu_micros(fleet.gateway.id())?, read_controller()?);
        let calls = fleet.platform_calls().await? - calls;
        let seconds = fleet.clock.now().since(start).as_secs_f64();
        Ok(Self {
            gateway: (after.0 - before.0) / seconds,
            controller: (after.1 - before.1) / seconds,
            calls: calls as f64 / seconds,
        })
    }
}

fn print_idle(unit: &str, samples: &[IdleSample], size: impl Fn(&IdleSample) -> f64) {
    let sizes: Vec<f64> = samples.iter().map(&size).collect();
    let print = |name: &str, value: &dyn Fn(&IdleSample) -> Vec<f64>| {
        let line = SlopeLine {
            name: format!("{name} a {unit}"),
            sizes: sizes.clone(),
            values: samples.iter().map(value).collect(),
        };
        line.print();
    };
    print("gateway idle us/s", &|sample| sample.gateway_cpu.clone());
    print("controller idle us/s", &|sample| {
        sample.controller_cpu.clone()
    });
    print("gateway calls/s", &|sample| vec![sample.gateway_calls]);
    print("controller calls/s", &|sample| {
        vec![sample.controller_calls]
    });
    print("controller forming ms", &|sample| {
        vec![sample.forming_millis]
    });
    print("hosts list bytes", &|sample| vec![sample.hosts_bytes]);
    print("records bytes", &|sample| vec![sample.records_bytes]);
}

async fn measure_load(options: &SlopesOptions) -> Result<Vec<SlopeLine>, String> {
    let fleet = ProcessFleet::start(FleetSize {
        engines: 8,
        fabrics: 1,
        token_ms: TOKEN_MS,
    })
    .await?;
    let connections = measure_connections(&fleet).await?;
    let idle = IdleWindow::measure(&fleet, options, true).await?.gateway;
    let mut memory = SlopeLine::new("gateway KB a stream, peak", &STREAM_SIZES);
    let mut streams = SlopeLine::new("gateway us a request of 64 tokens, a stream", &STREAM_SIZES);
    let mut tokens = SlopeLine::new("gateway us a request, a token", &TOKEN_SIZES);
    for (index, &count) in STREAM_SIZES.iter().enumerate() {
        let costs = measure_costs(options, &fleet, idle, count, 64).await?;
        streams.values[index] = costs;
        memory.values[index] = vec![status_kilobytes(fleet.gateway.id(), "VmHWM:")?];
    }
    for (index, &count) in TOKEN_SIZES.iter().enumerate() {
        tokens.values[index] = measure_costs(options, &fleet, idle, 32, count).await?;
    }
    Ok(vec![tokens, streams, memory, connections])
}

/// Processor time of the gateway per request in microseconds, by repeat.
async fn measure_costs(
    options: &SlopesOptions,
    fleet: &ProcessFleet,
    idle: f64,
    streams: usize,
    tokens: usize,
) -> Result<Vec<f64>, String> {
    let plan = LoadPlan {
        target: fleet.callers()?,
        key: Some(API_KEY.to_owned()),
        model: "chat".to_owned(),
        streams,
        calls: (256 / streams).max(2),
        tokens,
    };
    let mut costs = Vec::new();
    for _ in 0..options.repeats {
        let start = fleet.clock.now();
        let before = cpu_micros(fleet.gateway.id())?;
        let result = run_load(&plan, fleet.clock.clone()).await;
        let cpu_time = cpu_micros(fleet.gateway.id())? - before;
        let seconds = fleet.clock.now().since(start).as_secs_f64();
        if result.failed + result.truncated > 0 {
            return Err(format!(
                "{streams} streams: calls failed or were truncated: {result:?}"
            ));
        }
        costs.push((cpu_time - idle * seconds) / result.completed as f64);
    }
    println!("{streams:>4} streams {tokens:>4} tokens: {costs:.0?} us a request");
    Ok(costs)
}

async fn measure_connections(fleet: &ProcessFleet) -> Result<SlopeLine, String> {
    let gateway = fleet.callers()?;
    let mut line = SlopeLine::new("gateway KB a silent connection", &CONNECTION_SIZES);
    let mut open = Vec::new();
    for (index, &count) in CONNECTION_SIZES.iter().enumerate() {
        open_connections(&mut open, gateway, count)?;
        monoio::time::sleep(SETTLE_DELAY).await;
        line.values[index] = vec![status_kilobytes(fleet.gateway.id(), "VmRSS:")?];
    }
    Ok(line)
}

fn open_connections(
    open: &mut Vec<TcpStream>,
    address: SocketAddr,
    count: usize,
) -> Result<(), String> {
    while open.len() < count {
        open.push(TcpStream::connect(address).map_err(|error| error.to_string())?);
    }
    Ok(())
}

/// Processor time of a single-threaded process in microseconds.
fn cpu_micros(id: u32) -> Result<f64, String> {
    let path = format!("/proc/{id}/schedstat");
    let text = fs::read_to_string(&path).map_err(|error| format!("{path}: {error}"))?;
    let nanos = text.split_whitespace().next().unwrap_or("");
    let nanos: f64 = nanos.parse().map_err(|error| format!("{path}: {error}"))?;
    Ok(nanos / 1_000.0)
}

/// Size in kilobytes from a field of a process's status file.
fn status_kilobytes(id: u32, field: &str) -> Result<f64, String> {
    let path = format!("/proc/{id}/status");
    let text = fs::read_to_string(&path).map_err(|error| format!("{path}: {error}"))?;
    let line = text.lines().find_map(|line| line.strip_prefix(field));
    let size = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    size.ok_or_else(|| format!("{path}: no {field}"))
}

/// Measured values by size, one for each repeat.
struct SlopeLine {
    name: String,
    sizes: Vec<f64>,
    values: Vec<Vec<f64>>,
}

impl SlopeLine {
    fn new(name: &str, sizes: &[usize]) -> Self {
        Self {
            name: name.to_owned(),
            sizes: sizes.iter().map(|&size| size as f64).collect(),
            values: vec![Vec::new(); sizes.len()],
        }
    }

    fn print(&self) {
        let means: Vec<f64> = self.values.iter().map(|values| mean(values)).collect();
        let (slope, intercept) = fit_line(&self.sizes, &means);
        let repeats = self.values.iter().map(Vec::len).min().unwrap_or(0);
        let slopes = (0..repeats).map(|repeat| {
            let values: Vec<f64> = self.values.iter().map(|values| values[repeat]).collect();
            fit_line(&self.sizes, &values).0
        });
        let slopes: Vec<f64> = slopes.collect();
        println!(
            "{:<52} {slope:>10.2} {intercept:>10.2}  {slopes:.2?}",
            self.name
        );
    }
}

/// Slope and intercept of the least squares fit.
fn fit_line(sizes: &[f64], values: &[f64]) -> (f64, f64) {
    let (size, value) = (mean(sizes), mean(values));
    let pairs = sizes.iter().zip(values);
    let products: f64 = pairs.map(|(x, y)| (x - size) * (y - value)).sum();
    let squares: f64 = sizes.iter().map(|x| (x - size) * (x - size)).sum();
    let slope = products / squares;
    (slope, value - slope * size)
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}
