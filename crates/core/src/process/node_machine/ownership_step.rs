//! Opens, closes and releases partitions.

use std::time::{Duration, Instant};

use super::right_step::Blocker;
use super::{NodeMachine, RELEASE_RETENTION};
use crate::connection::{DedupState, PeerMessage, ReleaseNotice, ReleaseRequest};
use crate::process::ownership_table::{self, insert, take};
use crate::process::{
    DedupWait, DrainReason, FenceToken, LifeCycle, NodeAction, PartitionOwnership, RevocationCheck,
};
use crate::request::DEDUP_WAIT_MS;
use crate::version::{AssignmentRow, PartitionRow};
use crate::{LogOffset, NodeId, PartitionId};

/// Time after which this node starts to prove that the lease of an earlier holder that does not
/// release is revoked.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(600);

/// Time between two requests for the same release.
pub(super) const REQUEST_INTERVAL: Duration = Duration::from_millis(150);

/// Number of partitions that a draining node closes at a time.
const DRAIN_BATCH: usize = 8;

/// Time between two batches of a drain.
const DRAIN_INTERVAL: Duration = Duration::from_millis(50);

impl NodeMachine {
    /// Opens, closes or keeps waiting for each partition that is held or has an assignment that
    /// names this node.
    pub(super) fn update_partitions(&mut self, now: Instant) {
        let mut partitions = self.involved.clone();
        partitions.extend(self.ownerships.held.iter().map(|ownership| ownership.partition));
        partitions.sort_unstable();
        partitions.dedup();
        for partition in partitions {
            self.update_partition(partition, now);
        }
    }

    /// Opens, closes or keeps waiting for one partition.
    pub(super) fn update_partition(&mut self, partition: PartitionId, now: Instant) {
        let Some(me) = self.life.id() else { return };
        if ownership_table::find(&self.ownerships.releasing, partition).is_ok() {
            return;
        }
        if self.ownerships.held(partition).is_some() {
            self.update_held(me, partition, now);
        } else if matches!(self.life, LifeCycle::Serving(_)) {
            self.update_waiting(me, partition, now);
        }
    }

    fn update_held(&mut self, me: NodeId, partition: PartitionId, now: Instant) {
        if matches!(self.life, LifeCycle::Draining(_)) {
            return;
        }
        let assignment = self.state.partition(partition).and_then(PartitionRow::current).cloned();
        let rank = assignment
            .as_ref()
            .and_then(|assignment| self.continued_rank(me, partition, assignment, now));
        match (assignment, rank) {
            (Some(assignment), Some(rank)) => self.raise_fence(partition, &assignment, rank, now),
            _ => self.begin_release(partition, false, "assigned to another node"),
        }
    }

    /// Returns the rank under which a holder continues to serve, if all nodes before it in the
    /// assignment have released the partition or ended.
    fn continued_rank(
        &self,
        me: NodeId,
        partition: PartitionId,
        assignment: &AssignmentRow,
        now: Instant,
    ) -> Option<usize> {
        let rank = assignment.nodes.iter().position(|node| *node == me)?;
        let ended = |node: &NodeId| {
            self.has_ended(*node, now) || self.has_released(partition, *node, assignment.offset)
        };
        assignment.nodes[..rank].iter().all(ended).then_some(rank)
    }

    /// Raises the fence of a held partition to that of the assignment, once the witnesses know
    /// the assignment.
    fn raise_fence(
        &mut self,
        partition: PartitionId,
        assignment: &AssignmentRow,
        rank: usize,
        now: Instant,
    ) {
        let fence = fence_of(assignment, rank);
        let known = self.witnesses_know_assignment(assignment.offset) && self.lease.is_valid(now);
        let Ok(index) = ownership_table::find(&self.ownerships.held, partition) else { return };
        let grant = &mut self.ownerships.held[index].state;
        if known && fence > grant.fence {
            grant.fence = fence;
            self.actions.push(NodeAction::RaiseFence { partition, fence });
        }
    }

    /// Closes a partition to new requests; it is released once none is in flight.
    pub(super) fn begin_release(
        &mut self,
        partition: PartitionId,
        gives_up_current: bool,
        reason: &str,
    ) {
        let Some(ownership) = take(&mut self.ownerships.held, partition) else { return };
        log::info!(partition, fence:% = ownership.state.fence, reason; "partition closed");
        let ownership = ownership.release(gives_up_current);
        insert(&mut self.ownerships.releasing, ownership);
        self.actions.push(NodeAction::Close { partition });
    }

    /// Releases a closed partition, once none of its requests is in flight, and notifies the other
    /// nodes of its assignment.
    pub fn partition_idle(
        &mut self,
        partition: PartitionId,
        dedup_state: DedupState,
        now: Instant,
    ) {
        let Some(me) = self.life.id() else { return };
        let Some(mut ownership) = take(&mut self.ownerships.releasing, partition) else { return };
        if let Some(assignment) = self.state.partition(partition).and_then(PartitionRow::current) {
            let drains = matches!(self.life, LifeCycle::Draining(_));
            // By giving up the current assignment too, this node lets the next node in it serve.
            let gives_up = drains || ownership.state.gives_up_current;
            ownership.state.before = assignment.offset + LogOffset::from(gives_up);
            ownership.state.to =
                assignment.nodes.iter().copied().filter(|node| *node != me).collect();
        }
        log::info!(partition, to:? = ownership.state.to, before = ownership.state.before; "partition released");
        self.note_own_release(partition, ownership.state.before);
        insert(
            &mut self.ownerships.released,
            ownership.idle(dedup_state, now, now + RELEASE_RETENTION),
        );
        self.send_releases(now);
        self.update_partition(partition, now);
        self.deliver_local_messages(now);
        self.note_lease_validity(now);
    }

    /// Sends unconfirmed releases again, and drops those that are no longer kept.
    pub(super) fn send_releases(&mut self, now: Instant) {
        let resend = self.timing.resend;
        let mut notices = Vec::new();
        for ownership in &mut self.ownerships.released {
            let released = &mut ownership.state;
            if released.unconfirmed.is_empty() || now < released.send_at {
                continue;
            }
            released.send_at = now + resend;
            released.unconfirmed.retain(|node| self.state.member(*node).is_some());
            let dedup_state = &released.dedup_state;
            for node in &released.unconfirmed {
                let notice = ReleaseNotice {
                    partition: ownership.partition,
                    before: released.before,
                    served_fence: Some(released.fence),
                    dedup_state: dedup_state.clone(),
                    suspects: self.suspects.clone(),
                };
                notices.push((*node, notice));
            }
        }
        for (node, notice) in notices {
            self.send(node, PeerMessage::Release(notice));
        }
        self.ownerships.released.retain(|ownership| ownership.state.keep_until > now);
        self.releases.retain(|row| row.until > now);
    }

    fn update_waiting(&mut self, me: NodeId, partition: PartitionId, now: Instant) {
        let row = self.state.partition(partition);
        let assignment = row.and_then(PartitionRow::current);
        let rank =
            assignment.and_then(|assignment| assignment.nodes.iter().position(|node| *node == me));
        let (Some(row), Some(assignment), Some(rank)) = (row, assignment, rank) else {
            take(&mut self.ownerships.pending, partition);
            return;
        };
        let given_up = self.released_before(partition) > assignment.offset;
        if given_up || !self.is_next(partition, assignment, rank, now) {
            take(&mut self.ownerships.pending, partition);
            return;
        }
        let blockers = self.blockers(me, row, now);
        let offset = assignment.offset;
        let fence = fence_of(assignment, rank);
        if ownership_table::find(&self.ownerships.pending, partition).is_err() {
            insert(&mut self.ownerships.pending, PartitionOwnership::wait(partition, now));
        }
        if !blockers.is_empty() {
            self.request_releases(partition, &blockers, offset, now);
        } else if self.lease.is_valid(now) && self.witnesses_know_assignment(offset) {
            self.open(partition, fence, now);
        }
    }

    /// Whether a majority of witnesses knows that this node may act under the assignment at
    /// `offset`.
    ///
    /// The witnesses report that offset to a node that proves this node's revocation, and that node
    /// has to fold up to it before it takes over.
    fn witnesses_know_assignment(&self, offset: LogOffset) -> bool {
        !self.guards.fence_order || self.lease.majority_assignment_offset() >= offset
    }

    /// Whether every node before this one in the assignment is silent, has released or has ended.
    fn is_next(
        &self,
        partition: PartitionId,
        assignment: &AssignmentRow,
        rank: usize,
        now: Instant,
    ) -> bool {
        assignment.nodes[..rank].iter().all(|node| {
            self.has_ended(*node, now)
                || self.has_released(partition, *node, assignment.offset)
                || self.is_silent(*node, now)
        })
    }

    /// Requests releases from holders under earlier assignments, and starts to prove the revocation
    /// of those that are silent or do not release in time.
    ///
    /// A holder under the current assignment comes before this node in it and is silent, or this
    /// node would not be next: its revocation has to be proven at once.
    fn request_releases(
        &mut self,
        partition: PartitionId,
        blockers: &[Blocker],
        offset: LogOffset,
        now: Instant,
    ) {
        let Ok(index) = ownership_table::find(&self.ownerships.pending, partition) else { return };
        let pending = &mut self.ownerships.pending[index].state;
        if now < pending.request_at {
            return;
        }
        pending.request_at = now + REQUEST_INTERVAL;
        let overdue = now.duration_since(pending.since) >= RELEASE_TIMEOUT;
        for blocker in blockers {
            let earlier = blocker.before <= offset;
            if earlier {
                let request = ReleaseRequest { partition, before: blocker.before };
                self.send(blocker.node, PeerMessage::RequestRelease(request));
            }
            let start_inquiry = !earlier || overdue || self.is_silent(blocker.node, now);
            if start_inquiry && self.state.member(blocker.node).is_some() {
                self.revocations.start_inquiry(blocker.node, now);
                self.advance_inquiry(blocker.node, now);
            }
        }
    }

    /// Completes the proof that the lease of `target` is revoked, or sends its witnesses further
    /// requests if they are due.
    pub(super) fn advance_inquiry(&mut self, target: NodeId, now: Instant) {
        match self.revocations.check(&self.state, target, now) {
            RevocationCheck::Request(newest_set, witnesses) => {
                for witness in witnesses {
                    let request = crate::connection::RevokeRequest { target, newest_set };
                    self.send(witness, PeerMessage::Revoke(request));
                }
            }
            RevocationCheck::Proven => {
                log::info!(node = target; "revocation proven");
                self.update_partitions(now);
            }
            RevocationCheck::Wait => {}
        }
    }

    fn open(&mut self, partition: PartitionId, fence: FenceToken, now: Instant) {
        let Some(ownership) = take(&mut self.ownerships.pending, partition) else { return };
        insert(&mut self.ownerships.held, ownership.hold(fence));
        let missing = self.missing_dedup(partition);
        let known = self.knows_earlier_epochs(partition);
        let dedup_complete = known && missing.is_empty();
        let dedup_state = self.collect_dedup_state(partition);
        log::info!(partition, fence:%, dedup_complete; "partition opened");
        self.actions.push(NodeAction::Open { partition, fence, dedup_state, dedup_complete });
        if known
            && !missing.is_empty()
            && let Ok(index) = ownership_table::find(&self.ownerships.held, partition)
        {
            let until = now + Duration::from_millis(DEDUP_WAIT_MS);
            let wait = DedupWait { missing, until, request_at: now };
            self.ownerships.held[index].state.dedup_wait = Some(wait);
            self.request_dedup(partition, now);
        }
    }

    /// Starts to release all partitions and to leave the fleet.
    pub fn drain(&mut self, reason: DrainReason, now: Instant) {
        let LifeCycle::Serving(incarnation) = self.life else { return };
        let incarnation = incarnation.drain();
        self.life = LifeCycle::Draining(incarnation);
        self.drain_reason = Some(reason);
        if !self.ownerships.pending.is_empty() {
            // It does not serve what it waited for any more.
            self.drain_ack_bound = Some(self.acked());
        }
        self.ownerships.pending.clear();
        self.drain_step_at = now;
        log::info!(node = incarnation.state.id, reason:?; "drain started");
        self.append(
            super::AppendKind::Drain,
            crate::version::RecordBody::Drain { node: incarnation.state.id },
        );
        if !reason.is_gradual() {
            self.close_held(usize::MAX);
        }
        self.drain_step(now);
    }

    /// Closes the next batch of a drain, if it is due.
    pub(super) fn drain_step(&mut self, now: Instant) {
        if now < self.drain_step_at {
            return;
        }
        self.drain_step_at = now + DRAIN_INTERVAL;
        self.close_held(DRAIN_BATCH);
    }

    fn close_held(&mut self, max_count: usize) {
        let held = self.ownerships.held.iter().take(max_count);
        let batch: Vec<_> = held.map(|ownership| ownership.partition).collect();
        for partition in batch {
            self.begin_release(partition, false, "this node is draining");
        }
    }

    /// Gives up every held partition to its successors, after a while without a lease.
    ///
    /// A node whose messages arrive but that receives none would otherwise keep its witnesses
    /// granting a lease that it never gets, and nobody could take over.
    pub(super) fn give_up_held(&mut self) {
        let held: Vec<_> =
            self.ownerships.held.iter().map(|ownership| ownership.partition).collect();
        for partition in held {
            self.begin_release(partition, true, "lease not renewed in time");
        }
    }
}

/// Returns the fence of the node at `rank` in an assignment.
pub(super) fn fence_of(assignment: &AssignmentRow, rank: usize) -> FenceToken {
    FenceToken { offset: assignment.offset, rank: u16::try_from(rank).unwrap_or(u16::MAX) }
}
