//! Everything that touches sockets, the system clock and the process.
//!
//! One process is one loop on one thread: [`run_loop`] hands events to the
//! decision code and its effects to an executor, and [`block_on`] runs that loop
//! and all input and output tasks on the calling thread. No part of this crate
//! starts a thread, and nothing spins while it waits.

mod clock;
mod daemon;
mod drain;
mod frame;
mod histogram;
mod lines;
mod logs;
mod metrics;
mod pending;
mod prometheus;
mod random;
mod runtime;
mod signal;
pub mod web;

pub use clock::SystemClock;
pub use daemon::{DaemonError, forward_shutdown_signals, listen};
pub use drain::{DrainSignal, DrainWatch, drain_channel};
pub use frame::{FRAME_LIMIT, FrameStream};
pub use histogram::{HistogramKey, HistogramSet, HistogramSummary};
pub use lines::{JsonLogger, init_stdout_logs};
pub use logs::{LogError, init_stderr_logs};
pub use metrics::{MetricSink, NullMetrics, StatsdMetrics, statsd_sink};
pub use pending::{PendingReplies, ReplyId};
pub use prometheus::{MetricsPage, PrometheusMetrics};
pub use random::seed_from_system;
pub use runtime::{block_on, run_loop, sleep_until, with_deadline};
pub use signal::{SignalWatch, watch_reload, watch_shutdown};
