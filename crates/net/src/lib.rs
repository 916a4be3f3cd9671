//! Runtime, HTTP, frames, logs, metrics and signals on one thread.
