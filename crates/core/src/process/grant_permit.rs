//! Until when a node may grant cells.

use std::time::Instant;

/// Until when a node may grant cells to its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct GrantPermit {
    /// Time before which cells may be granted that the upstream does not hold.
    pub acquire_until: Option<Instant>,
    /// Time before which the grants of cells that the upstream holds may be renewed.
    pub renew_until: Option<Instant>,
    /// Whether the upstream's report shows what it holds. Otherwise only grants of this process do.
    pub trusts_reports: bool,
}

impl GrantPermit {
    /// Whether cells may be granted that the upstream does not hold.
    pub fn acquires(&self, now: Instant) -> bool {
        self.acquire_until.is_some_and(|until| now < until)
    }

    /// Whether grants may be renewed.
    pub fn renews(&self, now: Instant) -> bool {
        self.renew_until.is_some_and(|until| now < until)
    }
}
