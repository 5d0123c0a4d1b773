//! Datagrams to and from other nodes: records, echoes, ended fences and suspects.

use std::time::{Duration, Instant};

use firspindle_core::connection::{EchoRow, EndedFenceList, GossipMessage, UpstreamLoad};
use firspindle_core::process::EndedFence;
use firspindle_core::version::HostRecord;
use firspindle_edge::PlatformCodec;

use super::{
    ControlAction, ControlState, GOSSIP_FANOUT, GOSSIP_INTERVAL, PEER_TIMEOUT, PLANNER_COUNT,
};

/// Most rows of ended fences in one datagram; about 1,200 bytes.
const MAX_ENDED_ROWS: usize = 40;

/// Time without a datagram that is tolerated from a node that draws the receivers at random, in
/// mean times between two of its datagrams to one receiver. Chance alone causes a longer gap once
/// in four hundred times.
const MISSED_ROUNDS: u32 = 6;

impl<C: PlatformCodec> ControlState<C> {
    /// Handles a datagram of another node; returns the sender if it is to get a reply at
    /// once, because it reported a suspect that is new to this node.
    pub fn handle_datagram(&mut self, bytes: &[u8], now: Instant) -> Option<Box<str>> {
        let Some(message) = GossipMessage::decode(bytes) else {
            log::warn!(length = bytes.len(); "datagram decoding failed");
            return None;
        };
        if message.sender.host == self.settings.host {
            return None;
        }
        self.keep_host(message.sender.clone());
        let stamp = self.stamp_ms(now);
        let peer = self.peers.update(&message, now)?;
        for row in &message.ended {
            self.grants.apply_ended(row);
            if peer.to_acknowledge.len() < MAX_ENDED_ROWS {
                peer.to_acknowledge.push(row.clone());
            }
        }
        self.grants.remove_acknowledged(&message.acknowledged);
        if let Some(echo) = message.echo {
            self.apply_echo(&message.sender.host, echo, stamp, now);
        }
        let ends = [self.confirmation.end(), self.hosts_end, self.manifest_end];
        let behind = ends.iter().zip(message.ends).any(|(own, other)| *own < other);
        if behind {
            self.behind_since.get_or_insert(now);
        }
        self.merge_suspects(&message.suspects, now).then_some(message.sender.host)
    }

    /// Applies a peer's echo of a timestamp of this node. The peer sent the echo after this node
    /// sent the timestamp, so dating what it says back to then never makes it look newer than it
    /// is.
    pub(super) fn apply_echo(&mut self, host: &str, echo: EchoRow, stamp_ms: u64, now: Instant) {
        if echo.stamp_ms > stamp_ms {
            return;
        }
        let sent_at = now.checked_sub(Duration::from_millis(stamp_ms - echo.stamp_ms));
        let Some(sent_at) = sent_at else { return };
        if let Some(peer) = self.peers.get_mut(host).filter(|_| echo.attests) {
            peer.attested = Some((echo.plan_end, sent_at));
        }
        let age = echo.age_ms.map(Duration::from_millis);
        if let Some(at) = age.and_then(|age| sent_at.checked_sub(age)) {
            self.confirmation.confirm(echo.plan_end, at);
        }
    }

    /// Returns the sends of a datagram to each of these hosts that is known.
    pub fn datagrams(&mut self, hosts: &[Box<str>], now: Instant) -> Vec<ControlAction> {
        let ended = self.grants.ended_fences(now);
        let mut actions = Vec::with_capacity(hosts.len());
        for host in hosts {
            let Some(address) = self.host(host).map(|record| record.gossip) else { continue };
            let mut rows: EndedFenceList = ended
                .iter()
                .find(|(name, _)| name == host)
                .map_or(Vec::new(), |(_, rows)| rows.clone());
            rows.truncate(MAX_ENDED_ROWS);
            let message = self.datagram(host, rows, now);
            actions.push(ControlAction::Send(address, message.encode().into()));
        }
        actions
    }

    /// Returns the hosts to notify of ended fences at once: the next holders' hosts, without this
    /// one.
    pub fn ended_fence_hosts(&mut self, now: Instant) -> Vec<Box<str>> {
        let ended = self.grants.ended_fences(now);
        ended.into_iter().map(|(host, _)| host).filter(|host| *host != self.settings.host).collect()
    }

    /// Returns the time without a datagram after which a node counts as lost that sends to this one
    /// only when it draws it at random.
    pub(super) fn gossip_timeout(&self) -> Duration {
        let rounds = u32::try_from(self.hosts.len() / GOSSIP_FANOUT).unwrap_or(u32::MAX);
        PEER_TIMEOUT + GOSSIP_INTERVAL * rounds.saturating_sub(1) * MISSED_ROUNDS
    }

    /// Returns the first other hosts by name that sent a datagram recently. One of them plans and
    /// must know which nodes are alive, so they get a datagram in each round.
    pub fn planner_hosts(&self, now: Instant) -> Vec<Box<str>> {
        let timeout = self.gossip_timeout();
        let recent = |row: &&HostRecord| self.peers.received_within(&row.host, timeout, now);
        self.others().filter(recent).take(PLANNER_COUNT).map(|row| row.host.clone()).collect()
    }

    /// Returns all other known hosts.
    pub fn other_hosts(&self) -> Vec<Box<str>> {
        self.others().map(|row| row.host.clone()).collect()
    }

    pub(super) fn datagram(
        &mut self,
        host: &str,
        ended: Vec<EndedFence>,
        now: Instant,
    ) -> GossipMessage {
        let stamp_ms = self.stamp_ms(now);
        let plan_end = self.confirmation.end();
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
        let open = self.is_open(now);
        GossipMessage {
            sender: self.own.clone(),
            stamp_ms,
            echo,
            ends: [plan_end, self.hosts_end, self.manifest_end],
            reaches_store: self.reaches_store(),
            settled_version: self.grants.settled_version(now),
            load: UpstreamLoad { slots: if open { self.load.slots } else { 0 }, ..self.load },
            demand: self.may_plan(host).then(|| self.demand.clone()),
            ended,
            acknowledged,
            suspects: self.suspects.hints(now),
        }
    }
}
