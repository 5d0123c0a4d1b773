//! Control state of a node: manifest, plan, hosts, grants. No IO.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use firspindle_core::connection::{
    DemandReport, EchoRow, EndedRowList, GossipMessage, UpstreamLoad, UpstreamReport,
};
use firspindle_core::process::{
    ConfirmClock, EndedRow, GrantBook, GrantGuards, GrantTiming, RangeCandidate, ServiceCandidates,
    plan_ranges,
};
use firspindle_core::version::{
    HostRecord, RangePlan, RouteManifest, ServiceRanges, UpstreamLife, UpstreamRecord,
    UpstreamState,
};
use firspindle_edge::{PlatformCodec, ReadBatch, StateTopic, StoredValue, TopicSnapshot};

use super::MeshSettings;
use super::peer_table::PeerTable;
use super::store_watch::ReadPace;
use crate::version::{MeshView, PeerView, RangeView, StateSnapshot, UpstreamView};

/// Silence after which another node counts as lost: eight datagrams.
const PEER_SILENCE: Duration = Duration::from_millis(2_000);

/// Silence after which others count as lost while more than half of them are silent: then the
/// fault may lie here, or all restart at once.
const MAJORITY_SILENCE: Duration = Duration::from_secs(8);

/// Time after the start before a node plans, so that it has heard the others: two datagrams.
const PLANNER_DELAY: Duration = Duration::from_millis(700);

/// The same before any plan, when the upstreams are still to be heard: two heartbeats.
const FIRST_PLAN_DELAY: Duration = Duration::from_millis(2_500);

/// Time after a plan of another node before this one plans, so that two that hear different
/// hosts do not undo each other's plans without end.
const OTHER_PLAN_GAP: Duration = Duration::from_millis(800);

/// Time after the start until which the first plan waits for all upstreams.
const FIRST_PLAN_LIMIT: Duration = Duration::from_millis(4_500);

/// Silence of the upstream after which it counts as gone: three heartbeats.
const UPSTREAM_SILENCE: Duration = Duration::from_millis(2_800);

/// Part of the drain time that is kept as a margin for requests on their way.
const DRAIN_MARGIN: Duration = Duration::from_millis(400);

/// Nodes that are told the demand, so that the next one can plan at once.
const PLANNERS: usize = 3;

/// Rows of ended fences in one datagram; about 1,200 bytes.
const ENDED_ROWS: usize = 40;

/// Ends behind a peer's for so long are fetched from it.
const BEHIND_LIMIT: Duration = Duration::from_millis(300);

/// Time between two plans that level the demand: a handover and a new measurement.
const LEVEL_GAP: Duration = Duration::from_millis(2_500);

/// Nodes that read the store often, and tell the others: at least so many.
const READERS: usize = 2;

/// Hosts for each of them. A node hears one of twelve in about every other round of datagrams.
const HOSTS_PER_READER: usize = 12;

/// Time that a reader's read of the plans waits. Each answer confirms the plan, and a connection
/// that fell silent is noticed soon after.
const CONFIRM_WAIT: Duration = Duration::from_millis(900);

/// Time that a reader's read of the manifests waits.
const READER_WAIT: Duration = Duration::from_millis(3_000);

/// Time that other reads wait; a peer that knows more says so in its datagrams.
const QUIET_WAIT: Duration = Duration::from_secs(15);

/// Time between reads of the hosts' records, which datagrams carry too.
const HOSTS_GAP: Duration = Duration::from_secs(20);

/// Time after the start in which nodes that started together find each other.
const GATHER_TIME: Duration = Duration::from_secs(8);

/// Time between reads of the hosts' records meanwhile.
const GATHER_GAP: Duration = Duration::from_millis(900);

/// Age of the plan's confirmation up to which the others' word suffices.
const TOLD_AGE: Duration = Duration::from_millis(1_600);

/// Time between two questions who listens at the upstream's address.
const ASK_GAP: Duration = Duration::from_millis(600);

/// Time between two appends of settled plan versions that nothing else changes.
const SETTLE_GAP: Duration = Duration::from_secs(3);

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
    clock: ConfirmClock,
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
    left: Vec<UpstreamLife>,
    book: GrantBook,
    peers: PeerTable,
    /// Whether the store's last answer, or the lack of one, was good.
    store_answers: bool,
    behind_since: Option<Instant>,
    ranges: Arc<Vec<RangeView>>,
    snapshot: Arc<StateSnapshot>,
    stopping: bool,
    load: UpstreamLoad,
    demand: DemandReport,
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
        let timing = GrantTiming::default();
        let book = GrantBook::new(settings.host.clone(), timing, guards, now);
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
            clock: ConfirmClock::default(),
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

    /// Takes a heartbeat and gives the reply's body.
    pub fn take_report(&mut self, report: &UpstreamReport, now: Instant) -> Bytes {
        let left = self.left.contains(&report.life);
        let right = self.grant_right(now);
        let reply = self.book.take_report(report, right, now);
        if self.book.life() == Some(&report.life) {
            self.note_upstream(report, left, now);
        }
        if report.service != self.settings.service {
            log::warn!(service = &*report.service, life = &*report.life.id; "heartbeat of another service");
            return self.codec.encode_reply(None);
        }
        let (cells, waiting) = self.book.waiting_cells(now);
        let level = if waiting > 0 { log::Level::Info } else { log::Level::Debug };
        log::log!(
            level,
            life = &*report.life.id, sequence = report.sequence, held = report.holds.len(),
            cells, waiting, confirmed_ms:? = self.clock.age(now).map(|age| age.as_millis()),
            granted = reply.as_ref().map_or(0, |reply| reply.rows.len());
            "heartbeat answered"
        );
        let shown = reply.filter(|_| self.is_divided(&report.service));
        self.codec.encode_reply(shown.as_ref())
    }

    /// Time until which this node may grant under the plan that it folded: for a short time
    /// after the store confirmed it, and on for a long time while every other holder of the plan
    /// vouches that it has not folded a later one.
    fn grant_right(&self, now: Instant) -> Option<Instant> {
        let confirmed = self.clock.confirmed_at().filter(|_| self.plan_known)?;
        let timing = self.book.timing();
        let short = confirmed + timing.confirm;
        if !self.book.guards().confirm {
            return Some(now + timing.confirm);
        }
        if now < short {
            return Some(short);
        }
        let end = self.clock.end();
        let ranges = self.plan.service(&self.settings.service)?;
        let mut until = confirmed + timing.vouched;
        for holder in ranges.holders.iter().filter(|row| row.host != self.settings.host) {
            let (known, at) = self.peers.get(&holder.host)?.vouched?;
            if known != end {
                return Some(short);
            }
            until = until.min(at + timing.confirm);
        }
        Some(until.max(short))
    }

    fn note_upstream(&mut self, report: &UpstreamReport, left: bool, now: Instant) {
        self.heard_upstream = Some(now);
        let state = if left { UpstreamState::Draining } else { report.state };
        let same = self.own.upstream.as_ref().is_some_and(|row| row.life == report.life);
        if !same {
            self.closes_at = None;
            log::info!(life = &*report.life.id, born_ms = report.life.born_ms; "upstream heard");
        }
        if state == UpstreamState::Draining && self.closes_at.is_none() {
            self.closes_at = Some(now + self.settings.bounds.drain.saturating_sub(DRAIN_MARGIN));
            log::info!(life = &*report.life.id; "upstream drains");
        }
        self.own.upstream = Some(UpstreamRecord {
            life: report.life.clone(),
            service: report.service.clone(),
            slots: report.slots,
            state,
        });
    }

    fn is_divided(&self, service: &str) -> bool {
        let manifest = self.manifest.as_ref();
        manifest.and_then(|manifest| manifest.service(service)).is_some_and(|row| row.divided)
    }

    /// The upstream of an id leaves.
    pub fn take_leave(&mut self, id: &str, now: Instant) {
        log::info!(id; "upstream leaves");
        let Some(upstream) = &mut self.own.upstream else { return };
        if &*upstream.life.id != id {
            return;
        }
        self.left.push(upstream.life.clone());
        upstream.state = UpstreamState::Draining;
        if self.closes_at.is_none() {
            self.closes_at = Some(now + self.settings.bounds.drain.saturating_sub(DRAIN_MARGIN));
        }
    }

    /// Nothing listens at the upstream's address: its life has ended.
    pub fn upstream_refused(&mut self) {
        let Some(upstream) = &mut self.own.upstream else { return };
        if upstream.state != UpstreamState::Gone {
            log::info!(life = &*upstream.life.id; "upstream refuses connections");
            upstream.state = UpstreamState::Gone;
            self.book.end_life();
        }
    }

    /// Takes the newest records of a topic, read by a call that began at `at`.
    pub fn take_snapshot(
        &mut self,
        topic: StateTopic,
        state: TopicSnapshot,
        at: Instant,
        now: Instant,
    ) {
        self.note_store(true);
        let whole = false;
        let values = state.values;
        self.take_values(topic, &values, state.end, at, whole, now);
    }

    /// Takes records of a topic, read by a call that began at `at`.
    pub fn take_records(
        &mut self,
        topic: StateTopic,
        batch: &ReadBatch,
        at: Instant,
        now: Instant,
    ) {
        self.note_store(true);
        self.take_values(topic, &batch.records, batch.end, at, true, now);
    }

    /// The store answered a call of this node, or did not.
    pub fn note_store(&mut self, answers: bool) {
        if answers != self.store_answers {
            log::info!(answers; "store");
        }
        self.store_answers = answers;
    }

    fn take_values(
        &mut self,
        topic: StateTopic,
        values: &[StoredValue],
        end: u64,
        at: Instant,
        whole: bool,
        now: Instant,
    ) {
        // A read may be bounded by size: it ends after its last record.
        let end = if whole { values.last().map_or(end, |row| row.offset + 1) } else { end };
        match topic {
            StateTopic::Manifests => {
                let key = self.codec.manifest_key();
                for row in values.iter().filter(|row| &*row.key == key) {
                    self.take_manifest(&row.value);
                }
                self.manifest_end = self.manifest_end.max(end);
            }
            StateTopic::Hosts => {
                self.hosts_known = true;
                for row in values {
                    self.take_host(&row.value);
                }
                self.hosts_end = self.hosts_end.max(end);
            }
            StateTopic::Plans => {
                for row in values {
                    match RangePlan::decode(&row.value) {
                        Some(plan) => self.take_plan(plan, now),
                        None => log::error!(offset = row.offset; "unreadable plan"),
                    }
                }
                self.plan_known = true;
                self.clock.fold(end, at);
            }
        }
        self.refresh_snapshot();
    }

    fn take_manifest(&mut self, value: &Bytes) {
        match self.codec.decode_manifest(value) {
            Ok(manifest) => {
                let newer =
                    self.manifest.as_ref().is_none_or(|known| known.version < manifest.version);
                if newer {
                    log::info!(version = manifest.version; "manifest in force");
                    self.manifest = Some(Arc::new(manifest));
                    self.manifest_value = value.clone();
                }
            }
            Err(error) => log::warn!(error:%; "manifest refused; the last one stays in force"),
        }
    }

    fn take_host(&mut self, value: &[u8]) {
        let Some(record) = HostRecord::decode(value) else {
            log::warn!("unreadable host record");
            return;
        };
        if record.host == self.settings.host {
            self.adopt_own_record(&record);
        }
        self.keep_host(record);
    }

    /// Keeps a record of a host if it is the newest.
    fn keep_host(&mut self, record: HostRecord) {
        match self.hosts.binary_search_by(|row| row.host.cmp(&record.host)) {
            Ok(index) if record.is_newer(&self.hosts[index]) => self.hosts[index] = record,
            Ok(_) => {}
            Err(index) => self.hosts.insert(index, record),
        }
    }

    /// After a restart the upstream that the former process told of counts as heard, so that
    /// nothing moves before its next heartbeat is due.
    fn adopt_own_record(&mut self, record: &HostRecord) {
        let restarted = record.incarnation < self.incarnation && self.own.upstream.is_none();
        if restarted && record.upstream.is_some() {
            self.own.upstream.clone_from(&record.upstream);
            self.heard_upstream = Some(self.started_at);
        }
    }

    fn take_plan(&mut self, plan: RangePlan, now: Instant) {
        if plan.version <= self.plan.version {
            return;
        }
        let whole = self.plan_known && plan.version == self.plan.version + 1;
        log::info!(version = plan.version, whole; "plan folded");
        if !self.planning && self.plan_known {
            self.other_plan_at = now;
        }
        if let Some(ranges) = plan.service(&self.settings.service) {
            self.book.fold(plan.version, ranges.clone(), whole, now);
        }
        self.ranges = Arc::new(plan.services.iter().map(RangeView::new).collect());
        self.plan = plan;
    }

    fn refresh_snapshot(&mut self) {
        self.snapshot = Arc::new(StateSnapshot {
            manifest_end: self.manifest_end,
            manifest: self.manifest_value.to_vec(),
            plan_end: if self.plan_known { self.clock.end() } else { 0 },
            plan: if self.plan.version > 0 { self.plan.encode() } else { Vec::new() },
            hosts_end: self.hosts_end,
            hosts: self.hosts.iter().map(HostRecord::encode).collect(),
        });
    }

    /// Takes the state of a peer, where it is newer.
    pub fn take_peer_state(&mut self, state: &StateSnapshot, now: Instant) {
        self.behind_since = None;
        if state.manifest_end > self.manifest_end && !state.manifest.is_empty() {
            self.take_manifest(&Bytes::from(state.manifest.clone()));
            self.manifest_end = state.manifest_end;
        }
        if state.hosts_end > self.hosts_end {
            state.hosts.iter().for_each(|record| self.take_host(record));
            self.hosts_end = state.hosts_end;
        }
        let newer = state.plan_end > self.clock.end() || (!self.plan_known && state.plan_end > 0);
        if let Some(plan) = RangePlan::decode(&state.plan).filter(|_| newer) {
            self.take_plan(plan, now);
            self.plan_known = true;
            // When the peer read this end is told by its datagrams, not here.
            self.clock.advance(state.plan_end);
        }
        self.refresh_snapshot();
    }

    /// How a topic is to be read now. The first hosts in order read often; the others hear from
    /// them in datagrams, and read often only when those fail.
    pub fn read_pace(&self, topic: StateTopic, now: Instant) -> ReadPace {
        let reader = self.reads_for_others(now);
        let told = self.clock.age(now).is_some_and(|age| age < TOLD_AGE);
        let (from, wait, gap) = match topic {
            StateTopic::Manifests if reader => (self.manifest_end, READER_WAIT, Duration::ZERO),
            StateTopic::Manifests => (self.manifest_end, QUIET_WAIT, Duration::ZERO),
            StateTopic::Hosts => (self.hosts_end, Duration::ZERO, self.hosts_gap(now)),
            StateTopic::Plans if reader || !told => {
                (self.clock.end(), CONFIRM_WAIT, Duration::ZERO)
            }
            StateTopic::Plans => (self.clock.end(), QUIET_WAIT, Duration::ZERO),
        };
        ReadPace { from, wait, gap }
    }

    /// Time between reads of the hosts' records: short after the start and while a holder is
    /// unknown, as nodes that start together may read before the others have written.
    fn hosts_gap(&self, now: Instant) -> Duration {
        let mut holders = self.plan.services.iter().flat_map(|ranges| &ranges.holders);
        let unknown = holders.any(|holder| self.host(&holder.host).is_none());
        if unknown || now < self.started_at + GATHER_TIME { GATHER_GAP } else { HOSTS_GAP }
    }

    /// Whether this node is among the first in order of those that live and reach the store.
    fn reads_for_others(&self, now: Instant) -> bool {
        let reaches = |row: &&HostRecord| {
            self.peers.heard_within(&row.host, PEER_SILENCE, now)
                && self.peers.get(&row.host).is_some_and(|peer| peer.reaches_store)
        };
        let before = self.others().take_while(|row| row.host < self.settings.host);
        before.filter(reaches).count() < READERS.max(self.hosts.len() / HOSTS_PER_READER)
    }

    /// Takes a datagram of another node.
    pub fn take_datagram(&mut self, bytes: &[u8], now: Instant) {
        let Some(message) = GossipMessage::decode(bytes) else {
            log::warn!(length = bytes.len(); "unreadable datagram");
            return;
        };
        if message.sender.host == self.settings.host {
            return;
        }
        self.keep_host(message.sender.clone());
        let stamp = self.stamp_ms(now);
        let Some(peer) = self.peers.take(&message, now) else { return };
        for row in &message.ended {
            self.book.learn_ended(row);
            if peer.to_acknowledge.len() < ENDED_ROWS {
                peer.to_acknowledge.push(row.clone());
            }
        }
        self.book.forget_ended(&message.taken);
        if let Some(echo) = message.echo {
            self.take_echo(&message.sender.host, echo, stamp, now);
        }
        let ends = [self.clock.end(), self.hosts_end, self.manifest_end];
        let behind = ends.iter().zip(message.ends).any(|(own, other)| *own < other);
        if behind {
            self.behind_since.get_or_insert(now);
        }
    }

    fn take_echo(&mut self, host: &str, echo: EchoRow, stamp_ms: u64, now: Instant) {
        if echo.stamp_ms > stamp_ms {
            return;
        }
        let sent_at = now.checked_sub(Duration::from_millis(stamp_ms - echo.stamp_ms));
        let Some(sent_at) = sent_at else { return };
        if let Some(peer) = self.peers.get_mut(host).filter(|_| echo.vouches) {
            peer.vouched = Some((echo.plan_end, sent_at));
        }
        let age = echo.age_ms.map(Duration::from_millis);
        if let Some(at) = age.and_then(|age| sent_at.checked_sub(age)) {
            self.clock.confirm(echo.plan_end, at);
        }
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

    /// A plan of this node was appended, or failed.
    pub fn plan_appended(&mut self, end: Option<u64>) {
        self.planning = false;
        self.planned_end = end.unwrap_or(0);
    }

    /// Asks who listens at the upstream's address, where keys wait for that.
    fn ask_step(&mut self, now: Instant) -> Option<ControlOrder> {
        if now < self.ask_at || !self.book.needs_proof() {
            return None;
        }
        let manifest = self.manifest.as_ref()?;
        let path = &manifest.service(&self.settings.service)?.health_path;
        self.ask_at = now + ASK_GAP;
        Some(ControlOrder::AskUpstream(path.clone()))
    }

    /// The upstream's address answered a health check as this id, if it did.
    pub fn upstream_seen(&mut self, id: Option<&str>, now: Instant) {
        log::info!(id = id.unwrap_or("-"); "upstream asked who it is");
        if let Some(id) = id {
            self.book.prove_present(id, now);
        }
    }

    fn watch_upstream(&mut self, now: Instant) {
        let silent = self.heard_upstream.is_some_and(|at| now > at + UPSTREAM_SILENCE);
        let Some(upstream) = &mut self.own.upstream else { return };
        if silent && upstream.state != UpstreamState::Gone {
            log::info!(life = &*upstream.life.id; "upstream silent");
            upstream.state = UpstreamState::Gone;
        }
    }

    /// Ends of fences whose next holder is the upstream beside this node itself.
    fn settle_own_ends(&mut self, now: Instant) {
        for (host, rows) in self.book.ended_fences(now) {
            if host == self.settings.host {
                for row in &rows {
                    self.book.learn_ended(row);
                }
                self.book.forget_ended(&rows);
            }
        }
    }

    fn fetch_step(&mut self, now: Instant) -> Option<ControlOrder> {
        let since = self.behind_since?;
        if now < since + BEHIND_LIMIT {
            return None;
        }
        let own = [self.clock.end(), self.hosts_end, self.manifest_end];
        let ahead = |row: &&super::peer_table::PeerRow| {
            now < row.heard_at + PEER_SILENCE
                && row.ends.iter().zip(own).any(|(other, own)| *other > own)
        };
        let peer = self.peers.rows().iter().find(ahead);
        let address = peer.and_then(|peer| self.host(&peer.host)).map(|record| record.forward);
        self.behind_since = address.map(|_| now);
        address.map(ControlOrder::FetchState)
    }

    fn host(&self, host: &str) -> Option<&HostRecord> {
        let index = self.hosts.binary_search_by(|row| (*row.host).cmp(host)).ok()?;
        Some(&self.hosts[index])
    }

    fn others(&self) -> impl Iterator<Item = &HostRecord> {
        self.hosts.iter().filter(|row| row.host != self.settings.host)
    }

    /// Silence after which another node counts as lost now.
    fn silence_limit(&self, now: Instant) -> Duration {
        let others = self.others().count();
        let heard = self
            .others()
            .filter(|row| self.peers.heard_within(&row.host, PEER_SILENCE, now))
            .count();
        if heard * 2 >= others { PEER_SILENCE } else { MAJORITY_SILENCE }
    }

    /// Whether a node that this one never heard may live: it was not lost when the plan was made.
    fn may_live(&self, host: &str) -> bool {
        let unheard = self.peers.get(host).is_none();
        let planned = |row: &&ServiceRanges| row.holder_on(host).is_some();
        unheard && (self.plan.version == 0 || self.plan.services.iter().any(|row| planned(&row)))
    }

    /// Whether a node counts as alive.
    fn is_alive(&self, host: &str, limit: Duration, now: Instant) -> bool {
        host == &*self.settings.host
            || self.peers.heard_within(host, limit, now)
            || (now < self.started_at + limit && self.may_live(host))
    }

    const fn reaches_store(&self) -> bool {
        self.store_answers
    }

    /// Whether this node is the first in order of those that live and reach the store.
    fn is_planner(&self, now: Instant) -> bool {
        let first = self.others().find(|row| {
            self.peers.heard_within(&row.host, PEER_SILENCE, now)
                && self.peers.get(&row.host).is_some_and(|peer| peer.reaches_store)
        });
        self.reaches_store() && first.is_none_or(|first| first.host > self.settings.host)
    }

    /// Whether a host is among the first in order of those that live.
    fn may_plan(&self, host: &str) -> bool {
        let heard = |row: &&HostRecord| self.peers.get(&row.host).is_some();
        self.others().filter(heard).take(PLANNERS).any(|row| &*row.host == host)
    }

    fn plan_step(&mut self, now: Instant) -> Option<ControlOrder> {
        let delay = if self.plan.version == 0 { FIRST_PLAN_DELAY } else { PLANNER_DELAY };
        let early = now < self.started_at + delay || now < self.other_plan_at + OTHER_PLAN_GAP;
        let behind = self.clock.end() < self.planned_end;
        if self.planning || self.stopping || !self.plan_known || early || behind {
            return None;
        }
        if !self.is_planner(now) {
            return None;
        }
        let mut services = self.candidates(now)?;
        if now < self.other_plan_at + LEVEL_GAP || now < self.planned_at + LEVEL_GAP {
            // What the last plan moved is not seen in the demand yet.
            services.iter_mut().flat_map(|row| &mut row.candidates).for_each(forget_demand);
        }
        let mut plan = plan_ranges(&self.plan, &services);
        if plan.is_none() && now > self.planned_at + SETTLE_GAP {
            plan = self.settled_plan(&services);
        }
        let plan = plan?;
        self.planning = true;
        self.planned_at = now;
        log_plan(&plan, self.clock.end());
        Some(ControlOrder::AppendPlan(plan, self.clock.end()))
    }

    /// The plan in force with newer settled versions, if some holder advanced past its fences.
    fn settled_plan(&self, services: &[ServiceCandidates]) -> Option<RangePlan> {
        let mut plan = self.plan.clone();
        let mut changed = false;
        for ranges in &mut plan.services {
            let newest = ranges.cells().iter().map(|cell| cell.fence).max().unwrap_or(0);
            let row = services.iter().find(|row| row.service == ranges.service);
            for holder in &mut ranges.holders {
                let known = row.and_then(|row| {
                    row.candidates.iter().find(|candidate| candidate.life == holder.life)
                });
                let settled = known.map_or(0, |known| known.settled);
                if holder.settled < newest && settled >= newest {
                    holder.settled = settled;
                    changed = true;
                }
            }
        }
        plan.version += 1;
        changed.then_some(plan)
    }

    /// Upstreams of the divided services that take work; `None` while it is too early.
    fn candidates(&self, now: Instant) -> Option<Vec<ServiceCandidates>> {
        let manifest = self.manifest.as_ref()?;
        let limit = self.silence_limit(now);
        let mut services = Vec::new();
        for service in manifest.services().iter().filter(|row| row.divided) {
            let mut candidates = Vec::new();
            let mut missing = false;
            for record in self.hosts.iter().filter(|row| row.service == service.name) {
                if !self.is_alive(&record.host, limit, now) {
                    continue;
                }
                match &record.upstream {
                    Some(upstream) if upstream.state == UpstreamState::Ready => {
                        candidates.push(self.candidate(record, upstream, now));
                    }
                    Some(_) => {}
                    None => missing = true,
                }
            }
            let first = self.plan.service(&service.name).is_none();
            if first && missing && now < self.started_at + FIRST_PLAN_LIMIT {
                return None;
            }
            services.push(ServiceCandidates { service: service.name.clone(), candidates });
        }
        Some(services)
    }

    fn candidate(
        &self,
        record: &HostRecord,
        upstream: &UpstreamRecord,
        now: Instant,
    ) -> RangeCandidate {
        let own = record.host == self.settings.host;
        let peer = self.peers.get(&record.host);
        let (settled, load, demand) = if own {
            (self.book.settled(now), self.load, self.demand.clone())
        } else {
            peer.map_or_else(Default::default, |peer| {
                (peer.settled, peer.load, peer.demand.clone())
            })
        };
        RangeCandidate {
            host: record.host.clone(),
            life: upstream.life.clone(),
            weight: upstream.slots.max(1),
            warm: true,
            settled,
            capacity: capacity_of(load),
            demand,
        }
    }

    /// Datagrams for some hosts.
    pub fn datagrams(&mut self, hosts: &[Box<str>], now: Instant) -> Vec<ControlOrder> {
        let ended = self.book.ended_fences(now);
        let mut orders = Vec::with_capacity(hosts.len());
        for host in hosts {
            let Some(address) = self.host(host).map(|record| record.gossip) else { continue };
            let mut rows: EndedRowList = ended
                .iter()
                .find(|(name, _)| name == host)
                .map_or(Vec::new(), |(_, rows)| rows.clone());
            rows.truncate(ENDED_ROWS);
            let message = self.datagram(host, rows, now);
            orders.push(ControlOrder::Send(address, message.encode().into()));
        }
        orders
    }

    /// Hosts that are to hear of ended fences at once.
    pub fn hosts_to_tell(&mut self, now: Instant) -> Vec<Box<str>> {
        let ended = self.book.ended_fences(now);
        ended.into_iter().map(|(host, _)| host).filter(|host| *host != self.settings.host).collect()
    }

    /// First hosts in order that were heard lately: one of them plans, and has to hear all.
    pub fn planner_hosts(&self, now: Instant) -> Vec<Box<str>> {
        let heard = |row: &&HostRecord| self.peers.heard_within(&row.host, PEER_SILENCE, now);
        self.others().filter(heard).take(PLANNERS).map(|row| row.host.clone()).collect()
    }

    /// All other hosts.
    pub fn other_hosts(&self) -> Vec<Box<str>> {
        self.others().map(|row| row.host.clone()).collect()
    }

    fn datagram(&mut self, host: &str, ended: Vec<EndedRow>, now: Instant) -> GossipMessage {
        let stamp_ms = self.stamp_ms(now);
        let plan_end = self.clock.end();
        let age = self.clock.age(now).filter(|_| self.plan_known);
        let peer = self.peers.get_mut(host);
        let taken = peer.map_or(Vec::new(), |peer| std::mem::take(&mut peer.to_acknowledge));
        let age_ms = age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX) + 1);
        let vouches = self.plan_known && self.book.vouches();
        let echo = self.peers.get(host).map(|peer| EchoRow {
            stamp_ms: peer.stamp_ms,
            plan_end,
            age_ms,
            vouches,
        });
        let open = self.is_open(now);
        GossipMessage {
            sender: self.own.clone(),
            stamp_ms,
            echo,
            ends: [plan_end, self.hosts_end, self.manifest_end],
            reaches_store: self.reaches_store(),
            settled: self.book.settled(now),
            load: UpstreamLoad { slots: if open { self.load.slots } else { 0 }, ..self.load },
            demand: self.may_plan(host).then(|| self.demand.clone()),
            ended,
            taken,
        }
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
            life: row.life.clone(),
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

/// Requests a second that an upstream can run; 0 if that is not known.
fn capacity_of(load: UpstreamLoad) -> f64 {
    if load.service_ms == 0 {
        return 0.0;
    }
    f64::from(load.slots) * 1000.0 / f64::from(load.service_ms)
}

/// Leaves the load of a candidate out of the next plan.
fn forget_demand(candidate: &mut RangeCandidate) {
    candidate.capacity = 0.0;
}

/// Tells the cells of each holder.
fn log_plan(plan: &RangePlan, end: u64) {
    for ranges in &plan.services {
        let held = ranges.holders.iter().zip(ranges.cells_held());
        let held: Vec<_> = held.map(|(row, cells)| format!("{}:{cells}", row.host)).collect();
        log::info!(
            version = plan.version, end, service = &*ranges.service, held = &*held.join(",");
            "plan computed"
        );
    }
}
