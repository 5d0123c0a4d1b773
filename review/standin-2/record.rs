//! The record of a case, on standard output.

use std::sync::{Mutex, OnceLock};
use std::time::Instant;

static BEGAN: OnceLock<Instant> = OnceLock::new();

/// Seconds since the case began.
pub fn seconds(at: Instant) -> f64 {
    at.saturating_duration_since(*BEGAN.get_or_init(Instant::now)).as_secs_f64()
}

/// Writes a line with the time of an event.
pub fn note_at(at: Instant, text: &str) {
    println!("{:8.3} {text}", seconds(at));
}

/// What was sent, answered and run, each with its time.
static REQUESTS: Mutex<Vec<(Instant, String)>> = Mutex::new(Vec::new());

/// Keeps what happened to a request for the end of the record.
pub fn keep(at: Instant, text: String) {
    REQUESTS.lock().expect("no thread panics").push((at, text));
}

/// Writes what happened to all requests, in order.
pub fn write_requests() {
    let mut rows = REQUESTS.lock().expect("no thread panics");
    rows.sort_by_key(|row| row.0);
    for (at, text) in rows.drain(..) {
        note_at(at, &text);
    }
}

/// Writes a line with the present time.
pub fn note(text: &str) {
    note_at(Instant::now(), text);
}
