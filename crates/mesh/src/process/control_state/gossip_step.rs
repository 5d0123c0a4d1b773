//! Datagrams to and from other nodes.

use std::time::{Duration, Instant};

use firspindle_core::connection::{EchoRow, EndedFenceList, GossipMessage, UpstreamLoad};
use firspindle_core::process::EndedFence;
use firspindle_core::version::HostRecord;
use firspindle_edge::PlatformCodec;

use super::{ControlOrder, ControlState, GOSSIP_GAP, GOSSIP_PEERS, PEER_SILENCE, PLANNERS};

/// Rows of ended fences in one datagram; about 1,200 bytes.
const ENDED_ROWS: usize = 40;

/// Mean times between two datagrams of a node that may pass without one: a draw leaves it out for
/// longer once in four hundred times.
const MISSED_ROUNDS: u32 = 6;

impl<C: PlatformCodec> ControlState<C> {
    /// Takes a datagram of another node; gives the host that is to be answered at once, if any.
    pub fn take_datagram(&mut self, bytes: &[u8], now: Instant) -> Option<Box<str>> {
        let Some(message) = GossipMessage::decode(bytes) else {
            log::warn!(length = bytes.len(); "unreadable datagram");
            return None;
        };
        if message.sender.host == self.settings.host {
            return None;
        }
        self.keep_host(message.sender.clone());
        let stamp = self.stamp_ms(now);
        let peer = self.peers.take(&message, now)?;
        for row in &message.ended {
            self.book.apply_ended(row);
            if peer.to_acknowledge.len() < ENDED_ROWS {
                peer.to_acknowledge.push(row.clone());
            }
        }
        self.book.remove_acknowledged(&message.acknowledged);
        if let Some(echo) = message.echo {
            self.take_echo(&message.sender.host, echo, stamp, now);
        }
        let ends = [self.clock.end(), self.hosts_end, self.manifest_end];
        let behind = ends.iter().zip(message.ends).any(|(own, other)| *own < other);
        if behind {
            self.behind_since.get_or_insert(now);
        }
        self.learn_suspects(&message.suspects, now).then_some(message.sender.host)
    }

    pub(super) fn take_echo(&mut self, host: &str, echo: EchoRow, stamp_ms: u64, now: Instant) {
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
            self.clock.confirm(echo.plan_end, at);
        }
    }

    /// Datagrams for some hosts.
    pub fn datagrams(&mut self, hosts: &[Box<str>], now: Instant) -> Vec<ControlOrder> {
        let ended = self.book.ended_fences(now);
        let mut orders = Vec::with_capacity(hosts.len());
        for host in hosts {
            let Some(address) = self.host(host).map(|record| record.gossip) else { continue };
            let mut rows: EndedFenceList = ended
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

    /// Silence after which a node may count as lost that tells this one only when it is drawn.
    pub(super) fn hear_window(&self) -> Duration {
        let rounds = u32::try_from(self.hosts.len() / GOSSIP_PEERS).unwrap_or(u32::MAX);
        PEER_SILENCE + GOSSIP_GAP * rounds.saturating_sub(1) * MISSED_ROUNDS
    }

    /// First hosts in order that were heard lately: one of them plans, and has to hear all.
    pub fn planner_hosts(&self, now: Instant) -> Vec<Box<str>> {
        let window = self.hear_window();
        let heard = |row: &&HostRecord| self.peers.heard_within(&row.host, window, now);
        self.others().filter(heard).take(PLANNERS).map(|row| row.host.clone()).collect()
    }

    /// All other hosts.
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
        let plan_end = self.clock.end();
        let age = self.clock.age(now).filter(|_| self.plan_known);
        let peer = self.peers.get_mut(host);
        let acknowledged = peer.map_or(Vec::new(), |peer| std::mem::take(&mut peer.to_acknowledge));
        let age_ms = age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX) + 1);
        let attests = self.plan_known && self.book.attests();
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
            settled_version: self.book.settled_version(now),
            load: UpstreamLoad { slots: if open { self.load.slots } else { 0 }, ..self.load },
            demand: self.may_plan(host).then(|| self.demand.clone()),
            ended,
            acknowledged,
            suspects: self.suspects.hints(now),
        }
    }
}
