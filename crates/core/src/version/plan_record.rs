//! Changes that a planner writes to the log.

use serde::{Deserialize, Serialize};

use super::FoldState;
use crate::{LogOffset, NodeId, PartitionId, TermNumber};

/// Changes of assignments and witness sets.
///
/// Readers drop a plan unless `term` is the current term and `base` is their revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanRecord {
    /// Term of the planner.
    pub term: TermNumber,
    /// Revision of the state that it was computed from.
    pub base: LogOffset,
    /// Offset that every member acknowledged; assignments and sets superseded up to here are
    /// dropped.
    pub floor: LogOffset,
    /// New assignments.
    pub assignments: Vec<AssignmentChange>,
    /// New witness sets.
    pub sets: Vec<WitnessSetChange>,
}

/// New assignment of a partition.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignmentChange {
    /// Partition that is assigned.
    pub partition: PartitionId,
    /// Owner, then successors.
    pub nodes: Vec<NodeId>,
}

/// New witness set of a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessSetChange {
    /// Member whose lease the witnesses grant.
    pub member: NodeId,
    /// Witnesses, sorted.
    pub nodes: Vec<NodeId>,
}

impl PlanRecord {
    /// A plan that only raises the floor.
    pub const fn floor_only(state: &FoldState, floor: LogOffset) -> Self {
        Self {
            term: state.term.number,
            base: state.revision,
            floor,
            assignments: Vec::new(),
            sets: Vec::new(),
        }
    }

    /// The floor of an older epoch, written again after a restore lost it. Readers of a newer epoch
    /// fold nothing of a plan of an older one but its sets and its floor.
    pub const fn earlier_floor(floor: LogOffset) -> Self {
        Self { term: 0, base: floor, floor, assignments: Vec::new(), sets: Vec::new() }
    }

    /// Whether the plan changes nothing but the floor.
    pub fn is_empty(&self) -> bool {
        self.assignments.is_empty() && self.sets.is_empty()
    }
}
