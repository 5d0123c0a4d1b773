//! Counts requests for each cell of the upstream's keys.

use std::time::Duration;

use firspindle_core::connection::DemandReport;
use firspindle_core::version::{CELLS, CellIndex};

/// Time between two rounds of the meter.
pub(crate) const METER_INTERVAL: Duration = Duration::from_millis(500);

/// Weight of the newest round, in percent: a change shows within about a second.
const NEWEST_PERCENT: u64 = 45;

/// Requests for each cell: this round's, and the smoothed rate.
pub(crate) struct DemandMeter {
    counts: Vec<u32>,
    /// Tenths of a request a second.
    tenths: Vec<u32>,
    /// The same for all cells.
    total_tenths: u32,
}

impl Default for DemandMeter {
    fn default() -> Self {
        Self { counts: vec![0; CELLS], tenths: vec![0; CELLS], total_tenths: 0 }
    }
}

impl DemandMeter {
    /// Counts a request.
    pub(crate) fn count(&mut self, cell: CellIndex) {
        if let Some(count) = self.counts.get_mut(cell) {
            *count += 1;
        }
    }

    /// Ends a round and reports the demand.
    pub(crate) fn roll(&mut self) -> DemandReport {
        let total: u32 = self.counts.iter().sum();
        self.total_tenths = smooth(total, self.total_tenths);
        for (count, tenths) in self.counts.iter_mut().zip(&mut self.tenths) {
            if *count == 0 && *tenths == 0 {
                continue;
            }
            *tenths = smooth(*count, *tenths);
            *count = 0;
        }
        let rows: Vec<_> = self.tenths.iter().copied().enumerate().collect();
        DemandReport::new(self.total_tenths, &rows)
    }
}

/// Rate after a round with a count, in tenths of a request a second.
fn smooth(count: u32, tenths: u32) -> u32 {
    let rounds = 1000 / u64::try_from(METER_INTERVAL.as_millis()).unwrap_or(500);
    let newest = u64::from(count) * rounds * 10;
    let smoothed = (newest * NEWEST_PERCENT + u64::from(tenths) * (100 - NEWEST_PERCENT)) / 100;
    u32::try_from(smoothed).unwrap_or(u32::MAX)
}
