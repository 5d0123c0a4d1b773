//! Requests that ended at an upstream within the last seconds, each of which may have caused its next crash.
//!
//! [`FinishedRuns`](super::FinishedRuns) names the few requests that ended right before a crash. A request may
//! crash its upstream seconds after its answer, so these are all that ended within [`CRASH_DELAY`].

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Longest time from the end of a run to a crash that it causes.
pub const CRASH_DELAY: Duration = Duration::from_millis(2_250);

/// Time within which a crash is noticed: by a refused connection, or as the upstream has started again.
const NOTICE_TIME: Duration = Duration::from_secs(10);

/// Most runs that are kept; the oldest give way.
const MAX_RUNS: usize = 512;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct EndedRun {
    fingerprint: u128,
    /// When the upstream was free of it at the latest.
    ended_at: Instant,
}

/// Requests that the present instance of an upstream ended, and that it has not outlived yet.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EndedRuns {
    /// In the order of their ends.
    runs: VecDeque<EndedRun>,
}

impl EndedRuns {
    /// Notes that a run ended, or that it ends by a time in the future as its caller has left.
    pub fn note_ended(&mut self, fingerprint: u128, ended_at: Instant) {
        if self.runs.len() == MAX_RUNS {
            self.runs.pop_front();
        }
        let index = self.runs.partition_point(|run| run.ended_at <= ended_at);
        self.runs.insert(index, EndedRun { fingerprint, ended_at });
    }

    /// Notes that the upstream lived at a time, as it answered a request that was sent then; returns the
    /// requests that it had outlived by then.
    pub fn note_alive(&mut self, lived_at: Instant) -> Vec<u128> {
        let count = self.runs.partition_point(|run| run.ended_at + CRASH_DELAY <= lived_at);
        self.runs.drain(..count).map(|run| run.fingerprint).collect()
    }

    /// Returns the requests that may have caused a crash that is noticed now, the last one first, and forgets
    /// all. The crash came no later than `last_end`, when the last connection of the upstream ended, if any
    /// did after the requests.
    pub fn take_suspects(&mut self, last_end: Option<Instant>, now: Instant) -> Vec<u128> {
        let mut suspects = Vec::new();
        for run in self.runs.drain(..).rev() {
            let in_time = now < run.ended_at + NOTICE_TIME
                && last_end.is_none_or(|end| end <= run.ended_at + CRASH_DELAY);
            if in_time && !suspects.contains(&run.fingerprint) {
                suspects.push(run.fingerprint);
            }
        }
        suspects
    }

    /// Forgets all runs, as the upstream leaves.
    pub fn clear(&mut self) {
        self.runs.clear();
    }
}
