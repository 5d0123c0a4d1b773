//! Applies the store's records (manifests, hosts, plans) and decides how often they are read.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use firspindle_core::version::{HostRecord, RangePlan};
use firspindle_edge::{PlatformCodec, ReadBatch, StateTopic, TopicRecord, TopicSnapshot};

use super::{ControlAction, ControlState, PEER_TIMEOUT, ReadSchedule, ReadStart};
use crate::version::{KnownState, RangeView, StateNews, StateSnapshot};

/// Time for which this node is behind a peer before it fetches the peer's state: the datagrams of two
/// nodes arrive within one round trip, and one fetch answers both.
const FETCH_DELAY: Duration = Duration::from_millis(30);

/// Least number of readers: nodes that read the store often and announce new records to the others.
const MIN_READERS: usize = 2;

/// Hosts per reader, if that makes more than [`MIN_READERS`].
const HOSTS_PER_READER: usize = 50;

/// Time between a reader's reads of the plans. They do not wait at the store, so each confirms the plan
/// as of that moment; who appended a plan announces it.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(900);

/// Time that the store may hold a reader's read of the manifests. A connection that fell silent is
/// noticed soon after.
const MANIFEST_WAIT: Duration = Duration::from_millis(3_000);

/// The same while the store does not answer.
const UNREACHABLE_WAIT: Duration = Duration::from_millis(300);

/// Time after the start for which a node waits for the state of a relay before it reads manifests and
/// plans itself: the relay's own start and two questions.
const START_WAIT: Duration = Duration::from_millis(1_000);

/// Hosts that together read the store about as often as one reader, while nobody confirms the plan.
const SHARING_HOSTS: u32 = 8;

/// Time between reads of nodes that are told of new records by relays.
const IDLE_INTERVAL: Duration = Duration::from_secs(60);

/// Time without an answer of a relay after which a node reads the store itself.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_600);

/// Time after the start in which nodes that started together discover each other.
const DISCOVERY_TIME: Duration = Duration::from_secs(8);

/// Time between reads of the host records during discovery.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(900);

/// Age of the plan's confirmation below which a node relies on the readers' confirmations.
const PEER_CONFIRM_AGE: Duration = Duration::from_millis(1_600);

impl<C: PlatformCodec> ControlState<C> {
    /// Applies the newest record of each key of a topic, read by a call that began at `at`.
    pub fn handle_snapshot(
        &mut self,
        topic: StateTopic,
        state: TopicSnapshot,
        at: Instant,
        now: Instant,
    ) {
        self.note_store_answer(true);
        if topic == StateTopic::Hosts {
            let records = state.values.iter().filter_map(|row| HostRecord::decode(&row.value));
            let own = records.into_iter().find(|record| record.host == self.settings.host);
            self.first_start = own.is_none() && !self.hosts_known;
            self.own_written = self.own_written.take().or(own);
        }
        let contiguous = false;
        let values = state.values;
        self.apply_values(topic, &values, state.end, at, contiguous, now);
    }

    /// Applies consecutive records of a topic, read by a call that began at `at`.
    pub fn handle_records(
        &mut self,
        topic: StateTopic,
        batch: &ReadBatch,
        at: Instant,
        now: Instant,
    ) {
        self.note_store_answer(true);
        self.apply_values(topic, &batch.records, batch.end, at, true, now);
    }

    /// Notes whether the store answered a call of this node.
    pub fn note_store_answer(&mut self, answers: bool) {
        self.store_failed = !answers;
        if answers != self.reaches_store {
            log::info!(answers; "store reachability changed");
        }
        self.reaches_store = answers;
    }

    pub(super) fn apply_values(
        &mut self,
        topic: StateTopic,
        values: &[TopicRecord],
        end: u64,
        at: Instant,
        contiguous: bool,
        now: Instant,
    ) {
        // The store may bound a read by size, so the read ends after its last record.
        let end = if contiguous { values.last().map_or(end, |row| row.offset + 1) } else { end };
        match topic {
            StateTopic::Manifests => {
                let key = self.codec.manifest_key();
                for row in values.iter().filter(|row| &*row.key == key) {
                    self.apply_manifest(&row.value);
                }
                self.manifest_end = self.manifest_end.max(end);
            }
            StateTopic::Hosts => {
                self.hosts_known = true;
                for row in values {
                    self.apply_host(&row.value);
                }
                self.hosts_end = self.hosts_end.max(end);
            }
            StateTopic::Plans => {
                for row in values {
                    match RangePlan::decode(&row.value) {
                        Some(plan) => self.apply_plan(plan, now),
                        None => log::error!(offset = row.offset; "plan decoding failed"),
                    }
                }
                self.plan_known = true;
                self.confirmation.note_applied(end, at);
            }
        }
        self.refresh_snapshot();
    }

    pub(super) fn apply_manifest(&mut self, value: &Bytes) {
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
            Err(error) => log::warn!(error:%; "manifest refused; the previous one stays in force"),
        }
    }

    pub(super) fn apply_host(&mut self, value: &[u8]) {
        let Some(record) = HostRecord::decode(value) else {
            log::warn!("host record decoding failed");
            return;
        };
        if record.host == self.settings.host {
            self.adopt_own_record(&record);
        }
        self.keep_host(record);
    }

    /// Keeps a host record if it is newer than the known one.
    pub(super) fn keep_host(&mut self, record: HostRecord) {
        match self.hosts.binary_search_by(|row| row.host.cmp(&record.host)) {
            Ok(index) if record.is_newer(&self.hosts[index]) => {
                if !record.says_the_same(&self.hosts[index]) {
                    self.changes.note_change(&record.host);
                }
                self.hosts[index] = record;
            }
            Ok(_) => {}
            Err(index) => {
                self.changes.note_change(&record.host);
                self.hosts.insert(index, record);
            }
        }
    }

    /// After a restart, adopts the upstream that the previous process recorded and counts its last
    /// heartbeat as received at the start, so that no cell moves before the next one is due.
    pub(super) fn adopt_own_record(&mut self, record: &HostRecord) {
        let restarted = record.incarnation < self.incarnation && self.own.upstream.is_none();
        if restarted && record.upstream.is_some() {
            self.own.upstream.clone_from(&record.upstream);
            self.last_heartbeat_at = Some(self.started_at);
        }
    }

    pub(super) fn apply_plan(&mut self, plan: RangePlan, now: Instant) {
        if plan.version <= self.plan.version {
            return;
        }
        let contiguous = self.plan_known && plan.version == self.plan.version + 1;
        log::info!(version = plan.version, contiguous; "plan applied");
        if !self.plan_pending && self.plan_known {
            self.other_plan_at = now;
        }
        if let Some(ranges) = plan.service(&self.settings.service) {
            self.grants.apply_ranges(plan.version, ranges.clone(), contiguous, now);
        }
        self.plan_applied_at = Some(now);
        self.ranges = Arc::new(plan.services.iter().map(RangeView::new).collect());
        self.plan = plan;
    }

    pub(super) fn refresh_snapshot(&mut self) {
        self.snapshot = Arc::new(StateSnapshot {
            manifest_end: self.manifest_end,
            manifest: self.manifest_value.to_vec(),
            plan_end: if self.plan_known { self.confirmation.end() } else { 0 },
            plan: if self.plan.version > 0 { self.plan.encode() } else { Vec::new() },
            hosts_end: self.hosts_end,
            hosts: self.hosts.iter().map(HostRecord::encode).collect(),
        });
    }

    /// Returns what a peer needs to know of this node's state to send what is newer; `None` if this
    /// node needs the whole state.
    pub fn known_state(&self) -> Option<KnownState> {
        let complete = self.plan_known && self.manifest.is_some() && !self.needs_whole_state;
        complete.then_some(KnownState { plan: self.plan.version, manifest_end: self.manifest_end })
    }

    /// Applies what a peer sent that is newer than the state that this node knew. Changes that do not
    /// fit this node's plan are left out, and the whole state is fetched next.
    pub fn handle_peer_news(&mut self, news: &StateNews, now: Instant) {
        self.behind_since = None;
        if let Some(manifest) =
            news.manifest.as_ref().filter(|_| news.manifest_end > self.manifest_end)
        {
            self.apply_manifest(&Bytes::from(manifest.clone()));
            self.manifest_end = news.manifest_end;
        }
        if news.plan_end > self.confirmation.end() {
            match news.changes.as_ref().map(|changes| changes.apply(&self.plan)) {
                Some(Some(plan)) => {
                    self.apply_plan(plan, now);
                    self.confirmation.advance(news.plan_end);
                }
                // A record that is no plan was appended.
                None => self.confirmation.advance(news.plan_end),
                Some(None) => {
                    log::info!(version = self.plan.version; "changes of a peer do not fit the plan");
                    self.needs_whole_state = true;
                }
            }
        }
        self.refresh_snapshot();
    }

    /// Applies the parts of a peer's state that are newer than this node's.
    pub fn handle_peer_state(&mut self, state: &StateSnapshot, now: Instant) {
        self.behind_since = None;
        self.needs_whole_state = false;
        if state.manifest_end > self.manifest_end && !state.manifest.is_empty() {
            self.apply_manifest(&Bytes::from(state.manifest.clone()));
            self.manifest_end = state.manifest_end;
        }
        if state.hosts_end > self.hosts_end {
            state.hosts.iter().for_each(|record| self.apply_host(record));
            self.hosts_end = state.hosts_end;
        }
        let newer =
            state.plan_end > self.confirmation.end() || (!self.plan_known && state.plan_end > 0);
        if let Some(plan) = RangePlan::decode(&state.plan).filter(|_| newer) {
            self.apply_plan(plan, now);
            self.plan_known = true;
            // When the peer read this end is learned from its datagrams, so this confirms nothing.
            self.confirmation.advance(state.plan_end);
        }
        self.refresh_snapshot();
    }

    /// Returns how a topic is to be read at present. The readers, first by host name, read often;
    /// the others learn of new records from the readers' datagrams and read often only if those
    /// fail to arrive.
    pub fn read_schedule(&self, topic: StateTopic, now: Instant) -> ReadSchedule {
        let reader = self.is_reader(now);
        let told = !reader && self.told_recently(now);
        let since = self.confirmation.confirmed_at().max(self.plan_applied_at);
        let confirmed = since.is_some_and(|at| now < at + PEER_CONFIRM_AGE);
        let (from, wait, interval) = match topic {
            StateTopic::Manifests if told => (self.manifest_end, Duration::ZERO, IDLE_INTERVAL),
            StateTopic::Manifests => (self.manifest_end, MANIFEST_WAIT, Duration::ZERO),
            StateTopic::Hosts => (self.hosts_end, Duration::ZERO, self.hosts_interval(now)),
            StateTopic::Plans if told && confirmed => {
                (self.confirmation.end(), Duration::ZERO, IDLE_INTERVAL)
            }
            // The relays read as well; if they cannot, the others try in turn.
            StateTopic::Plans if told => {
                (self.confirmation.end(), Duration::ZERO, self.shared_interval())
            }
            StateTopic::Plans => (self.confirmation.end(), Duration::ZERO, CONFIRM_INTERVAL),
        };
        // While the store does not answer, a read is to fail soon: its failure restarts the other
        // reads that hang.
        let limit = if reader && !self.reaches_store { UNREACHABLE_WAIT } else { wait };
        let start = self.read_start(topic, now);
        // While the store does not answer, one topic is enough to notice its return.
        let paused = self.store_failed && topic != StateTopic::Plans;
        ReadSchedule { from, wait: wait.min(limit), interval, start, paused }
    }

    /// Returns whether a topic whose newest records this node has not read is to be read now. The hosts
    /// are read at once; a node that starts again gets manifest and plan from a relay, unless it is one
    /// or none answers in time. A host that starts for the first time reads the plans: one that knows
    /// every plan from the first on need not wait for holds under plans that it missed.
    fn read_start(&self, topic: StateTopic, now: Instant) -> ReadStart {
        let known = match topic {
            StateTopic::Manifests => self.manifest.is_some(),
            StateTopic::Hosts => return ReadStart::Newest,
            StateTopic::Plans => self.plan_known,
        };
        let waits = !self.hosts_known
            || match topic {
                StateTopic::Plans => !self.first_start && !self.duties.relays,
                _ => !self.duties.relays,
            };
        match known {
            true => ReadStart::Following,
            false if waits && now < self.started_at + START_WAIT => ReadStart::Wait,
            false => ReadStart::Newest,
        }
    }

    /// Returns the ends of the logs of plans and manifests up to which this node has applied records.
    pub fn news_ends(&self) -> [u64; 2] {
        [self.confirmation.end(), self.manifest_end]
    }

    /// Applies a plan of this node that the store appended as the last before `end`, by a call that
    /// began at `at`.
    pub fn plan_stored(&mut self, plan: RangePlan, end: u64, at: Instant, now: Instant) {
        if self.confirmation.end() + 1 == end {
            self.apply_plan(plan, now);
            self.confirmation.note_applied(end, at);
            self.refresh_snapshot();
        }
    }

    /// Whether a relay sent a datagram recently, so that this node learns of new records without
    /// reading the store.
    fn told_recently(&self, now: Instant) -> bool {
        self.peers
            .rows()
            .iter()
            .any(|peer| !peer.leaders.is_empty() && now < peer.received_at + RELAY_TIMEOUT)
    }

    /// Returns the time between two reads of a node if all nodes together read about as often as a
    /// small fleet.
    fn shared_interval(&self) -> Duration {
        let hosts = u32::try_from(self.hosts.len()).unwrap_or(u32::MAX);
        CONFIRM_INTERVAL * (hosts / SHARING_HOSTS).max(1)
    }

    /// Returns the time between reads of the host records: short after the start and while a
    /// holder's host is unknown, as nodes that start together may read before the others have
    /// written.
    pub(super) fn hosts_interval(&self, now: Instant) -> Duration {
        let mut holders = self.plan.services.iter().flat_map(|ranges| &ranges.holders);
        let unknown = holders.any(|holder| self.host(&holder.host).is_none());
        if !unknown && now >= self.started_at + DISCOVERY_TIME {
            return IDLE_INTERVAL;
        }
        // Relays pass new records on, so only a node that no relay answers has to find one.
        let told = !self.is_reader(now) && self.told_recently(now);
        if told { IDLE_INTERVAL } else { DISCOVERY_INTERVAL }
    }

    /// Whether this node is a reader: among the first of the relays that reach the store and whose
    /// datagrams arrive here.
    pub(super) fn is_reader(&self, now: Instant) -> bool {
        self.duty_rank(now).is_some_and(|rank| rank < self.reader_count())
    }

    fn reader_count(&self) -> usize {
        MIN_READERS.max(self.hosts.len() / HOSTS_PER_READER)
    }

    pub(super) fn fetch_step(&mut self, now: Instant) -> Option<ControlAction> {
        let since = self.behind_since?;
        if now < since + FETCH_DELAY {
            return None;
        }
        let (plan_end, manifest_end) = (self.confirmation.end(), self.manifest_end);
        let ahead = |row: &&crate::process::peer_table::PeerRow| {
            now < row.received_at + PEER_TIMEOUT
                && (row.ends[0] > plan_end || row.ends[2] > manifest_end)
        };
        // Incarnations differ between nodes, so their fetches spread over the peers that are ahead.
        let count = self.peers.rows().iter().filter(ahead).count().max(1) as u64;
        let choice = usize::try_from((self.incarnation + self.stamp_ms(now)) % count).unwrap_or(0);
        let peer = self.peers.rows().iter().filter(ahead).nth(choice);
        let address = peer.and_then(|peer| self.host(&peer.host)).map(|record| record.forward);
        self.behind_since = address.map(|_| now);
        address.map(ControlAction::FetchState)
    }
}
