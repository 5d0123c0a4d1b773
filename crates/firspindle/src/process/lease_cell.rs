//! The lease as traffic threads see it.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use firspindle_edge::{BootClock, boot_time, unix_time};

/// Difference of the two clocks that is taken for ordinary adjustment.
const WALL_SLACK: Duration = Duration::from_millis(100);

/// Deadline of the lease by two clocks; both must agree that it runs.
///
/// Boot time goes on while the machine is suspended. The wall clock also moves on when a virtual
/// machine was stopped and both others stood still. Each stored value was once true, so a mix of
/// an older and a newer one ends early at worst.
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
        let wall = unix_time() + left + WALL_SLACK;
        self.wall_micros.store(micros(wall), Ordering::Release);
        self.boot_micros.store(micros(clock.boot_time_of(deadline)), Ordering::Release);
    }

    /// End of the lease in microseconds of boot time, if it runs.
    pub fn deadline_micros(&self) -> Option<u64> {
        let boot = self.boot_micros.load(Ordering::Acquire);
        let wall = self.wall_micros.load(Ordering::Acquire);
        let runs = micros(boot_time()) < boot && micros(unix_time()) < wall;
        runs.then_some(boot)
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
