//! Relays: whom this node exchanges datagrams with, and what relays pass on.

use std::time::{Duration, Instant};

use firspindle_core::connection::{
    AttestationRow, HostHash, RelayReport, RelayedLoad, UpstreamLoad, cover_hosts, hash_host,
};
use firspindle_core::process::{CentreRelays, RelayCandidate, choose_relays, order_leaders};
use firspindle_core::version::{HostRecord, LogPosition, ServiceRanges, UpstreamState};
use firspindle_edge::PlatformCodec;

use super::{ControlAction, ControlState, PEER_TIMEOUT, PLANNER_COUNT};
use crate::process::peer_table::CollectedAttestation;

/// Rounds of datagrams between two in which silent hosts are asked again: 3 s.
const SILENT_RETRY_ROUNDS: u32 = 10;

/// Rounds of datagrams between two in which the nodes that may plan get one: 0.6 s. The loss of a
/// node is noticed after three of them.
const PLANNER_ROUNDS: u32 = 2;

/// Load of an upstream as relays passed it on.
#[derive(Debug, Clone, Copy)]
pub(super) struct RelayedRow {
    host: HostHash,
    load: UpstreamLoad,
    reported_at: Instant,
}

/// Time for which what a relay collected is used again. A relay of 170 hosts gets 570 questions a second.
const COLLECTED_TIME: Duration = Duration::from_millis(50);

/// This node's duties towards others, by what it knew at the last choice.
#[derive(Debug, Clone, Default)]
pub(super) struct RelayDuties {
    /// Whether it is a relay of its data centre.
    pub(super) relays: bool,
    /// Relays in the order in which they take up duties for the whole fleet.
    pub(super) leaders: Vec<Box<str>>,
}

/// What this node as a relay collected for its answers.
#[derive(Debug, Clone)]
pub(super) struct RelayCache {
    collected_at: Instant,
    plan_end: LogPosition,
    /// Attestations of the holders in this data centre.
    centre: Vec<CollectedAttestation>,
    /// Attestations of all holders.
    fleet: Vec<CollectedAttestation>,
    /// Loads of the upstreams without keys in this data centre.
    centre_loads: Vec<RelayedRow>,
    /// Loads of all upstreams without keys.
    all_loads: Vec<RelayedRow>,
}

impl RelayedRow {
    /// Returns the load for a datagram, with its age.
    fn aged(&self, now: Instant) -> RelayedLoad {
        let age = now.saturating_duration_since(self.reported_at).as_millis();
        RelayedLoad {
            host: self.host,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            load: self.load,
            link_ms: self.load.link_ms,
        }
    }
}

/// Returns attestations for a datagram, with their ages.
fn aged_attestations(rows: &[CollectedAttestation], now: Instant) -> Vec<AttestationRow> {
    let aged = rows.iter().map(|row| AttestationRow {
        service: row.service.clone(),
        covered: row.covered,
        age_ms: age_ms(row.at, now),
    });
    aged.collect()
}

pub(super) fn age_ms(at: Instant, now: Instant) -> u64 {
    u64::try_from(now.saturating_duration_since(at).as_millis()).unwrap_or(u64::MAX) + 1
}

impl<C: PlatformCodec> ControlState<C> {
    /// Returns the relays of each data centre, as this node knows them.
    fn centre_relays(&self, now: Instant) -> Vec<CentreRelays<'_>> {
        let own = &*self.settings.host;
        let known = self.hosts.iter().map(|row| (&*row.host, &*row.data_centre));
        let own_missing = self.host(own).is_none().then_some((own, &*self.settings.data_centre));
        let mut rows: Vec<_> = known.chain(own_missing).collect();
        rows.sort_unstable();
        choose_relays(rows.into_iter().map(|(host, data_centre)| RelayCandidate {
            host,
            data_centre,
            silent: host != own && self.asked.is_silent(host, now),
        }))
    }

    /// Whether this node is a relay of its data centre.
    fn is_relay_in(&self, centres: &[CentreRelays<'_>]) -> bool {
        centres.iter().any(|row| row.relays.contains(&&*self.settings.host))
    }

    /// Chooses this node's duties anew. A relay knows the other relays itself; the other nodes are
    /// told of them by the relays of their data centre.
    pub(super) fn refresh_duties(&mut self, now: Instant) {
        let centres = self.centre_relays(now);
        let relays = self.is_relay_in(&centres);
        let known: Vec<Box<str>> = order_leaders(&centres).into_iter().map(Into::into).collect();
        let told = if relays { Vec::new() } else { self.told_leaders(now) };
        let leaders = if told.is_empty() { known } else { told };
        let own = &self.settings.host;
        let leads = leaders.iter().take(PLANNER_COUNT).any(|row| row == own);
        self.leading_since = self.leading_since.filter(|_| leads).or(leads.then_some(now));
        self.duties = RelayDuties { relays, leaders };
    }

    /// Returns the leaders that relays told of, each once; those that any of them names may plan.
    fn told_leaders(&self, now: Instant) -> Vec<Box<str>> {
        let mut leaders: Vec<Box<str>> = Vec::new();
        for peer in self.peers.rows().iter().filter(|row| now < row.received_at + PEER_TIMEOUT) {
            for hash in peer.leaders.iter().take(PLANNER_COUNT) {
                let record = self.hosts.iter().find(|row| hash_host(&row.host) == *hash);
                if let Some(host) = record.map(|row| &row.host).filter(|row| !leaders.contains(row))
                {
                    leaders.push(host.clone());
                }
            }
        }
        leaders
    }

    /// Returns the other nodes that may plan, so that they get this node's load and demand. A node
    /// that is told of them by several relays reports to all that any of these names.
    pub(super) fn planner_hosts(&self) -> impl Iterator<Item = &Box<str>> {
        let count = if self.duties.relays { PLANNER_COUNT } else { self.duties.leaders.len() };
        self.duties.leaders.iter().take(count).filter(|host| **host != self.settings.host)
    }

    /// Returns the datagrams of a round: questions to the relays, and reports to the nodes that may
    /// plan and to those that wait for ended fences.
    pub fn gossip_round(&mut self, now: Instant) -> Vec<ControlAction> {
        self.round = self.round.wrapping_add(1);
        self.refresh_duties(now);
        let centres = self.centre_relays(now);
        let retry = self.round.is_multiple_of(SILENT_RETRY_ROUNDS);
        let mut asked: Vec<Box<str>> = Vec::new();
        for centre in &centres {
            let own_centre = *centre.data_centre == *self.settings.data_centre;
            let relays = match (own_centre, self.duties.relays) {
                (true, _) => centre.relays.len(),
                (false, true) => 1,
                (false, false) => continue,
            };
            let silent = if retry { centre.silent.as_slice() } else { &[] };
            let named = centre.relays.iter().take(relays).chain(silent);
            asked.extend(
                named.filter(|host| ***host != *self.settings.host).map(|host| Box::from(*host)),
            );
        }
        let mut told = self.ended_fence_hosts(now);
        if self.round.is_multiple_of(PLANNER_ROUNDS) {
            told.extend(self.planner_hosts().cloned());
        }
        told.sort_unstable();
        told.dedup();
        told.retain(|host| !asked.contains(host));
        let mut actions = self.questions(&asked, now);
        actions.extend(self.datagrams(&told, now));
        actions
    }

    /// Returns the sends of a datagram that is to be answered at once to each of these hosts.
    pub fn questions(&mut self, hosts: &[Box<str>], now: Instant) -> Vec<ControlAction> {
        self.questions_on(hosts, &[], now)
    }

    /// Returns the sends of a datagram that is to be answered at once to each of these hosts and that
    /// names these suspected requests first.
    pub(super) fn questions_on(
        &mut self,
        hosts: &[Box<str>],
        suspects: &[u128],
        now: Instant,
    ) -> Vec<ControlAction> {
        for host in hosts {
            self.asked.note_question(host, now);
        }
        self.sends(hosts, true, suspects, now)
    }

    /// Returns the hosts that this node tells at once of a new plan: as a relay, its share of the
    /// hosts of its data centre, and the other relays.
    pub fn new_plan_hosts(&self, now: Instant) -> Vec<Box<str>> {
        if !self.duties.relays {
            return Vec::new();
        }
        let own = &*self.settings.host;
        let centres = self.centre_relays(now);
        let mut hosts: Vec<Box<str>> = Vec::new();
        for centre in &centres {
            if *centre.data_centre != *self.settings.data_centre {
                hosts.extend(centre.relays.first().map(|host| Box::from(*host)));
                continue;
            }
            let rank = centre.relays.iter().position(|host| *host == own).unwrap_or(0);
            let count = centre.relays.len();
            let members = self.others().filter(|row| row.data_centre == self.settings.data_centre);
            let share = members.enumerate().filter(|(index, row)| {
                index % count == rank || centre.relays.contains(&&*row.host)
            });
            hosts.extend(share.map(|(_, row)| row.host.clone()));
        }
        hosts
    }

    /// Returns what this node passes on in a datagram to a host.
    pub(super) fn relay_report(
        &mut self,
        host: &str,
        wants_reply: bool,
        now: Instant,
    ) -> RelayReport {
        let seen = self.peers.get(host).map_or(0, |peer| peer.got_sequence);
        if !self.duties.relays {
            return RelayReport { wants_reply, seen, ..RelayReport::default() };
        }
        let collected = self.collected(now);
        let in_own_centre =
            self.host(host).is_some_and(|row| row.data_centre == self.settings.data_centre);
        let loads = if in_own_centre { &collected.all_loads } else { &collected.centre_loads };
        let leaders = self.duties.leaders.iter().take(PLANNER_COUNT).map(|host| hash_host(host));
        let known_there = self.peers.get(host).map_or(0, |peer| peer.seen_there);
        let (changed, sequence) = self.changes.after(known_there);
        let records = changed.into_iter().filter_map(|name| self.host(name).cloned());
        let report = RelayReport {
            wants_reply,
            centre: aged_attestations(&collected.centre, now),
            fleet: aged_attestations(&collected.fleet, now),
            leaders: leaders.collect(),
            loads: loads.iter().map(|row| row.aged(now)).collect(),
            records: records.filter(|row| &*row.host != host).collect(),
            sequence,
            seen,
        };
        self.collected = Some(collected);
        report
    }

    /// Applies what a relay passed on, except for attestations.
    pub(super) fn apply_report(&mut self, report: &RelayReport, now: Instant) {
        for record in &report.records {
            if record.host == self.settings.host {
                self.adopt_own_record(record, now);
            }
            self.keep_host(record.clone());
        }
        for row in &report.loads {
            let age = Duration::from_millis(u64::from(row.age_ms));
            let Some(reported_at) = now.checked_sub(age) else { continue };
            let load = UpstreamLoad { link_ms: row.link_ms, ..row.load };
            let fresh = RelayedRow { host: row.host, load, reported_at };
            match self.relayed.binary_search_by_key(&row.host, |known| known.host) {
                Ok(index) if self.relayed[index].reported_at < reported_at => {
                    self.relayed[index] = fresh;
                }
                Ok(_) => {}
                Err(index) => self.relayed.insert(index, fresh),
            }
        }
    }

    /// Returns the newest known load of another host's upstream, and when the host reported it.
    pub(super) fn newest_load(&self, host: &str) -> Option<(UpstreamLoad, Instant)> {
        let heard = self.peers.get(host).map(|peer| (peer.load, peer.received_at));
        let index = self.relayed.binary_search_by_key(&hash_host(host), |row| row.host);
        let relayed = index.ok().map(|index| &self.relayed[index]);
        let relayed = relayed.map(|row| (row.load, row.reported_at));
        heard.into_iter().chain(relayed).max_by_key(|row| row.1)
    }

    /// Returns the recent loads of upstreams without keys, and whether they are in this data centre.
    fn free_loads(&self, now: Instant) -> Vec<(RelayedRow, bool)> {
        let chosen_freely = |row: &&HostRecord| {
            let ready = row.upstream.as_ref().is_some_and(|row| row.state == UpstreamState::Ready);
            ready && !self.holds_keys(&row.service)
        };
        let rows = self.hosts.iter().filter(chosen_freely).filter_map(|row| {
            let (load, reported_at) = if row.host == self.settings.host {
                (self.open_load(now), now)
            } else {
                self.newest_load(&row.host)?
            };
            let here = row.data_centre == self.settings.data_centre;
            let relayed = RelayedRow { host: hash_host(&row.host), load, reported_at };
            (now < reported_at + PEER_TIMEOUT).then_some((relayed, here))
        });
        rows.collect()
    }

    /// Returns when the oldest attestation of a service's holders in this data centre was given;
    /// `None` while one of them has not attested the plan in force, and the holders.
    fn centre_attested(&self, ranges: &ServiceRanges, now: Instant) -> Option<(u64, Instant)> {
        let end = self.confirmation.position();
        let mut oldest = now;
        let mut covered = Vec::new();
        for holder in &ranges.holders {
            if self.host(&holder.host)?.data_centre != self.settings.data_centre {
                continue;
            }
            covered.push(&*holder.host);
            if holder.host == self.settings.host {
                self.grants.attests().then_some(())?;
                continue;
            }
            let attested = self.peers.get(&holder.host)?.attested;
            let (_, at) = attested.filter(|(known, _)| *known == end)?;
            oldest = oldest.min(at);
        }
        Some((cover_hosts(covered.into_iter()), oldest))
    }

    /// Returns when the oldest attestation of all holders of a service was given; `None` while one of
    /// them is not known to have attested the plan in force.
    pub(super) fn fleet_attested(&self, ranges: &ServiceRanges, now: Instant) -> Option<Instant> {
        let whole = cover_hosts(ranges.holders.iter().map(|row| &*row.host));
        let passed_on = self.newest_attestation(ranges, whole, |peer| &peer.fleet);
        self.collected_attestations(ranges, now).max(passed_on)
    }

    /// Collects the attestations of all data centres.
    fn collected_attestations(&self, ranges: &ServiceRanges, now: Instant) -> Option<Instant> {
        let (_, mut oldest) = self.centre_attested(ranges, now)?;
        let mut centres = Vec::new();
        for holder in &ranges.holders {
            centres.push(&*self.host(&holder.host)?.data_centre);
        }
        centres.sort_unstable();
        centres.dedup();
        for centre in centres.into_iter().filter(|centre| *centre != &*self.settings.data_centre) {
            let holders = ranges.holders.iter().map(|row| &*row.host);
            let there =
                |host: &&str| self.host(host).is_some_and(|row| &*row.data_centre == centre);
            let expected = cover_hosts(holders.filter(there));
            oldest = oldest.min(self.newest_attestation(ranges, expected, |peer| &peer.centre)?);
        }
        Some(oldest)
    }

    /// Returns the newest attestation by peers of the plan in force that covers exactly these
    /// holders.
    fn newest_attestation(
        &self,
        ranges: &ServiceRanges,
        covered: u64,
        rows: impl Fn(&crate::process::peer_table::PeerRow) -> &Vec<CollectedAttestation>,
    ) -> Option<Instant> {
        let end = self.confirmation.position();
        let all = self.peers.rows().iter().flat_map(rows);
        let matching = all.filter(|row| {
            row.service == ranges.service && row.plan_end == end && row.covered == covered
        });
        matching.map(|row| row.at).max()
    }

    /// Takes what was collected a moment ago for the plan in force, which stays true with its age, or
    /// collects it anew.
    fn collected(&mut self, now: Instant) -> RelayCache {
        let end = self.confirmation.position();
        let kept = self.collected.take();
        let kept =
            kept.filter(|row| row.plan_end == end && now < row.collected_at + COLLECTED_TIME);
        kept.unwrap_or_else(|| self.collect(now))
    }

    fn collect(&self, now: Instant) -> RelayCache {
        let plan_end = self.confirmation.position();
        let loads = self.free_loads(now);
        let mut cache = RelayCache {
            collected_at: now,
            plan_end,
            centre: Vec::new(),
            fleet: Vec::new(),
            centre_loads: loads.iter().filter(|row| row.1).map(|row| row.0).collect(),
            all_loads: loads.iter().map(|row| row.0).collect(),
        };
        let row = |ranges: &ServiceRanges, covered, at| CollectedAttestation {
            service: ranges.service.clone(),
            plan_end,
            covered,
            at,
        };
        for ranges in self.plan.services.iter().filter(|_| self.plan_known) {
            if let Some((covered, at)) = self.centre_attested(ranges, now) {
                cache.centre.push(row(ranges, covered, at));
            }
            if let Some(at) = self.fleet_attested(ranges, now) {
                let whole = cover_hosts(ranges.holders.iter().map(|row| &*row.host));
                cache.fleet.push(row(ranges, whole, at));
            }
        }
        cache
    }
}
