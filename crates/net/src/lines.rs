//! Non-blocking log of JSON lines on standard output, with bounded rate and memory.
//!
//! Lines are dropped and counted while the buffer for a slow reader is full or
//! the limit on lines per second is reached; the count is logged once there is room
//! again. A slow reader thus loses lines but never delays requests.

use std::io::{self, Write};
use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};
use rustix::fs::{OFlags, fcntl_getfl, fcntl_setfl};
use serde_json::{Map, Value as JsonValue};

use crate::LogError;

/// Lines in a rate window above which further ones are dropped.
const MAX_LINES_PER_WINDOW: u32 = 600;
/// Bytes buffered for a slow reader above which further lines are dropped.
const MAX_BUFFERED_BYTES: usize = 256 * 1_024;
/// Period over which lines are counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Logs every record of a level or above to standard output.
pub fn init_stdout_logs(level: LevelFilter) -> Result<(), LogError> {
    // If the flag cannot be set, writing to a full pipe blocks; the limit on
    // the rate of lines still applies.
    if let Ok(flags) = fcntl_getfl(io::stdout()) {
        let _ = fcntl_setfl(io::stdout(), flags | OFlags::NONBLOCK);
    }
    log::set_boxed_logger(Box::new(JsonLogger::new(Box::new(io::stdout()))))?;
    log::set_max_level(level);
    Ok(())
}

/// Logger that writes each record as a JSON object on a line of its own.
pub struct JsonLogger(Mutex<LoggerState>);

struct LoggerState {
    output: Box<dyn Write + Send>,
    started: Instant,
    window_start: Instant,
    window_lines: u32,
    dropped_lines: u64,
    buffer: Vec<u8>,
}

impl JsonLogger {
    /// Creates a logger; `output` must not block.
    pub fn new(output: Box<dyn Write + Send>) -> Self {
        let now = Instant::now();
        Self(Mutex::new(LoggerState {
            output,
            started: now,
            window_start: now,
            window_lines: 0,
            dropped_lines: 0,
            buffer: Vec::new(),
        }))
    }
}

impl Log for JsonLogger {
    fn enabled(&self, _metadata: &Metadata) -> bool {
        true
    }

    fn log(&self, record: &Record) {
        // Skips the records of the HTTP library, which would outnumber the node's own.
        if record.target().starts_with("hyper") {
            return;
        }
        if let Ok(mut state) = self.0.lock() {
            state.log(record);
        }
    }

    fn flush(&self) {}
}

impl LoggerState {
    fn log(&mut self, record: &Record) {
        let now = Instant::now();
        if now.duration_since(self.window_start) >= RATE_WINDOW {
            self.window_start = now;
            self.window_lines = 0;
        }
        self.write_buffer();
        if self.window_lines >= MAX_LINES_PER_WINDOW || self.buffer.len() >= MAX_BUFFERED_BYTES {
            self.dropped_lines += 1;
            return;
        }
        self.window_lines += 1;
        let uptime = now.duration_since(self.started);
        if self.dropped_lines > 0 {
            let mut fields = line_fields("WARN", "net::lines", "log lines dropped", uptime);
            fields.insert("count".to_owned(), self.dropped_lines.into());
            self.dropped_lines = 0;
            self.push(&fields);
        }
        let message = record.args().to_string();
        let mut fields = line_fields(record.level().as_str(), record.target(), &message, uptime);
        // The visitor below never fails.
        let _ = record.key_values().visit(&mut FieldVisitor(&mut fields));
        self.push(&fields);
        self.write_buffer();
    }

    fn push(&mut self, fields: &Map<String, JsonValue>) {
        if serde_json::to_writer(&mut self.buffer, fields).is_ok() {
            self.buffer.push(b'\n');
        }
    }

    fn write_buffer(&mut self) {
        while !self.buffer.is_empty() {
            match self.output.write(&self.buffer) {
                Ok(0) => return,
                Ok(written) => {
                    self.buffer.drain(..written);
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                // The reader is slow or gone; the buffer is bounded.
                Err(_) => return,
            }
        }
        // Standard output buffers incomplete lines only, and this one is complete.
        let _ = self.output.flush();
    }
}

fn line_fields(
    level: &str,
    target: &str,
    message: &str,
    uptime: Duration,
) -> Map<String, JsonValue> {
    let unix_time = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let mut fields = Map::new();
    fields.insert("unix_ms".to_owned(), (unix_time.as_millis() as u64).into());
    fields.insert("up_ms".to_owned(), (uptime.as_millis() as u64).into());
    fields.insert("level".to_owned(), level.into());
    fields.insert("target".to_owned(), target.into());
    fields.insert("message".to_owned(), message.into());
    fields
}

/// Adds the key-value pairs of a record to the fields of a line.
struct FieldVisitor<'a>(&'a mut Map<String, JsonValue>);

impl<'kvs> VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = if let Some(number) = value.to_u64() {
            number.into()
        } else if let Some(number) = value.to_i64() {
            number.into()
        } else if let Some(flag) = value.to_bool() {
            flag.into()
        } else {
            value.to_string().into()
        };
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}
