//! Record of what was sent, answered and run.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record(Arc<(Mutex<File>, Instant, Mutex<Vec<String>>)>);

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = Mutex::new(File::create(path)?);
        Ok(Self(Arc::new((file, Instant::now(), Mutex::default()))))
    }

    /// Milliseconds since the start.
    pub fn ms(&self) -> u128 {
        self.0.1.elapsed().as_millis()
    }

    /// Notes that a rule was broken.
    pub fn violation(&self, text: String) {
        self.0.2.lock().unwrap().push(text);
    }

    pub fn violations(&self) -> Vec<String> {
        self.0.2.lock().unwrap().clone()
    }

    pub fn line(&self, text: &str) {
        let ms = self.ms();
        let mut file = self.0.0.lock().unwrap();
        let _ = writeln!(file, "{ms:>7} ms  {text}");
    }
}
