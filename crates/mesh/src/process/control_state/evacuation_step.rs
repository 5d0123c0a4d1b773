//! Evacuations of data centres: what the store and peers say, and what follows for this node.

use std::time::Instant;

use firspindle_core::process::LearnedAt;
use firspindle_core::version::{
    EvacuationEffect, EvacuationSet, HostRecord, LogPosition, ServiceRanges, UpstreamInstance,
    UpstreamState,
};
use firspindle_edge::{PlatformCodec, TopicRecord, TopicSnapshot};

use super::ControlState;

/// Longest name of a data centre in a record, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Records of evacuations that had no effect, by cause.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EvacuationFaults {
    /// No host is known in the data centre.
    pub unknown: u64,
    /// The name cannot be one of a data centre.
    pub unreadable: u64,
    /// The data centre whose evacuation was to end was not evacuated.
    pub absent: u64,
}

/// What was logged of evacuations, so that each change is logged once.
#[derive(Debug, Clone, Default)]
pub(super) struct EvacuationJournal {
    /// Evacuated data centres that have hosts, sorted.
    in_force: Vec<Box<str>>,
    /// Evacuated data centres without hosts, sorted.
    unknown: Vec<Box<str>>,
    /// Services all of whose hosts are in evacuated data centres, sorted.
    stranded: Vec<Box<str>>,
    faults: EvacuationFaults,
}

fn is_readable(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && !name.contains(char::is_control)
}

impl<C: PlatformCodec> ControlState<C> {
    /// End of the manifests' log up to which this node knows its records; the start of the log before it
    /// knows any of the present epoch.
    pub(super) fn manifest_end(&self) -> LogPosition {
        let known = self.evacuations.set().position();
        let known = known.filter(|end| end.epoch == self.epoch());
        known.unwrap_or(LogPosition::new(self.epoch(), 0))
    }

    const fn learned_at(&self, read_at: Instant) -> LearnedAt {
        LearnedAt { read_at, known_at: self.manifests_known_at }
    }

    /// Returns the data centre that a record is about, and whether it is evacuated; `None` for a record
    /// of another kind.
    fn evacuation_in<'a>(&mut self, record: &'a TopicRecord) -> Option<(&'a str, bool)> {
        let name = record.key.strip_prefix(self.codec.evacuation_prefix())?;
        if !is_readable(name) {
            log::warn!(offset = record.offset, name:?; "evacuation of an unreadable name ignored");
            self.journal.faults.unreadable += 1;
            return None;
        }
        Some((name, !record.value.is_empty()))
    }

    /// Takes the evacuations from the newest records of the manifests' topic, read by a call that began
    /// at `at`.
    pub(super) fn apply_evacuation_snapshot(
        &mut self,
        state: &TopicSnapshot,
        at: Instant,
        now: Instant,
    ) {
        let rows = state.values.iter().filter_map(|row| self.evacuation_in(row));
        let centres = rows.filter(|row| row.1).map(|row| row.0.into()).collect();
        let set = EvacuationSet::new(state.end, centres);
        self.evacuations.replace(&set, self.learned_at(at), now);
        self.log_evacuations("store", now);
    }

    /// Applies the evacuations among consecutive records of the manifests' topic up to `end`, read by a
    /// call that began at `at`.
    pub(super) fn apply_evacuation_records(
        &mut self,
        from: LogPosition,
        records: &[TopicRecord],
        end: LogPosition,
        at: Instant,
        now: Instant,
    ) {
        let rows = records.iter().filter_map(|row| {
            let (name, evacuated) = self.evacuation_in(row)?;
            Some((LogPosition::new(end.epoch, row.offset), name, evacuated))
        });
        let rows: Vec<_> = rows.collect();
        let learned = self.learned_at(at);
        let effects = self.evacuations.apply(from, rows.iter().copied(), end, learned, now);
        for ((position, name, evacuated), effect) in rows.into_iter().zip(effects) {
            if !evacuated && effect == EvacuationEffect::Unchanged {
                log::warn!(data_centre = name, position:%; "no evacuation to end");
                self.journal.faults.absent += 1;
            }
        }
        self.log_evacuations("store", now);
    }

    /// Takes the evacuations that a peer knows if they are newer.
    pub(super) fn adopt_evacuations(&mut self, set: &EvacuationSet, now: Instant) {
        if self.evacuations.replace(set, self.learned_at(now), now) {
            self.log_evacuations("peer", now);
        }
    }

    /// Whether a data centre is evacuated.
    pub(super) fn is_evacuated(&self, data_centre: &str) -> bool {
        self.evacuations.set().contains(data_centre)
    }

    /// Returns the time after which nothing is sent to the own upstream because its data centre is
    /// evacuated. Before this node knows whether it is, that time has passed.
    pub(super) fn evacuation_closes_at(&self) -> Option<Instant> {
        match self.evacuations.set().position() {
            None => Some(self.started_at),
            Some(_) => self.evacuations.closes_at(&self.settings.data_centre),
        }
    }

    /// Returns how many data centres with hosts are evacuated.
    pub fn evacuated_count(&self) -> i64 {
        i64::try_from(self.journal.in_force.len()).unwrap_or(i64::MAX)
    }

    /// Returns how many records of evacuations had no effect.
    pub const fn evacuation_faults(&self) -> EvacuationFaults {
        self.journal.faults
    }

    /// Logs evacuations that began or ended since the last call. A data centre counts as unknown once
    /// the host records were read and none is there.
    pub(super) fn log_evacuations(&mut self, origin: &str, now: Instant) {
        let set = self.evacuations.set();
        let journal = &mut self.journal;
        if set.centres().is_empty() && journal.in_force.is_empty() && journal.unknown.is_empty() {
            journal.stranded.clear();
            return;
        }
        let position = set.position().unwrap_or_default();
        let (hosts, own) = (&self.hosts, &self.settings.data_centre);
        let has_hosts =
            |name: &str| name == &**own || hosts.iter().any(|row| &*row.data_centre == name);
        journal.unknown.retain(|name| set.contains(name) && !has_hosts(name));
        for name in journal.in_force.extract_if(.., |name| !set.contains(name)) {
            log::info!(data_centre = &*name, origin, position:%; "evacuation ended");
        }
        for name in set.centres() {
            if has_hosts(name) {
                let Err(index) = journal.in_force.binary_search(name) else { continue };
                journal.in_force.insert(index, name.clone());
                let begun_at = self.evacuations.begun_at(name);
                let age = begun_at.map(|at| now.saturating_duration_since(at).as_millis());
                log::info!(
                    data_centre = &**name, origin, position:%, age_ms:? = age;
                    "evacuation in force"
                );
            } else if self.hosts_known
                && let Err(index) = journal.unknown.binary_search(name)
            {
                journal.unknown.insert(index, name.clone());
                journal.faults.unknown += 1;
                log::warn!(
                    data_centre = &**name, origin, position:%;
                    "evacuation of a data centre without hosts"
                );
            }
        }
        self.log_stranded();
    }

    /// Logs the services all of whose hosts are in evacuated data centres since the last call.
    fn log_stranded(&mut self) {
        let Some(manifest) = &self.manifest else { return };
        let mut stranded = Vec::new();
        for service in manifest.services() {
            let mut hosts = self.hosts.iter().filter(|row| row.service == service.name).peekable();
            let has_hosts = hosts.peek().is_some();
            if has_hosts && hosts.all(|row| self.is_evacuated(&row.data_centre)) {
                stranded.push(service.name.clone());
            }
        }
        for service in stranded.iter().filter(|name| !self.journal.stranded.contains(name)) {
            log::warn!(service = &**service; "all upstreams of a service are in evacuated data centres");
        }
        self.journal.stranded = stranded;
    }

    /// Returns the upstreams in evacuated data centres that keep their cells in a plan that is computed
    /// now: the busiest ones, whose cells move last.
    pub(super) fn keeping_upstreams(&self, now: Instant) -> Vec<UpstreamInstance> {
        let limit = self.peer_timeout(now);
        let mut keeping = Vec::new();
        for name in self.evacuations.set().centres() {
            for ranges in &self.plan.services {
                let there = self.hosts.iter().filter(|row| {
                    row.data_centre == *name
                        && row.service == ranges.service
                        && self.is_alive(&row.host, limit, now)
                });
                let ready: Vec<_> = there.filter(|row| is_ready(row)).collect();
                let count = self.evacuations.kept_upstreams(name, ready.len(), now);
                let mut holders: Vec<_> = ready
                    .into_iter()
                    .filter_map(|row| Some((self.demand_at(&row.host), held_by(ranges, row)?)))
                    .collect();
                holders.sort_unstable_by(|a, b| b.cmp(a));
                keeping.extend(holders.into_iter().take(count).map(|row| row.1));
            }
        }
        keeping
    }

    /// Returns the demand for the keys of a host's upstream, in tenths of a request per second.
    fn demand_at(&self, host: &str) -> u32 {
        if host == &*self.settings.host {
            return self.demand.total_tenths;
        }
        self.peers.get(host).map_or(0, |peer| peer.demand.total_tenths)
    }
}

fn is_ready(record: &HostRecord) -> bool {
    record.upstream.as_ref().is_some_and(|row| row.state == UpstreamState::Ready)
}

/// Returns the instance of a host's upstream if it holds cells of a service by the plan.
fn held_by(ranges: &ServiceRanges, record: &HostRecord) -> Option<UpstreamInstance> {
    let index = ranges.holder_on(&record.host)?;
    let instance = &record.upstream.as_ref()?.instance;
    let holds = ranges.cells_held()[index] > 0 && ranges.holders[index].instance == *instance;
    holds.then(|| instance.clone())
}
