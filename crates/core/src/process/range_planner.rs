//! Which upstream gets which cells: least movement, shares by weight.
//!
//! The plan is computed from the plan in force and the upstreams that take work. Cells of an
//! upstream that is gone go to those that are furthest below their share, neighbours to
//! different ones, so that a stretch of busy keys spreads. An upstream that joins takes cells
//! from those above their share once it is warm.

use super::load_rebalancer::{HolderLoad, rebalance_load};
use crate::connection::DemandReport;
use crate::version::{
    CELLS, CellRow, HolderRow, PlanVersion, RangePlan, ServiceRanges, UpstreamInstance,
};

/// Neighbouring cells that are placed together at first. 96 keys: a stretch of 200 busy keys
/// spreads over three upstreams, and ten upstreams have about 70 ranges each.
const RUN_CELLS: usize = 12;

/// Ranges of each of a few upstreams when all cells are placed at once.
const PLACED_RANGES: usize = 90;

/// Ranges of an upstream above which its neighbouring cells are joined under one fence.
const JOIN_RANGES: usize = 100;

/// Most ranges of an upstream. The answer to a heartbeat is at most 4 KiB, a range in it at most
/// 26 bytes without a handover token and 42 with one.
const MAX_RANGES: usize = 140;

/// Part of its share below which an upstream is given cells of others, in percent.
const UNDERFILLED_PERCENT: usize = 70;

/// An upstream that takes work.
#[derive(Debug, Clone, PartialEq)]
pub struct RangeCandidate {
    /// Host.
    pub host: Box<str>,
    /// Life.
    pub instance: UpstreamInstance,
    /// Weight of its share.
    pub weight: u32,
    /// Whether it takes cells from others that serve.
    pub warm: bool,
    /// Plan version up to which nothing earlier can still run.
    pub settled_version: PlanVersion,
    /// Requests a second that it can run; 0 if that is not known.
    pub capacity: f64,
    /// Demand for its cells.
    pub demand: DemandReport,
}

/// Upstreams of one divided service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceCandidates {
    /// Service.
    pub service: Box<str>,
    /// Upstreams, sorted by host.
    pub candidates: Vec<RangeCandidate>,
}

/// Next plan, if anything is to change. `services` is sorted by name.
pub fn plan_ranges(current: &RangePlan, services: &[ServiceCandidates]) -> Option<RangePlan> {
    let version = current.version + 1;
    let mut changed = false;
    let mut next = RangePlan { version, services: Vec::new() };
    for row in services {
        let before = current.service(&row.service);
        let after = plan_service(before, row, version);
        changed |= after.is_some();
        next.services.extend(after.or_else(|| before.cloned()));
    }
    changed.then_some(next)
}

fn plan_service(
    before: Option<&ServiceRanges>,
    service: &ServiceCandidates,
    version: PlanVersion,
) -> Option<ServiceRanges> {
    if service.candidates.is_empty() {
        return None;
    }
    let mut assignment = CellAssignment::new(before, &service.candidates, version);
    assignment.assign_unowned();
    assignment.rebalance_cells();
    if !assignment.changed {
        assignment.rebalance_demand();
    }
    if !assignment.changed {
        return None;
    }
    assignment.join_fences();
    Some(assignment.into_ranges(service, before))
}

/// Working table of one service.
struct CellAssignment<'a> {
    candidates: &'a [RangeCandidate],
    /// Index into the candidates, by cell.
    owners: Vec<Option<usize>>,
    fences: Vec<PlanVersion>,
    held: Vec<usize>,
    shares: Vec<usize>,
    version: PlanVersion,
    changed: bool,
}

impl<'a> CellAssignment<'a> {
    fn new(
        before: Option<&ServiceRanges>,
        candidates: &'a [RangeCandidate],
        version: PlanVersion,
    ) -> Self {
        let total: usize = candidates.iter().map(|row| row.weight.max(1) as usize).sum();
        let share = |row: &RangeCandidate| CELLS * row.weight.max(1) as usize / total;
        let mut assignment = Self {
            candidates,
            owners: vec![None; CELLS],
            fences: vec![0; CELLS],
            held: vec![0; candidates.len()],
            shares: candidates.iter().map(share).collect(),
            version,
            changed: false,
        };
        let Some(before) = before else { return assignment };
        let by_host = |host: &str| candidates.iter().position(|row| &*row.host == host);
        let hosts: Vec<_> = before.holders.iter().map(|row| by_host(&row.host)).collect();
        for (index, cell) in before.cells().into_iter().enumerate() {
            let holder = &before.holders[usize::from(cell.holder)];
            let Some(owner) = hosts[usize::from(cell.holder)] else { continue };
            assignment.owners[index] = Some(owner);
            assignment.held[owner] += 1;
            assignment.fences[index] = cell.fence;
            if candidates[owner].instance != holder.instance {
                assignment.fences[index] = version;
                assignment.changed = true;
            }
        }
        assignment
    }

    /// Candidate that is furthest below its share, other than the neighbours' holders.
    fn least_filled(&self, avoid: [Option<usize>; 2]) -> Option<usize> {
        let open = |index: &usize| !avoid.contains(&Some(*index));
        let fill = |index: &usize| self.held[*index] * 1000 / self.shares[*index].max(1);
        (0..self.candidates.len()).filter(open).min_by_key(fill)
    }

    fn assign(&mut self, cell: usize, owner: usize) {
        if let Some(old) = self.owners[cell] {
            self.held[old] -= 1;
        }
        self.owners[cell] = Some(owner);
        self.held[owner] += 1;
        self.fences[cell] = self.version;
        self.changed = true;
    }

    fn assign_unowned(&mut self) {
        let mut cell = 0;
        while cell < CELLS {
            if self.owners[cell].is_some() {
                cell += 1;
                continue;
            }
            let limit = CELLS.min(cell + self.run_cells());
            let end = (cell..limit).find(|index| self.owners[*index].is_some()).unwrap_or(limit);
            let before = cell.checked_sub(1).and_then(|index| self.owners[index]);
            let after = self.owners.get(end).copied().flatten();
            let owner =
                self.least_filled([before, after]).or_else(|| self.least_filled([None, None]));
            let Some(owner) = owner else { return };
            (cell..end).for_each(|index| self.assign(index, owner));
            cell = end;
        }
    }

    /// Moves runs from those above their share to warm ones far below theirs.
    fn rebalance_cells(&mut self) {
        for receiver in 0..self.candidates.len() {
            let threshold = self.shares[receiver] * UNDERFILLED_PERCENT / 100;
            if !self.candidates[receiver].warm || self.held[receiver] >= threshold {
                continue;
            }
            let mut run_start = 0;
            while run_start < CELLS && self.held[receiver] < self.shares[receiver] {
                let owner = self.owners[run_start];
                let limit = CELLS.min(run_start + RUN_CELLS);
                let same = |index: &usize| self.owners[*index] == owner;
                let run_end = (run_start..limit).find(|index| !same(index)).unwrap_or(limit);
                let cells = run_end - run_start;
                let donor = owner.filter(|owner| *owner != receiver);
                if donor.is_some_and(|donor| self.held[donor] >= self.shares[donor] + cells) {
                    (run_start..run_end).for_each(|cell| self.assign(cell, receiver));
                }
                run_start = run_end;
            }
        }
    }

    /// Gives neighbouring cells of one holder one fence, where the holder has many ranges. What
    /// an upstream holds already it goes on holding under a higher fence.
    fn join_fences(&mut self) {
        let ranges = self.ranges_held();
        for cell in 1..CELLS {
            let owner = self.owners[cell];
            let joins = owner.is_some_and(|owner| ranges[owner] > JOIN_RANGES);
            if joins && owner == self.owners[cell - 1] && self.fences[cell] != self.fences[cell - 1]
            {
                self.fences[cell] = self.version;
                self.fences[cell - 1] = self.version;
            }
        }
    }

    /// Ranges of each candidate: runs of one holder and one fence.
    fn ranges_held(&self) -> Vec<usize> {
        let mut ranges = vec![0; self.candidates.len()];
        for cell in 0..CELLS {
            let Some(owner) = self.owners[cell] else { continue };
            let same = cell > 0
                && self.owners[cell - 1] == Some(owner)
                && self.fences[cell - 1] == self.fences[cell];
            ranges[owner] += usize::from(!same);
        }
        ranges
    }

    /// Cells of one run when orphans are placed: the fewer candidates, the longer.
    fn run_cells(&self) -> usize {
        RUN_CELLS.max(CELLS / (self.candidates.len() * PLACED_RANGES).max(1))
    }

    /// Moves busy cells where demand and capacity of all are known.
    fn rebalance_demand(&mut self) {
        if self.candidates.iter().any(|row| row.capacity <= 0.0) {
            return;
        }
        let load = |row: &RangeCandidate| HolderLoad {
            capacity: row.capacity,
            demand: row.demand.clone(),
            accepts_cells: row.warm,
        };
        let loads: Vec<_> = self.candidates.iter().map(load).collect();
        let owners: Vec<_> = self.owners.iter().map(|owner| owner.unwrap_or(0)).collect();
        let mut ranges = self.ranges_held();
        for row in rebalance_load(&owners, &loads) {
            // A move may split a range in two and begins another.
            if ranges[row.to] < MAX_RANGES && ranges[owners[row.cell]] < MAX_RANGES {
                ranges[row.to] += 1;
                ranges[owners[row.cell]] += 1;
                self.assign(row.cell, row.to);
            }
        }
    }

    fn into_ranges(
        self,
        service: &ServiceCandidates,
        before: Option<&ServiceRanges>,
    ) -> ServiceRanges {
        let holder = |row: &RangeCandidate| HolderRow {
            host: row.host.clone(),
            instance: row.instance.clone(),
            settled_version: latest_settled_version(before, row),
        };
        let holders = self.candidates.iter().map(holder).collect();
        let rows: Vec<_> = self
            .owners
            .iter()
            .zip(&self.fences)
            .map(|(owner, fence)| CellRow {
                holder: u16::try_from(owner.unwrap_or(0)).unwrap_or(0),
                fence: *fence,
            })
            .collect();
        ServiceRanges::new(service.service.clone(), holders, &rows)
    }
}

fn latest_settled_version(before: Option<&ServiceRanges>, row: &RangeCandidate) -> PlanVersion {
    let known =
        before.and_then(|before| before.holders.iter().find(|old| old.instance == row.instance));
    known.map_or(0, |old| old.settled_version).max(row.settled_version)
}
