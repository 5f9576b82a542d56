//! Record of a case: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::time::Instant;

/// Record of a case.
pub struct Record {
    file: File,
    started: Instant,
}

impl Record {
    /// Creates the record's file.
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self { file: File::create(path)?, started: Instant::now() })
    }

    /// Adds a line with the present time.
    pub fn line(&mut self, text: impl AsRef<str>) {
        self.line_at(Instant::now(), text);
    }

    /// Adds a line about an event at a time.
    pub fn line_at(&mut self, at: Instant, text: impl AsRef<str>) {
        let line = format!("{:8.3} s  {}", at.saturating_duration_since(self.started).as_secs_f64(), text.as_ref());
        println!("{line}");
        if let Err(e) = writeln!(self.file, "{line}") {
            eprintln!("a line of the record can't be written: {e}");
        }
    }
}
