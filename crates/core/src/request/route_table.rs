//! Routes of requests to nodes, derived from the state.
//!
//! Routes are hints: the node that a request reaches decides whether it serves the request.

use std::sync::Arc;

use crate::version::{FoldState, ManifestSpec, ServiceSpec, partition_of_key};
use crate::{ManifestVersion, NodeId, PartitionId, ServiceId};

/// Routes derived from one version of the state.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    /// Version of the manifest that the routes are built from.
    pub version: ManifestVersion,
    /// Services, sorted by name.
    pub services: Vec<ServiceRoute>,
    /// Nodes, sorted by id.
    pub targets: Vec<TargetRow>,
}

/// Routes of a service.
#[derive(Debug, Clone)]
pub struct ServiceRoute {
    /// Id of the service, which is never reused.
    pub id: ServiceId,
    /// Settings of the service in the manifest.
    pub spec: Arc<ServiceSpec>,
    /// For each partition index, the nodes to try: the members of its assignment in their order,
    /// draining ones last.
    pub nodes_by_partition: Vec<Box<[NodeId]>>,
    /// Nodes that run the service and do not drain, sorted by id.
    pub nodes: Vec<NodeId>,
}

/// A node that requests can be sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetRow {
    /// Incarnation of the node.
    pub id: NodeId,
    /// Host that the node runs on.
    pub host: Box<str>,
    /// Address for forwarded requests.
    pub forward_address: Box<str>,
}

impl RouteTable {
    /// Builds the routes for a state and its parsed manifest.
    pub fn build(state: &FoldState, spec: &ManifestSpec) -> Self {
        let mut services = Vec::new();
        for service in &spec.services {
            // After a restore of the log, a manifest may be in force that the log does not have.
            let row = state.service_named(&service.name);
            let row = row.filter(|row| row.partitions == service.partitions);
            let id = row.map_or(ServiceId::MAX, |row| row.id);
            services.push(ServiceRoute {
                id,
                spec: Arc::new(service.clone()),
                nodes_by_partition: service_partition_nodes(state, id, service.partitions),
                nodes: service_nodes(state, &service.name),
            });
        }
        services.sort_by(|a, b| a.spec.name.cmp(&b.spec.name));
        let target = |row: &crate::version::MemberRow| TargetRow {
            id: row.id,
            host: row.info.host.clone(),
            forward_address: row.info.forward_address.clone(),
        };
        let targets = state.members.iter().map(target).collect();
        Self { version: state.manifest_version(), services, targets }
    }

    /// Service by name.
    pub fn service(&self, name: &str) -> Option<&ServiceRoute> {
        let index = self.services.binary_search_by(|route| (*route.spec.name).cmp(name)).ok()?;
        Some(&self.services[index])
    }

    /// Target by node id.
    pub fn target(&self, node: NodeId) -> Option<&TargetRow> {
        let index = self.targets.binary_search_by_key(&node, |row| row.id).ok()?;
        Some(&self.targets[index])
    }
}

impl ServiceRoute {
    /// Partition of a key.
    pub fn partition(&self, key: &[u8]) -> PartitionId {
        partition_of_key(self.id, self.spec.partitions, key)
    }

    /// Nodes to try for a partition, the likely owner first.
    pub fn partition_nodes(&self, partition: PartitionId) -> &[NodeId] {
        let index = usize::from(crate::version::partition_index(partition));
        self.nodes_by_partition.get(index).map_or(&[], |list| list)
    }
}

/// Members of each partition's assignment in order, draining ones after the others.
fn service_partition_nodes(state: &FoldState, id: ServiceId, count: u16) -> Vec<Box<[NodeId]>> {
    let partition_nodes = |index: u16| {
        let partition = crate::version::partition_id(id, index);
        let current = state.partition(partition).and_then(|row| row.current());
        let nodes = current.map_or(&[][..], |assignment| &assignment.nodes);
        let mut candidates: Vec<_> =
            nodes.iter().copied().filter(|node| state.member(*node).is_some()).collect();
        candidates.sort_by_key(|node| state.member(*node).is_some_and(|row| row.draining));
        candidates.into_boxed_slice()
    };
    (0..count).map(partition_nodes).collect()
}

/// Members whose upstream runs the service and that do not drain.
fn service_nodes(state: &FoldState, name: &str) -> Vec<NodeId> {
    let runs =
        |row: &&crate::version::MemberRow| *row.info.upstream.service == *name && !row.draining;
    state.members.iter().filter(runs).map(|row| row.id).collect()
}
