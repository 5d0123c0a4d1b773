//! Times of grants that ride on heartbeats.

use std::time::{Duration, Instant};

/// Slowest clock of an upstream, in parts of a thousand; the platform's pages say 2 %.
const CLOCK_DRIFT_PERMILLE: u32 = 20;

/// Allowance for grants that are on their way when a node or a link wakes; the platform's
/// `thawS` is 300 ms.
const WAKE_MARGIN: Duration = Duration::from_millis(300);

/// Times of grants; equal on all nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GrantTiming {
    /// Time for which an upstream holds its keys after a heartbeat.
    pub hold: Duration,
    /// Time for which a node may grant after the store confirmed the plan.
    pub confirm: Duration,
}

impl Default for GrantTiming {
    /// Rides out an outage of the store of about six seconds; a lost host's keys are served
    /// again after about seven. Both follow from the shortest and longest outages of the
    /// platform's pages.
    fn default() -> Self {
        Self { hold: Duration::from_millis(3_000), confirm: Duration::from_millis(4_000) }
    }
}

impl GrantTiming {
    /// When a hold granted now has surely ended on the upstream's clock.
    pub fn hold_end(&self, now: Instant) -> Instant {
        now + self.hold + self.hold * CLOCK_DRIFT_PERMILLE / 1000 + WAKE_MARGIN
    }

    /// When every right under a plan that is replaced now has surely ended.
    pub fn replaced_end(&self, now: Instant) -> Instant {
        self.hold_end(now + self.confirm)
    }
}
