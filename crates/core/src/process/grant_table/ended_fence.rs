//! Fences that have ended, as nodes report them to the next holders.

use serde::{Deserialize, Serialize};

use super::cell_state::RevokedGrant;
use crate::version::{CellIndex, PlanVersion};

/// A fence that has ended on a run of cells, as reported to the node of their next holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedFence {
    /// First cell.
    pub first: CellIndex,
    /// Last cell.
    pub last: CellIndex,
    /// Fence that has ended.
    pub fence: PlanVersion,
    /// Handover token from the earlier holder; empty if there is none.
    pub handover: Box<str>,
}

/// Adds a fence that ended on a cell, joined with the row before where it can be.
pub(super) fn add_ended(
    rows: &mut Vec<EndedFence>,
    index: CellIndex,
    revoked_grant: &RevokedGrant,
) {
    match rows.last_mut() {
        Some(row)
            if row.last + 1 == index
                && row.fence == revoked_grant.fence
                && row.handover == revoked_grant.handover =>
        {
            row.last = index;
        }
        _ => rows.push(EndedFence {
            first: index,
            last: index,
            fence: revoked_grant.fence,
            handover: revoked_grant.handover.clone(),
        }),
    }
}
