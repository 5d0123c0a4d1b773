//! Limits the rate of the log lines that are written for single requests.
//!
//! Lines over the limit are left out before they are formatted; the next line that is written gives
//! their number under the key `left_out`. It does not include the lines that a full
//! [`LogQueue`](super::LogQueue) drops.

use std::sync::atomic::{AtomicU64, Ordering};

/// Most lines that one limiter admits in a second.
const MAX_LINES_PER_SECOND: u64 = 200;

/// Counts the lines of each second, and the lines left out since the last one that was written.
#[derive(Debug, Default)]
pub struct LogLimiter {
    second: AtomicU64,
    lines: AtomicU64,
    left_out: AtomicU64,
}

impl LogLimiter {
    /// Returns the number of lines left out since the last written one, or `None` if this line is
    /// to be left out too.
    pub fn admit(&self, unix_ms: u64) -> Option<u64> {
        let second = unix_ms / 1000;
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines.store(0, Ordering::Relaxed);
        }
        if self.lines.fetch_add(1, Ordering::Relaxed) >= MAX_LINES_PER_SECOND {
            self.left_out.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        Some(self.left_out.swap(0, Ordering::Relaxed))
    }
}
