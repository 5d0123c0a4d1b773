//! Which upstream owns which keys of a service that is divided by ranges.
//!
//! Keys are numbers from 0 to 65535 in cells of 8 neighbours; a cell is the least that moves.
//! Of 60,000 keys asked for by a Zipf law of exponent 0.75 the busiest 8 get 6 % of all
//! requests, about half of what one of ten upstreams can do.
//! A plan is a whole table. It replaces the one before by a conditional append, so that plans
//! are a sequence, and a cell's fence is the version of the plan that gave it to its holder.

use serde::{Deserialize, Serialize};

/// Number of a cell.
pub type CellIndex = usize;

/// Version of a plan; the first is 1.
pub type PlanVersion = u64;

/// Keys in one cell. A stretch of 60 busy keys spans eight cells.
pub const CELL_KEYS: usize = 8;

/// Cells of a service.
pub const CELLS: usize = 65_536 / CELL_KEYS;

/// One life of an upstream: a restart under the same id is another life.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct UpstreamInstance {
    /// Id that the upstream announced.
    pub id: Box<str>,
    /// Unix time of its start in milliseconds; 0 where it did not say.
    pub born_ms: u64,
}

/// An upstream that a plan names.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderRow {
    /// Host of the node beside the upstream.
    pub host: Box<str>,
    /// Life of the upstream.
    pub instance: UpstreamInstance,
    /// Plan version up to which no earlier holder of its cells can still act.
    pub settled_version: PlanVersion,
}

/// A run of cells with one holder and one fence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct CellRun {
    cells: u16,
    holder: u16,
    fence: PlanVersion,
}

/// Holder and fence of one cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CellRow {
    /// Index into the holders.
    pub holder: u16,
    /// Version of the plan that gave the cell to its holder.
    pub fence: PlanVersion,
}

/// Division of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRanges {
    /// Service.
    pub service: Box<str>,
    /// Holders that the cells name.
    pub holders: Vec<HolderRow>,
    runs: Vec<CellRun>,
}

impl ServiceRanges {
    /// Packs one row for each cell.
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

    /// One row for each cell.
    pub fn cells(&self) -> Vec<CellRow> {
        let mut cells = Vec::with_capacity(CELLS);
        for run in &self.runs {
            let cell = CellRow { holder: run.holder, fence: run.fence };
            cells.extend(std::iter::repeat_n(cell, usize::from(run.cells)));
        }
        cells
    }

    /// Whether every cell names a holder of the table.
    fn is_complete(&self) -> bool {
        let cells: usize = self.runs.iter().map(|run| usize::from(run.cells)).sum();
        cells == CELLS && self.runs.iter().all(|run| usize::from(run.holder) < self.holders.len())
    }

    /// Cells of each holder, in the order of the holders.
    pub fn cells_held(&self) -> Vec<usize> {
        let mut held = vec![0; self.holders.len()];
        for run in &self.runs {
            held[usize::from(run.holder)] += usize::from(run.cells);
        }
        held
    }

    /// Index of the holder on a host.
    pub fn holder_on(&self, host: &str) -> Option<usize> {
        self.holders.iter().position(|row| &*row.host == host)
    }
}

/// Division of all services, as one record on the store.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RangePlan {
    /// Version; each plan is one above the plan that it replaces.
    pub version: PlanVersion,
    /// Divided services, sorted by name.
    pub services: Vec<ServiceRanges>,
}

impl RangePlan {
    /// Division of a service.
    pub fn service(&self, name: &str) -> Option<&ServiceRanges> {
        let index = self.services.binary_search_by(|row| (*row.service).cmp(name)).ok()?;
        Some(&self.services[index])
    }

    /// Bytes of the record.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Plan of a record's bytes; `None` if they are no whole plan.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let plan: Self = postcard::from_bytes(bytes).ok()?;
        plan.services.iter().all(ServiceRanges::is_complete).then_some(plan)
    }
}

/// Cell of a key.
pub const fn cell_of_key(key: u16) -> CellIndex {
    key as usize / CELL_KEYS
}

/// First and last key of the cells from `first` to `last`.
#[allow(clippy::cast_possible_truncation)]
pub const fn keys_of_cells(first: CellIndex, last: CellIndex) -> (u16, u16) {
    ((first * CELL_KEYS) as u16, (last * CELL_KEYS + CELL_KEYS - 1) as u16)
}
