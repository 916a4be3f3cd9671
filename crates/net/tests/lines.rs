//! The non-blocking log of JSON lines.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};

use log::Log;
use net::JsonLogger;

/// Output that fails with `WouldBlock` while it is full, as a non-blocking pipe does.
#[derive(Clone, Default)]
struct Pipe {
    lines: Arc<Mutex<Vec<u8>>>,
    is_full: Arc<Mutex<bool>>,
}

impl Write for Pipe {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if *self.is_full.lock().unwrap() {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        self.lines.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_line(logger: &JsonLogger, number: u64) {
    let fields = [("number", number)];
    let record = log::Record::builder()
        .level(log::Level::Info)
        .target("test")
        .args(format_args!("a line"))
        .key_values(&fields)
        .build();
    logger.log(&record);
}

fn lines(pipe: &Pipe) -> Vec<serde_json::Value> {
    let bytes = pipe.lines.lock().unwrap();
    let text = std::str::from_utf8(&bytes).unwrap();
    text.lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect()
}

#[test]
fn key_value_pairs_are_top_level_fields_of_a_line() {
    let pipe = Pipe::default();
    let logger = JsonLogger::new(Box::new(pipe.clone()));
    write_line(&logger, 7);
    let lines = lines(&pipe);
    assert_eq!(lines[0]["message"], "a line");
    assert_eq!(lines[0]["number"], 7);
    assert_eq!(lines[0]["level"], "INFO");
}

#[test]
fn lines_above_the_rate_limit_are_dropped() {
    let pipe = Pipe::default();
    let logger = JsonLogger::new(Box::new(pipe.clone()));
    for number in 0..5_000 {
        write_line(&logger, number);
    }
    assert!(lines(&pipe).len() <= 1_200, "two windows at most");
}

#[test]
fn a_full_pipe_drops_lines_without_blocking() {
    let pipe = Pipe::default();
    let logger = JsonLogger::new(Box::new(pipe.clone()));
    *pipe.is_full.lock().unwrap() = true;
    for number in 0..600 {
        write_line(&logger, number);
    }
    assert!(lines(&pipe).is_empty());
    *pipe.is_full.lock().unwrap() = false;
    std::thread::sleep(std::time::Duration::from_millis(1_050));
    write_line(&logger, 9_999);
    let lines = lines(&pipe);
    assert!(lines.iter().any(|line| line["number"] == 9_999));
    assert!(lines.len() <= 602);
}
