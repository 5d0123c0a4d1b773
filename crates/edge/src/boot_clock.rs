//! Time that goes on while the machine sleeps.
//!
//! [`Instant`] stops on Linux while a machine is suspended, so a lease measured by it would
//! outlive its grants. The clock reads boot time and gives it as an `Instant` that only this
//! process compares.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// Boot time as `Instant`.
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
    /// Present time.
    pub fn now(&self) -> Instant {
        self.epoch + boot_time().saturating_sub(self.boot_epoch)
    }

    /// Boot time of an instant of this clock.
    pub fn boot_time_of(&self, instant: Instant) -> Duration {
        self.boot_epoch + instant.saturating_duration_since(self.epoch)
    }
}

/// Time since the machine started, sleep included.
pub fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or(0))
}

/// Unix time.
pub fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    u64::try_from(unix_time().as_millis()).unwrap_or(u64::MAX)
}
