//! What was sent, answered and run, in the order in which it happened.

use std::fs::File;
use std::io::BufWriter;
use std::io::Write as _;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// The record of a case, which is written to a file.
#[derive(Debug)]
pub struct Record {
    begun: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    /// Creates the file, or replaces it.
    ///
    /// # Errors
    ///
    /// If it can't be written.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Mutex::new(BufWriter::new(File::create(path)?));
        Ok(Self { begun: Instant::now(), file })
    }

    /// Adds a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.begun.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let _best_effort = writeln!(file, "{at:9.4} {}", text.as_ref());
    }

    /// Adds a line and prints it.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }

    /// Writes what is buffered.
    pub fn flush(&self) {
        let mut file = self.file.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let _best_effort = file.flush();
    }
}
