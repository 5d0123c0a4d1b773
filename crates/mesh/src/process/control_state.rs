//! Control state of a node: manifest, plan, hosts, grants. No IO.

mod gossip_step;
mod plan_step;
mod record_step;
mod suspect_step;
mod upstream_step;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use firspindle_core::connection::{DemandReport, UpstreamLoad};
use firspindle_core::process::{GrantGuards, GrantTable, GrantTiming, PlanConfirmation};
use firspindle_core::request::SuspectTracker;
use firspindle_core::version::{
    HostRecord, RangePlan, RouteManifest, UpstreamInstance, UpstreamState,
};
use firspindle_edge::PlatformCodec;

use super::MeshSettings;
use super::peer_table::PeerTable;
use super::store_watch::ReadPace;
use crate::version::{MeshView, PeerView, RangeView, StateSnapshot, UpstreamView};

/// Time between looks at what time brings.
pub(super) const TICK: Duration = Duration::from_millis(100);

/// Ticks between datagrams to other nodes.
pub(super) const GOSSIP_TICKS: u32 = 3;

/// Time between datagrams to other nodes.
const GOSSIP_GAP: Duration = TICK.saturating_mul(GOSSIP_TICKS);

/// Nodes that are sent a datagram each time, beside those that may plan. Among more, they are
/// drawn.
pub(super) const GOSSIP_PEERS: usize = 16;

/// Silence after which another node counts as lost: six datagrams.
const PEER_SILENCE: Duration = Duration::from_millis(2_000);

/// Time after a plan of another node before this one plans, so that two that hear different
/// hosts do not undo each other's plans without end.
const OTHER_PLAN_GAP: Duration = Duration::from_millis(800);

/// Nodes that are told the demand, so that the next one can plan at once.
const PLANNERS: usize = 3;

/// What the control thread is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlOrder {
    /// Append a plan if the plans end there.
    AppendPlan(RangePlan, u64),
    /// Write this node's record.
    PutHost(HostRecord),
    /// Send a datagram.
    Send(SocketAddr, Bytes),
    /// Ask the upstream beside the node who it is, by a health check of a path.
    AskUpstream(Box<str>),
    /// Ask a peer for its state.
    FetchState(SocketAddr),
}

/// Control state of a node.
#[derive(Debug)]
#[allow(clippy::struct_excessive_bools)]
pub struct ControlState<C> {
    settings: MeshSettings,
    codec: C,
    started_at: Instant,
    incarnation: u64,
    manifest: Option<Arc<RouteManifest>>,
    manifest_value: Bytes,
    manifest_end: u64,
    plan: RangePlan,
    plan_known: bool,
    clock: PlanConfirmation,
    planning: bool,
    planned_at: Instant,
    /// End of the plans that this node's last append told of.
    planned_end: u64,
    /// When a plan of another node was folded.
    other_plan_at: Instant,
    hosts: Vec<HostRecord>,
    hosts_end: u64,
    /// Whether the hosts' records were read from the store.
    hosts_known: bool,
    own: HostRecord,
    own_written: Option<HostRecord>,
    heard_upstream: Option<Instant>,
    closes_at: Option<Instant>,
    left: Vec<UpstreamInstance>,
    book: GrantTable,
    peers: PeerTable,
    /// Whether the store's last answer, or the lack of one, was good.
    store_answers: bool,
    behind_since: Option<Instant>,
    ranges: Arc<Vec<RangeView>>,
    snapshot: Arc<StateSnapshot>,
    stopping: bool,
    load: UpstreamLoad,
    demand: DemandReport,
    suspects: Arc<SuspectTracker>,
    /// Time before which the upstream is not asked who it is.
    ask_at: Instant,
}

impl<C: PlatformCodec> ControlState<C> {
    /// State of a process that starts now.
    pub fn new(
        settings: MeshSettings,
        codec: C,
        incarnation: u64,
        guards: GrantGuards,
        now: Instant,
    ) -> Self {
        let listen = settings.listen;
        let own = HostRecord {
            host: settings.host.clone(),
            data_centre: settings.data_centre.clone(),
            incarnation,
            revision: 0,
            forward: listen.forward,
            gossip: listen.gossip,
            service: settings.service.clone(),
            upstream: None,
        };
        let mut timing = GrantTiming::default();
        timing.hold = timing.hold.min(settings.bounds.hold_limit);
        let book = GrantTable::new(settings.host.clone(), timing, guards, now);
        Self {
            settings,
            codec,
            started_at: now,
            incarnation,
            manifest: None,
            manifest_value: Bytes::new(),
            manifest_end: 0,
            plan: RangePlan::default(),
            plan_known: false,
            clock: PlanConfirmation::default(),
            planning: false,
            planned_at: now,
            planned_end: 0,
            other_plan_at: now.checked_sub(OTHER_PLAN_GAP).unwrap_or(now),
            hosts: Vec::new(),
            hosts_end: 0,
            hosts_known: false,
            own,
            own_written: None,
            heard_upstream: None,
            closes_at: None,
            left: Vec::new(),
            book,
            peers: PeerTable::default(),
            store_answers: false,
            behind_since: None,
            ranges: Arc::default(),
            snapshot: Arc::default(),
            stopping: false,
            load: UpstreamLoad::default(),
            demand: DemandReport::default(),
            suspects: Arc::default(),
            ask_at: now,
        }
    }

    /// Load of the upstream as the gate counts it.
    pub fn set_load(&mut self, load: UpstreamLoad, demand: DemandReport) {
        self.load = load;
        self.demand = demand;
    }

    /// The process is to end.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Milliseconds since this process started.
    fn stamp_ms(&self, now: Instant) -> u64 {
        let passed = now.saturating_duration_since(self.started_at);
        u64::try_from(passed.as_millis()).unwrap_or(u64::MAX)
    }

    /// Work that time brings.
    pub fn tick(&mut self, now: Instant) -> Vec<ControlOrder> {
        let mut orders = Vec::new();
        self.watch_upstream(now);
        self.settle_own_ends(now);
        self.revise_own();
        self.forget_suspects(now);
        // A record without the upstream that the former process told of would move its cells.
        let complete = self.own.upstream.is_some() || self.hosts_known;
        if complete && self.own_written.as_ref() != Some(&self.own) {
            orders.push(ControlOrder::PutHost(self.own.clone()));
        }
        orders.extend(self.ask_step(now));
        orders.extend(self.plan_step(now));
        orders.extend(self.fetch_step(now));
        orders
    }

    /// Numbers this node's record anew when it changed, and keeps it among the others.
    fn revise_own(&mut self) {
        let known = self.host(&self.settings.host);
        let same = known.is_some_and(|known| {
            known.incarnation == self.incarnation && known.upstream == self.own.upstream
        });
        if !same && (self.own.upstream.is_some() || self.hosts_known) {
            self.own.revision += 1;
            self.keep_host(self.own.clone());
        }
    }

    /// This node's record was written, or the write's fate is unknown.
    pub fn host_written(&mut self, record: HostRecord, done: bool) {
        self.own_written = done.then_some(record);
    }

    fn host(&self, host: &str) -> Option<&HostRecord> {
        let index = self.hosts.binary_search_by(|row| (*row.host).cmp(host)).ok()?;
        Some(&self.hosts[index])
    }

    fn others(&self) -> impl Iterator<Item = &HostRecord> {
        self.hosts.iter().filter(|row| row.host != self.settings.host)
    }

    fn is_open(&self, now: Instant) -> bool {
        let upstream = self.own.upstream.as_ref();
        let ready = upstream.is_some_and(|row| row.state == UpstreamState::Ready);
        ready && !self.stopping && self.closes_at.is_none_or(|at| now < at)
    }

    /// The state that traffic reads.
    pub fn view(&self, now: Instant) -> MeshView {
        let peers: Vec<_> = self.hosts.iter().map(|record| self.peer_view(record, now)).collect();
        let upstream = self.own.upstream.as_ref().map(|row| UpstreamView {
            instance: row.instance.clone(),
            service: row.service.clone(),
            slots: row.slots,
            state: row.state,
            closes_at: self.closes_at,
        });
        let known = self.manifest.is_some() && !self.hosts.is_empty();
        MeshView {
            manifest: self.manifest.clone(),
            ranges: self.ranges.clone(),
            peers,
            upstream,
            granted: Arc::new(self.book.granted_cells(now)),
            stopping: self.stopping,
            ready: known && !self.stopping,
            suspects: self.suspects.clone(),
            snapshot: self.snapshot.clone(),
        }
    }

    fn peer_view(&self, record: &HostRecord, now: Instant) -> PeerView {
        let own = record.host == self.settings.host;
        let load = if own {
            self.load
        } else {
            self.peers.get(&record.host).map_or(UpstreamLoad::default(), |peer| peer.load)
        };
        let ready = record.upstream.as_ref().is_some_and(|row| row.state == UpstreamState::Ready);
        let heard = self.peers.heard_within(&record.host, PEER_SILENCE, now);
        let open = if own { self.is_open(now) } else { ready && heard && load.slots > 0 };
        PeerView {
            host: record.host.clone(),
            data_centre: record.data_centre.clone(),
            forward: record.forward,
            service: record.service.clone(),
            open,
            load,
        }
    }
}
