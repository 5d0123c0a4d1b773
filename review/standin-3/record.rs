//! What a case saw, with the seconds since its start.

use std::collections::HashMap;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

/// A request as its client saw it. Status 0: no answer.
pub struct RequestRow {
    pub sent_at: f64,
    pub id: String,
    pub what: String,
    pub status: u16,
    pub ended_at: f64,
}

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

    /// One line for each request: when it was sent and what, when and where it ran, how it was answered.
    pub fn requests(&self, mut rows: Vec<RequestRow>, runs: &[(String, f64, String)]) {
        let mut by_id: HashMap<&str, Vec<String>> = HashMap::new();
        for (target, at, id) in runs {
            by_id.entry(id).or_default().push(format!("{target} {at:.3}"));
        }
        rows.sort_by(|one, other| one.sent_at.total_cmp(&other.sent_at));
        let mut text =
            String::from("requests: sent at, id, what; run by and when; status and when\n");
        for RequestRow { sent_at, id, what, status, ended_at } in rows {
            let runs = by_id.get(&*id).map_or("-".into(), |runs| runs.join(", "));
            text.push_str(&format!("{sent_at:.3} {id} {what}; {runs}; {status} {ended_at:.3}\n"));
        }
        let _ = self.file.lock().expect("a lock").write_all(text.as_bytes());
    }

    /// A line for the file alone.
    pub fn row(&self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.at());
        let _ = self.file.lock().expect("a lock").write_all(line.as_bytes());
    }
}
