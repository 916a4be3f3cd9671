//! Loopback addresses of the daemons and their environment.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

// First value and number of values of the second octet of the daemons' loopback addresses.
const SECOND_OCTET_START: u32 = 64;
const SECOND_OCTET_COUNT: u32 = 64;
/// Number of values of the third octet of these addresses.
const THIRD_OCTET_COUNT: u32 = 250;
/// Number of runs in one process that share a value of the first three octets.
const RUNS_PER_NETWORK: u32 = 12;
/// Number of such networks; with more concurrent runs than they hold, daemons of several runs would
/// get the same addresses and talk to one another.
const NETWORKS: u32 = 2;
/// Number of daemons that a run has addresses of its own for.
const MAX_NODES: u32 = 20;

/// Last octet of the address of a process's links; daemons have lower ones.
const LINKS_OCTET: u8 = 254;

/// Number of runs that this process has started.
static RUNS: AtomicU32 = AtomicU32::new(0);

/// Address of a daemon; it depends on the process id and the number of the run in the process,
/// so that concurrent soaks do not collide.
pub(crate) fn loopback(process_id: u32, run: u32, index: usize) -> IpAddr {
    let [second, third] = network(process_id, run / RUNS_PER_NETWORK % NETWORKS);
    let fourth = (run % RUNS_PER_NETWORK * MAX_NODES + index as u32) % 253 + 1;
    IpAddr::V4(Ipv4Addr::new(127, second, third, fourth as u8))
}

/// Address of this process's links, with a port that the kernel chooses. At the usual loopback
/// address, daemons would send to whichever process gets a port that a run has released.
pub(crate) fn free_port() -> SocketAddr {
    let [second, third] = network(std::process::id(), 0);
    SocketAddr::from((Ipv4Addr::new(127, second, third, LINKS_OCTET), 0))
}

/// Second and third octet of the loopback addresses of a process.
fn network(process_id: u32, number: u32) -> [u8; 2] {
    let second = SECOND_OCTET_START
        + number * SECOND_OCTET_COUNT
        + process_id / THIRD_OCTET_COUNT % SECOND_OCTET_COUNT;
    [second as u8, (process_id % THIRD_OCTET_COUNT) as u8]
}

/// Number of the next run of this process.
pub(crate) fn next_run() -> u32 {
    RUNS.fetch_add(1, Ordering::Relaxed)
}
