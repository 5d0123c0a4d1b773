//! Limit on a cold upstream, as the part of the limiter that applies it.
//!
//! The tracker decides whether the upstream counts as cold. Each change of that, or of the manifest's
//! terms, is applied at once to the limit and to the requests that wait, and logged.

use std::time::{Duration, Instant};

use firspindle_core::connection::UpstreamLimit;
use firspindle_core::request::{ColdBelief, ColdCause, ColdRule, ColdTracker};

use super::{LimiterState, SMOOTHING_DIVISOR, UpstreamLimiter};

/// Time for which a heartbeat may have been on its way. One that was sent before a connection broke says
/// nothing about the upstream after that.
const HEARTBEAT_TRANSIT: Duration = Duration::from_millis(20);

impl LimiterState {
    /// Returns the limit in force: the lower of the one that the upstream named and the one while it is
    /// cold.
    pub(super) fn limit(&self) -> Option<UpstreamLimit> {
        self.cold.limit_with(self.notice.limit())
    }

    /// Time for which the upstream stays cold; zero if it is warm.
    pub(super) fn cold_left(&self) -> Duration {
        self.cold.remaining(Instant::now())
    }

    /// Mean time of a run at present; zero before the first.
    pub(super) fn run_time(&self) -> Duration {
        let is_slow = self.cold.is_cold() && !self.cold_time.is_zero();
        if is_slow {
            self.cold_time
        } else {
            self.told.at_present(self.service_time, Instant::now())
        }
    }

    /// Counts the time of a run in the mean. Runs of a cold upstream take longer, and must not count when
    /// its capacity is computed later.
    pub(super) fn count_run(&mut self, took: Duration) {
        let now = Instant::now();
        let usual = self.told.at_usual_pace(took, now);
        let is_slow = now.checked_sub(took).is_some_and(|at| self.cold.slowed_run(at));
        if is_slow {
            let mean = self.cold_time;
            let smoothed = (mean * (SMOOTHING_DIVISOR - 1) + took) / SMOOTHING_DIVISOR;
            self.cold_time = if mean.is_zero() { took } else { smoothed };
            return;
        }
        self.measured_runs = (self.measured_runs + 1).min(SMOOTHING_DIVISOR);
        let runs = self.measured_runs;
        self.service_time = (self.service_time * (runs - 1) + usual) / runs;
    }
}

impl UpstreamLimiter {
    /// Sets what a cold upstream of the service may get; `None` if its upstreams are never cold.
    pub fn set_cold_rule(&self, rule: Option<ColdRule>) {
        if self.state.borrow().cold.rule() != rule {
            self.change_cold(|cold, _| cold.set_rule(rule));
        }
    }

    /// Notes the report of the cold time in a heartbeat that arrived `age` ago; `stamp` identifies the
    /// heartbeat.
    pub fn note_heartbeat(&self, stamp: Instant, age: Duration, remaining: Duration) {
        let known = self.state.borrow_mut().reported_at.replace(stamp);
        if known == Some(stamp) {
            return;
        }
        self.change_cold(|cold, now| {
            let at = now.checked_sub(age).unwrap_or(now);
            let sent_at = at.checked_sub(HEARTBEAT_TRANSIT).unwrap_or(at);
            cold.note_report(remaining, sent_at, at);
        });
    }

    /// Notes the cold time in the answer to a health check that was sent at `sent_at`.
    pub fn note_cold_time(&self, remaining: Duration, sent_at: Instant) {
        self.change_cold(|cold, now| cold.note_report(remaining, sent_at, now));
    }

    /// Notes that the upstream answered a request.
    pub fn note_heard(&self) {
        self.state.borrow_mut().cold.note_heard(Instant::now());
    }

    /// Notes that nothing is known of the upstream from now on.
    pub fn distrust(&self, cause: ColdCause) {
        self.change_cold(|cold, now| cold.distrust(cause, now));
    }

    /// Whether a health check is to ask now for the cold time, after a connection broke.
    pub fn take_cold_check(&self) -> bool {
        self.state.borrow_mut().cold.take_check()
    }

    /// Applies the end of the cold time, and silence of the upstream.
    pub fn advance_cold(&self) {
        self.change_cold(|_, _| {});
    }

    /// Whether the upstream counts as cold.
    pub fn is_cold(&self) -> bool {
        self.state.borrow().cold.is_cold()
    }

    pub(super) fn register_cold(&self) {
        let mut state = self.state.borrow_mut();
        state.cold_time = Duration::ZERO;
        state.told.reset();
        drop(state);
        self.change_cold(ColdTracker::register);
    }

    /// Changes what the upstream is taken to be, and applies the limit that follows.
    fn change_cold(&self, change: impl FnOnce(&mut ColdTracker, Instant)) {
        let now = Instant::now();
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        let belief = state.cold.belief();
        let named = state.notice.limit();
        let changed = state.cold.change(state.queue.meter_mut(), named, now, change);
        if state.cold.rule().is_some() && is_kind_changed(belief, state.cold.belief()) {
            log_belief(state, now);
        }
        drop(guard);
        if changed {
            self.apply_limit();
        }
    }
}

/// Whether a belief differs from the one before in more than the end of the cold time.
fn is_kind_changed(before: ColdBelief, after: ColdBelief) -> bool {
    match (before, after) {
        (ColdBelief::Cold(_), ColdBelief::Cold(_)) => false,
        _ => before != after,
    }
}

fn log_belief(state: &LimiterState, now: Instant) {
    let belief = state.cold.belief();
    let cause = match belief {
        ColdBelief::Unknown(cause) => cause.as_str(),
        ColdBelief::Cold(_) | ColdBelief::Warm => "report",
    };
    let remaining_ms = state.cold.remaining(now).as_millis();
    let heard_ms = state.cold.heard_age(now).as_millis();
    let per_second = state.limit().map(UpstreamLimit::per_second);
    log::info!(
        life = state.notice.life(), belief = belief.as_str(), cause, remaining_ms:?, heard_ms:?,
        per_second:?, running = state.queue.running(), waiting = state.queue.len();
        "belief about the upstream changed"
    );
}
