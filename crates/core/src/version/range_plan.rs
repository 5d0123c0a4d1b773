//! Assignment of keys to upstreams, for services that are sharded by key range.
//!
//! Keys are numbers from 0 to 65535, grouped into cells of 8 neighbours. A cell is the smallest
//! unit that moves between upstreams: with 60,000 keys whose request rates follow a Zipf
//! distribution of exponent 0.75, the busiest 8 keys get 6 % of all requests, about half of what
//! one of ten upstreams can run.
//!
//! A plan holds the complete assignment. It replaces its predecessor by a conditional append, so
//! that plans form a sequence. The fence of a cell is the version of the plan that assigned it to
//! its holder.

use serde::{Deserialize, Serialize};

use super::{LogEpoch, LogPosition};

/// Index of a cell, from 0 to [`CELLS`] - 1.
pub type CellIndex = usize;

/// Version of a plan: the epoch of the log that it was written for in the upper half, the number of
/// records up to it in the lower one. So versions rise over restores of the store, and none is given
/// twice. They stay exact in JSON (2^53) for two million restores.
pub type PlanVersion = u64;

/// Bits of a version that number the plans of one epoch.
const VERSION_OFFSET_BITS: u32 = 32;

/// Returns the version of a plan that is appended at a position.
pub const fn plan_version_at(position: LogPosition) -> PlanVersion {
    (position.epoch << VERSION_OFFSET_BITS) | (position.offset + 1)
}

/// Returns the epoch that a plan of this version was written for.
pub const fn epoch_of_version(version: PlanVersion) -> LogEpoch {
    version >> VERSION_OFFSET_BITS
}

/// Keys in one cell. A run of 60 busy keys spans eight cells.
pub const CELL_KEYS: usize = 8;

/// Number of cells of a service.
pub const CELLS: usize = 65_536 / CELL_KEYS;

/// One run of an upstream's process. A restart under the same id is another instance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct UpstreamInstance {
    /// Id that the upstream announced.
    pub id: Box<str>,
    /// Unix time of its start in milliseconds; 0 if it did not announce one.
    pub born_ms: u64,
}

/// An upstream that a plan assigns cells to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderRow {
    /// Host of the upstream and its node.
    pub host: Box<str>,
    /// Instance that holds the cells.
    pub instance: UpstreamInstance,
    /// Plan version up to which every hold of an earlier holder of its cells has ended.
    pub settled_version: PlanVersion,
}

/// A run of cells with one holder and one fence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct CellRun {
    /// Number of cells.
    cells: u16,
    /// Index into [`ServiceRanges::holders`].
    holder: u16,
    /// Version of the plan that assigned the cells to the holder.
    fence: PlanVersion,
}

/// Holder and fence of one cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CellRow {
    /// Index into [`ServiceRanges::holders`].
    pub holder: u16,
    /// Version of the plan that assigned the cell to its holder.
    pub fence: PlanVersion,
}

/// Assignment of one service's cells.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRanges {
    /// Name of the service.
    pub service: Box<str>,
    /// Upstreams, to which the cells refer by index.
    pub holders: Vec<HolderRow>,
    /// Runs in the order of their cells, which together cover every cell.
    runs: Vec<CellRun>,
}

impl ServiceRanges {
    /// Creates the assignment from one row per cell, stored as runs of equal rows.
    pub fn new(service: Box<str>, holders: Vec<HolderRow>, cells: &[CellRow]) -> Self {
        let mut runs: Vec<CellRun> = Vec::new();
        for cell in cells {
            match runs.last_mut() {
                Some(run) if run.holder == cell.holder && run.fence == cell.fence => run.cells += 1,
                _ => runs.push(CellRun { cells: 1, holder: cell.holder, fence: cell.fence }),
            }
        }
        Self { service, holders, runs }
    }

    /// Returns one row per cell.
    pub fn cells(&self) -> Vec<CellRow> {
        let mut cells = Vec::with_capacity(CELLS);
        for run in &self.runs {
            let cell = CellRow { holder: run.holder, fence: run.fence };
            cells.extend(std::iter::repeat_n(cell, usize::from(run.cells)));
        }
        cells
    }

    /// Whether every cell has a holder that exists.
    fn is_complete(&self) -> bool {
        let cells: usize = self.runs.iter().map(|run| usize::from(run.cells)).sum();
        cells == CELLS && self.runs.iter().all(|run| usize::from(run.holder) < self.holders.len())
    }

    /// Returns the number of cells of each holder, in the order of the holders.
    pub fn cells_held(&self) -> Vec<usize> {
        let mut held = vec![0; self.holders.len()];
        for run in &self.runs {
            held[usize::from(run.holder)] += usize::from(run.cells);
        }
        held
    }

    /// Returns the same assignment under another fence.
    #[must_use]
    pub fn with_fence(&self, fence: PlanVersion) -> Self {
        let cells = self.cells().into_iter().map(|cell| CellRow { fence, ..cell });
        let cells: Vec<_> = cells.collect();
        Self::new(self.service.clone(), self.holders.clone(), &cells)
    }

    /// Returns the index of the holder on a host.
    pub fn holder_on(&self, host: &str) -> Option<usize> {
        self.holders.iter().position(|row| &*row.host == host)
    }
}

/// Assignment of all sharded services, stored as one record.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RangePlan {
    /// Version of this plan, above that of the plan that it replaces.
    pub version: PlanVersion,
    /// Assignments of the sharded services, sorted by name.
    pub services: Vec<ServiceRanges>,
}

impl RangePlan {
    /// Returns the assignment of a service.
    pub fn service(&self, name: &str) -> Option<&ServiceRanges> {
        let index = self.services.binary_search_by(|row| (*row.service).cmp(name)).ok()?;
        Some(&self.services[index])
    }

    /// Returns the epoch that the plan was written for.
    pub const fn epoch(&self) -> LogEpoch {
        epoch_of_version(self.version)
    }

    /// Encodes the plan as a record.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes a plan; `None` if the bytes are malformed or some cell has no holder.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let plan: Self = postcard::from_bytes(bytes).ok()?;
        plan.services.iter().all(ServiceRanges::is_complete).then_some(plan)
    }
}

/// Returns the cell that a key belongs to.
pub const fn cell_of_key(key: u16) -> CellIndex {
    key as usize / CELL_KEYS
}

/// Returns the first and the last key of the cells from `first` to `last`.
#[allow(clippy::cast_possible_truncation)]
pub const fn keys_of_cells(first: CellIndex, last: CellIndex) -> (u16, u16) {
    ((first * CELL_KEYS) as u16, (last * CELL_KEYS + CELL_KEYS - 1) as u16)
}
