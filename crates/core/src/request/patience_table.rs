//! How long callers wait in all, learned by route from the time left that they state.
//!
//! A caller states how much time it has left. One that tries for the first time states all of it, so a request
//! with clearly less than the longest that was stated lately is a return, and the difference tells when the
//! caller first tried. Callers of one route state times that differ by up to 13 per cent on their first tries,
//! so what lies within that is no sign of a return.

use std::time::{Duration, Instant};

use crate::version::RouteId;

/// Most routes that are learned; the one that was learned first is forgotten for another.
const MAX_ROUTES: usize = 512;

/// Length of the intervals over which the longest is taken: the current one and the one before count, so a time
/// is forgotten after 6 to 12 s.
const INTERVAL: Duration = Duration::from_secs(6);

/// Longest time before its arrival at which a request counts as first tried.
const LONGEST_AGO: Duration = Duration::from_secs(10);

/// Difference by which a return states less: this and [`RETURN_PART`] of the longest.
const RETURN_DIFFERENCE: Duration = Duration::from_millis(20);

/// Least part of the longest time left by which a return states less.
const RETURN_PART: f64 = 0.03;

/// Part of the longest time left by which the first tries of one route may differ: 13 per cent were seen.
const USUAL_SPREAD: f64 = 0.15;

#[derive(Debug, Clone, Copy)]
struct PatienceRow {
    route: RouteId,
    since: Instant,
    current: Duration,
    earlier: Duration,
}

/// Longest time left that callers stated lately, by route.
#[derive(Debug, Clone)]
pub struct PatienceTable {
    /// Sorted by route.
    rows: Vec<PatienceRow>,
    /// Part of the longest time left by which first tries may differ.
    spread: f64,
}

impl Default for PatienceTable {
    fn default() -> Self {
        Self::with_spread(USUAL_SPREAD)
    }
}

impl PatienceTable {
    /// An empty table for callers whose first tries differ by up to this part of the longest time left.
    pub const fn with_spread(spread: f64) -> Self {
        Self { rows: Vec::new(), spread }
    }

    /// Notes the time left that a caller states; returns when it first tried if this is a return.
    pub fn note(&mut self, route: RouteId, left: Duration, now: Instant) -> Option<Instant> {
        let index = match self.rows.binary_search_by_key(&route, |row| row.route) {
            Ok(index) => index,
            Err(_) => self.insert(route, now),
        };
        let row = &mut self.rows[index];
        let age = now.saturating_duration_since(row.since);
        if age >= INTERVAL {
            row.earlier = if age < INTERVAL * 2 { row.current } else { Duration::ZERO };
            row.current = Duration::ZERO;
            row.since = now;
        }
        row.current = row.current.max(left);
        let longest = row.current.max(row.earlier);
        let missing = longest.saturating_sub(left);
        let usual = longest.mul_f64(self.spread.max(RETURN_PART)).max(RETURN_DIFFERENCE);
        let is_return = missing > usual;
        let ago = missing.saturating_sub(longest.mul_f64(self.spread)).min(LONGEST_AGO);
        if is_return { now.checked_sub(ago) } else { None }
    }

    fn insert(&mut self, route: RouteId, now: Instant) -> usize {
        if self.rows.len() >= MAX_ROUTES {
            let oldest = (0..self.rows.len()).min_by_key(|index| self.rows[*index].since);
            oldest.map(|index| self.rows.remove(index));
        }
        let index = self.rows.partition_point(|row| row.route < route);
        let (current, earlier) = (Duration::ZERO, Duration::ZERO);
        self.rows.insert(index, PatienceRow { route, since: now, current, earlier });
        index
    }
}
