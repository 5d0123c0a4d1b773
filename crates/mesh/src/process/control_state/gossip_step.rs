//! Datagrams to and from other nodes: records, echoes, ended fences and suspects.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use firspindle_core::connection::{AttestationRow, EchoRow, EndedFenceList, GossipMessage};
use firspindle_core::process::EndedFence;
use firspindle_core::version::LogPosition;
use firspindle_edge::PlatformCodec;

use super::relay_step;
use super::{ControlAction, ControlState, PEER_TIMEOUT};
use crate::process::peer_table::{CollectedAttestation, PeerRow};

/// Most rows of ended fences in one datagram; about 1,200 bytes.
const MAX_ENDED_ROWS: usize = 40;

/// Dates the attestations that a peer passed on: it sent them after `sent_at`, so they are no older
/// than their age before that.
fn date_attestations(
    rows: &[AttestationRow],
    plan_end: LogPosition,
    sent_at: Instant,
    aged: bool,
) -> Vec<CollectedAttestation> {
    let dated = rows.iter().filter_map(|row| {
        let age = Duration::from_millis(if aged { row.age_ms } else { 0 });
        let at = sent_at.checked_sub(age)?;
        let service = row.service.clone();
        Some(CollectedAttestation { service, plan_end, covered: row.covered, at })
    });
    dated.collect()
}

/// Time for which this node is behind a peer before it fetches the peer's state: the datagrams of two
/// nodes arrive within one round trip, and one fetch answers both.
const FETCH_DELAY: Duration = Duration::from_millis(30);

/// Returns when this node sent the timestamp that a peer echoed; `None` if it has not reached it.
fn date_echo(echo: EchoRow, stamp_ms: u64, now: Instant) -> Option<Instant> {
    now.checked_sub(Duration::from_millis(stamp_ms.checked_sub(echo.stamp_ms)?))
}

impl<C: PlatformCodec> ControlState<C> {
    /// Handles a datagram of another node; returns the sender if it is to get a reply at once: it
    /// asks for one, reported ended fences, or a suspect that is new to this node.
    pub fn handle_datagram(&mut self, bytes: &[u8], now: Instant) -> Option<Box<str>> {
        let Some(message) = GossipMessage::decode(bytes) else {
            self.malformed_datagrams += 1;
            log::warn!(length = bytes.len(); "datagram decoding failed");
            return None;
        };
        if message.sender.host == self.settings.host {
            return None;
        }
        self.enter_epoch(message.mark.plan_position.epoch, now);
        self.outnumber_incarnation(message.heard_incarnation);
        self.keep_host(message.sender.clone());
        self.asked.note_answer(&message.sender.host);
        let stamp = self.stamp_ms(now);
        let peer = self.peers.update(&message, self.incarnation, now)?;
        for row in &message.ended {
            self.grants.apply_ended(row);
            if peer.to_acknowledge.len() < MAX_ENDED_ROWS {
                peer.to_acknowledge.push(row.clone());
            }
        }
        self.grants.remove_acknowledged(&message.acknowledged);
        let echo = message.echo.filter(|_| message.heard_incarnation == self.incarnation);
        if let Some(echo) = echo {
            self.apply_echo(&message, echo, stamp, now);
            self.apply_manifest_age(&message, echo, stamp, now);
        }
        self.apply_report(&message.report, now);
        if message.mark.is_ahead_of(&self.mark()) {
            self.behind_since.get_or_insert(now);
        }
        self.note_peer_mark(&message, now);
        let news = self.merge_suspects(&message, now);
        self.note_known_suspects(&message.sender.host, &message.suspects);
        self.view_changed |= news || !message.ended.is_empty();
        let replies = news || message.report.wants_reply || !message.ended.is_empty();
        replies.then_some(message.sender.host)
    }

    /// Notes what a peer has applied, and logs its manifest if it is the newest that was heard of.
    fn note_peer_mark(&mut self, message: &GossipMessage, now: Instant) {
        let known = self.mark();
        if !self.heard.note(&message.mark, &known, now) {
            return;
        }
        let age_ms = |at: Instant| now.saturating_duration_since(at).as_millis();
        log::info!(
            version = message.mark.manifest, in_force = known.manifest,
            host = &*message.sender.host, behind_ms:? = self.heard.manifests_since().map(age_ms),
            read_ms:? = self.manifests_known_at.map(age_ms);
            "peer has a newer manifest"
        );
    }

    /// Takes whether datagrams changed what is to be in force before they are answered: suspects, and
    /// fences that have ended.
    pub fn take_view_change(&mut self) -> bool {
        std::mem::take(&mut self.view_changed)
    }

    /// Returns how many datagrams could not be decoded.
    pub const fn malformed_datagrams(&self) -> i64 {
        self.malformed_datagrams
    }

    /// Applies a peer's echo of a timestamp of this node. The peer sent the echo after this node
    /// sent the timestamp, so dating what it says back to then never makes it look newer than it
    /// is.
    pub(super) fn apply_echo(
        &mut self,
        message: &GossipMessage,
        echo: EchoRow,
        stamp_ms: u64,
        now: Instant,
    ) {
        let Some(sent_at) = date_echo(echo, stamp_ms, now) else { return };
        let aged = self.grants.guards().attestation_age;
        let plan_end = LogPosition::new(message.mark.plan_position.epoch, echo.plan_end);
        let report = &message.report;
        if let Some(peer) = self.peers.get_mut(&message.sender.host) {
            if echo.attests {
                peer.attested = Some((plan_end, sent_at));
            }
            peer.centre = date_attestations(&report.centre, plan_end, sent_at, aged);
            peer.fleet = date_attestations(&report.fleet, plan_end, sent_at, aged);
        }
        let age = echo.age_ms.map(Duration::from_millis);
        if let Some(at) = age.and_then(|age| sent_at.checked_sub(age)) {
            self.confirmation.confirm(plan_end, at);
        }
    }

    /// Applies when a peer knew every manifest, if this node has applied those too.
    fn apply_manifest_age(
        &mut self,
        message: &GossipMessage,
        echo: EchoRow,
        stamp_ms: u64,
        now: Instant,
    ) {
        let age = message.manifest_age_ms.map(Duration::from_millis);
        let at = date_echo(echo, stamp_ms, now)
            .and_then(|sent_at| age.and_then(|age| sent_at.checked_sub(age)));
        let known = self.mark();
        let (manifest, evacuations) = (message.mark.manifest, message.mark.evacuations);
        if manifest <= known.manifest && evacuations <= known.evacuations {
            self.manifests_known_at = self.manifests_known_at.max(at);
        }
    }

    /// Returns the sends of a datagram to each of these hosts that is known.
    pub fn datagrams(&mut self, hosts: &[Box<str>], now: Instant) -> Vec<ControlAction> {
        self.sends(hosts, false, &[], now)
    }

    pub(super) fn sends(
        &mut self,
        hosts: &[Box<str>],
        wants_reply: bool,
        suspects: &[u128],
        now: Instant,
    ) -> Vec<ControlAction> {
        let ended = self.grants.ended_fences(now);
        let mut actions = Vec::with_capacity(hosts.len());
        for host in hosts {
            let Some(record) = self.host(host) else { continue };
            let (address, place) = (record.gossip, self.place_of(record));
            let mut rows: EndedFenceList = ended
                .iter()
                .find(|(name, _)| name == host)
                .map_or(Vec::new(), |(_, rows)| rows.clone());
            rows.truncate(MAX_ENDED_ROWS);
            let mut message = self.datagram(host, rows, suspects, now);
            message.report = self.relay_report(host, wants_reply, now);
            actions.push(ControlAction::Send(address, message.encode().into(), place));
        }
        actions
    }

    /// Returns the hosts to notify of ended fences at once: the next holders' hosts, without this
    /// one.
    pub fn ended_fence_hosts(&mut self, now: Instant) -> Vec<Box<str>> {
        let ended = self.grants.ended_fences(now);
        ended.into_iter().map(|(host, _)| host).filter(|host| *host != self.settings.host).collect()
    }

    /// Returns all other known hosts.
    pub fn other_hosts(&self) -> Vec<Box<str>> {
        self.others().map(|row| row.host.clone()).collect()
    }

    pub(super) fn datagram(
        &mut self,
        host: &str,
        ended: Vec<EndedFence>,
        suspects: &[u128],
        now: Instant,
    ) -> GossipMessage {
        let stamp_ms = self.stamp_ms(now);
        let plan_end = self.confirmation.position().offset;
        let age = self.confirmation.age(now).filter(|_| self.plan_known);
        let peer = self.peers.get_mut(host);
        let acknowledged = peer.map_or(Vec::new(), |peer| std::mem::take(&mut peer.to_acknowledge));
        let age_ms = age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX) + 1);
        let attests = self.plan_known && self.grants.attests();
        let echo = self.peers.get(host).map(|peer| EchoRow {
            stamp_ms: peer.stamp_ms,
            plan_end,
            age_ms,
            attests,
        });
        GossipMessage {
            echo,
            ends: [plan_end, self.hosts_end.offset, self.manifest_end().offset],
            reaches_store: self.reaches_store(),
            settled_version: self.grants.settled_version(now),
            load: self.open_load(now),
            demand: self.may_plan(host).then(|| self.demand.clone()),
            ended,
            acknowledged,
            suspects: self.suspects.hints(&self.named_suspects(host, suspects), now),
            answered_suspects: self.answered_suspects.hints(&[], now),
            crash_sets: self.crash_sets.told_crashes(now),
            cleared_requests: self.crash_sets.told_cleared(now),
            mark: self.mark(),
            manifest_age_ms: self.manifests_known_at.map(|at| relay_step::age_ms(at, now)),
            heard_incarnation: self.peers.get(host).map_or(0, |peer| peer.incarnation),
            ..GossipMessage::new(self.own.clone(), stamp_ms)
        }
    }

    /// Returns a fetch of the state of a peer that is ahead, if one is due: from one that is not being
    /// asked, and of these one that has not failed lately if there is one.
    pub(super) fn fetch_step(&mut self, now: Instant) -> Option<ControlAction> {
        let since = self.behind_since?;
        if now < since + FETCH_DELAY || !self.fetches.may_begin(now) {
            return None;
        }
        let mark = self.mark();
        let ahead =
            |row: &&PeerRow| now < row.received_at + PEER_TIMEOUT && row.mark.is_ahead_of(&mark);
        let records: Vec<_> =
            self.peers.rows().iter().filter(ahead).filter_map(|row| self.host(&row.host)).collect();
        if records.is_empty() {
            self.behind_since = None;
            return None;
        }
        let idle: Vec<_> =
            records.into_iter().filter(|row| !self.fetches.is_open(row.forward)).collect();
        let sound: Vec<_> =
            idle.iter().copied().filter(|row| !self.fetches.has_failed(row.forward)).collect();
        let choices = if sound.is_empty() { idle } else { sound };
        // Incarnations differ between nodes, so their fetches spread over the peers that are ahead.
        let count = choices.len().max(1) as u64;
        let choice = usize::try_from((self.incarnation + self.stamp_ms(now)) % count).unwrap_or(0);
        let (address, place) = choices.get(choice).map(|row| (row.forward, self.place_of(row)))?;
        self.fetches.begin(address, now);
        Some(ControlAction::FetchState(address, place))
    }

    /// Notes that the state of the peer at an address could not be fetched.
    pub fn fetch_failed(&mut self, address: SocketAddr, now: Instant) {
        self.fetches.note_failure(address, now);
    }
}
