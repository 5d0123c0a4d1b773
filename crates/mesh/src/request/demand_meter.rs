//! Measures the request rate for each cell of the key space at this node's upstream.

use std::time::Duration;

use firspindle_core::connection::DemandReport;
use firspindle_core::version::{CELLS, CellIndex};

/// Length of a measurement interval.
pub(crate) const METER_INTERVAL: Duration = Duration::from_millis(500);

/// Weight of the newest interval in the smoothed rate: a change shows within about a second.
const NEWEST_WEIGHT_PERCENT: u64 = 45;

/// Request counts of the current interval and smoothed rates, by cell.
pub(crate) struct DemandMeter {
    counts: Vec<u32>,
    /// Smoothed rates in tenths of a request per second, by cell.
    rate_tenths: Vec<u32>,
    /// Smoothed rate of all cells together, in tenths of a request per second.
    total_rate_tenths: u32,
}

impl Default for DemandMeter {
    fn default() -> Self {
        Self { counts: vec![0; CELLS], rate_tenths: vec![0; CELLS], total_rate_tenths: 0 }
    }
}

impl DemandMeter {
    /// Counts requests for a cell.
    pub(crate) fn count(&mut self, cell: CellIndex, requests: u32) {
        if let Some(count) = self.counts.get_mut(cell) {
            *count = count.saturating_add(requests);
        }
    }

    /// Ends the interval and returns the smoothed rates.
    pub(crate) fn finish_interval(&mut self) -> DemandReport {
        let total: u32 = self.counts.iter().sum();
        self.total_rate_tenths = smooth(total, self.total_rate_tenths);
        for (count, rate_tenths) in self.counts.iter_mut().zip(&mut self.rate_tenths) {
            if *count == 0 && *rate_tenths == 0 {
                continue;
            }
            *rate_tenths = smooth(*count, *rate_tenths);
            *count = 0;
        }
        let rows: Vec<_> = self.rate_tenths.iter().copied().enumerate().collect();
        DemandReport::new(self.total_rate_tenths, &rows)
    }
}

/// Smoothed rate after an interval with `count` requests, in tenths of a request per second.
fn smooth(count: u32, rate_tenths: u32) -> u32 {
    let intervals_per_second = 1000 / u64::try_from(METER_INTERVAL.as_millis()).unwrap_or(500);
    let newest = u64::from(count) * intervals_per_second * 10;
    let smoothed = (newest * NEWEST_WEIGHT_PERCENT
        + u64::from(rate_tenths) * (100 - NEWEST_WEIGHT_PERCENT))
        / 100;
    u32::try_from(smoothed).unwrap_or(u32::MAX)
}
