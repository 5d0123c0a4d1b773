//! Durations of the lease protocol.

use std::time::Duration;

/// Durations of the lease protocol; they must be equal on all nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTiming {
    /// Duration of a granted lease, on the witness's clock.
    pub lease: Duration,
    /// Time between renewals.
    pub renew: Duration,
    /// Time after which an unanswered message is resent.
    pub resend: Duration,
    /// Greatest difference between the rates of two clocks, in parts per thousand.
    pub drift_permille: u32,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(1500),
            renew: Duration::from_millis(400),
            resend: Duration::from_millis(120),
            drift_permille: 10,
        }
    }
}

impl LeaseTiming {
    /// Duration that a holder relies on, on its own clock: the lease minus the drift margin.
    pub fn holder_lease(&self) -> Duration {
        self.lease.saturating_sub(self.margin())
    }

    /// Time after which a lease granted by any witness has expired, on any clock.
    pub fn full_lease(&self) -> Duration {
        self.lease + self.margin()
    }

    fn margin(&self) -> Duration {
        self.lease * self.drift_permille / 1000
    }
}
