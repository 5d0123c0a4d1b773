//! Assignment of cells to upstreams by weight, with as few moves as possible.
//!
//! The next plan is computed from the plan in force and the upstreams that accept work. Cells of
//! an upstream that is gone go to the upstreams furthest below their share, and neighbouring runs
//! of them to different upstreams, so that a run of busy keys is spread. An upstream that joins
//! receives cells from upstreams above their share once it is warm.

use super::load_rebalancer::{HolderLoad, rebalance_load};
use crate::connection::DemandReport;
use crate::version::{
    CELLS, CellRow, HolderRow, PlanVersion, RangePlan, ServiceRanges, UpstreamInstance,
    epoch_of_version,
};

/// Neighbouring cells that are first assigned together. 12 cells are 96 keys: a run of 200 busy
/// keys is spread over three upstreams, and ten upstreams have about 70 ranges each.
const RUN_CELLS: usize = 12;

/// Runs in which an upstream's share is assigned at least, so that shares differ little: with runs of 12
/// cells, 157 of 840 upstreams would get none.
const SHARE_RUNS: usize = 8;

/// Ranges that each upstream gets when all cells are assigned to a few upstreams at once.
const PLACED_RANGES: usize = 90;

/// Number of ranges of an upstream above which its neighbouring cells are joined under one fence.
const JOIN_RANGES: usize = 100;

/// Most ranges that moves for demand may leave an upstream with. The reply to a heartbeat is at
/// most 4 KiB, and a range in it at most 34 bytes without a handover token, with a fence of 16 digits.
pub const MAX_RANGES: usize = 118;

/// Percentage of its share below which an upstream receives cells from others.
const UNDERFILLED_PERCENT: usize = 70;

/// Plans in which an upstream receives its share in steps.
const FILLING_STEPS: usize = 3;

/// Percentage of its share that runs which move for demand leave an upstream: with less than
/// [`UNDERFILLED_PERCENT`] it would get cells back in the next plan.
const RUN_FLOOR_PERCENT: usize = UNDERFILLED_PERCENT + 3;

/// An upstream that can be assigned cells.
#[derive(Debug, Clone, PartialEq)]
pub struct RangeCandidate {
    /// Host that it runs on.
    pub host: Box<str>,
    /// Current instance of the upstream.
    pub instance: UpstreamInstance,
    /// Weight of its share, relative to the other candidates; 0 counts as 1.
    pub weight: u32,
    /// Whether it may receive cells that other upstreams serve.
    pub warm: bool,
    /// Plan version up to which every hold of an earlier holder of its cells has ended.
    pub settled_version: PlanVersion,
    /// Requests per second that it can run; 0 if unknown.
    pub capacity: f64,
    /// Request rate for its cells.
    pub demand: DemandReport,
}

/// How upstreams far below their share receive cells that others serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ShareFilling {
    /// The whole share in one plan.
    #[default]
    Whole,
    /// A part of the share in one plan, as a cell is not served while it moves.
    Steps,
    /// None: the last step is too recent.
    Paused,
}

/// Candidates for the key ranges of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceCandidates {
    /// Name of the service.
    pub service: Box<str>,
    /// Candidates, sorted by host.
    pub candidates: Vec<RangeCandidate>,
    /// How they receive their shares.
    pub filling: ShareFilling,
}

/// Returns the next plan, or `None` if nothing changes. `services` must be sorted by name. The first
/// plan of an epoch replaces all fences, as plans that were lost may have given out higher ones.
pub fn plan_ranges(
    current: &RangePlan,
    version: PlanVersion,
    services: &[ServiceCandidates],
) -> Option<RangePlan> {
    let refences = current.version > 0 && epoch_of_version(version) > current.epoch();
    let mut changed = refences;
    let mut next = RangePlan { version, services: Vec::new() };
    for row in services {
        let before = current.service(&row.service);
        let after = if refences {
            plan_again(before, row, version)
        } else {
            plan_service(before, row, version)
        };
        changed |= after.is_some();
        next.services.extend(after.or_else(|| before.cloned()));
    }
    changed.then_some(next)
}

/// Gives every cell a new fence, and a new holder only if it has lost its own.
fn plan_again(
    before: Option<&ServiceRanges>,
    service: &ServiceCandidates,
    version: PlanVersion,
) -> Option<ServiceRanges> {
    if service.candidates.is_empty() {
        return before.map(|before| before.with_fence(version));
    }
    let mut assignment = CellAssignment::new(before, &service.candidates, version);
    assignment.assign_unowned();
    assignment.fences.fill(version);
    Some(assignment.into_ranges(service, before))
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
    assignment.spares_cold = before.is_some() && service.filling != ShareFilling::Whole;
    assignment.assign_unowned();
    assignment.rebalance_cells(service.filling);
    if !assignment.changed {
        assignment.rebalance_demand();
    }
    if !assignment.changed {
        return None;
    }
    assignment.join_fences();
    Some(assignment.into_ranges(service, before))
}

/// Assignment of one service's cells while the next plan is computed.
struct CellAssignment<'a> {
    candidates: &'a [RangeCandidate],
    /// Index of the owner in `candidates`, by cell.
    owners: Vec<Option<usize>>,
    /// Fence, by cell.
    fences: Vec<PlanVersion>,
    /// Number of cells held, by candidate.
    held: Vec<usize>,
    /// Number of cells according to its weight, by candidate.
    shares: Vec<usize>,
    /// Version of the next plan.
    version: PlanVersion,
    /// Whether it differs from the plan in force.
    changed: bool,
    /// Whether cells of lost upstreams go to warm candidates if there are any.
    spares_cold: bool,
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
            spares_cold: false,
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

    /// Returns the candidate that is furthest below its share, leaving out those in `avoid`, which
    /// own the neighbouring cells.
    fn least_filled(&self, avoid: [Option<usize>; 2]) -> Option<usize> {
        let any_warm = self.candidates.iter().any(|row| row.warm);
        let spared = |row: &RangeCandidate| self.spares_cold && any_warm && !row.warm;
        let open =
            |index: &usize| !avoid.contains(&Some(*index)) && !spared(&self.candidates[*index]);
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

    /// Moves runs of cells from candidates above their share to warm candidates far below theirs.
    fn rebalance_cells(&mut self, filling: ShareFilling) {
        let run_cells = self.short_run_cells();
        for receiver in 0..self.candidates.len() {
            let share = self.shares[receiver];
            let most = match filling {
                ShareFilling::Whole => share,
                ShareFilling::Steps => self.held[receiver] + share.div_ceil(FILLING_STEPS),
                ShareFilling::Paused => return,
            };
            let threshold = share * UNDERFILLED_PERCENT / 100;
            if !self.candidates[receiver].warm || self.held[receiver] >= threshold {
                continue;
            }
            let mut run_start = 0;
            while run_start < CELLS && self.held[receiver] < most.min(share) {
                let owner = self.owners[run_start];
                let limit = CELLS.min(run_start + run_cells);
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

    /// Gives neighbouring cells of one owner the same fence if the owner has many ranges. The owner
    /// keeps the cells that it already holds, under a higher fence.
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

    /// Returns the number of ranges of each candidate. A range is a run of cells with one owner and
    /// one fence.
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

    /// Returns the length in cells of the runs in which unowned cells are assigned. It grows as the
    /// number of candidates shrinks.
    fn run_cells(&self) -> usize {
        self.short_run_cells().max(CELLS / (self.candidates.len() * PLACED_RANGES).max(1))
    }

    /// Returns the length in cells of the runs that move between candidates: shorter than
    /// [`RUN_CELLS`] where shares are small.
    fn short_run_cells(&self) -> usize {
        let share = CELLS / self.candidates.len().max(1);
        (share / SHARE_RUNS).clamp(1, RUN_CELLS)
    }

    /// Moves cells by demand, if the capacity of every candidate is known.
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
            let from = owners[row.cell];
            let left = self.joined_neighbours(row.cell, from, self.fences[row.cell]);
            let joined = self.joined_neighbours(row.cell, row.to, self.version);
            let after_from = ranges[from] + left - 1;
            let after_to = ranges[row.to] + 1 - joined;
            // A cell in the middle of a range splits it in two; one beside a moved cell starts no range.
            let keeps_share =
                !row.in_run || self.held[from] * 100 > self.shares[from] * RUN_FLOOR_PERCENT;
            let fits = keeps_share
                && (left < 2 || after_from <= MAX_RANGES)
                && (joined > 0 || after_to <= MAX_RANGES);
            if fits {
                ranges[from] = after_from;
                ranges[row.to] = after_to;
                self.assign(row.cell, row.to);
            }
        }
    }

    /// Returns how many of a cell's two neighbours have this owner and fence.
    fn joined_neighbours(&self, cell: usize, owner: usize, fence: PlanVersion) -> usize {
        let joins = |index: &usize| {
            *index < CELLS && self.owners[*index] == Some(owner) && self.fences[*index] == fence
        };
        [cell.wrapping_sub(1), cell + 1].iter().filter(|index| joins(index)).count()
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
