//! Bounds the log lines of decisions.

use std::sync::atomic::{AtomicU64, Ordering};

/// Lines for one kind of decision in a second.
const LINES_PER_SECOND: u64 = 200;

/// Counts lines by second; what is left out is counted and told with the next line.
#[derive(Debug, Default)]
pub struct LogLimiter {
    second: AtomicU64,
    lines: AtomicU64,
    left_out: AtomicU64,
}

impl LogLimiter {
    /// Whether to write a line now; gives the number of lines left out before it.
    pub fn admit(&self, unix_ms: u64) -> Option<u64> {
        let second = unix_ms / 1000;
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines.store(0, Ordering::Relaxed);
        }
        if self.lines.fetch_add(1, Ordering::Relaxed) >= LINES_PER_SECOND {
            self.left_out.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        Some(self.left_out.swap(0, Ordering::Relaxed))
    }
}
