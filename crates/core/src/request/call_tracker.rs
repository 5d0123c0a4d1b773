//! Which routes carry calls: requests that an upstream sends while it runs another request.
//!
//! Nothing in a request tells a call from a caller's request. But calls reach the node beside the upstream that
//! makes them only while that upstream runs something, and callers send also while it is idle. So a route
//! whose requests never meet an idle upstream, although it was idle for a good part of the time between
//! them, carries calls.
//!
//! Load that this answers: parents hold slots while they wait for calls, and are lost with them. Before an
//! upstream that callers fill, calls have to go first.

use std::time::{Duration, Instant};

use crate::version::RouteId;

/// Requests that should have met an idle upstream before a route is judged: none did by chance in 1 of 400
/// cases.
const EVIDENCE: f64 = 6.0;

/// Most evidence that is kept, so that a change shows.
const MAX_EVIDENCE: f64 = 60.0;

/// Part of the expected requests that may meet an idle upstream on a route with calls: a parent whose
/// caller left may still send one.
const TOLERATED_PART: f64 = 0.05;

/// Most routes that are judged.
const MAX_ROUTES: usize = 512;

#[derive(Debug, Clone, Copy)]
struct CallRow {
    route: RouteId,
    /// Last request, and how long the upstream had been idle in all until then.
    last: (Instant, Duration),
    /// Requests that would have met an idle upstream if they did not depend on its runs.
    expected: f64,
    /// Requests that did.
    met: f64,
    carries_calls: bool,
}

/// What is taken of the route of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallVerdict {
    /// Whether it carries calls.
    pub carries_calls: bool,
    /// Whether it was taken for the contrary until this request.
    pub changed: bool,
}

/// Judges by route whether requests are calls of the node's own upstream.
#[derive(Debug, Clone, Default)]
pub struct CallTracker {
    /// Sorted by route.
    rows: Vec<CallRow>,
    idle_time: Duration,
    /// When the upstream was last seen idle, if it has been since.
    idle_since: Option<Instant>,
}

impl CallTracker {
    /// Notes how many requests the upstream runs. Between two notes it counts as idle if it was idle at both.
    pub fn note_running(&mut self, running: usize, now: Instant) {
        let since = self.idle_since.take();
        if running > 0 {
            return;
        }
        if let Some(since) = since {
            self.idle_time += now.saturating_duration_since(since);
        }
        self.idle_since = Some(now);
    }

    /// Notes a request from the node's host while the upstream runs so many, and judges its route.
    pub fn note_request(&mut self, route: RouteId, running: usize, now: Instant) -> CallVerdict {
        self.note_running(running, now);
        let index = match self.rows.binary_search_by_key(&route, |row| row.route) {
            Ok(index) => index,
            Err(index) => {
                if self.rows.len() < MAX_ROUTES {
                    let last = (now, self.idle_time);
                    let (expected, met, carries_calls) = (0.0, 0.0, false);
                    self.rows.insert(index, CallRow { route, last, expected, met, carries_calls });
                }
                return CallVerdict { carries_calls: false, changed: false };
            }
        };
        let row = &mut self.rows[index];
        let (at, idle_time) = std::mem::replace(&mut row.last, (now, self.idle_time));
        let passed = now.saturating_duration_since(at).as_secs_f64();
        if passed > 0.0 {
            let idle = self.idle_time.saturating_sub(idle_time).as_secs_f64();
            row.expected += (idle / passed).min(1.0);
        }
        row.met += f64::from(u8::from(running == 0));
        if row.expected > MAX_EVIDENCE {
            row.expected /= 2.0;
            row.met /= 2.0;
        }
        let carries_calls = row.expected >= EVIDENCE && row.met <= row.expected * TOLERATED_PART;
        let changed = std::mem::replace(&mut row.carries_calls, carries_calls) != carries_calls;
        CallVerdict { carries_calls, changed }
    }
}
