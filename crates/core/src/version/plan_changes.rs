//! What a node that has an earlier plan lacks of a newer one.
//!
//! Load that this answers: in a fleet of hundreds of hosts relays pass each new plan on to all hosts of
//! their data centre, every few seconds. The fence of a cell is the version that assigned it, so the
//! cells with a higher fence than the receiver's version are all that changed.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::{CELLS, CellRow, HolderRow, PlanVersion, RangePlan, ServiceRanges};

/// Holder without an index in the other plan.
const NO_HOLDER: u16 = u16::MAX;

/// A run of cells that changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct ChangedRun {
    /// First cell.
    first: u16,
    /// Number of cells.
    cells: u16,
    /// Index into [`ServiceChanges::holders`].
    holder: u16,
    /// Version of the plan that assigned the cells to the holder.
    fence: PlanVersion,
}

/// What changed for one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct ServiceChanges {
    service: Box<str>,
    /// All holders of the newer plan.
    holders: Vec<HolderRow>,
    /// Runs of cells that changed, by rising cell.
    runs: Vec<ChangedRun>,
}

/// Changes that turn an earlier plan into a newer one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanChanges {
    /// Version of the earlier plan.
    base: PlanVersion,
    /// Version of the newer plan.
    version: PlanVersion,
    services: Vec<ServiceChanges>,
    /// Hash of the newer plan, so that changes to a plan of another history are noticed.
    digest: u64,
}

impl PlanChanges {
    /// Returns the changes from the plan with version `base` to a newer plan.
    pub fn new(base: PlanVersion, newer: &RangePlan) -> Self {
        let services = newer.services.iter().map(|ranges| ServiceChanges {
            service: ranges.service.clone(),
            holders: ranges.holders.clone(),
            runs: changed_runs(base, &ranges.cells()),
        });
        let services = services.collect();
        Self { base, version: newer.version, services, digest: digest_plan(newer) }
    }

    /// Returns the version of the newer plan.
    pub const fn version(&self) -> PlanVersion {
        self.version
    }

    /// Returns the newer plan; `None` if the changes are for another plan than this one.
    pub fn apply(&self, earlier: &RangePlan) -> Option<RangePlan> {
        if earlier.version != self.base {
            return None;
        }
        let services = self.services.iter().map(|changes| changes.apply(earlier));
        let newer = RangePlan { version: self.version, services: services.collect::<Option<_>>()? };
        (digest_plan(&newer) == self.digest).then_some(newer)
    }
}

impl ServiceChanges {
    fn apply(&self, earlier: &RangePlan) -> Option<ServiceRanges> {
        let mut cells = match earlier.service(&self.service) {
            Some(ranges) => self.kept_cells(ranges),
            None => vec![CellRow { holder: NO_HOLDER, fence: 0 }; CELLS],
        };
        for run in &self.runs {
            let first = usize::from(run.first);
            let row = CellRow { holder: run.holder, fence: run.fence };
            cells.get_mut(first..first + usize::from(run.cells))?.fill(row);
        }
        let complete = cells.iter().all(|cell| usize::from(cell.holder) < self.holders.len());
        complete.then(|| ServiceRanges::new(self.service.clone(), self.holders.clone(), &cells))
    }

    /// Returns the earlier plan's cells with the indexes of the newer plan's holders.
    fn kept_cells(&self, earlier: &ServiceRanges) -> Vec<CellRow> {
        let index_in_newer = |holder: &HolderRow| {
            let same = |row: &HolderRow| row.host == holder.host && row.instance == holder.instance;
            let index = self.holders.iter().position(same);
            index.and_then(|index| u16::try_from(index).ok()).unwrap_or(NO_HOLDER)
        };
        let indexes: Vec<_> = earlier.holders.iter().map(index_in_newer).collect();
        let mut cells = earlier.cells();
        for cell in &mut cells {
            cell.holder = indexes[usize::from(cell.holder)];
        }
        cells
    }
}

fn changed_runs(base: PlanVersion, cells: &[CellRow]) -> Vec<ChangedRun> {
    let mut runs: Vec<ChangedRun> = Vec::new();
    for (index, cell) in cells.iter().enumerate().filter(|(_, cell)| cell.fence > base) {
        let Ok(index) = u16::try_from(index) else { break };
        match runs.last_mut() {
            Some(run)
                if run.first + run.cells == index
                    && run.holder == cell.holder
                    && run.fence == cell.fence =>
            {
                run.cells += 1;
            }
            _ => runs.push(ChangedRun {
                first: index,
                cells: 1,
                holder: cell.holder,
                fence: cell.fence,
            }),
        }
    }
    runs
}

fn digest_plan(plan: &RangePlan) -> u64 {
    xxh3_64(&plan.encode())
}
