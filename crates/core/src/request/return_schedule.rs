//! Times at which refused callers are told to return.
//!
//! Each refusal takes the next place in a schedule of expected starts, so that returns are spread over the time
//! in which room is expected. What was told is kept for some seconds: a caller that returns before all times
//! that were told since its first try has not waited, and gets no preference.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Most times that are kept.
const MAX_TOLD: usize = 512;

/// Time for which a told time is kept.
const TOLD_AGE: Duration = Duration::from_secs(10);

/// Least time that nodes tell. A caller that returns sooner was not told to.
const LEAST_RETURN: Duration = Duration::from_millis(100);

/// Difference by which a return may be early: clocks of callers, links and the estimate of the first try.
const RETURN_TOLERANCE: Duration = Duration::from_millis(25);

/// Times at which refused callers are told to return.
#[derive(Debug, Clone, Default)]
pub struct ReturnSchedule {
    /// When something was told, and the time that was told; oldest first.
    told: VecDeque<(Instant, Instant)>,
    /// Last place that was given.
    last_place: Option<Instant>,
}

impl ReturnSchedule {
    /// Returns the time after which a refused caller may return: the next place from `first` on, `spacing`
    /// after the last one, or `longest` if that place is later.
    pub fn tell(
        &mut self,
        first: Instant,
        spacing: Duration,
        longest: Duration,
        now: Instant,
    ) -> Duration {
        let first = first.max(now + LEAST_RETURN);
        let place = self.last_place.map_or(first, |last| first.max(last + spacing));
        let wait = place.saturating_duration_since(now);
        let time = if wait <= longest {
            self.last_place = Some(place);
            wait
        } else {
            longest
        };
        self.note(now + time, now);
        time
    }

    /// Keeps a time that was told.
    pub fn note(&mut self, return_at: Instant, now: Instant) {
        while self.told.front().is_some_and(|row| row.0 + TOLD_AGE <= now)
            || self.told.len() >= MAX_TOLD
        {
            self.told.pop_front();
        }
        self.told.push_back((now, return_at));
    }

    /// Whether a caller that first tried at `first_try_at` returns now before any time that it can have
    /// been told. What was told within [`LEAST_RETURN`] cannot have been for it.
    pub fn is_early(&self, first_try_at: Instant, now: Instant) -> bool {
        let since = first_try_at.checked_sub(RETURN_TOLERANCE).unwrap_or(first_try_at);
        let start = self.told.partition_point(|row| row.0 < since);
        let told = self.told.iter().skip(start).take_while(|row| row.0 + LEAST_RETURN <= now);
        let earliest = told.map(|row| row.1).min();
        let earliest = earliest.unwrap_or(first_try_at + LEAST_RETURN);
        now + RETURN_TOLERANCE < earliest
    }
}
