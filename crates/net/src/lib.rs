//! Sockets, the system clock, logging, metrics and process signals.
//!
//! Each process runs one event loop on one thread: [`run_loop`] passes events to
//! the decision code and the resulting effects to an executor. [`block_on`] runs
//! that loop and all I/O tasks on the calling thread. This crate starts no
//! threads and does no busy waiting.

mod budget;
mod clock;
mod daemon;
mod drain;
mod frame;
mod histogram;
mod lines;
mod logs;
mod metrics;
mod paced;
mod pending;
mod prometheus;
mod random;
mod runtime;
mod signal;
mod tasks;
pub mod web;

pub use budget::HeldBytes;
pub use clock::SystemClock;
pub use daemon::{DaemonError, forward_shutdown_signals, listen};
pub use drain::{DrainSignal, DrainWatch, drain_channel};
pub use frame::{FrameStream, MAX_FRAME_BYTES};
pub use histogram::{HistogramKey, HistogramSet, HistogramSummary};
pub use lines::{JsonLogger, init_stdout_logs};
pub use logs::{LogError, init_stderr_logs};
pub use metrics::{MetricSink, NullMetrics, StatsdMetrics, statsd_sink};
pub use pending::{PendingReplies, ReplyId};
pub use prometheus::{MetricsPage, PrometheusMetrics};
pub use random::seed_from_system;
pub use runtime::{block_on, block_on_closing, run_loop, sleep_until, with_deadline};
pub use signal::{SignalWatch, watch_reload, watch_shutdown};
pub use tasks::{end_tasks, spawn};
