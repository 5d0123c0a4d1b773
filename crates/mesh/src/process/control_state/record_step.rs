//! Applies the records of the store and of peers: manifests, hosts, plans.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use firspindle_core::version::{HostRecord, LogPosition, RangePlan};
use firspindle_edge::{PlatformCodec, ReadBatch, StateTopic, TopicRecord, TopicSnapshot};

use super::record_origin::RecordOrigin;
use super::{ControlAction, ControlState, PEER_TIMEOUT};
use crate::version::{KnownState, RangeView, StateNews, StateSnapshot};

/// Time for which this node is behind a peer before it fetches the peer's state: the datagrams of two
/// nodes arrive within one round trip, and one fetch answers both.
const FETCH_DELAY: Duration = Duration::from_millis(30);

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
        self.note_end(topic, state.end);
        if topic == StateTopic::Hosts {
            let records = state.values.iter().filter_map(|row| HostRecord::decode(&row.value));
            let own = records.into_iter().find(|record| record.host == self.settings.host);
            self.first_start = own.is_none() && !self.hosts_known;
            self.own_written = self.own_written.take().or(own);
        }
        let contiguous = false;
        let values = state.values;
        self.apply_values(topic, &values, state.end.offset, at, contiguous, now);
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
        self.note_end(topic, batch.end);
        self.apply_values(topic, &batch.records, batch.end.offset, at, true, now);
    }

    /// Notes the end of a topic in an answer of the store.
    fn note_end(&mut self, topic: StateTopic, end: LogPosition) {
        let known = &mut self.answered_ends[topic as usize];
        let went_back = end.offset < known.offset;
        if went_back || end.epoch != known.epoch {
            log::warn!(topic:?, from:% = known, to:% = end; "log of the store was replaced");
            self.logs_replaced += 1;
        }
        *known = end;
    }

    /// Returns how often an answer of the store showed a log that was replaced: it ended before the end
    /// in an earlier answer, or was of another epoch.
    pub const fn logs_replaced(&self) -> u64 {
        self.logs_replaced
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
                    let position = LogPosition::new(self.answered_ends[0].epoch, row.offset);
                    let origin = RecordOrigin::Store { position, read_at: at };
                    self.apply_manifest(&row.value, origin, now);
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
                        Some(plan) => {
                            let position =
                                LogPosition::new(self.answered_ends[2].epoch, row.offset);
                            let origin = RecordOrigin::Store { position, read_at: at };
                            self.apply_plan(plan, origin, now);
                        }
                        None => log::error!(offset = row.offset; "plan decoding failed"),
                    }
                }
                self.plan_known = true;
                self.confirmation.note_applied(end, at);
            }
        }
        self.refresh_snapshot();
    }

    pub(super) fn apply_manifest(&mut self, value: &Bytes, origin: RecordOrigin, now: Instant) {
        match self.codec.decode_manifest(value) {
            Ok(manifest) => {
                let newer =
                    self.manifest.as_ref().is_none_or(|known| known.version < manifest.version);
                if newer {
                    log::info!(
                        version = manifest.version, origin = origin.name(),
                        position:% = origin.position(),
                        age_ms:? = origin.age(now).map(|age| age.as_millis());
                        "manifest in force"
                    );
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

    pub(super) fn apply_plan(&mut self, plan: RangePlan, origin: RecordOrigin, now: Instant) {
        if plan.version <= self.plan.version {
            return;
        }
        let contiguous = self.plan_known && plan.version == self.plan.version + 1;
        log::info!(
            version = plan.version, contiguous, origin = origin.name(),
            position:% = origin.position(),
            age_ms:? = origin.age(now).map(|age| age.as_millis());
            "plan applied"
        );
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
            let end = LogPosition::new(0, news.manifest_end);
            let origin = RecordOrigin::Peer { end };
            self.apply_manifest(&Bytes::from(manifest.clone()), origin, now);
            self.manifest_end = news.manifest_end;
        }
        if news.plan_end > self.confirmation.end() {
            match news.changes.as_ref().map(|changes| changes.apply(&self.plan)) {
                Some(Some(plan)) => {
                    let end = LogPosition::new(0, news.plan_end);
                    self.apply_plan(plan, RecordOrigin::Peer { end }, now);
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
            let end = LogPosition::new(0, state.manifest_end);
            let origin = RecordOrigin::Peer { end };
            self.apply_manifest(&Bytes::from(state.manifest.clone()), origin, now);
            self.manifest_end = state.manifest_end;
        }
        if state.hosts_end > self.hosts_end {
            state.hosts.iter().for_each(|record| self.apply_host(record));
            self.hosts_end = state.hosts_end;
        }
        let newer =
            state.plan_end > self.confirmation.end() || (!self.plan_known && state.plan_end > 0);
        if let Some(plan) = RangePlan::decode(&state.plan).filter(|_| newer) {
            let end = LogPosition::new(0, state.plan_end);
            self.apply_plan(plan, RecordOrigin::Peer { end }, now);
            self.plan_known = true;
            // When the peer read this end is learned from its datagrams, so this confirms nothing.
            self.confirmation.advance(state.plan_end);
        }
        self.refresh_snapshot();
    }

    /// Returns the ends of the logs of plans and manifests up to which this node has applied records.
    pub fn news_ends(&self) -> [u64; 2] {
        [self.confirmation.end(), self.manifest_end]
    }

    /// Applies a plan of this node that the store appended as the last before `end`, by a call that
    /// began at `at`.
    pub fn plan_stored(&mut self, plan: RangePlan, end: LogPosition, at: Instant, now: Instant) {
        if self.confirmation.end() + 1 == end.offset {
            self.apply_plan(plan, RecordOrigin::Append { end, began_at: at }, now);
            self.confirmation.note_applied(end.offset, at);
            self.refresh_snapshot();
        }
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
        let record = peer.and_then(|peer| self.host(&peer.host));
        let fetch = record.map(|row| ControlAction::FetchState(row.forward, self.place_of(row)));
        self.behind_since = fetch.as_ref().map(|_| now);
        fetch
    }
}
