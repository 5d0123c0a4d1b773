//! Use of what the upstream reports of its load, as a part of the limiter.

use std::time::{Duration, Instant};

use firspindle_core::connection::{LoadReport, UpstreamLoad};
use firspindle_core::version::UpstreamInstance;

use super::{LimiterState, UpstreamLimiter};

impl LimiterState {
    /// Returns the slots that are left by requests that others sent to the upstream.
    pub(super) fn usable_slots(&self, slots: u32) -> u32 {
        slots.saturating_sub(self.told.others(Instant::now())).max(1)
    }

    fn own_running(&self) -> u32 {
        u32::try_from(self.queue.running()).unwrap_or(u32::MAX)
    }

    /// Returns the parts of the load that follow from what the upstream told.
    pub(super) fn told_load(&self) -> UpstreamLoad {
        let now = Instant::now();
        let mean = self.told.on_average(self.service_time).as_millis();
        let report = self.told.passed_on(now);
        let running = self.own_running().saturating_add(self.told.others(now));
        UpstreamLoad {
            service_ms: u32::try_from(mean).unwrap_or(u32::MAX),
            told_running: report.map_or(0, |_| running),
            told_waiting: report.map_or(0, |report| report.waiting),
            pace_percent: self.told.relative_pace(now),
            ..UpstreamLoad::default()
        }
    }
}

impl UpstreamLimiter {
    /// Notes the load that an instance reported in an answer that has just arrived. Without cold terms
    /// and without a pace, a deployment does not ask for its use.
    pub fn note_load(&self, instance: &UpstreamInstance, report: LoadReport) {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        let is_used = report.pace_percent.is_some() || state.cold.rule().is_some();
        if !is_used || !state.notice.is_about(instance) {
            return;
        }
        let (running, was_distrusted) = (state.own_running(), state.told.is_distrusted(now));
        state.told.note(report, running, now);
        let pace = state.told.pace(now).unwrap_or(0);
        state.queue.set_pace(pace);
        let distrusted = state.told.is_distrusted(now);
        if distrusted != was_distrusted {
            log::info!(
                life = state.notice.life(), distrusted, reported = report.running, running,
                slots = state.slots;
                "belief about the reported load changed"
            );
        }
    }

    /// Pace of the upstream at present in percent, as told; `None` if that is not known.
    pub fn pace(&self) -> Option<u32> {
        self.state.borrow().told.pace(Instant::now())
    }

    /// Time since the last report of the load.
    pub fn report_age(&self) -> Option<Duration> {
        self.state.borrow().told.age(Instant::now())
    }
}
