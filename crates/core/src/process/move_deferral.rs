//! Spreads the moves of a plan over several plans.
//!
//! The plan is computed as if all moves were made at once, so that the last of the plans has the same
//! shares as one that moves everything. Cells whose moves are deferred stay with their holder.

use crate::version::{CellRow, HolderRow, RangePlan, ServiceRanges, UpstreamInstance};

/// Returns the plan `after` in which these upstreams keep the cells that they hold by the plan `before`;
/// `None` if nothing changes then. The plan must be of the same epoch.
pub fn defer_moves(
    before: &RangePlan,
    mut after: RangePlan,
    keeping: &[UpstreamInstance],
) -> Option<RangePlan> {
    for ranges in &mut after.services {
        if let Some(known) = before.service(&ranges.service) {
            *ranges = defer_service(known, ranges, keeping);
        }
    }
    (after.services != before.services).then_some(after)
}

fn defer_service(
    before: &ServiceRanges,
    after: &ServiceRanges,
    keeping: &[UpstreamInstance],
) -> ServiceRanges {
    let keeps = |row: &HolderRow| keeping.contains(&row.instance);
    if !before.holders.iter().any(keeps) {
        return after.clone();
    }
    let mut holders = after.holders.clone();
    let old_cells = before.cells();
    let mut cells = after.cells();
    for (old, cell) in old_cells.iter().zip(&mut cells) {
        let holder = &before.holders[usize::from(old.holder)];
        if !keeps(holder) {
            continue;
        }
        let known = holders.iter().position(|row| row.instance == holder.instance);
        let index = known.unwrap_or_else(|| {
            holders.push(holder.clone());
            holders.len() - 1
        });
        let Ok(holder) = u16::try_from(index) else { continue };
        *cell = CellRow { holder, fence: old.fence };
    }
    // The same cells under the same fences are no change, in whatever order the holders are named.
    let unchanged = old_cells.iter().zip(&cells).all(|(old, cell)| {
        let (known, next) =
            (&before.holders[usize::from(old.holder)], &holders[usize::from(cell.holder)]);
        old.fence == cell.fence && known.instance == next.instance
    });
    if unchanged {
        return before.clone();
    }
    ServiceRanges::new(after.service.clone(), holders, &cells)
}
