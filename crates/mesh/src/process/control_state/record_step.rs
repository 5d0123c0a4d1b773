//! Records of the store: manifests, hosts, plans; how often they are read.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use firspindle_core::version::{HostRecord, RangePlan};
use firspindle_edge::{PlatformCodec, ReadBatch, StateTopic, StoredValue, TopicSnapshot};

use super::{ControlOrder, ControlState, PEER_SILENCE, ReadPace};
use crate::version::{RangeView, StateSnapshot};

/// Ends behind a peer's for so long are fetched from it, as this node's own read may be faster.
const BEHIND_LIMIT: Duration = Duration::from_millis(300);

/// The same for plans that this node does not wait for at the store: the word of two nodes comes
/// in one round trip, and one read brings both.
const TOLD_LIMIT: Duration = Duration::from_millis(30);

/// Nodes that read the store often, and tell the others: at least so many.
const READERS: usize = 2;

/// Hosts for each of them. A node hears one of twelve in about every other round of datagrams.
const HOSTS_PER_READER: usize = 12;

/// Time that a reader's read of the plans waits. Each answer confirms the plan, and a connection
/// that fell silent is noticed soon after.
const CONFIRM_WAIT: Duration = Duration::from_millis(900);

/// Time that a reader's read waits while the store does not answer.
const SILENT_WAIT: Duration = Duration::from_millis(300);

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

impl<C: PlatformCodec> ControlState<C> {
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

    pub(super) fn take_values(
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

    pub(super) fn take_manifest(&mut self, value: &Bytes) {
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

    pub(super) fn take_host(&mut self, value: &[u8]) {
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
    pub(super) fn keep_host(&mut self, record: HostRecord) {
        match self.hosts.binary_search_by(|row| row.host.cmp(&record.host)) {
            Ok(index) if record.is_newer(&self.hosts[index]) => self.hosts[index] = record,
            Ok(_) => {}
            Err(index) => self.hosts.insert(index, record),
        }
    }

    /// After a restart the upstream that the former process told of counts as heard, so that
    /// nothing moves before its next heartbeat is due.
    pub(super) fn adopt_own_record(&mut self, record: &HostRecord) {
        let restarted = record.incarnation < self.incarnation && self.own.upstream.is_none();
        if restarted && record.upstream.is_some() {
            self.own.upstream.clone_from(&record.upstream);
            self.heard_upstream = Some(self.started_at);
        }
    }

    pub(super) fn take_plan(&mut self, plan: RangePlan, now: Instant) {
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

    pub(super) fn refresh_snapshot(&mut self) {
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
            // Whoever reads tells of a new plan at once, and its text comes from there.
            StateTopic::Plans => (self.clock.end(), Duration::ZERO, QUIET_WAIT),
        };
        // A call that the store does not answer is to fail soon, and tells the others that hang.
        let limit = if reader && !self.store_answers { SILENT_WAIT } else { wait };
        ReadPace { from, wait: wait.min(limit), gap }
    }

    /// Time between reads of the hosts' records: short after the start and while a holder is
    /// unknown, as nodes that start together may read before the others have written.
    pub(super) fn hosts_gap(&self, now: Instant) -> Duration {
        let mut holders = self.plan.services.iter().flat_map(|ranges| &ranges.holders);
        let unknown = holders.any(|holder| self.host(&holder.host).is_none());
        if !unknown && now >= self.started_at + GATHER_TIME {
            return HOSTS_GAP;
        }
        let shares = u32::try_from(self.hosts.len() / HOSTS_PER_READER).unwrap_or(u32::MAX);
        GATHER_GAP * shares.max(1)
    }

    /// Whether this node is among the first in order of those that live and reach the store.
    pub(super) fn reads_for_others(&self, now: Instant) -> bool {
        self.reader_rank(now) < self.reader_count()
    }

    fn reader_count(&self) -> usize {
        READERS.max(self.hosts.len() / HOSTS_PER_READER)
    }

    /// Nodes before this one in order that live and reach the store.
    fn reader_rank(&self, now: Instant) -> usize {
        let window = self.hear_window();
        let reaches = |row: &&HostRecord| {
            self.peers.heard_within(&row.host, window, now)
                && self.peers.get(&row.host).is_some_and(|peer| peer.reaches_store)
        };
        let before = self.others().take_while(|row| row.host < self.settings.host);
        before.filter(reaches).count()
    }

    /// Hosts that this reader tells of a new plan at once: each reader has its share.
    pub fn hosts_to_wake(&self, now: Instant) -> Vec<Box<str>> {
        let (rank, count) = (self.reader_rank(now), self.reader_count());
        if rank >= count {
            return Vec::new();
        }
        let own_share =
            |(index, row): (usize, &HostRecord)| (index % count == rank).then(|| row.host.clone());
        self.others().enumerate().filter_map(own_share).collect()
    }

    pub(super) fn fetch_step(&mut self, now: Instant) -> Option<ControlOrder> {
        let since = self.behind_since?;
        let behind_plans = self.peers.rows().iter().any(|row| row.ends[0] > self.clock.end());
        let limit = if behind_plans { TOLD_LIMIT } else { BEHIND_LIMIT };
        if now < since + limit {
            return None;
        }
        let own = [self.clock.end(), self.hosts_end, self.manifest_end];
        let ahead = |row: &&crate::process::peer_table::PeerRow| {
            now < row.heard_at + PEER_SILENCE
                && row.ends.iter().zip(own).any(|(other, own)| *other > own)
        };
        // Starts of nodes differ, so they spread over those that are ahead.
        let count = self.peers.rows().iter().filter(ahead).count().max(1) as u64;
        let turn = usize::try_from((self.incarnation + self.stamp_ms(now)) % count).unwrap_or(0);
        let peer = self.peers.rows().iter().filter(ahead).nth(turn);
        let address = peer.and_then(|peer| self.host(&peer.host)).map(|record| record.forward);
        self.behind_since = address.map(|_| now);
        address.map(ControlOrder::FetchState)
    }
}
