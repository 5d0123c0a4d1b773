//! Fetches of the state of peers: which are under way, and which peers did not answer one.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time after which a fetch that has not ended is joined by one from another peer.
const HEDGE_DELAY: Duration = Duration::from_millis(250);

/// Most fetches at once. Each costs a peer the difference of two plans.
const MAX_OPEN: usize = 2;

/// Time after which a fetch counts as ended, whatever became of it: its time limit and some slack.
const OPEN_LIMIT: Duration = Duration::from_millis(1_000);

/// Time for which a peer that did not answer is asked after the others.
const FAILURE_MEMORY: Duration = Duration::from_secs(3);

type FetchRow = (SocketAddr, Instant);

/// Fetches of the state of peers.
#[derive(Debug, Clone, Default)]
pub(crate) struct FetchTable {
    /// Fetches that have not ended, each with its beginning, in the order of those.
    open: Vec<FetchRow>,
    /// Fetches that failed, each with its end, in the order of those.
    failed: Vec<FetchRow>,
}

impl FetchTable {
    /// Whether one more fetch may begin.
    pub(crate) fn may_begin(&mut self, now: Instant) -> bool {
        self.open.retain(|row| now < row.1 + OPEN_LIMIT);
        self.failed.retain(|row| now < row.1 + FAILURE_MEMORY);
        let recent = self.open.last().is_some_and(|row| now < row.1 + HEDGE_DELAY);
        self.open.len() < MAX_OPEN && !recent
    }

    /// Notes that a fetch begins.
    pub(crate) fn begin(&mut self, address: SocketAddr, now: Instant) {
        self.open.push((address, now));
    }

    /// Notes that a peer answered; what the other fetches bring is known by then.
    pub(crate) fn note_answer(&mut self) {
        self.open.clear();
    }

    /// Notes that the fetch from a peer failed.
    pub(crate) fn note_failure(&mut self, address: SocketAddr, now: Instant) {
        self.open.retain(|row| row.0 != address);
        self.failed.push((address, now));
    }

    /// Whether the peer at an address is being asked.
    pub(crate) fn is_open(&self, address: SocketAddr) -> bool {
        self.open.iter().any(|row| row.0 == address)
    }

    /// Whether the peer at an address did not answer lately.
    pub(crate) fn has_failed(&self, address: SocketAddr) -> bool {
        self.failed.iter().any(|row| row.0 == address)
    }

    /// Whether a fetch failed after a time.
    pub(crate) fn failed_since(&self, since: Instant) -> bool {
        self.failed.last().is_some_and(|row| row.1 >= since)
    }
}
