//! Carries out the nodes' actions; datagrams may be late, lost or cut off.

use std::net::SocketAddr;

use bytes::Bytes;
use firspindle_core::version::LogPosition;
use firspindle_edge::StateTopic;
use firspindle_mesh::process::ControlAction;
use firspindle_mesh::version::PeerState;
use rand::Rng;

use super::event::{AppendCall, Event};
use super::{HOSTS, World, settings};

impl World {
    pub(super) fn execute(&mut self, host: usize, actions: Vec<ControlAction>) {
        let incarnation = self.hosts[host].incarnation;
        let began = self.now();
        for action in actions {
            match action {
                ControlAction::Send(address, bytes, _) => self.send(host, address, bytes),
                ControlAction::FetchState(address, _) => self.fetch(host, address),
                ControlAction::ProbeUpstream(_) => self.enqueue(host, incarnation, 5, Event::Probe),
                ControlAction::PutHost(record) if self.restores.is_some() => {
                    self.put_host(host, record);
                }
                ControlAction::PutHost(record) => {
                    let (key, value) = (record.host.to_string(), record.encode());
                    let topic = StateTopic::Hosts;
                    self.enqueue_append(host, AppendCall { topic, key, value, at: None, began });
                    let state = self.hosts[host].state.as_mut().expect("the node is running");
                    state.host_written(record, Some(LogPosition::default()), began);
                }
                ControlAction::AppendPlan(plan, at) => {
                    let (key, value) = ("plan".into(), plan.encode());
                    let topic = StateTopic::Plans;
                    self.enqueue_append(
                        host,
                        AppendCall { topic, key, value, at: Some(at), began },
                    );
                }
            }
        }
    }

    pub(super) fn send(&mut self, from: usize, address: SocketAddr, bytes: Bytes) {
        let to = (0..HOSTS).find(|host| settings(*host).listen.gossip == address);
        let Some(to) = to else { return };
        let delay = self.delay();
        let lost = self.rng.random_ratio(1, 25) || self.now_ms < self.hosts[from].cut_until[to];
        if !lost {
            let incarnation = self.hosts[to].incarnation;
            self.enqueue(to, incarnation, delay, Event::Datagram(bytes));
        }
    }

    /// Fetches a peer's state if neither direction is cut and the peer is not frozen; without delay unless
    /// the store may be restored.
    pub(super) fn fetch(&mut self, host: usize, address: SocketAddr) {
        let peer = (0..HOSTS).find(|host| settings(*host).listen.forward == address);
        let Some(peer) = peer else { return };
        let cut = self.now_ms < self.hosts[host].cut_until[peer]
            || self.now_ms < self.hosts[peer].cut_until[host];
        let now = self.now();
        let snapshot = self.hosts[peer].state.as_ref().map(|state| state.view(now).snapshot);
        if let Some(snapshot) =
            snapshot.filter(|_| !cut && self.now_ms >= self.hosts[peer].frozen_until)
        {
            let state = self.hosts[host].state.as_mut().expect("the node is running");
            if self.restores.is_some() {
                let state = match state.known_state() {
                    Some(known) => PeerState::News(snapshot.news_since(known)),
                    None => PeerState::Whole((*snapshot).clone()),
                };
                let delay = self.delay();
                let incarnation = self.hosts[host].incarnation;
                return self.enqueue(host, incarnation, delay, Event::PeerState(Box::new(state)));
            }
            match state.known_state() {
                Some(known) => state.handle_peer_news(&snapshot.news_since(known), now),
                None => state.handle_peer_state(&snapshot, now),
            }
        }
    }
}
