//! What one report says of the keys of a cell.

use crate::connection::HeldRow;
use crate::version::{CELL_KEYS, CellIndex, PlanVersion, keys_of_cells};

/// Keys of one cell, a bit for each.
type KeyMask = u8;

/// All keys of a cell.
const ALL_KEYS: KeyMask = KeyMask::MAX;

const _: () = assert!(KeyMask::BITS as usize == CELL_KEYS);

/// Keys of one cell that an upstream holds or still runs requests for.
///
/// An upstream releases a cell key by key, so a report may list a part of it, or parts under several
/// fences.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct ReportedCell {
    /// Highest fence of a key; 0 if no key is reported.
    fence: PlanVersion,
    /// Keys reported under that fence.
    keys: KeyMask,
}

impl ReportedCell {
    /// Adds the keys of a row that lie in the cell with this index.
    pub(super) fn add(&mut self, index: CellIndex, row: &HeldRow) {
        let (first, last) = keys_of_cells(index, index);
        let keys = mask(row.first.max(first) - first, row.last.min(last) - first);
        if row.fence > self.fence {
            *self = Self { fence: row.fence, keys };
        } else if row.fence == self.fence {
            self.keys |= keys;
        }
    }

    /// Whether no key of the cell is reported.
    pub(super) const fn is_absent(&self) -> bool {
        self.keys == 0
    }

    /// Returns the highest fence under which a key is reported; 0 if none is.
    pub(super) const fn highest_fence(&self) -> PlanVersion {
        self.fence
    }

    /// Returns the fence under which all keys of the cell are reported; 0 if there is no such fence.
    pub(super) const fn whole_fence(&self) -> PlanVersion {
        if self.keys == ALL_KEYS { self.fence } else { 0 }
    }
}

/// Returns the keys from one position in the cell to another.
const fn mask(first: u16, last: u16) -> KeyMask {
    (ALL_KEYS << first) & (ALL_KEYS >> (CELL_KEYS - 1 - last as usize))
}

/// Returns the cells of which a range of keys has at least one key.
pub(super) fn cells_of_keys(first: u16, last: u16) -> std::ops::Range<CellIndex> {
    if last < first {
        return 0..0;
    }
    usize::from(first) / CELL_KEYS..usize::from(last) / CELL_KEYS + 1
}
