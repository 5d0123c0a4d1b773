//! Time limits of grants, which are renewed by heartbeats.

use std::time::{Duration, Instant};

/// Most that the clock of an upstream runs slow, in parts of a thousand. The platform documents
/// 2 %.
const CLOCK_DRIFT_PERMILLE: u32 = 20;

/// Allowance for grants in flight when a suspended node or link resumes. The platform's `thawS` is
/// 300 ms.
const WAKE_MARGIN: Duration = Duration::from_millis(300);

/// Time limits of grants. They must be the same on all nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GrantTiming {
    /// Time for which an upstream holds its keys after it sent a heartbeat.
    pub hold: Duration,
    /// Time for which a node may grant after the store confirmed the plan, or after every other
    /// holder attested it.
    pub confirm: Duration,
    /// Longest time after the store's confirmation for which attestations of the other holders
    /// extend the permission to grant.
    pub attested: Duration,
}

impl Default for GrantTiming {
    /// A hold spans three heartbeats. The keys of a lost host are served again after about five
    /// seconds. A store outage of eight seconds, the longest that the platform documents, does not
    /// interrupt service while the datagrams of all holders reach each other.
    fn default() -> Self {
        Self {
            hold: Duration::from_millis(2_800),
            confirm: Duration::from_millis(2_000),
            attested: Duration::from_millis(6_500),
        }
    }
}

impl GrantTiming {
    /// Returns the time by which a hold granted now has ended, on the slowest upstream clock too.
    pub fn hold_end(&self, now: Instant) -> Instant {
        now + self.hold + self.hold * CLOCK_DRIFT_PERMILLE / 1000 + WAKE_MARGIN
    }

    /// Returns the time by which every hold under a plan that is replaced now has ended.
    /// `consulted` says that nodes under that plan could extend their grants without the store only
    /// with an attestation of this host.
    pub fn replaced_end(&self, consulted: bool, now: Instant) -> Instant {
        self.hold_end(now + if consulted { self.confirm } else { self.attested })
    }
}
