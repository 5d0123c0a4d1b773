//! Time at which the applied plans were last known to be the newest on the store.

use std::time::{Duration, Instant};

use crate::version::{LogEpoch, LogPosition};

/// End of the plan log up to which this node has applied plans, and the latest time at which the
/// store is known to have had that end. A peer may pass on a time that it read itself.
#[derive(Debug, Clone, Copy, Default)]
pub struct PlanConfirmation {
    /// First position of the plan log that this node has not applied.
    position: LogPosition,
    /// Latest time at which the store is known to have ended there.
    confirmed_at: Option<Instant>,
}

impl PlanConfirmation {
    /// Returns the position in the plan log up to which plans were applied.
    pub const fn position(&self) -> LogPosition {
        self.position
    }

    /// Notes that the log is of a later epoch, of which nothing was applied yet.
    pub fn enter_epoch(&mut self, epoch: LogEpoch) {
        self.advance(LogPosition::new(epoch, 0));
    }

    /// Records that plans were applied up to `end`, read by a call that began at `at`.
    pub fn note_applied(&mut self, end: LogPosition, at: Instant) {
        self.advance(end);
        self.confirm(end, at);
    }

    /// Records that plans from a peer were applied up to `end`. They count as unconfirmed until
    /// [`Self::confirm`], as the peer reports separately when it read them.
    pub fn advance(&mut self, end: LogPosition) {
        if end > self.position {
            self.position = end;
            self.confirmed_at = None;
        }
    }

    /// Records that the store still ended there at `at` or later. Ignored unless plans are applied
    /// up to exactly this position.
    pub fn confirm(&mut self, end: LogPosition, at: Instant) {
        if end == self.position {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }

    /// Returns the time of the latest confirmation.
    pub const fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at
    }

    /// Returns the time since the latest confirmation.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_duration_since(at))
    }
}
