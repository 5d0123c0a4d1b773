//! A monotonic clock that keeps running while the machine is suspended.
//!
//! On Linux, [`Instant`] stops while a machine is suspended, so a lease measured with it would
//! outlive its grants. This clock reads boot time and converts it to an `Instant`, which is only
//! comparable with other instants of the same clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// Clock that returns boot time as an `Instant`.
#[derive(Debug, Clone, Copy)]
pub struct BootClock {
    epoch: Instant,
    boot_epoch: Duration,
}

impl Default for BootClock {
    fn default() -> Self {
        Self { epoch: Instant::now(), boot_epoch: boot_time() }
    }
}

impl BootClock {
    /// Returns the current time.
    pub fn now(&self) -> Instant {
        self.epoch + boot_time().saturating_sub(self.boot_epoch)
    }

    /// Returns the boot time of an instant of this clock.
    pub fn boot_time_of(&self, instant: Instant) -> Duration {
        self.boot_epoch + instant.saturating_duration_since(self.epoch)
    }
}

/// Returns the time since the machine started, including time in which it was suspended.
pub fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or(0))
}

/// Returns the Unix time, or 0 if the wall clock is set before 1970.
pub fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    u64::try_from(unix_time().as_millis()).unwrap_or(u64::MAX)
}
