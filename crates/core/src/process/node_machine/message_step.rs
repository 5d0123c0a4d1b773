//! Takes messages of other nodes.

use std::time::{Duration, Instant};

use super::{AheadRow, NodeMachine, RELEASE_MEMORY, ReleaseRow, SILENCE_MEMORY, SilentRow};
use crate::connection::{
    Envelope, PeerMessage, ReleaseNotice, ReleaseRequest, RenewReply, RenewRequest, RevokeReply,
    RevokeRequest, SwitchReply,
};
use crate::process::{NodeAction, tenure_table};
use crate::{LogOffset, NodeId};

/// Time that the log reader has before a lagging node asks a peer.
const FETCH_PATIENCE: Duration = Duration::from_millis(150);

impl NodeMachine {
    /// Takes a message; one for another incarnation is dropped.
    pub fn take_message(&mut self, envelope: Envelope, now: Instant) {
        let (from, to) = (envelope.from, envelope.to);
        self.note_ahead(from, envelope.next_offset, now);
        match envelope.message {
            PeerMessage::Renew(request) => self.answer_renewal(to, from, &request, now),
            PeerMessage::SwitchSet(request) => self.answer_move(to, from, request.set),
            PeerMessage::Revoke(query) => self.answer_lapse(to, from, query, now),
            message if to == 0 || self.life.id() == Some(to) => {
                self.take_own_message(from, message, now);
            }
            PeerMessage::RequestRelease(ask) if self.past.contains(&to) => {
                self.answer_release(to, from, &ask);
            }
            // It was meant for an incarnation that ended.
            _ => {}
        }
        self.deliver_local(now);
        self.note_lease(now);
    }

    fn take_own_message(&mut self, from: NodeId, message: PeerMessage, now: Instant) {
        match message {
            PeerMessage::Renewed(reply) => self.take_renewal(from, &reply, now),
            PeerMessage::SetSwitched(reply) => self.lease.moved(from, reply),
            PeerMessage::Revoked(reply) => self.take_lapse(from, &reply, now),
            PeerMessage::HolderSilent { node } => self.note_silent(node, now),
            PeerMessage::RequestRelease(ask) => {
                let me = self.life.id().unwrap_or(0);
                self.answer_release(me, from, &ask);
            }
            PeerMessage::Release(notice) => self.take_release(from, notice, now),
            PeerMessage::ReleaseAck { partition, before } => {
                self.release_seen(from, partition, before);
            }
            PeerMessage::Heartbeat { acked } => self.desk.acked(from, acked),
            PeerMessage::Fetch { from: offset, reply_to } => {
                self.answer_fetch(from, offset, reply_to);
            }
            PeerMessage::Records(records) => self.take_records(&records, now),
            PeerMessage::Snapshot(state) => {
                self.adopt(*state, now);
            }
            PeerMessage::Renew(_) | PeerMessage::SwitchSet(_) | PeerMessage::Revoke(_) => {}
        }
    }

    fn answer_move(&mut self, me: NodeId, holder: NodeId, set: LogOffset) {
        let Some(index) = self.roles.iter().position(|role| role.id == me) else { return };
        let verdict = self.roles[index].table.move_set(&self.state, holder, set);
        self.send_as(me, holder, PeerMessage::SetSwitched(SwitchReply { set, verdict }));
    }

    fn note_ahead(&mut self, from: NodeId, offset: LogOffset, now: Instant) {
        if offset <= self.state.next_offset {
            return;
        }
        let Some(row) = self.state.member(from) else { return };
        let address = row.info.peer_address.clone();
        match &mut self.ahead {
            Some(ahead) if ahead.offset >= offset => {}
            Some(ahead) => {
                ahead.offset = offset;
                ahead.address = address;
            }
            None => {
                let fetch_at = now + FETCH_PATIENCE;
                self.ahead = Some(AheadRow { offset, fetch_at, address });
            }
        }
    }

    fn answer_renewal(&mut self, me: NodeId, holder: NodeId, request: &RenewRequest, now: Instant) {
        let Some(index) = self.roles.iter().position(|role| role.id == me) else { return };
        self.merge_suspects(&request.suspects);
        let table = &mut self.roles[index].table;
        let verdict = table.renew(&self.state, me, holder, request, now);
        self.silent.retain(|row| row.node != holder);
        let reply = RenewReply {
            set: request.set,
            sequence: request.sequence,
            verdict,
            suspects: self.suspects.clone(),
        };
        self.send_as(me, holder, PeerMessage::Renewed(reply));
    }

    fn take_renewal(&mut self, witness: NodeId, reply: &RenewReply, now: Instant) {
        self.merge_suspects(&reply.suspects);
        let before = self.lease.line_majority();
        let was_valid = self.lease.is_valid(now);
        self.lease.renewed(witness, reply);
        if self.lease.line_majority() != before || !was_valid {
            self.settle(now);
        }
    }

    fn answer_lapse(&mut self, me: NodeId, taker: NodeId, query: RevokeRequest, now: Instant) {
        let Some(index) = self.roles.iter().position(|role| role.id == me) else { return };
        let table = &mut self.roles[index].table;
        let (answer, assignment_offset) = table.lapse(&self.state, me, query, now);
        log::info!(target = query.target, taker, answer:? = answer; "answered a lapse query");
        let newest_set = query.newest_set;
        let reply = RevokeReply { target: query.target, newest_set, answer, assignment_offset };
        self.send_as(me, taker, PeerMessage::Revoked(reply));
    }

    fn take_lapse(&mut self, witness: NodeId, reply: &RevokeReply, now: Instant) {
        let alive = self.lapses.answered(witness, reply);
        if alive {
            self.lapses.give_up(reply.target);
            self.silent.retain(|row| row.node != reply.target);
            return;
        }
        self.advance_pursuit(reply.target, now);
    }

    pub(super) fn note_silent(&mut self, node: NodeId, now: Instant) {
        if self.state.member(node).is_none() || self.life.id() == Some(node) {
            return;
        }
        let until = now + SILENCE_MEMORY;
        match self.silent.binary_search_by_key(&node, |row| row.node) {
            Ok(index) => self.silent[index].until = until,
            Err(index) => {
                self.silent.insert(index, SilentRow { node, until });
                log::info!(node; "holder is silent");
            }
        }
        self.settle(now);
    }

    fn answer_release(&mut self, me: NodeId, asker: NodeId, ask: &ReleaseRequest) {
        let partition = ask.partition;
        if self.tenures.is_active(partition) || self.state.next_offset <= ask.before {
            return;
        }
        let (served_fence, dedup_state) = self.known_memory(partition);
        self.note_given(partition, ask.before);
        let suspects = self.suspects.clone();
        let notice =
            ReleaseNotice { partition, before: ask.before, served_fence, dedup_state, suspects };
        self.send_as(me, asker, PeerMessage::Release(notice));
    }

    fn take_release(&mut self, from: NodeId, notice: ReleaseNotice, now: Instant) {
        let ReleaseNotice { partition, before, served_fence, dedup_state, suspects } = notice;
        self.merge_suspects(&suspects);
        let until = now + RELEASE_MEMORY;
        let row = ReleaseRow { partition, node: from, before, served_fence, dedup_state, until };
        let key = (partition, from);
        match self.releases.binary_search_by_key(&key, |row| (row.partition, row.node)) {
            Ok(index) if self.releases[index].before > before => {}
            Ok(index) => self.releases[index] = row,
            Err(index) => self.releases.insert(index, row),
        }
        self.send(from, PeerMessage::ReleaseAck { partition, before });
        self.settle_partition(partition, now);
    }

    fn release_seen(&mut self, from: NodeId, partition: crate::PartitionId, before: LogOffset) {
        if let Ok(index) = tenure_table::find(&self.tenures.released, partition) {
            let released = &mut self.tenures.released[index].state;
            if released.before <= before {
                released.unseen.retain(|node| *node != from);
            }
        }
    }

    fn answer_fetch(&mut self, asker: NodeId, offset: LogOffset, reply_to: Box<str>) {
        if offset >= self.state.next_offset {
            return;
        }
        let message = match self.log.read(offset) {
            Some(records) => PeerMessage::Records(records),
            None => PeerMessage::Snapshot(Box::new(self.state.clone())),
        };
        let from = self.life.id().unwrap_or(0);
        let next_offset = self.state.next_offset;
        let envelope = Envelope { from, to: asker, next_offset, message };
        self.actions.push(NodeAction::Send { address: reply_to, envelope });
    }
}
