//! The state that traffic reads.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use firspindle_core::connection::UpstreamLoad;
use firspindle_core::request::SuspectTracker;
use firspindle_core::version::{
    CellIndex, RouteManifest, ServiceRanges, UpstreamInstance, UpstreamState,
};

use super::StateSnapshot;

/// Holders of one divided service's cells.
#[derive(Debug, Clone)]
pub struct RangeView {
    /// Service.
    pub service: Box<str>,
    /// Hosts of the holders.
    pub hosts: Vec<Box<str>>,
    /// Index into the hosts, by cell.
    pub cells: Vec<u16>,
}

impl RangeView {
    /// View of a division.
    pub fn new(ranges: &ServiceRanges) -> Self {
        Self {
            service: ranges.service.clone(),
            hosts: ranges.holders.iter().map(|row| row.host.clone()).collect(),
            cells: ranges.cells().into_iter().map(|cell| cell.holder).collect(),
        }
    }

    /// Host of a cell's holder.
    pub fn host_of(&self, cell: CellIndex) -> &str {
        &self.hosts[usize::from(self.cells[cell])]
    }
}

/// Another node, or this one.
#[derive(Debug, Clone)]
pub struct PeerView {
    /// Host.
    pub host: Box<str>,
    /// Data centre.
    pub data_centre: Box<str>,
    /// Address for requests.
    pub forward: SocketAddr,
    /// Service of the upstream beside it.
    pub service: Box<str>,
    /// Whether its upstream takes work, as far as is known.
    pub open: bool,
    /// Load of its upstream.
    pub load: UpstreamLoad,
}

/// The upstream beside this node.
#[derive(Debug, Clone)]
pub struct UpstreamView {
    /// Life.
    pub instance: UpstreamInstance,
    /// Service.
    pub service: Box<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes work.
    pub state: UpstreamState,
    /// Time after which nothing is sent to it any more.
    pub closes_at: Option<Instant>,
}

/// The state that traffic reads.
#[derive(Debug, Clone, Default)]
pub struct MeshView {
    /// Manifest in force.
    pub manifest: Option<Arc<RouteManifest>>,
    /// Divided services, sorted by name.
    pub ranges: Arc<Vec<RangeView>>,
    /// Nodes, sorted by host.
    pub peers: Vec<PeerView>,
    /// The upstream beside this node.
    pub upstream: Option<UpstreamView>,
    /// Cells that the upstream may be sent requests for.
    pub granted: Arc<Vec<bool>>,
    /// Whether the process is about to end.
    pub stopping: bool,
    /// Whether the node can place requests.
    pub ready: bool,
    /// Requests that are suspected of crashing upstreams.
    pub suspects: Arc<SuspectTracker>,
    /// For peers that cannot read the store.
    pub snapshot: Arc<StateSnapshot>,
}

impl MeshView {
    /// Division of a service.
    pub fn ranges_of(&self, service: &str) -> Option<&RangeView> {
        let index = self.ranges.binary_search_by(|row| (*row.service).cmp(service)).ok()?;
        Some(&self.ranges[index])
    }

    /// Node on a host.
    pub fn peer(&self, host: &str) -> Option<&PeerView> {
        let index = self.peers.binary_search_by(|row| (*row.host).cmp(host)).ok()?;
        Some(&self.peers[index])
    }
}
