//! Which records of the store a node has applied.

use serde::{Deserialize, Serialize};

use crate::version::{LogPosition, PlanVersion};

/// What a node has applied of plans, manifests and evacuations. Plans and manifests are ordered by version: after a restore
/// of the store an earlier position may hold a newer record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct StateMark {
    /// Position up to which plans were applied.
    pub plan_position: LogPosition,
    /// Version of the plan; 0 without one.
    pub plan: PlanVersion,
    /// Version of the manifest in force; 0 without one.
    pub manifest: u64,
    /// Position up to which evacuations are known; `None` before they were read. Sent apart from the
    /// mark, for earlier versions.
    #[serde(skip)]
    pub evacuations: Option<LogPosition>,
}

impl StateMark {
    /// Whether a node with this mark has something that one with `other` lacks.
    pub fn is_ahead_of(&self, other: &Self) -> bool {
        self.plan_position > other.plan_position
            || self.plan > other.plan
            || self.manifest > other.manifest
            || self.evacuations > other.evacuations
    }
}
