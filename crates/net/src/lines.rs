//! Logs as JSON lines on standard output, bounded and never waiting.
//!
//! A line that the reader of the output doesn't take, or that comes after too
//! many others within a second, is left out and counted; the count is logged
//! once there is room again. So a slow reader costs lines, never requests.

use std::io::{self, Write};
use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};
use rustix::fs::{OFlags, fcntl_getfl, fcntl_setfl};
use serde_json::{Map, Value as JsonValue};

use crate::LogError;

/// Lines in a second above which more are left out.
const LINES_PER_SECOND: u32 = 600;
/// Bytes that wait for a slow reader at most.
const WAITING_LIMIT: usize = 256 * 1_024;
/// Span over which lines are counted.
const COUNT_SPAN: Duration = Duration::from_secs(1);

/// Sends every record of a level or above to standard output.
pub fn init_stdout_logs(level: LevelFilter) -> Result<(), LogError> {
    // Where the flag can't be set, a full pipe would block; the lines still count.
    if let Ok(flags) = fcntl_getfl(io::stdout()) {
        let _ = fcntl_setfl(io::stdout(), flags | OFlags::NONBLOCK);
    }
    log::set_boxed_logger(Box::new(JsonLogger::new(Box::new(io::stdout()))))?;
    log::set_max_level(level);
    Ok(())
}

/// Logger of one process.
pub struct JsonLogger(Mutex<LineState>);

struct LineState {
    output: Box<dyn Write + Send>,
    started: Instant,
    window: Instant,
    count: u32,
    left_out: u64,
    waiting: Vec<u8>,
}

impl JsonLogger {
    /// Logger that writes to an output which never blocks.
    pub fn new(output: Box<dyn Write + Send>) -> Self {
        let now = Instant::now();
        Self(Mutex::new(LineState {
            output,
            started: now,
            window: now,
            count: 0,
            left_out: 0,
            waiting: Vec::new(),
        }))
    }
}

impl Log for JsonLogger {
    fn enabled(&self, _metadata: &Metadata) -> bool {
        true
    }

    fn log(&self, record: &Record) {
        // The HTTP library's own lines would drown the node's.
        if record.target().starts_with("hyper") {
            return;
        }
        if let Ok(mut state) = self.0.lock() {
            state.take(record);
        }
    }

    fn flush(&self) {}
}

impl LineState {
    fn take(&mut self, record: &Record) {
        let now = Instant::now();
        if now.duration_since(self.window) >= COUNT_SPAN {
            self.window = now;
            self.count = 0;
        }
        self.write_waiting();
        if self.count >= LINES_PER_SECOND || self.waiting.len() >= WAITING_LIMIT {
            self.left_out += 1;
            return;
        }
        self.count += 1;
        let up = now.duration_since(self.started);
        if self.left_out > 0 {
            let mut fields = head("WARN", "net::lines", "lines were left out", up);
            fields.insert("count".to_owned(), self.left_out.into());
            self.left_out = 0;
            self.push(&fields);
        }
        let message = record.args().to_string();
        let mut fields = head(record.level().as_str(), record.target(), &message, up);
        // The visitor below never fails.
        let _ = record.key_values().visit(&mut FieldVisitor(&mut fields));
        self.push(&fields);
        self.write_waiting();
    }

    fn push(&mut self, fields: &Map<String, JsonValue>) {
        if serde_json::to_writer(&mut self.waiting, fields).is_ok() {
            self.waiting.push(b'\n');
        }
    }

    fn write_waiting(&mut self) {
        while !self.waiting.is_empty() {
            match self.output.write(&self.waiting) {
                Ok(0) => return,
                Ok(written) => {
                    self.waiting.drain(..written);
                }
                Err(fault) if fault.kind() == io::ErrorKind::Interrupted => {}
                // The reader is slow or gone; what waits is bounded.
                Err(_) => return,
            }
        }
        // Standard output keeps a line back until it ends, which it has.
        let _ = self.output.flush();
    }
}

fn head(level: &str, target: &str, message: &str, up: Duration) -> Map<String, JsonValue> {
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let mut fields = Map::new();
    fields.insert("unix_ms".to_owned(), (unix.as_millis() as u64).into());
    fields.insert("up_ms".to_owned(), (up.as_millis() as u64).into());
    fields.insert("level".to_owned(), level.into());
    fields.insert("target".to_owned(), target.into());
    fields.insert("message".to_owned(), message.into());
    fields
}

/// Adds a record's fields to a line.
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
