//! Assignments of partitions to an owner and its successors.

use serde::{Deserialize, Serialize};

use crate::{LogOffset, NodeId, PartitionId};

/// One recorded assignment: an owner, then its successors in order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignmentRow {
    /// Offset of the plan that recorded it.
    pub offset: LogOffset,
    /// Owner, then successors.
    pub nodes: Vec<NodeId>,
}

/// A partition with its current assignment and earlier ones that a node may still act under.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionRow {
    /// Id: the service in the upper 16 bits, the index within it in the lower 16.
    pub id: PartitionId,
    /// Assignments by rising offset; the last is current.
    pub assignments: Vec<AssignmentRow>,
}

impl PartitionRow {
    /// Current assignment; `None` before the first plan.
    pub fn current(&self) -> Option<&AssignmentRow> {
        self.assignments.last()
    }

    /// Drops assignments that no node acts under any more: every member acknowledged `floor`, and
    /// an assignment up to there supersedes them.
    ///
    /// An assignment that names a node of `unquiesced` (sorted) is kept: that member has ended,
    /// but requests that it was allowed to run may still run.
    pub fn compact(&mut self, floor: LogOffset, unquiesced: &[NodeId]) {
        let last = self.assignments.len().saturating_sub(1);
        let superseded = self
            .assignments
            .iter()
            .skip(1)
            .take_while(|assignment| assignment.offset <= floor)
            .count();
        let mut index = 0;
        self.assignments.retain(|assignment| {
            let keep = index >= superseded.min(last)
                || assignment.nodes.iter().any(|node| unquiesced.binary_search(node).is_ok());
            index += 1;
            keep
        });
    }
}
