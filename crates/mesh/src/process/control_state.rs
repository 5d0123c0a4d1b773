//! Control state of a node: manifest, plan, hosts and grants.
//!
//! It does no IO and reads no clock: events and the present time are passed in, and it returns the
//! actions that the control thread carries out.

mod evacuation_step;
mod gossip_step;
mod home_step;
mod own_record_step;
mod plan_step;
mod read_step;
mod record_origin;
mod record_step;
mod relay_step;
mod suspect_step;
mod upstream_step;
mod view_step;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use firspindle_core::connection::{DemandReport, UpstreamLoad};
use firspindle_core::process::{
    EvacuationTable, GrantGuards, GrantTable, GrantTiming, PlanConfirmation, StoreBackoff,
};
use firspindle_core::request::{CrashSets, SuspectTracker};
use firspindle_core::version::{
    HostRecord, LogEpoch, LogPosition, RangePlan, RouteManifest, UpstreamInstance, UpstreamState,
};
use firspindle_edge::PlatformCodec;

use super::MeshSettings;
use super::asked_table::AskedTable;
use super::change_log::ChangeLog;
use super::fetch_table::FetchTable;
use super::heard_mark::HeardMark;
use super::peer_table::PeerTable;
use super::store_watch::{ReadSchedule, ReadStart};
use crate::version::{ColdReport, RangeView, StateSnapshot};
pub use evacuation_step::EvacuationFaults;
use evacuation_step::EvacuationJournal;
use relay_step::{RelayCache, RelayDuties, RelayedRow};
use suspect_step::AnnouncedCrash;

/// Time between runs of [`ControlState::tick`].
pub(super) const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Ticks between two rounds of datagrams to other nodes.
pub(super) const GOSSIP_TICKS: u32 = 3;

/// Time after the start within which the upstream's first heartbeat arrives, so that one record of
/// this host is written and not two: heartbeats are up to 1.9 s apart.
const FIRST_HEARTBEAT_WAIT: Duration = Duration::from_millis(2_200);

/// Time without a datagram from another node after which it counts as lost: six rounds.
const PEER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Time that this node waits after a plan of another node before it plans, so that two nodes that
/// receive datagrams of different hosts do not undo each other's plans forever.
const OTHER_PLAN_DELAY: Duration = Duration::from_millis(800);

/// Relays, the first by their order of duties, that are sent the demand, so that the next planner can
/// plan at once.
const PLANNER_COUNT: usize = 3;

/// Where another node is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerPlace {
    /// In this node's data centre.
    OwnDataCentre,
    /// In another data centre.
    OtherDataCentre,
}

/// An action that the control thread carries out for the state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlAction {
    /// Append a plan if the plans on the store end at this offset.
    AppendPlan(RangePlan, u64),
    /// Write this node's host record to the store.
    PutHost(HostRecord),
    /// Send a datagram to a node, which is in this node's data centre or in another.
    Send(SocketAddr, Bytes, PeerPlace),
    /// Send a health check to this path of the node's upstream; the response names the upstream's
    /// id.
    ProbeUpstream(Box<str>),
    /// Fetch the state of the peer at this address.
    FetchState(SocketAddr, PeerPlace),
}

/// Control state of a node.
#[derive(Debug)]
#[allow(clippy::struct_excessive_bools)]
pub struct ControlState<C> {
    settings: MeshSettings,
    codec: C,
    started_at: Instant,
    /// Unix time of the process's start in milliseconds.
    incarnation: u64,
    manifest: Option<Arc<RouteManifest>>,
    /// The manifest as the operator wrote it, for peers that fetch it.
    manifest_value: Bytes,
    /// Evacuated data centres, and the end of the manifests' log up to which its records were applied.
    evacuations: EvacuationTable,
    journal: EvacuationJournal,
    /// Version of the manifest whose home regions were compared with the settings.
    homes_checked: Option<u64>,
    /// A time at which the store had no manifest that this node has not applied.
    manifests_known_at: Option<Instant>,
    plan: RangePlan,
    /// Whether the plans were read, from the store or a peer; there may be none yet.
    plan_known: bool,
    /// End of the plans that were applied, and when the store last confirmed it.
    confirmation: PlanConfirmation,
    /// When the plan in force was applied.
    plan_applied_at: Option<Instant>,
    /// Whether an append of this node's plan is in flight.
    plan_pending: bool,
    /// When this node last computed a plan.
    planned_at: Instant,
    /// End of the plans in the store's answer to this node's last append.
    planned_end: LogPosition,
    /// When a plan of another node was last applied.
    other_plan_at: Instant,
    /// Epoch in which this node saw, soon after its start, that there was no plan yet.
    unplanned_epoch: Option<LogEpoch>,
    /// When this node learned of the store's epoch; `None` if it knows of no restore.
    epoch_entered_at: Option<Instant>,
    /// Until when it may renew grants by what it knew of the earlier epoch.
    earlier_permit_until: Option<Instant>,
    /// When the first plan of an epoch, which replaces all fences, was applied.
    refenced_at: Option<Instant>,
    /// Restores of the store that it has noticed.
    restores: u64,
    /// When its own record is written again after a restore.
    write_own_after: Instant,
    /// Newest known record of each host, sorted by host.
    hosts: Vec<HostRecord>,
    hosts_end: LogPosition,
    /// Whether the hosts' records were read from the store.
    hosts_known: bool,
    /// This node's record.
    own: HostRecord,
    /// This node's record as last written to the store; `None` if that is not known.
    own_written: Option<HostRecord>,
    /// End of the hosts' log after that write.
    own_written_end: LogPosition,
    /// Arrival of the upstream's last heartbeat.
    last_heartbeat_at: Option<Instant>,
    /// Cold time in the upstream's newest heartbeat.
    cold_report: Option<ColdReport>,
    /// Time after which no request is sent to the draining upstream.
    closes_at: Option<Instant>,
    /// Ids of upstreams that announced that they leave before this node knew them, and when.
    early_leaves: Vec<(Box<str>, Instant)>,
    /// Instances of the upstream that announced that they leave.
    leaving: Vec<UpstreamInstance>,
    grants: GrantTable,
    peers: PeerTable,
    asked: AskedTable,
    /// Changes of host records, to be passed on.
    changes: ChangeLog,
    /// Loads that relays passed on, sorted by host.
    relayed: Vec<RelayedRow>,
    /// Number of the round of datagrams.
    round: u32,
    duties: RelayDuties,
    /// What this node as a relay collected last.
    collected: Option<RelayCache>,
    /// Since when this node is among those that may plan.
    leading_since: Option<Instant>,
    /// Whether the store answered this node's last call.
    reaches_store: bool,
    /// Whether the store had no record of this host when it started.
    first_start: bool,
    /// Whether the store answers this node's calls, and when to repeat one that failed.
    store_backoff: StoreBackoff,
    /// Whether a datagram changed what the traffic thread is to see at once.
    view_changed: bool,
    /// Datagrams that could not be decoded.
    malformed_datagrams: i64,
    /// What peers have applied that this node lacks.
    heard: HeardMark,
    fetches: FetchTable,
    /// How long a peer was known to have the manifest that came into force last.
    manifest_lag: Option<Duration>,
    /// Since when a peer is known to have applied more records than this node.
    behind_since: Option<Instant>,
    /// Whether changes that a peer sent did not fit this node's plan.
    needs_whole_state: bool,
    ranges: Arc<Vec<RangeView>>,
    snapshot: Arc<StateSnapshot>,
    stopping: bool,
    load: UpstreamLoad,
    demand: DemandReport,
    suspects: Arc<SuspectTracker>,
    /// Requests that upstreams answered shortly before they crashed.
    answered_suspects: Arc<SuspectTracker>,
    /// Requests that had ended within the last seconds before crashes.
    crash_sets: Arc<CrashSets>,
    /// Crashes that the other nodes are to acknowledge.
    announced: Vec<AnnouncedCrash>,
    /// Time before which the upstream is not probed again.
    next_probe_at: Instant,
}

impl<C: PlatformCodec> ControlState<C> {
    /// Returns the state of a process that starts now.
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
        let evacuation = settings.bounds.evacuation;
        let grants = GrantTable::new(settings.host.clone(), timing, guards, now);
        Self {
            settings,
            codec,
            started_at: now,
            incarnation,
            manifest: None,
            manifest_value: Bytes::new(),
            evacuations: EvacuationTable::new(evacuation),
            journal: EvacuationJournal::default(),
            homes_checked: None,
            manifests_known_at: None,
            plan: RangePlan::default(),
            plan_known: false,
            confirmation: PlanConfirmation::default(),
            plan_applied_at: None,
            plan_pending: false,
            planned_at: now,
            planned_end: LogPosition::default(),
            other_plan_at: now.checked_sub(OTHER_PLAN_DELAY).unwrap_or(now),
            unplanned_epoch: None,
            epoch_entered_at: None,
            earlier_permit_until: None,
            refenced_at: None,
            restores: 0,
            write_own_after: now,
            hosts: Vec::new(),
            hosts_end: LogPosition::default(),
            hosts_known: false,
            own,
            own_written: None,
            own_written_end: LogPosition::default(),
            last_heartbeat_at: None,
            cold_report: None,
            closes_at: None,
            early_leaves: Vec::new(),
            leaving: Vec::new(),
            grants,
            peers: PeerTable::default(),
            asked: AskedTable::default(),
            changes: ChangeLog::default(),
            relayed: Vec::new(),
            round: 0,
            duties: RelayDuties::default(),
            collected: None,
            leading_since: None,
            reaches_store: false,
            first_start: false,
            store_backoff: StoreBackoff::default(),
            view_changed: false,
            malformed_datagrams: 0,
            heard: HeardMark::default(),
            fetches: FetchTable::default(),
            manifest_lag: None,
            behind_since: None,
            needs_whole_state: false,
            ranges: Arc::default(),
            snapshot: Arc::default(),
            stopping: false,
            load: UpstreamLoad::default(),
            demand: DemandReport::default(),
            suspects: Arc::default(),
            answered_suspects: Arc::new(SuspectTracker::of_answered()),
            crash_sets: Arc::default(),
            announced: Vec::new(),
            next_probe_at: now,
        }
    }

    /// Sets the upstream's load and demand as the traffic thread measures them.
    pub fn set_load(&mut self, load: UpstreamLoad, demand: DemandReport) {
        self.load = load;
        self.demand = demand;
    }

    /// Marks the process as shutting down: it turns unready, accepts no new work and plans no more.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Timestamp for datagrams: milliseconds since this process started.
    fn stamp_ms(&self, now: Instant) -> u64 {
        let passed = now.saturating_duration_since(self.started_at);
        u64::try_from(passed.as_millis()).unwrap_or(u64::MAX)
    }

    /// Runs the steps that depend on the time and returns the actions that are due.
    pub fn tick(&mut self, now: Instant) -> Vec<ControlAction> {
        let mut actions = Vec::new();
        self.expire_upstream(now);
        self.apply_own_ended_fences(now);
        self.revise_own_record();
        self.expire_suspects(now);
        self.log_evacuations("hosts", now);
        self.check_homes();
        self.refresh_duties(now);
        // The previous process may have recorded that the upstream leaves, so its record is read first.
        // A record without the upstream that it recorded would move its cells. Other nodes are to find
        // this one soon, unless an earlier process has written its record.
        let waited = self.own_written.is_none() || now >= self.started_at + FIRST_HEARTBEAT_WAIT;
        let complete = self.hosts_known && (self.own.upstream.is_some() || waited);
        let written = self.own_written.as_ref().is_some_and(|row| row.says_the_same(&self.own));
        if complete && !written && now >= self.write_own_after {
            actions.push(ControlAction::PutHost(self.own.clone()));
        }
        actions.extend(self.probe_step(now));
        actions.extend(self.plan_step(now));
        actions.extend(self.fetch_step(now));
        actions
    }

    /// Gives this node's record a new revision if its upstream changed, and stores it in `hosts`.
    fn revise_own_record(&mut self) {
        let known = self.host(&self.settings.host);
        let same = known.is_some_and(|known| {
            known.incarnation == self.incarnation && known.upstream == self.own.upstream
        });
        if !same && (self.own.upstream.is_some() || self.hosts_known) {
            self.own.revision += 1;
            self.keep_host(self.own.clone());
        }
    }

    /// Notes that a write of this node's record finished: the end of the log, if the store acknowledged
    /// it. The outcome of a failed write is unknown, and one of an earlier epoch is lost, so the record
    /// is written again.
    pub fn host_written(&mut self, record: HostRecord, end: Option<LogPosition>, now: Instant) {
        self.enter_epoch(end.map_or(0, |end| end.epoch), now);
        let end = end.filter(|end| end.epoch == self.epoch());
        self.own_written_end = end.unwrap_or_default();
        self.own_written = end.map(|_| record);
    }

    fn host(&self, host: &str) -> Option<&HostRecord> {
        let index = self.hosts.binary_search_by(|row| (*row.host).cmp(host)).ok()?;
        Some(&self.hosts[index])
    }

    /// Returns where a host is.
    fn place_of(&self, record: &HostRecord) -> PeerPlace {
        match record.data_centre == self.settings.data_centre {
            true => PeerPlace::OwnDataCentre,
            false => PeerPlace::OtherDataCentre,
        }
    }

    fn others(&self) -> impl Iterator<Item = &HostRecord> {
        self.hosts.iter().filter(|row| row.host != self.settings.host)
    }

    fn is_open(&self, now: Instant) -> bool {
        let upstream = self.own.upstream.as_ref();
        let ready = upstream.is_some_and(|row| row.state == UpstreamState::Ready);
        let closes = [self.closes_at, self.evacuation_closes_at()];
        ready && !self.stopping && closes.into_iter().flatten().all(|at| now < at)
    }

    /// Returns the load of the own upstream, without slots while it accepts no work.
    fn open_load(&self, now: Instant) -> UpstreamLoad {
        let load = self.own_load(now);
        UpstreamLoad { slots: if self.is_open(now) { load.slots } else { 0 }, ..load }
    }
}
