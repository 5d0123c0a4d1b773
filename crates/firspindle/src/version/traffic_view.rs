//! The part of the control state that the traffic threads read.

use std::sync::Arc;

use firspindle_core::request::{RouteTable, SuspectTable};
use firspindle_core::{NodeId, PartitionId};

use crate::connection::{PartitionGate, UpstreamHandle};

/// The part of the control state that traffic threads read, at one point in time.
#[derive(Debug, Clone, Default)]
pub struct TrafficView {
    /// Id of this incarnation of the node, once it has joined.
    pub node: Option<NodeId>,
    /// Services and the nodes that serve them.
    pub routes: Arc<RouteTable>,
    /// Gates of the partitions that this node serves, sorted by partition id.
    pub gates: Arc<Vec<GateRow>>,
    /// Requests that are suspected of crashing upstreams.
    pub suspects: Arc<SuspectTable>,
    /// This node's upstream, while it is available.
    pub upstream: Option<Arc<UpstreamHandle>>,
    /// Whether the process is shutting down, so that connections should not be kept alive.
    pub stopping: bool,
}

/// A partition that this node serves, with its gate.
#[derive(Debug, Clone)]
pub struct GateRow {
    /// Partition id.
    pub partition: PartitionId,
    /// Gate that admits the partition's requests.
    pub gate: Arc<PartitionGate>,
}

impl TrafficView {
    /// Returns the gate of a partition, or `None` if this node does not serve it.
    pub fn gate(&self, partition: PartitionId) -> Option<&Arc<PartitionGate>> {
        let index = self.gates.binary_search_by_key(&partition, |row| row.partition).ok()?;
        Some(&self.gates[index].gate)
    }
}
