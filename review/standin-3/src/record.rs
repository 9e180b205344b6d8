//! The record of a case: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use eyre::Result;

/// A record that is written line by line.
#[derive(Clone)]
pub struct Record {
    began_at: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> Result<Self> {
        Ok(Self {
            began_at: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    /// Writes a line, also to standard output.
    pub fn line(&self, text: &str) {
        let line = format!("{:7.2} s  {text}", self.began_at.elapsed().as_secs_f64());
        println!("{line}");
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(file, "{line}");
    }
}
