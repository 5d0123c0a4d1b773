//! Control state as the traffic thread reads it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use firspindle_core::connection::UpstreamLoad;
use firspindle_core::request::{CrashSets, SuspectTracker};
use firspindle_core::version::{
    CellIndex, RouteManifest, ServiceRanges, UpstreamInstance, UpstreamState,
};

use super::StateSnapshot;

/// Owners of the cells of one sharded service, by the plan.
#[derive(Debug, Clone)]
pub struct RangeView {
    /// Service name.
    pub service: Box<str>,
    /// Hosts of the owners.
    pub hosts: Vec<Box<str>>,
    /// Index into `hosts` of each cell's owner, by cell.
    pub cells: Vec<u16>,
}

impl RangeView {
    /// Builds the view of a service's key ranges.
    pub fn new(ranges: &ServiceRanges) -> Self {
        Self {
            service: ranges.service.clone(),
            hosts: ranges.holders.iter().map(|row| row.host.clone()).collect(),
            cells: ranges.cells().into_iter().map(|cell| cell.holder).collect(),
        }
    }

    /// Returns the host of a cell's owner.
    pub fn owner_host(&self, cell: CellIndex) -> &str {
        &self.hosts[usize::from(self.cells[cell])]
    }
}

/// A node: another one or this one.
#[derive(Debug, Clone)]
pub struct PeerView {
    /// Host name.
    pub host: Box<str>,
    /// Data centre of the host.
    pub data_centre: Box<str>,
    /// Address for requests of other nodes.
    pub forward: SocketAddr,
    /// Service of its upstream.
    pub service: Box<str>,
    /// Whether its upstream accepts requests, as far as this node knows.
    pub available: bool,
    /// Whether its data centre is evacuated.
    pub evacuated: bool,
    /// Load of its upstream.
    pub load: UpstreamLoad,
}

/// Cold time in a heartbeat of the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdReport {
    /// Arrival of the heartbeat, on the boot clock.
    pub at: Instant,
    /// Time from then on for which the upstream stays cold.
    pub remaining: Duration,
}

/// This node's upstream.
#[derive(Debug, Clone)]
pub struct UpstreamView {
    /// Instance of the upstream: one run of its process.
    pub instance: UpstreamInstance,
    /// Service that it offers.
    pub service: Box<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it accepts requests.
    pub state: UpstreamState,
    /// Time after which no more requests are sent to it; set while it drains.
    pub closes_at: Option<Instant>,
    /// Cold time in its newest heartbeat.
    pub cold_report: Option<ColdReport>,
    /// Time after which no request is sent to it because its data centre is evacuated; it has passed
    /// while the node does not know whether it is.
    pub evacuation_closes_at: Option<Instant>,
}

/// Control state as the traffic thread reads it.
#[derive(Debug, Clone, Default)]
pub struct MeshView {
    /// Manifest in force.
    pub manifest: Option<Arc<RouteManifest>>,
    /// Until when a newer manifest than that can only have been acknowledged so recently that it need not
    /// be in force yet; `None` while that is not known, or a peer is known to have a newer one.
    pub manifest_current_until: Option<Instant>,
    /// Owners of the sharded services' cells, sorted by service.
    pub ranges: Arc<Vec<RangeView>>,
    /// All known nodes, including this one, sorted by host.
    pub peers: Vec<PeerView>,
    /// This node's upstream, if it is known.
    pub upstream: Option<UpstreamView>,
    /// Whether requests for a cell may be sent to this node's upstream, by cell.
    pub granted: Arc<Vec<bool>>,
    /// Whether the process is shutting down.
    pub stopping: bool,
    /// Whether the node can route requests.
    pub ready: bool,
    /// Requests that are suspected of crashing upstreams.
    pub suspects: Arc<SuspectTracker>,
    /// Requests that upstreams answered shortly before they crashed.
    pub answered_suspects: Arc<SuspectTracker>,
    /// Requests that had ended within the last seconds before crashes.
    pub crash_sets: Arc<CrashSets>,
    /// State for peers that cannot read the store.
    pub snapshot: Arc<StateSnapshot>,
}

impl MeshView {
    /// Whether no request is suspected of crashing upstreams, so that requests need not be hashed.
    pub fn suspects_none(&self) -> bool {
        self.suspects.is_empty() && self.answered_suspects.is_empty() && self.crash_sets.is_empty()
    }

    /// Whether a request is suspected of crashing upstreams, even if it is not refused yet.
    pub fn suspects_request(&self, fingerprint: u128) -> bool {
        self.suspects.suspects(fingerprint) || self.answered_suspects.suspects(fingerprint)
    }

    /// Returns the time for which a request is still refused because it crashes upstreams.
    pub fn refusal_of(&self, fingerprint: u128, now: Instant) -> Option<Duration> {
        let running = self.suspects.refusal(fingerprint, now);
        let answered = self.answered_suspects.refusal(fingerprint, now);
        running.max(answered).max(self.crash_sets.refusal(fingerprint, now))
    }

    /// Whether a route that is not in the manifest may be in a newer one that should be in force.
    pub fn may_lack_routes(&self, now: Instant) -> bool {
        self.manifest_current_until.is_none_or(|until| now >= until)
    }

    /// Returns the owners of a service's cells; `None` if it is not sharded.
    pub fn ranges_of(&self, service: &str) -> Option<&RangeView> {
        let index = self.ranges.binary_search_by(|row| (*row.service).cmp(service)).ok()?;
        Some(&self.ranges[index])
    }

    /// Returns the node on a host.
    pub fn peer(&self, host: &str) -> Option<&PeerView> {
        let index = self.peers.binary_search_by(|row| (*row.host).cmp(host)).ok()?;
        Some(&self.peers[index])
    }
}
