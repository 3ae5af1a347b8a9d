//! The record of a case: what was sent, answered and run, and when.

use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

/// The lines of the record, each with its time in seconds since the start.
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<(f64, String)>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Mutex::default(),
        }
    }

    /// Returns the seconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Adds a line.
    pub fn add(&self, text: String) {
        let at = self.now();
        self.lines.lock().unwrap().push((at, text));
    }

    /// Writes all lines to a file.
    pub fn write(&self, path: &str) -> std::io::Result<()> {
        let mut lines = self.lines.lock().unwrap();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut file = std::io::BufWriter::new(std::fs::File::create(path)?);
        for (at, text) in lines.iter() {
            writeln!(file, "{at:9.3} {text}")?;
        }
        file.flush()
    }
}
