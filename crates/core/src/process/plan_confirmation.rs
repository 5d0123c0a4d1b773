//! When the newest plan was last known to be the newest.

use std::time::{Duration, Instant};

/// The end of the plans on the store that this node has folded, and the latest moment at which
/// the store is known to have had that end. A peer may pass its own reading on.
#[derive(Debug, Clone, Copy, Default)]
pub struct PlanConfirmation {
    end: u64,
    confirmed_at: Option<Instant>,
}

impl PlanConfirmation {
    /// End that was folded.
    pub const fn end(&self) -> u64 {
        self.end
    }

    /// Folded up to `end`, read by a call that began at `at`.
    pub fn fold(&mut self, end: u64, at: Instant) {
        self.advance(end);
        self.confirm(end, at);
    }

    /// Folded up to `end`, known from a peer that says elsewhere when it was read.
    pub fn advance(&mut self, end: u64) {
        if end > self.end {
            self.end = end;
            self.confirmed_at = None;
        }
    }

    /// The store had this end at some time not before `at`.
    pub fn confirm(&mut self, end: u64, at: Instant) {
        if end == self.end {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }

    /// Latest confirmation.
    pub const fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at
    }

    /// Age of the latest confirmation.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_duration_since(at))
    }
}
