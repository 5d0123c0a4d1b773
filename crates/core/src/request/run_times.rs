//! Run times of an upstream by route: a mean for expected waits and a high percentile for latest starts.
//!
//! Load that this answers: routes whose runs differ by a factor of five share an upstream, 0.03 of the runs
//! take 7 times the mean, and all runs may become ten times slower within a second. The mean moves slowly, so
//! that one long run does not shift it by much, and quickly once most of the last runs are far from it.

use std::time::Duration;

use crate::version::RouteId;

/// Run time that is assumed before one is measured.
const FIRST_GUESS: Duration = Duration::from_millis(10);

/// Most routes with run times of their own.
const MAX_ROUTES: usize = 256;

/// Weight of the newest run in a mean.
const SLOW_WEIGHT: f64 = 1.0 / 32.0;

/// Weight of the newest run while most of the last ones are far from the mean.
const QUICK_WEIGHT: f64 = 1.0 / 3.0;

/// Number of last runs that tell whether run times have changed. With 0.03 of long runs, three of five are
/// long by chance in 1 of 4,000 cases.
const RECENT_RUNS: usize = 5;

/// Ratio of most of the last runs to the mean from which run times have changed.
const CHANGED_RATIO: f64 = 2.0;

/// Part of the runs that take no longer than the high percentile. It lies below the heavy tail.
const HIGH_PART: f64 = 0.9;

/// Step by which the high percentile moves, as a part of the mean.
const HIGH_STEP: f64 = 0.1;

/// Bounds of the high percentile, in times of the mean.
const HIGH_BOUNDS: (f64, f64) = (0.6, 4.0);

/// Mean and high percentile of the run times of a route, in seconds.
#[derive(Debug, Clone, Copy, PartialEq)]
struct RunRow {
    mean: f64,
    high: f64,
    count: u32,
}

impl RunRow {
    const fn first(time: f64) -> Self {
        Self { mean: time, high: time, count: 1 }
    }

    fn note(&mut self, time: f64, changed: bool) {
        self.count = self.count.saturating_add(1);
        let weight = if changed { QUICK_WEIGHT } else { SLOW_WEIGHT };
        let weight = weight.max(1.0 / f64::from(self.count));
        let earlier = self.mean;
        self.mean += (time - self.mean) * weight;
        let part = if time > self.high { HIGH_PART } else { HIGH_PART - 1.0 };
        self.high += part * HIGH_STEP * earlier;
        if changed {
            self.high *= self.mean / earlier;
        }
        self.high = self.high.clamp(self.mean * HIGH_BOUNDS.0, self.mean * HIGH_BOUNDS.1);
    }
}

/// Run times of an upstream by route.
#[derive(Debug, Clone)]
pub struct RunTimes {
    /// Sorted by route.
    rows: Vec<(RouteId, RunRow)>,
    all: Option<RunRow>,
    /// Ratios of the last runs to the means of their routes.
    recent: [f64; RECENT_RUNS],
    next_recent: usize,
    /// Time that work takes now at the upstream, as it reports it; 1: as usual.
    pace: f64,
}

impl Default for RunTimes {
    fn default() -> Self {
        let recent = [1.0; RECENT_RUNS];
        Self { rows: Vec::new(), all: None, recent, next_recent: 0, pace: 1.0 }
    }
}

impl RunTimes {
    /// Sets the time that work takes at the upstream in per cent of the usual one; 0: unknown.
    pub fn set_pace(&mut self, percent: u32) {
        self.pace = if percent == 0 { 1.0 } else { f64::from(percent) / 100.0 };
    }

    /// Notes a run of a route.
    pub fn note(&mut self, route: RouteId, time: Duration) {
        let time = (time.as_secs_f64() / self.pace).max(1e-6);
        let known = self.rows.binary_search_by_key(&route, |row| row.0);
        if let Ok(index) = known {
            self.recent[self.next_recent] = time / self.rows[index].1.mean;
            self.next_recent = (self.next_recent + 1) % RECENT_RUNS;
        }
        let mut recent = self.recent;
        recent.sort_by(f64::total_cmp);
        let ratio = recent[RECENT_RUNS / 2];
        let changed = !(1.0 / CHANGED_RATIO..=CHANGED_RATIO).contains(&ratio);
        match known {
            Ok(index) => self.rows[index].1.note(time, changed),
            Err(index) if self.rows.len() < MAX_ROUTES => {
                self.rows.insert(index, (route, RunRow::first(time)));
            }
            Err(_) => {}
        }
        match &mut self.all {
            Some(row) => row.note(time, changed),
            None => self.all = Some(RunRow::first(time)),
        }
    }

    fn row(&self, route: RouteId) -> Option<&RunRow> {
        let index = self.rows.binary_search_by_key(&route, |row| row.0);
        index.map_or(self.all.as_ref(), |index| Some(&self.rows[index].1))
    }

    fn scaled(&self, seconds: f64) -> Duration {
        Duration::from_secs_f64((seconds * self.pace).min(3_600.0))
    }

    /// Mean run time of a route; that of all routes for one that never answered.
    pub fn mean(&self, route: RouteId) -> Duration {
        self.row(route).map_or(FIRST_GUESS, |row| self.scaled(row.mean))
    }

    /// Time that 0.9 of a route's runs do not exceed.
    pub fn high(&self, route: RouteId) -> Duration {
        self.row(route).map_or(FIRST_GUESS, |row| self.scaled(row.high))
    }

    /// Mean run time of all routes; `None` before the first run.
    pub fn mean_of_all(&self) -> Option<Duration> {
        self.all.map(|row| self.scaled(row.mean))
    }

    /// Mean run time of the route with the shortest runs.
    pub fn shortest_mean(&self) -> Duration {
        let shortest = self.rows.iter().map(|row| row.1.mean).min_by(f64::total_cmp);
        shortest.map_or(FIRST_GUESS, |mean| self.scaled(mean))
    }
}
