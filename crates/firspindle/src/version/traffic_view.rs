//! The control state as traffic threads see it.

use std::sync::Arc;

use firspindle_core::request::{RouteTable, SuspectTable};
use firspindle_core::{NodeId, PartitionId};

use crate::connection::{PartitionGate, UpstreamHandle};

/// One version of the control state.
#[derive(Debug, Clone, Default)]
pub struct TrafficView {
    /// This incarnation, once joined.
    pub node: Option<NodeId>,
    /// Routes.
    pub routes: Arc<RouteTable>,
    /// Partitions that this node serves, by id.
    pub gates: Arc<Vec<GateRow>>,
    /// Requests to refuse.
    pub suspects: Arc<SuspectTable>,
    /// The upstream beside, while it is there.
    pub upstream: Option<Arc<UpstreamHandle>>,
    /// Whether the process ends, so that connections should not be kept.
    pub stopping: bool,
}

/// A partition with its gate.
#[derive(Debug, Clone)]
pub struct GateRow {
    /// Partition.
    pub partition: PartitionId,
    /// Gate.
    pub gate: Arc<PartitionGate>,
}

impl TrafficView {
    /// Gate of a partition that this node serves.
    pub fn gate(&self, partition: PartitionId) -> Option<&Arc<PartitionGate>> {
        let index = self.gates.binary_search_by_key(&partition, |row| row.partition).ok()?;
        Some(&self.gates[index].gate)
    }
}
