//! Time between calls to a store that does not answer.
//!
//! Load that this answers: an outage of the store in which hundreds of nodes call it. A node cannot tell an
//! outage from a call of its own that was lost, so it repeats the first failed call soon, and each further
//! one after as long as the store has not answered it by then.

use std::time::{Duration, Instant};

/// Time after which the first failed call is repeated.
const FIRST_PAUSE: Duration = Duration::from_millis(250);

#[derive(Debug, Clone, Copy)]
struct Failing {
    /// When the first of the failed calls ended.
    since: Instant,
    /// When the last of them ended.
    last: Instant,
}

/// Whether the store answers a node's calls, and how long to wait before the next one.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreBackoff {
    failing: Option<Failing>,
}

impl StoreBackoff {
    /// Notes that a call ended, answered or not.
    pub fn note_answer(&mut self, answers: bool, now: Instant) {
        let since = self.failing.map_or(now, |failing| failing.since);
        self.failing = (!answers).then_some(Failing { since, last: now });
    }

    /// Whether the last call failed.
    pub const fn is_failing(&self) -> bool {
        self.failing.is_some()
    }

    /// Returns the time from the last failed call to the next, `longest` at most; nothing if it did not
    /// fail.
    pub fn pause(&self, longest: Duration) -> Duration {
        let Some(Failing { since, last }) = self.failing else { return Duration::ZERO };
        last.saturating_duration_since(since).max(FIRST_PAUSE).min(longest)
    }
}
