//! Detects senders that are too slow.

use std::time::{Duration, Instant};

/// Time over which the rate of a sender is measured.
const MEASURED_TIME: Duration = Duration::from_secs(2);

/// Bytes that must arrive in that time: 2 KiB/s.
const MIN_BYTES: u64 = 4 * 1024;

/// Detects senders of bodies that are slower than 2 KiB/s over 2 s. They hold memory and, at the owner,
/// a place on the link.
#[derive(Debug, Clone, Copy)]
pub struct SenderMeter {
    cut_at: Instant,
    bytes: u64,
}

impl SenderMeter {
    /// Begins to measure now.
    pub fn new(now: Instant) -> Self {
        Self { cut_at: now + MEASURED_TIME, bytes: 0 }
    }

    /// Notes that bytes arrived.
    pub fn note(&mut self, bytes: u64, now: Instant) {
        self.bytes += bytes;
        if self.bytes >= MIN_BYTES {
            *self = Self::new(now);
        }
    }

    /// Leaves out a time in which the receiver did not read.
    pub fn skip(&mut self, time: Duration) {
        self.cut_at += time;
    }

    /// Time at which the sender is too slow unless more arrives before.
    pub const fn cut_at(&self) -> Instant {
        self.cut_at
    }
}
