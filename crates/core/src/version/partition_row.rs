//! Lines of owners and successors.

use serde::{Deserialize, Serialize};

use crate::{LogOffset, NodeId, PartitionId};

/// One recorded line: an owner, then its successors in order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LineRow {
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
    pub lines: Vec<LineRow>,
}

impl PartitionRow {
    /// Line in force.
    pub fn current(&self) -> Option<&LineRow> {
        self.lines.last()
    }

    /// Drops lines that nobody can rely on: everyone acknowledged `floor`, which supersedes them.
    pub fn compact(&mut self, floor: LogOffset) {
        while self.lines.len() > 1 && self.lines[1].offset <= floor {
            self.lines.remove(0);
        }
    }
}
