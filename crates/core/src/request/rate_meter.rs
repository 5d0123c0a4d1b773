//! Meter of the requests that start at a limited upstream.
//!
//! A leaky bucket in the form of the generic cell rate algorithm: one point in time says when all
//! requests that have started would have been due at the limit. After a pause two requests may start
//! at once, so that a timer that fires late costs no turn; in any interval at most two more start than
//! the limit allows.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time for which starts are remembered: a second, and the time by which requests may arrive late at the
/// upstream.
const REMEMBERED: Duration = Duration::from_millis(1_100);

/// Most starts that are remembered; a limit that is to count more of them begins as if there were this
/// many.
const MAX_REMEMBERED: usize = 1_024;

/// Meter of the requests that start at a limited upstream.
#[derive(Debug, Clone, Default)]
pub struct RateMeter {
    /// Time between two requests at the limit; `None` without one.
    interval: Option<Duration>,
    /// When the last request started.
    last_start: Option<Instant>,
    /// When the next request would be due at the limit.
    due_at: Option<Instant>,
    /// Starts of the last second, in ascending order.
    recent: VecDeque<Instant>,
    /// No request starts under a limit before this time.
    held_until: Option<Instant>,
}

impl RateMeter {
    /// Sets the time between two requests, or removes the limit. What started before counts: under a
    /// first limit the next request starts an interval after the last one, and under a changed one
    /// the turns that were taken ahead stay taken.
    pub fn set_interval(&mut self, interval: Option<Duration>, now: Instant) {
        let ahead = self.due_at.map(|due_at| due_at.saturating_duration_since(now));
        self.due_at = match (interval, self.interval, ahead) {
            (None, ..) => None,
            (Some(new), Some(old), Some(ahead)) => {
                Some(now + new.mul_f64(ahead.as_secs_f64() / old.as_secs_f64()))
            }
            (Some(new), ..) => self.last_start.map(|at| at + new * 2),
        };
        self.interval = interval;
    }

    /// Time between two requests at the limit; `None` without one.
    pub const fn interval(&self) -> Option<Duration> {
        self.interval
    }

    /// Returns the earliest time from `now` on at which a request may start.
    pub fn next_start(&self, now: Instant) -> Instant {
        let Some(interval) = self.interval else { return now };
        let due_at = self.due_at.and_then(|at| at.checked_sub(interval));
        due_at.max(self.held_until).map_or(now, |at| at.max(now))
    }

    /// Lets no request start under a limit before a time.
    pub fn hold_until(&mut self, at: Instant) {
        self.held_until = self.held_until.max(Some(at));
    }

    /// Lets no request start under a limit until at most `kept` of those that started are remembered.
    pub fn hold_for_recent(&mut self, kept: usize, now: Instant) {
        self.forget_starts(now);
        let index = self.recent.len().checked_sub(kept.saturating_add(1));
        if let Some(at) = index.and_then(|index| self.recent.get(index)) {
            self.hold_until(*at + REMEMBERED);
        }
    }

    fn forget_starts(&mut self, now: Instant) {
        while self.recent.front().is_some_and(|at| *at + REMEMBERED <= now)
            || self.recent.len() > MAX_REMEMBERED
        {
            self.recent.pop_front();
        }
    }

    /// Lets one request start now, whatever started before.
    pub fn allow_one(&mut self, now: Instant) {
        if let Some(interval) = self.interval {
            self.due_at = self.due_at.map(|at| at.min(now + interval));
        }
    }

    /// Counts a request that starts now.
    pub fn count_start(&mut self, now: Instant) {
        self.last_start = Some(now);
        self.recent.push_back(now);
        self.forget_starts(now);
        if let Some(interval) = self.interval {
            self.due_at = Some(self.due_at.map_or(now, |at| at.max(now)) + interval);
        }
    }
}
