//! Which limit of an upstream is in force, by its answers.
//!
//! Answers to concurrent requests arrive in any order. One that names no limit, or a higher one, is
//! newer than the answer that named the limit in force only if its request was sent after that
//! answer had arrived.

use std::time::Instant;

use crate::connection::UpstreamLimit;

/// Limit of an upstream that is in force.
#[derive(Debug, Clone, Copy, Default)]
pub struct LimitTracker {
    /// The limit, and the arrival of the last answer that named it.
    named: Option<(UpstreamLimit, Instant)>,
}

impl LimitTracker {
    /// Returns the limit in force.
    pub fn limit(&self) -> Option<UpstreamLimit> {
        self.named.map(|(limit, _)| limit)
    }

    /// Notes what an answer says that arrived now, to a request that was sent at `sent_at`; returns
    /// whether another limit, or none, is in force now.
    pub fn note(&mut self, limit: Option<UpstreamLimit>, sent_at: Instant, now: Instant) -> bool {
        let before = self.limit();
        let is_newer = self.named.is_none_or(|(_, at)| sent_at >= at);
        match (limit, self.named) {
            (Some(limit), Some((known, _))) if limit > known && !is_newer => {}
            (Some(limit), _) => self.named = Some((limit, now)),
            (None, _) if is_newer => self.named = None,
            (None, _) => {}
        }
        self.limit() != before
    }

    /// Forgets the limit, as another upstream or another instance of it is there; returns whether
    /// there was one.
    pub fn reset(&mut self) -> bool {
        self.named.take().is_some()
    }
}
