//! Times of the lease protocol.

use std::time::Duration;

/// Times of the lease protocol; equal on all nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTiming {
    /// Time that a witness grants, on the witness's clock.
    pub lease: Duration,
    /// Time between renewals.
    pub renew: Duration,
    /// Time after which an unanswered message is sent again.
    pub resend: Duration,
    /// Greatest difference of two clocks' rates, in parts of a thousand.
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
    /// Time that a holder counts on, on its own clock: the lease less the drift margin.
    pub fn holder_lease(&self) -> Duration {
        self.lease.saturating_sub(self.margin())
    }

    /// Time after which a lease granted by anyone has run out, on any clock.
    pub fn full_lease(&self) -> Duration {
        self.lease + self.margin()
    }

    fn margin(&self) -> Duration {
        self.lease * self.drift_permille / 1000
    }
}
