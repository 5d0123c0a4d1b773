//! What the local upstream reported of its load, for as long as that is believed.
//!
//! The pace changes many times a second, so a report is used for a short time. Run times are kept at
//! the usual pace: those at present follow by the pace as told, and the capacity of the upstream by a
//! mean of the pace.

use std::time::{Duration, Instant};

use crate::connection::LoadReport;

/// Time for which a report is used at this node.
const REPORT_LIFETIME: Duration = Duration::from_secs(1);

/// Time for which it is passed on to others, which use it for [`PEER_REPORT_LIFETIME`] more.
const PASSED_ON: Duration = Duration::from_millis(400);

/// Time from its arrival on for which others use a report.
pub const PEER_REPORT_LIFETIME: Duration = Duration::from_millis(600);

/// Time for which reports may contradict the node's own count before they are not used.
const CONTRADICTION_LIMIT: Duration = Duration::from_secs(2);

/// Time over which the mean of the pace is taken.
const MEAN_TIME: Duration = Duration::from_secs(5);

/// Pace of usual work, in percent.
const USUAL_PACE: f64 = 100.0;

/// Newest report of the local upstream.
#[derive(Debug, Clone, Copy)]
pub struct LoadTracker {
    newest: Option<(LoadReport, Instant)>,
    /// Requests that ran there beyond those that the node had sent.
    others: u32,
    /// Mean of the pace, in percent.
    mean_pace: f64,
    /// Since when reports contradict the node's own count.
    contradicts_since: Option<Instant>,
}

impl Default for LoadTracker {
    fn default() -> Self {
        Self { newest: None, others: 0, mean_pace: USUAL_PACE, contradicts_since: None }
    }
}

impl LoadTracker {
    /// Notes a report that arrived now, when `running` requests of the node ran there.
    pub fn note(&mut self, report: LoadReport, running: u32, now: Instant) {
        // The request that is answered may be counted by the node only.
        let contradicts = report.running == 0 && running > 1 && running >= report.slots.get();
        self.contradicts_since =
            if contradicts { self.contradicts_since.or(Some(now)) } else { None };
        if let Some(pace) = report.pace_percent {
            let passed = self.newest.map_or(MEAN_TIME, |(_, at)| now.saturating_duration_since(at));
            let weight = (passed.as_secs_f64() / MEAN_TIME.as_secs_f64()).min(1.0);
            self.mean_pace += (f64::from(pace.get()) - self.mean_pace) * weight;
        }
        self.others = report.running.saturating_sub(running);
        self.newest = Some((report, now));
    }

    /// Forgets all, as another instance of the upstream is there.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Whether the reports have contradicted the node's own count for too long.
    pub fn is_distrusted(&self, now: Instant) -> bool {
        self.contradicts_since.is_some_and(|since| now >= since + CONTRADICTION_LIMIT)
    }

    fn newest_within(&self, lifetime: Duration, now: Instant) -> Option<LoadReport> {
        let (report, at) = self.newest?;
        (now < at + lifetime && !self.is_distrusted(now)).then_some(report)
    }

    /// Requests that run at the upstream beyond those that the node has sent.
    pub fn others(&self, now: Instant) -> u32 {
        self.newest_within(REPORT_LIFETIME, now).map_or(0, |_| self.others)
    }

    /// Pace at present in percent, as told; `None` if that is not known.
    pub fn pace(&self, now: Instant) -> Option<u32> {
        let pace = self.newest_within(REPORT_LIFETIME, now)?.pace_percent?;
        Some(pace.get())
    }

    /// Report that is passed on to others.
    pub fn passed_on(&self, now: Instant) -> Option<LoadReport> {
        self.newest_within(PASSED_ON, now)
    }

    /// Time since the last report.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.newest.map(|(_, at)| now.saturating_duration_since(at))
    }

    /// Returns what a run that ends now would have taken at the usual pace.
    pub fn at_usual_pace(&self, took: Duration, now: Instant) -> Duration {
        took.mul_f64(USUAL_PACE / self.pace_or_mean(now))
    }

    /// Returns what a run takes now that takes `usual` at the usual pace.
    pub fn at_present(&self, usual: Duration, now: Instant) -> Duration {
        usual.mul_f64(self.pace_or_mean(now) / USUAL_PACE)
    }

    /// Returns what a run takes on average that takes `usual` at the usual pace.
    pub fn on_average(&self, usual: Duration) -> Duration {
        usual.mul_f64(self.mean_pace / USUAL_PACE)
    }

    /// Pace that is passed on, in percent of the mean; 0 if it is not known.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn relative_pace(&self, now: Instant) -> u32 {
        let pace = self.passed_on(now).and_then(|report| report.pace_percent);
        pace.map_or(0, |pace| {
            (f64::from(pace.get()) * USUAL_PACE / self.mean_pace).round().max(1.0) as u32
        })
    }

    fn pace_or_mean(&self, now: Instant) -> f64 {
        self.pace(now).map_or(self.mean_pace, f64::from)
    }
}
