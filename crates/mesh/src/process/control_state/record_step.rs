//! Applies the records of the store and of peers: manifests, hosts, plans.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use firspindle_core::connection::{StateMark, hash_host};
use firspindle_core::version::{HostRecord, LogEpoch, LogPosition, RangePlan, plan_version_at};
use firspindle_edge::{PlatformCodec, ReadBatch, StateTopic, TopicRecord, TopicSnapshot};

use super::ControlState;
use super::record_origin::RecordOrigin;
use crate::version::{KnownState, RangeView, StateNews, StateSnapshot};

/// Time after the start of a system's first processes within which no plan is written: the delay of the
/// first plan, less the time within which all processes start.
const UNPLANNED_LIMIT: Duration = Duration::from_millis(2_200);

/// Time for each host over which the hosts' records are written again after a restore of the store.
const WRITE_SPREAD: Duration = Duration::from_millis(4);

/// Returns a part of one that differs between hosts.
fn hash_share(host: &str) -> f64 {
    f64::from(hash_host(host)) / f64::from(u32::MAX)
}

impl<C: PlatformCodec> ControlState<C> {
    /// Applies the newest record of each key of a topic, read by a call that began at `at`.
    pub fn handle_snapshot(
        &mut self,
        topic: StateTopic,
        state: &TopicSnapshot,
        at: Instant,
        now: Instant,
    ) {
        self.note_store_answer(true, now);
        self.enter_epoch(state.end.epoch, now);
        if state.end.epoch < self.epoch() {
            return;
        }
        if topic == StateTopic::Hosts {
            let records = state.values.iter().filter_map(|row| HostRecord::decode(&row.value));
            let own = records.into_iter().find(|record| record.host == self.settings.host);
            self.first_start = own.is_none() && !self.hosts_known;
            self.own_written = self.own_written.take().or(own);
        }
        if topic == StateTopic::Manifests {
            self.apply_evacuation_snapshot(state, at, now);
        }
        self.apply_values(topic, &state.values, state.end, state.end, at, now);
    }

    /// Applies consecutive records of a topic from a position on, read by a call that began at `at`.
    /// Records of another epoch than the position's do not follow those that were applied.
    pub fn handle_records(
        &mut self,
        topic: StateTopic,
        from: LogPosition,
        batch: &ReadBatch,
        at: Instant,
        now: Instant,
    ) {
        self.note_store_answer(true, now);
        self.enter_epoch(batch.end.epoch, now);
        if from.epoch != self.epoch() || batch.end.epoch != from.epoch {
            return;
        }
        // The store may bound a read by size, so the read ends after its last record.
        let last = batch.records.last();
        let end = last.map_or(batch.end, |row| LogPosition::new(from.epoch, row.offset + 1));
        if topic == StateTopic::Manifests {
            self.apply_evacuation_records(from, &batch.records, end, at, now);
        }
        self.apply_values(topic, &batch.records, end, batch.end, at, now);
    }

    /// Notes that the store's log is of this epoch, unless a later one is known already. Nothing of its
    /// log was applied yet, and what this node may do under the earlier one ends by itself.
    pub fn enter_epoch(&mut self, epoch: LogEpoch, now: Instant) {
        let earlier = self.epoch();
        if epoch <= earlier {
            return;
        }
        if self.plan_known || self.manifest.is_some() {
            log::warn!(
                from = earlier, to = epoch, plan = self.plan.version,
                manifest = self.mark().manifest;
                "store was restored from an older copy"
            );
            self.restores += 1;
        }
        let permit = self.grant_permit(now);
        let knows_plan = self.grants.epoch() == earlier;
        let attested = self.attested_until(now).filter(|_| knows_plan);
        self.earlier_permit_until = permit.renew_until.max(attested);
        self.epoch_entered_at = Some(now);
        self.confirmation.enter_epoch(epoch);
        self.hosts_end = LogPosition::new(epoch, 0);
        self.own_written = None;
        let spread = WRITE_SPREAD * u32::try_from(self.hosts.len()).unwrap_or(u32::MAX);
        self.write_own_after = now + spread.mul_f64(hash_share(&self.settings.host));
    }

    /// Returns the epoch of the store's log.
    pub(super) const fn epoch(&self) -> LogEpoch {
        self.confirmation.position().epoch
    }

    /// Returns how many restores of the store this node has noticed.
    pub const fn restores(&self) -> u64 {
        self.restores
    }

    /// Returns how many routes of the manifest in force are of unknown kinds.
    pub fn unknown_kinds(&self) -> i64 {
        let count = self.manifest.as_ref().map_or(0, |manifest| manifest.unknown_kinds.len());
        i64::try_from(count).unwrap_or(i64::MAX)
    }

    /// Returns which records this node has applied.
    pub fn mark(&self) -> StateMark {
        StateMark {
            plan_position: self.confirmation.position(),
            plan: self.plan.version,
            manifest: self.manifest.as_ref().map_or(0, |manifest| manifest.version),
            evacuations: self.evacuations.set().position(),
        }
    }

    /// Notes whether the store answered a call of this node.
    pub fn note_store_answer(&mut self, answers: bool, now: Instant) {
        self.store_backoff.note_answer(answers, now);
        if answers != self.reaches_store {
            log::info!(answers; "store reachability changed");
        }
        self.reaches_store = answers;
    }

    /// Applies records up to `end` of a log that ended at `log_end`.
    fn apply_values(
        &mut self,
        topic: StateTopic,
        values: &[TopicRecord],
        end: LogPosition,
        log_end: LogPosition,
        at: Instant,
        now: Instant,
    ) {
        let origin = |row: &TopicRecord| RecordOrigin::Store {
            position: LogPosition::new(end.epoch, row.offset),
            read_at: at,
        };
        match topic {
            StateTopic::Manifests => {
                let key = self.codec.manifest_key();
                for row in values.iter().filter(|row| &*row.key == key) {
                    self.apply_manifest(&row.value, origin(row), now);
                }
                self.note_manifests_read(log_end, at);
            }
            StateTopic::Hosts => {
                self.hosts_known = true;
                for row in values {
                    self.apply_host(&row.value, now);
                    self.note_own_record(row, end.epoch);
                }
                self.hosts_end = self.hosts_end.max(end);
            }
            StateTopic::Plans => {
                for row in values {
                    match RangePlan::decode(&row.value) {
                        Some(plan) => self.apply_plan(plan, origin(row), now),
                        None => log::error!(offset = row.offset; "plan decoding failed"),
                    }
                }
                self.plan_known = true;
                let in_time = now < self.started_at + UNPLANNED_LIMIT;
                if in_time && end.offset == 0 {
                    self.unplanned_epoch = Some(end.epoch);
                }
                self.confirmation.advance(end);
                self.confirmation.confirm(log_end, at);
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
                    let since = self.heard.manifests_since();
                    self.manifest_lag = since.map(|since| now.saturating_duration_since(since));
                    log::info!(
                        version = manifest.version, origin = origin.name(),
                        position:% = origin.position(),
                        age_ms:? = origin.age(now).map(|age| age.as_millis()),
                        behind_ms:? = self.manifest_lag.map(|lag| lag.as_millis());
                        "manifest in force"
                    );
                    if !manifest.unknown_kinds.is_empty() {
                        log::warn!(
                            version = manifest.version, routes = &*manifest.unknown_kinds.join(",");
                            "routes of unknown kinds are served as uploads"
                        );
                    }
                    self.manifest = Some(Arc::new(manifest));
                    self.manifest_value = value.clone();
                }
            }
            Err(error) => log::warn!(error:%; "manifest refused; the previous one stays in force"),
        }
    }

    /// Takes how long a peer was known to have the manifest that came into force last.
    pub fn take_manifest_lag(&mut self) -> Option<Duration> {
        self.manifest_lag.take()
    }

    pub(super) fn apply_host(&mut self, value: &[u8], now: Instant) {
        let Some(record) = HostRecord::decode(value) else {
            log::warn!("host record decoding failed");
            return;
        };
        if record.host == self.settings.host {
            self.adopt_own_record(&record, now);
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

    pub(super) fn apply_plan(&mut self, plan: RangePlan, origin: RecordOrigin, now: Instant) {
        if plan.version <= self.plan.version {
            return;
        }
        let is_next = plan.version == self.plan.version + 1;
        let is_first = self.settings.bootstrap
            && self.plan.version == 0
            && self.unplanned_epoch == Some(plan.epoch())
            && plan.version == plan_version_at(LogPosition::new(plan.epoch(), 0));
        let contiguous = self.plan_known && (is_next || is_first);
        log::info!(
            version = plan.version, contiguous, origin = origin.name(),
            position:% = origin.position(),
            age_ms:? = origin.age(now).map(|age| age.as_millis());
            "plan applied"
        );
        if !self.plan_pending && self.plan_known {
            self.other_plan_at = now;
        }
        if self.plan.version > 0 && plan.epoch() > self.plan.epoch() {
            self.refenced_at = Some(now);
        }
        if let Some(ranges) = plan.service(&self.settings.service) {
            self.grants.apply_ranges(plan.version, ranges.clone(), contiguous, now);
        }
        self.plan_applied_at = Some(now);
        self.ranges = Arc::new(plan.services.iter().map(RangeView::new).collect());
        self.plan = plan;
    }

    pub(super) fn refresh_snapshot(&mut self) {
        self.heard.settle(&self.mark());
        self.snapshot = Arc::new(StateSnapshot {
            mark: self.mark(),
            manifest_end: self.manifest_end(),
            manifest: self.manifest_value.to_vec(),
            plan: if self.plan.version > 0 { self.plan.encode() } else { Vec::new() },
            hosts_end: self.hosts_end,
            hosts: self.hosts.iter().map(HostRecord::encode).collect(),
            evacuations: self.evacuations.set().clone(),
        });
    }

    /// Returns what a peer needs to know of this node's state to send what is newer; `None` if this
    /// node needs the whole state.
    pub fn known_state(&self) -> Option<KnownState> {
        let complete = self.plan_known && self.manifest.is_some() && !self.needs_whole_state;
        let mark = self.mark();
        complete.then_some(KnownState {
            plan: mark.plan,
            manifest: mark.manifest,
            evacuations: mark.evacuations,
        })
    }

    /// Applies what a peer sent that is newer than the state that this node knew. Changes that do not
    /// fit this node's plan are left out, and the whole state is fetched next.
    pub fn handle_peer_news(&mut self, news: &StateNews, now: Instant) {
        self.behind_since = None;
        self.fetches.note_answer();
        self.enter_epoch(news.mark.plan_position.epoch, now);
        if let Some(manifest) = &news.manifest {
            let origin = RecordOrigin::Peer { end: news.manifest_end };
            self.apply_manifest(&Bytes::from(manifest.clone()), origin, now);
        }
        self.adopt_evacuations(&news.evacuations, now);
        let changes = news.changes.as_ref().filter(|row| row.version() > self.plan.version);
        match changes.map(|changes| changes.apply(&self.plan)) {
            Some(Some(plan)) => {
                let origin = RecordOrigin::Peer { end: news.mark.plan_position };
                self.apply_plan(plan, origin, now);
                self.confirmation.advance(news.mark.plan_position);
            }
            None => self.confirmation.advance(news.mark.plan_position),
            Some(None) => {
                log::info!(version = self.plan.version; "changes of a peer do not fit the plan");
                self.needs_whole_state = true;
            }
        }
        self.refresh_snapshot();
    }

    /// Applies the parts of a peer's state that are newer than this node's.
    pub fn handle_peer_state(&mut self, state: &StateSnapshot, now: Instant) {
        self.behind_since = None;
        self.fetches.note_answer();
        self.needs_whole_state = false;
        self.enter_epoch(state.mark.plan_position.epoch, now);
        if state.mark.manifest > self.mark().manifest {
            let origin = RecordOrigin::Peer { end: state.manifest_end };
            self.apply_manifest(&Bytes::from(state.manifest.clone()), origin, now);
        }
        self.adopt_evacuations(&state.evacuations, now);
        state.hosts.iter().for_each(|record| self.apply_host(record, now));
        self.hosts_end = self.hosts_end.max(state.hosts_end);
        if let Some(plan) = RangePlan::decode(&state.plan) {
            let origin = RecordOrigin::Peer { end: state.mark.plan_position };
            self.apply_plan(plan, origin, now);
            self.plan_known = true;
            // When the peer read this end is learned from its datagrams, so this confirms nothing.
            self.confirmation.advance(state.mark.plan_position);
        }
        self.refresh_snapshot();
    }

    /// Applies a plan of this node that the store appended as the last before `end`, by a call that
    /// began at `at`.
    pub fn plan_stored(&mut self, plan: RangePlan, end: LogPosition, at: Instant, now: Instant) {
        let position = self.confirmation.position();
        if end == LogPosition::new(position.epoch, position.offset + 1) {
            self.apply_plan(plan, RecordOrigin::Append { end, began_at: at }, now);
            self.confirmation.note_applied(end, at);
            self.refresh_snapshot();
        }
    }
}
