//! Fences that have ended, as nodes report them to the next holders.

use serde::{Deserialize, Serialize};

use super::cell_state::RevokedGrant;
use super::key_handover::{KeyHandover, insert_handover};
use crate::version::{CellIndex, PlanVersion, keys_of_cells};

/// A fence that has ended on a run of cells, as reported to the node of their next holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedFence {
    /// First cell.
    pub first: CellIndex,
    /// Last cell.
    pub last: CellIndex,
    /// Fence that has ended.
    pub fence: PlanVersion,
    /// Handover token from the earlier holder for all keys; empty if there is no such token.
    pub handover: Box<str>,
    /// Tokens of a single cell whose keys were released with several tokens, or not all with one.
    #[serde(skip)]
    pub parts: Vec<KeyHandover>,
}

impl EndedFence {
    /// Returns the tokens of the keys of one of its cells, sorted by key.
    pub(super) fn handovers_of(&self, index: CellIndex) -> Vec<KeyHandover> {
        let (first, last) = keys_of_cells(index, index);
        if !self.handover.is_empty() {
            return vec![KeyHandover { first, last, token: self.handover.clone() }];
        }
        let mut rows = Vec::new();
        for row in &self.parts {
            if first <= row.first && row.first <= row.last && row.last <= last {
                insert_handover(&mut rows, row.clone());
            }
        }
        rows
    }
}

/// Adds a fence that ended on a cell, joined with the row before where it can be.
pub(super) fn add_ended(
    rows: &mut Vec<EndedFence>,
    index: CellIndex,
    revoked_grant: &RevokedGrant,
) {
    let (handover, parts) = match &*revoked_grant.handovers {
        [row] if (row.first, row.last) == keys_of_cells(index, index) => {
            (row.token.clone(), Vec::new())
        }
        parts => ("".into(), parts.to_vec()),
    };
    let added =
        EndedFence { first: index, last: index, fence: revoked_grant.fence, handover, parts };
    match rows.last_mut() {
        Some(row)
            if row.last + 1 == index
                && row.fence == added.fence
                && row.handover == added.handover
                && row.parts.is_empty()
                && added.parts.is_empty() =>
        {
            row.last = index;
        }
        _ => rows.push(added),
    }
}
