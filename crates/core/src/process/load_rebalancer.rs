//! Moves busy cells from overloaded upstreams to others.
//!
//! If busy keys lie close together, an even split of the keys gives one upstream several times its
//! share of the demand. The utilization of an upstream is its demand over its capacity (slots
//! divided by the mean time of a run). Cells move from the most to the least utilized upstream, the
//! busiest that fit first, until the most utilized one is close to the mean.
//!
//! If upstreams differ in speed, an even split gives a slow one more than it can run for as long as
//! single cells move: a third of the keys may have to move to the faster ones. So beyond the busiest
//! cells whole runs of neighbouring cells move, which leaves the number of ranges about the same.

use std::ops::Range;

use crate::connection::DemandReport;
use crate::version::{CELLS, CellIndex};

/// Utilization above which cells move, in percent of the mean. Below it the queues of a service
/// whose upstreams have several slots each absorb the difference.
const START_PERCENT: f64 = 125.0;

/// Utilization below which no further cells move, in percent of the mean.
const STOP_PERCENT: f64 = 108.0;

/// Utilization below which no cells move, as the upstream has free slots.
const MIN_UTILIZATION: f64 = 0.55;

/// Most cells that one plan moves one by one. A cell is not served for about a second while it moves.
const MAX_MOVES: usize = 64;

/// Most cells that one plan moves in runs: a twelfth of the keys at most is not served for that time.
const MAX_RUN_MOVES: usize = CELLS / 12;

/// Most cells of a run that moves.
const RUN_CELLS: usize = 12;

/// Capacity and demand of one upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct HolderLoad {
    /// Requests per second that it can run.
    pub capacity: f64,
    /// Request rate for its cells.
    pub demand: DemandReport,
    /// Whether cells may move to it.
    pub accepts_cells: bool,
}

/// Move of one cell to another holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CellMove {
    /// Cell that moves.
    pub cell: CellIndex,
    /// Index of the holder that receives it.
    pub to: usize,
    /// Whether it moves with its neighbours, for the number of requests and not for being busy.
    pub in_run: bool,
}

/// Returns the moves that even out the utilization of the holders. `owners` gives the index in
/// `loads` of each cell's holder.
pub fn rebalance_load(owners: &[usize], loads: &[HolderLoad]) -> Vec<CellMove> {
    let mut table = LoadTable::new(owners, loads);
    let mean_utilization = table.mean_utilization();
    let mut moves = Vec::new();
    let Some(most_utilized) = table.most_utilized() else { return moves };
    let start_utilization = mean_utilization * START_PERCENT / 100.0;
    if table.utilization(most_utilized) < start_utilization
        || table.utilization(most_utilized) < MIN_UTILIZATION
    {
        return moves;
    }
    while moves.len() < MAX_MOVES {
        let (Some(from), Some(to)) = (table.most_utilized(), table.least_utilized()) else { break };
        if from == to || table.utilization(from) < mean_utilization * STOP_PERCENT / 100.0 {
            break;
        }
        let Some(cell) = table.fitting_cell(from, to, mean_utilization) else { break };
        table.move_cell(cell, from, to);
        moves.push(CellMove { cell, to, in_run: false });
    }
    if table.most_utilized_of_all() >= start_utilization {
        move_runs(&mut table, owners, mean_utilization, &mut moves);
    }
    moves
}

/// Moves runs of cells, the busiest that fit first, until the most utilized holder is close to the mean.
fn move_runs(
    table: &mut LoadTable<'_>,
    owners: &[usize],
    mean_utilization: f64,
    moves: &mut Vec<CellMove>,
) {
    let mut owners = owners.to_vec();
    for row in moves.iter() {
        owners[row.cell] = row.to;
    }
    let mut runs = table.runs(&owners);
    table.exhausted.fill(false);
    let mut moved = 0;
    while moved < MAX_RUN_MOVES {
        let (Some(from), Some(to)) = (table.most_utilized(), table.least_utilized()) else { break };
        if from == to || table.utilization(from) < mean_utilization * STOP_PERCENT / 100.0 {
            break;
        }
        let limit = table.transfer_limit(from, to, mean_utilization);
        let rows = &mut runs[from];
        let Some(index) = rows.partition_point(|run| run.demand <= limit).checked_sub(1) else {
            table.exhausted[from] = true;
            continue;
        };
        let run = rows.remove(index);
        table.demand[from] -= run.demand;
        table.demand[to] += run.demand;
        moved += run.cells.len();
        moves.extend(run.cells.map(|cell| CellMove { cell, to, in_run: true }));
    }
}

/// Neighbouring cells of one holder, and the request rate for them.
struct CellRun {
    cells: Range<CellIndex>,
    demand: f64,
}

struct LoadTable<'a> {
    loads: &'a [HolderLoad],
    /// Requests per second, by holder.
    demand: Vec<f64>,
    /// Requests per second, by cell.
    cells: Vec<f64>,
    /// Cells of each holder, busiest last.
    held: Vec<Vec<CellIndex>>,
    /// Holders whose remaining cells are all too large to move.
    exhausted: Vec<bool>,
}

impl<'a> LoadTable<'a> {
    fn new(owners: &[usize], loads: &'a [HolderLoad]) -> Self {
        let mut held: Vec<Vec<CellIndex>> = vec![Vec::new(); loads.len()];
        for (cell, owner) in owners.iter().enumerate() {
            held[*owner].push(cell);
        }
        let mut cells = vec![0.0; CELLS];
        for (owner, load) in loads.iter().enumerate() {
            add_cell_demand(&load.demand, &held[owner], &mut cells);
        }
        for rows in &mut held {
            rows.sort_by(|a, b| cells[*a].total_cmp(&cells[*b]));
        }
        let demand = held.iter().map(|rows| rows.iter().map(|cell| cells[*cell]).sum()).collect();
        Self { loads, demand, cells, held, exhausted: vec![false; loads.len()] }
    }

    /// Returns the holder's demand divided by its capacity.
    fn utilization(&self, holder: usize) -> f64 {
        self.demand[holder] / self.loads[holder].capacity.max(0.001)
    }

    /// Returns the demand of all holders divided by their capacity.
    fn mean_utilization(&self) -> f64 {
        let capacity: f64 = self.loads.iter().map(|load| load.capacity).sum();
        self.demand.iter().sum::<f64>() / capacity.max(0.001)
    }

    fn most_utilized(&self) -> Option<usize> {
        let open = (0..self.loads.len()).filter(|holder| !self.exhausted[*holder]);
        open.max_by(|a, b| self.utilization(*a).total_cmp(&self.utilization(*b)))
    }

    /// Returns the utilization of the most utilized holder, whether its cells can move or not.
    fn most_utilized_of_all(&self) -> f64 {
        (0..self.loads.len()).map(|holder| self.utilization(holder)).fold(0.0, f64::max)
    }

    /// Returns the runs of each holder that have demand, the busiest last.
    fn runs(&self, owners: &[usize]) -> Vec<Vec<CellRun>> {
        let mut runs: Vec<Vec<CellRun>> = self.loads.iter().map(|_| Vec::new()).collect();
        let mut first = 0;
        while first < owners.len() {
            let limit = owners.len().min(first + RUN_CELLS);
            let owner = owners[first];
            let end = (first..limit).find(|cell| owners[*cell] != owner).unwrap_or(limit);
            let demand = self.cells[first..end].iter().sum();
            if demand > 0.0 {
                runs[owner].push(CellRun { cells: first..end, demand });
            }
            first = end;
        }
        for rows in &mut runs {
            rows.sort_by(|a, b| a.demand.total_cmp(&b.demand));
        }
        runs
    }

    /// Returns the demand that may move so that `from` stays at least at the mean utilization and `to`
    /// at most at [`STOP_PERCENT`] of it.
    fn transfer_limit(&self, from: usize, to: usize, mean_utilization: f64) -> f64 {
        let excess = self.demand[from] - mean_utilization * self.loads[from].capacity;
        let room =
            mean_utilization * STOP_PERCENT / 100.0 * self.loads[to].capacity - self.demand[to];
        excess.max(0.0).min(room)
    }

    fn least_utilized(&self) -> Option<usize> {
        let open = (0..self.loads.len()).filter(|holder| self.loads[*holder].accepts_cells);
        open.min_by(|a, b| self.utilization(*a).total_cmp(&self.utilization(*b)))
    }

    /// Returns the busiest cell whose move leaves `from` at least at the mean utilization and `to`
    /// at most at [`STOP_PERCENT`] of it. Falls back to [`Self::oversized_cell`].
    fn fitting_cell(&mut self, from: usize, to: usize, mean_utilization: f64) -> Option<CellIndex> {
        let limit = self.transfer_limit(from, to, mean_utilization);
        let rows = &self.held[from];
        let fitting = rows.partition_point(|cell| self.cells[*cell] <= limit);
        let found = fitting.checked_sub(1).map(|index| rows[index]);
        let found = found.filter(|cell| self.cells[*cell] > 0.0);
        self.exhausted[from] |= found.is_none();
        found.or_else(|| self.oversized_cell(from, to))
    }

    /// Returns the busiest cell of `from` if its move leaves `to` well below the present
    /// utilization of `from`; used if no cell fits.
    fn oversized_cell(&self, from: usize, to: usize) -> Option<CellIndex> {
        let cell = *self.held[from].last()?;
        let after = (self.demand[to] + self.cells[cell]) / self.loads[to].capacity.max(0.001);
        let enough = self.held[from].len() > 1 && after < self.utilization(from) * 0.8;
        enough.then_some(cell)
    }

    fn move_cell(&mut self, cell: CellIndex, from: usize, to: usize) {
        let load = self.cells[cell];
        self.demand[from] -= load;
        self.demand[to] += load;
        self.held[from].retain(|row| *row != cell);
        let cells = &self.cells;
        let index = self.held[to].partition_point(|row| cells[*row] < load);
        self.held[to].insert(index, cell);
    }
}

fn add_cell_demand(demand: &DemandReport, held: &[CellIndex], cells: &mut [f64]) {
    let mut unlisted = f64::from(demand.total_tenths) / 10.0;
    let mut hot_count = 0;
    for row in &demand.hot_cells {
        let cell = usize::from(row.cell);
        if held.binary_search(&cell).is_ok() {
            cells[cell] = f64::from(row.rate_tenths) / 10.0;
            hot_count += 1;
        }
        unlisted -= f64::from(row.rate_tenths) / 10.0;
    }
    #[allow(clippy::cast_precision_loss)]
    let cell_rate = unlisted.max(0.0) / (held.len() - hot_count).max(1) as f64;
    for cell in held {
        if cells[*cell] <= 0.0 {
            cells[*cell] = cell_rate;
        }
    }
}
