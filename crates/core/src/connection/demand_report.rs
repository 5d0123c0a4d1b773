//! Requests for the keys of one upstream, as its node counts them.

use serde::{Deserialize, Serialize};

use crate::version::CellIndex;

/// Cells that a report names. The rest of an upstream's demand counts as spread evenly.
pub const HOT_CELLS: usize = 40;

/// Demand for one cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HotCell {
    /// Cell.
    pub cell: u16,
    /// Tenths of a request a second.
    pub rate_tenths: u32,
}

/// Demand for the keys of one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct DemandReport {
    /// Tenths of a request a second, for all cells.
    pub total_tenths: u32,
    /// Busiest cells, sorted by cell.
    pub hot_cells: Vec<HotCell>,
}

impl DemandReport {
    /// Report of the tenths of a request a second, for all cells and for each. The total is
    /// counted apart: most cells have less than a tenth.
    pub fn new(total_tenths: u32, rate_tenths: &[(CellIndex, u32)]) -> Self {
        let mut rows: Vec<_> = rate_tenths.iter().filter(|row| row.1 > 0).copied().collect();
        rows.sort_unstable_by_key(|row| std::cmp::Reverse(row.1));
        rows.truncate(HOT_CELLS);
        rows.sort_unstable();
        let hot_cells = rows.iter().filter_map(|(cell, rate_tenths)| {
            u16::try_from(*cell).ok().map(|cell| HotCell { cell, rate_tenths: *rate_tenths })
        });
        Self { total_tenths, hot_cells: hot_cells.collect() }
    }
}
