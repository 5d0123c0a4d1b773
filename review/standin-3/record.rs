//! What a case saw, with the seconds since its start.

use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    pub began: Instant,
    file: Mutex<std::fs::File>,
}

impl Record {
    pub fn new(path: &str) -> Self {
        let file = Mutex::new(std::fs::File::create(path).expect("a record"));
        Self { began: Instant::now(), file }
    }

    pub fn at(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.at());
        print!("{line}");
        let _ = self.file.lock().expect("a lock").write_all(line.as_bytes());
    }

    /// A line for the file alone.
    pub fn row(&self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.at());
        let _ = self.file.lock().expect("a lock").write_all(line.as_bytes());
    }
}
