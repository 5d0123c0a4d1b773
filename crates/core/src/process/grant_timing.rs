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
    /// Time for which a node may grant after the store confirmed the plan, or after every other
    /// holder vouched for it.
    pub confirm: Duration,
    /// Longest time since the store confirmed the plan for which holders may vouch for it.
    pub attested: Duration,
}

impl Default for GrantTiming {
    /// A hold spans three heartbeats. A lost host's keys are served again after about five
    /// seconds; an outage of the store of eight, the longest on the platform's pages, is ridden
    /// out while all holders hear each other.
    fn default() -> Self {
        Self {
            hold: Duration::from_millis(2_800),
            confirm: Duration::from_millis(2_000),
            attested: Duration::from_millis(6_500),
        }
    }
}

impl GrantTiming {
    /// When a hold granted now has surely ended on the upstream's clock.
    pub fn hold_end(&self, now: Instant) -> Instant {
        now + self.hold + self.hold * CLOCK_DRIFT_PERMILLE / 1000 + WAKE_MARGIN
    }

    /// When every right under a plan that is replaced now has surely ended.
    /// `consulted` says that whoever granted on without the store had to ask the host that counts.
    pub fn replaced_end(&self, consulted: bool, now: Instant) -> Instant {
        self.hold_end(now + if consulted { self.confirm } else { self.attested })
    }
}
