//! Handles messages from other nodes.

use std::time::{Duration, Instant};

use super::{AheadRow, NodeMachine, RELEASE_RETENTION, ReleaseRow, SILENCE_RETENTION, SilentRow};
use crate::connection::{
    Envelope, PeerMessage, ReleaseNotice, ReleaseRequest, RenewReply, RenewRequest, RevokeReply,
    RevokeRequest, SwitchReply,
};
use crate::process::{NodeAction, ownership_table};
use crate::version::PartitionRow;
use crate::{LogOffset, NodeId};

/// Time that the log reader has to catch up before records are requested from a peer.
const FETCH_DELAY: Duration = Duration::from_millis(150);

impl NodeMachine {
    /// Handles a message; one for an unknown or ended incarnation is dropped.
    ///
    /// Earlier incarnations of this process still reply as witnesses, and to release requests for
    /// what they held.
    pub fn handle_message(&mut self, envelope: Envelope, now: Instant) {
        if !self.check_epoch(&envelope, now) {
            return;
        }
        let (from, to) = (envelope.from, envelope.to);
        self.note_ahead(from, envelope.next_offset, now);
        match envelope.message {
            PeerMessage::Renew(request) => self.answer_renewal(to, from, &request, now),
            PeerMessage::SwitchSet(request) => self.answer_switch(to, from, request.set),
            PeerMessage::Revoke(request) => self.answer_revocation(to, from, request, now),
            message if to == 0 || self.life.id() == Some(to) => {
                self.handle_own_message(from, message, now);
            }
            PeerMessage::RequestRelease(request) if self.past_incarnations.contains(&to) => {
                self.answer_release(to, from, &request);
            }
            PeerMessage::ReleaseAck { partition, before }
                if self.past_incarnations.contains(&to) =>
            {
                self.handle_release_ack(from, partition, before);
            }
            // The message was meant for an incarnation that ended.
            _ => {}
        }
        self.deliver_local_messages(now);
        self.note_lease_validity(now);
    }

    fn handle_own_message(&mut self, from: NodeId, message: PeerMessage, now: Instant) {
        match message {
            PeerMessage::Renewed(reply) => self.handle_renew_reply(from, &reply, now),
            PeerMessage::SetSwitched(reply) => self.lease.apply_switch_reply(from, reply),
            PeerMessage::Revoked(reply) => self.handle_revoke_reply(from, &reply, now),
            PeerMessage::HolderSilent { node } => self.note_silent(node, now),
            PeerMessage::RequestRelease(request) => {
                let me = self.life.id().unwrap_or(0);
                self.give_up_superseded(&request, now);
                self.answer_release(me, from, &request);
            }
            PeerMessage::Release(notice) => self.handle_release(from, notice, now),
            PeerMessage::ReleaseAck { partition, before } => {
                self.handle_release_ack(from, partition, before);
            }
            PeerMessage::Heartbeat { acked } => self.schedule.note_ack(from, acked),
            PeerMessage::Fetch { from: offset, reply_to } => {
                self.answer_fetch(from, offset, reply_to);
            }
            PeerMessage::Records(records) => self.handle_records(&records, now),
            PeerMessage::Snapshot(state) => {
                self.install_snapshot(*state, now);
            }
            PeerMessage::Renew(_)
            | PeerMessage::SwitchSet(_)
            | PeerMessage::Revoke(_)
            | PeerMessage::EpochNotice => {}
        }
    }

    fn answer_switch(&mut self, me: NodeId, holder: NodeId, set: LogOffset) {
        let Some(index) = self.roles.iter().position(|role| role.id == me) else { return };
        let verdict = self.roles[index].table.switch_set(&self.state, holder, set);
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
                let fetch_at = now + FETCH_DELAY;
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

    fn handle_renew_reply(&mut self, witness: NodeId, reply: &RenewReply, now: Instant) {
        self.merge_suspects(&reply.suspects);
        let before = self.lease.majority_assignment_offset();
        let was_valid = self.lease.is_valid(now);
        self.lease.apply_renew_reply(witness, reply);
        if self.lease.majority_assignment_offset() != before || !was_valid {
            self.update_partitions(now);
        }
    }

    fn answer_revocation(
        &mut self,
        me: NodeId,
        prover: NodeId,
        request: RevokeRequest,
        now: Instant,
    ) {
        let Some(index) = self.roles.iter().position(|role| role.id == me) else { return };
        let table = &mut self.roles[index].table;
        let (verdict, assignment_offset) = table.promise_revocation(&self.state, me, request, now);
        log::info!(target = request.target, prover, answer:? = verdict; "revocation request answered");
        let newest_set = request.newest_set;
        let reply = RevokeReply { target: request.target, newest_set, verdict, assignment_offset };
        self.send_as(me, prover, PeerMessage::Revoked(reply));
    }

    fn handle_revoke_reply(&mut self, witness: NodeId, reply: &RevokeReply, now: Instant) {
        let alive = self.revocations.apply_revoke_reply(witness, reply);
        if alive {
            self.revocations.cancel_inquiry(reply.target);
            self.silent.retain(|row| row.node != reply.target);
            return;
        }
        self.advance_inquiry(reply.target, now);
    }

    pub(super) fn note_silent(&mut self, node: NodeId, now: Instant) {
        if self.state.member(node).is_none() || self.life.id() == Some(node) {
            return;
        }
        let until = now + SILENCE_RETENTION;
        match self.silent.binary_search_by_key(&node, |row| row.node) {
            Ok(index) => self.silent[index].until = until,
            Err(index) => {
                self.silent.insert(index, SilentRow { node, until });
                log::info!(node; "holder reported silent");
            }
        }
        self.update_partitions(now);
    }

    /// Gives up a partition without a lease if another node serves it, as only such a one requests
    /// rights under the current assignment.
    fn give_up_superseded(&mut self, request: &ReleaseRequest, now: Instant) {
        let row = self.state.partition(request.partition);
        let current = row.and_then(PartitionRow::current).map_or(0, |assignment| assignment.offset);
        let is_folded = request.before <= self.state.next_offset;
        if is_folded && request.before > current && !self.lease.is_valid(now) {
            self.begin_release(request.partition, true, "another node serves it");
        }
    }

    fn answer_release(&mut self, me: NodeId, requester: NodeId, request: &ReleaseRequest) {
        let partition = request.partition;
        // What an ended incarnation saw is not known before its last request.
        let ended = ownership_table::find(&self.ownerships.ended, partition).is_ok();
        let active = ended || self.ownerships.is_active(partition);
        if active || self.state.next_offset <= request.before {
            return;
        }
        let (served_fence, dedup_state) = self.known_dedup_state(partition);
        self.note_own_release(partition, request.before);
        let suspects = self.suspects.clone();
        let notice = ReleaseNotice {
            partition,
            before: request.before,
            served_fence,
            dedup_state,
            suspects,
        };
        self.send_as(me, requester, PeerMessage::Release(notice));
    }

    fn handle_release(&mut self, from: NodeId, notice: ReleaseNotice, now: Instant) {
        let ReleaseNotice { partition, before, served_fence, dedup_state, suspects } = notice;
        self.merge_suspects(&suspects);
        let until = now + RELEASE_RETENTION;
        let row = ReleaseRow { partition, node: from, before, served_fence, dedup_state, until };
        let key = (partition, from);
        match self.releases.binary_search_by_key(&key, |row| (row.partition, row.node)) {
            Ok(index) if self.releases[index].before > before => {
                let known = &mut self.releases[index];
                known.served_fence = known.served_fence.max(row.served_fence);
                known.dedup_state.extend(&row.dedup_state);
            }
            Ok(index) => self.releases[index] = row,
            Err(index) => self.releases.insert(index, row),
        }
        self.send(from, PeerMessage::ReleaseAck { partition, before });
        self.complete_dedup(partition);
        self.update_partition(partition, now);
    }

    fn handle_release_ack(
        &mut self,
        from: NodeId,
        partition: crate::PartitionId,
        before: LogOffset,
    ) {
        if let Ok(index) = ownership_table::find(&self.ownerships.released, partition) {
            let released = &mut self.ownerships.released[index].state;
            if released.before <= before {
                released.unconfirmed.retain(|node| *node != from);
            }
        }
    }

    fn answer_fetch(&mut self, requester: NodeId, offset: LogOffset, reply_to: Box<str>) {
        if offset >= self.state.next_offset {
            return;
        }
        let message = match self.log.read(offset) {
            Some(records) => PeerMessage::Records(records),
            None => PeerMessage::Snapshot(Box::new(self.state.clone())),
        };
        let from = self.life.id().unwrap_or(0);
        let next_offset = self.state.next_offset;
        let envelope = Envelope { from, to: requester, next_offset, message };
        self.actions.push(NodeAction::Send { address: reply_to, envelope });
    }
}
