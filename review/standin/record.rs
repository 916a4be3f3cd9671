//! Record of what was sent, answered and run.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record(Arc<(Mutex<File>, Instant)>);

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self(Arc::new((Mutex::new(File::create(path)?), Instant::now()))))
    }

    /// Milliseconds since the start.
    pub fn ms(&self) -> u128 {
        self.0.1.elapsed().as_millis()
    }

    pub fn line(&self, text: &str) {
        let ms = self.ms();
        let mut file = self.0.0.lock().unwrap();
        let _ = writeln!(file, "{ms:>7} ms  {text}");
    }
}
