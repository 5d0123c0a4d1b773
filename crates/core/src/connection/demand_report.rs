//! Request rates for the keys of one upstream, as its node measures them.

use serde::{Deserialize, Serialize};

use crate::version::CellIndex;

/// Most cells that a report lists. The remaining demand counts as spread evenly over the other
/// cells.
pub const HOT_CELLS: usize = 40;

/// Request rate for one cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HotCell {
    /// Index of the cell.
    pub cell: u16,
    /// Rate in tenths of a request per second.
    pub rate_tenths: u32,
}

/// Request rate for the keys of one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct DemandReport {
    /// Rate for all cells, in tenths of a request per second.
    pub total_tenths: u32,
    /// Busiest cells, sorted by cell.
    pub hot_cells: Vec<HotCell>,
}

impl DemandReport {
    /// Creates a report from the rate for all cells and the rate for each cell, both in tenths of a
    /// request per second. The total is given separately, because most cells have less than a tenth
    /// and would add nothing to a sum.
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
