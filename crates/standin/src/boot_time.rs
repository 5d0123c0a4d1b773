//! Time since boot, from the clock that also counts time in suspend.

use rustix::time::{ClockId, clock_gettime};

/// Returns the time since the machine booted, in microseconds; suspended time counts.
pub fn boot_micros() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    seconds * 1_000_000 + u64::try_from(time.tv_nsec).unwrap_or(0) / 1000
}
