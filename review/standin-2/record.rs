//! The record of a case, on standard output.

use std::sync::OnceLock;
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

/// Writes a line with the present time.
pub fn note(text: &str) {
    note_at(Instant::now(), text);
}
