//! Lines of owners and successors.

use serde::{Deserialize, Serialize};

use crate::{LogOffset, NodeId, PartitionId};

/// One recorded line: an owner, then its successors in order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignmentRow {
    /// Offset of the plan that recorded it.
    pub offset: LogOffset,
    /// Owner first.
    pub nodes: Vec<NodeId>,
}

/// A partition with its current line and the earlier ones that may still be relied on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionRow {
    /// Partition.
    pub id: PartitionId,
    /// Lines by rising offset; the last is current.
    pub assignments: Vec<AssignmentRow>,
}

impl PartitionRow {
    /// Line in force.
    pub fn current(&self) -> Option<&AssignmentRow> {
        self.assignments.last()
    }

    /// Drops lines that nobody can rely on: everyone acknowledged `floor`, which supersedes them.
    ///
    /// A line that names one of `unquiesced` is kept: that member ended, and what it was allowed may
    /// still run.
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
