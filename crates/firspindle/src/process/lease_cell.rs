//! End of the lease, shared with the traffic threads.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use firspindle_edge::{BootClock, boot_time, unix_time};

/// Advance of the wall clock relative to boot time that is tolerated as ordinary clock adjustment.
const WALL_CLOCK_TOLERANCE: Duration = Duration::from_millis(100);

/// Deadline of the lease by boot time and by the wall clock; it is valid only before both.
///
/// Boot time advances while the machine is suspended, unlike monotonic time. The wall clock also
/// advances while a virtual machine is stopped, when the other two clocks stand still. Each stored
/// value was valid when it was stored, so a reader that sees an older and a newer one ends the
/// lease too early at worst.
#[derive(Debug, Default)]
pub struct LeaseCell {
    boot_micros: AtomicU64,
    wall_micros: AtomicU64,
}

impl LeaseCell {
    /// Stores a new deadline; `None` ends the lease.
    pub fn store(&self, deadline: Option<Instant>, clock: &BootClock) {
        let Some(deadline) = deadline else {
            self.boot_micros.store(0, Ordering::Release);
            return;
        };
        let left = deadline.saturating_duration_since(clock.now());
        let wall = unix_time() + left + WALL_CLOCK_TOLERANCE;
        self.wall_micros.store(micros(wall), Ordering::Release);
        self.boot_micros.store(micros(clock.boot_time_of(deadline)), Ordering::Release);
    }

    /// Returns the end of the lease in microseconds of boot time, if it is still valid.
    pub fn deadline_micros(&self) -> Option<u64> {
        let boot = self.boot_micros.load(Ordering::Acquire);
        let wall = self.wall_micros.load(Ordering::Acquire);
        let valid = micros(boot_time()) < boot && micros(unix_time()) < wall;
        valid.then_some(boot)
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
