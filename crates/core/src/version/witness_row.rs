//! Witness sets: the nodes that grant each member its lease.

use serde::{Deserialize, Serialize};

use crate::{LogOffset, NodeId};

/// Nodes of which a majority must grant a member's lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessSet {
    /// Offset of the plan that recorded it.
    pub offset: LogOffset,
    /// Witnesses, sorted.
    pub nodes: Vec<NodeId>,
}

impl WitnessSet {
    /// Number of witnesses that make a majority.
    pub fn majority(&self) -> usize {
        self.nodes.len() / 2 + 1
    }

    /// Whether a node is in the set.
    pub fn contains(&self, node: NodeId) -> bool {
        self.nodes.binary_search(&node).is_ok()
    }
}

/// A member's witness sets: the newest, and older ones under which it may still hold a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessRow {
    /// Member whose lease the sets grant.
    pub member: NodeId,
    /// Sets by rising offset; the last is the newest.
    pub sets: Vec<WitnessSet>,
}

impl WitnessRow {
    /// Set that the member has to use or switch to.
    pub fn newest(&self) -> Option<&WitnessSet> {
        self.sets.last()
    }

    /// Drops sets that the member has left: it acknowledged `floor`, and a set up to there
    /// supersedes them.
    pub fn compact(&mut self, floor: LogOffset) {
        while self.has_left(floor) {
            self.sets.remove(0);
        }
    }

    /// Whether the member left the oldest set, by a floor.
    pub fn has_left(&self, floor: LogOffset) -> bool {
        self.sets.len() > 1 && self.sets[1].offset <= floor
    }
}
