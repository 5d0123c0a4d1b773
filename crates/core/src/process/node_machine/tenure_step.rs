//! Opens and closes partitions.

use std::time::{Duration, Instant};

use super::right_step::Blocker;
use super::{NodeMachine, RELEASE_MEMORY};
use crate::connection::{DedupState, PeerMessage, ReleaseNotice, ReleaseRequest};
use crate::process::tenure_table::{self, insert, take};
use crate::process::{DrainReason, FenceToken, LapseCheck, LifeCycle, NodeAction, Tenure};
use crate::version::{AssignmentRow, PartitionRow};
use crate::{LogOffset, NodeId, PartitionId};

/// Time after which an earlier holder that does not release is pursued.
const RELEASE_PATIENCE: Duration = Duration::from_millis(600);

/// Time between two requests for the same release.
const ASK_GAP: Duration = Duration::from_millis(150);

/// Partitions that a draining node closes in one step.
const DRAIN_STEP: usize = 8;

/// Time between two steps of a drain.
const DRAIN_GAP: Duration = Duration::from_millis(50);

impl NodeMachine {
    /// Opens, closes or waits, for every partition that names this node.
    pub(super) fn settle(&mut self, now: Instant) {
        let mut partitions = self.involved.clone();
        partitions.extend(self.tenures.held.iter().map(|tenure| tenure.partition));
        partitions.sort_unstable();
        partitions.dedup();
        for partition in partitions {
            self.settle_partition(partition, now);
        }
    }

    pub(super) fn settle_partition(&mut self, partition: PartitionId, now: Instant) {
        let Some(me) = self.life.id() else { return };
        if tenure_table::find(&self.tenures.releasing, partition).is_ok() {
            return;
        }
        if self.tenures.held(partition).is_some() {
            self.settle_held(me, partition, now);
        } else if matches!(self.life, LifeCycle::Serving(_)) {
            self.settle_waiting(me, partition, now);
        }
    }

    fn settle_held(&mut self, me: NodeId, partition: PartitionId, now: Instant) {
        if matches!(self.life, LifeCycle::Draining(_)) {
            return;
        }
        let assignment = self.state.partition(partition).and_then(PartitionRow::current).cloned();
        let step = assignment
            .as_ref()
            .and_then(|assignment| self.continued_step(me, partition, assignment, now));
        match (assignment, step) {
            (Some(assignment), Some(step)) => self.refence(partition, &assignment, step, now),
            _ => self.begin_release(partition, false, "another node owns it"),
        }
    }

    /// Place at which a holder goes on serving: all before it in the line ended or released.
    fn continued_step(
        &self,
        me: NodeId,
        partition: PartitionId,
        assignment: &AssignmentRow,
        now: Instant,
    ) -> Option<usize> {
        let step = assignment.nodes.iter().position(|node| *node == me)?;
        let over = |node: &NodeId| {
            self.has_ended(*node, now) || self.has_released(partition, *node, assignment.offset)
        };
        assignment.nodes[..step].iter().all(over).then_some(step)
    }

    fn refence(
        &mut self,
        partition: PartitionId,
        assignment: &AssignmentRow,
        step: usize,
        now: Instant,
    ) {
        let fence = fence_of(assignment, step);
        let known = self.knows_line(assignment.offset) && self.lease.is_valid(now);
        let Ok(index) = tenure_table::find(&self.tenures.held, partition) else { return };
        let grant = &mut self.tenures.held[index].state;
        if known && fence > grant.fence {
            grant.fence = fence;
            self.actions.push(NodeAction::Refence { partition, fence });
        }
    }

    /// Closes a partition; it is released once no request is in flight.
    fn begin_release(&mut self, partition: PartitionId, yields: bool, reason: &str) {
        let Some(tenure) = take(&mut self.tenures.held, partition) else { return };
        log::info!(partition, fence:% = tenure.state.fence, reason; "partition closes");
        let tenure = tenure.release(yields);
        insert(&mut self.tenures.releasing, tenure);
        self.actions.push(NodeAction::Close { partition });
    }

    /// No request of a closed partition is in flight; hands it over.
    pub fn partition_idle(
        &mut self,
        partition: PartitionId,
        dedup_state: DedupState,
        now: Instant,
    ) {
        let Some(me) = self.life.id() else { return };
        let Some(mut tenure) = take(&mut self.tenures.releasing, partition) else { return };
        if let Some(assignment) = self.state.partition(partition).and_then(PartitionRow::current) {
            let drains = matches!(self.life, LifeCycle::Draining(_));
            // Whoever gives up the present line lets the next in it serve.
            let gives_up = drains || tenure.state.yields;
            tenure.state.before = assignment.offset + LogOffset::from(gives_up);
            tenure.state.to = assignment.nodes.iter().copied().filter(|node| *node != me).collect();
        }
        log::info!(partition, to:? = tenure.state.to, before = tenure.state.before; "partition released");
        self.note_given(partition, tenure.state.before);
        insert(&mut self.tenures.released, tenure.idle(dedup_state, now, now + RELEASE_MEMORY));
        self.send_releases(now);
        self.settle_partition(partition, now);
        self.deliver_local(now);
        self.note_lease(now);
    }

    pub(super) fn send_releases(&mut self, now: Instant) {
        let resend = self.timing.resend;
        let mut notices = Vec::new();
        for tenure in &mut self.tenures.released {
            let released = &mut tenure.state;
            if released.unseen.is_empty() || now < released.send_at {
                continue;
            }
            released.send_at = now + resend;
            released.unseen.retain(|node| self.state.member(*node).is_some());
            let dedup_state = &released.dedup_state;
            for node in &released.unseen {
                let notice = ReleaseNotice {
                    partition: tenure.partition,
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
        self.tenures.released.retain(|tenure| tenure.state.keep_until > now);
        self.releases.retain(|row| row.until > now);
    }

    fn settle_waiting(&mut self, me: NodeId, partition: PartitionId, now: Instant) {
        let row = self.state.partition(partition);
        let assignment = row.and_then(PartitionRow::current);
        let step =
            assignment.and_then(|assignment| assignment.nodes.iter().position(|node| *node == me));
        let (Some(row), Some(assignment), Some(step)) = (row, assignment, step) else {
            take(&mut self.tenures.pending, partition);
            return;
        };
        let given_up = self.given_before(partition) > assignment.offset;
        if given_up || !self.is_next(partition, assignment, step, now) {
            take(&mut self.tenures.pending, partition);
            return;
        }
        let blockers = self.blockers(me, row, now);
        let offset = assignment.offset;
        let fence = fence_of(assignment, step);
        if tenure_table::find(&self.tenures.pending, partition).is_err() {
            insert(&mut self.tenures.pending, Tenure::wait(partition, now));
        }
        if !blockers.is_empty() {
            self.chase(partition, &blockers, offset, now);
        } else if self.lease.is_valid(now) && self.knows_line(offset) {
            self.open(partition, fence);
        }
    }

    /// Whether a majority of witnesses knows that this node may act under the line.
    fn knows_line(&self, offset: LogOffset) -> bool {
        !self.guards.fence_order || self.lease.line_majority() >= offset
    }

    /// Whether every node before this one in the line is silent, has released or has ended.
    fn is_next(
        &self,
        partition: PartitionId,
        assignment: &AssignmentRow,
        step: usize,
        now: Instant,
    ) -> bool {
        assignment.nodes[..step].iter().all(|node| {
            self.has_ended(*node, now)
                || self.has_released(partition, *node, assignment.offset)
                || self.is_silent(*node, now)
        })
    }

    /// Asks earlier holders to release and pursues those that stay silent.
    fn chase(
        &mut self,
        partition: PartitionId,
        blockers: &[Blocker],
        offset: LogOffset,
        now: Instant,
    ) {
        let Ok(index) = tenure_table::find(&self.tenures.pending, partition) else { return };
        let pending = &mut self.tenures.pending[index].state;
        if now < pending.ask_at {
            return;
        }
        pending.ask_at = now + ASK_GAP;
        let impatient = now.duration_since(pending.since) >= RELEASE_PATIENCE;
        for blocker in blockers {
            let earlier = blocker.before <= offset;
            if earlier {
                let ask = ReleaseRequest { partition, before: blocker.before };
                self.send(blocker.node, PeerMessage::RequestRelease(ask));
            }
            let pursue = !earlier || impatient || self.is_silent(blocker.node, now);
            if pursue && self.state.member(blocker.node).is_some() {
                self.lapses.pursue(blocker.node, now);
                self.advance_pursuit(blocker.node, now);
            }
        }
    }

    pub(super) fn advance_pursuit(&mut self, target: NodeId, now: Instant) {
        match self.lapses.check(&self.state, target, now) {
            LapseCheck::Ask(newest_set, witnesses) => {
                for witness in witnesses {
                    let query = crate::connection::RevokeRequest { target, newest_set };
                    self.send(witness, PeerMessage::Revoke(query));
                }
            }
            LapseCheck::Proven => {
                log::info!(node = target; "lapse proven");
                self.settle(now);
            }
            LapseCheck::Wait => {}
        }
    }

    fn open(&mut self, partition: PartitionId, fence: FenceToken) {
        let Some(tenure) = take(&mut self.tenures.pending, partition) else { return };
        insert(&mut self.tenures.held, tenure.hold(fence));
        let (dedup_state, clean) = self.collect_memory(partition);
        log::info!(partition, fence:%, clean; "partition opens");
        self.actions.push(NodeAction::Open { partition, fence, dedup_state, clean });
    }

    /// Starts to release everything and to leave.
    pub fn drain(&mut self, reason: DrainReason, now: Instant) {
        let LifeCycle::Serving(life) = self.life else { return };
        let life = life.drain();
        self.life = LifeCycle::Draining(life);
        self.drain_reason = Some(reason);
        self.tenures.pending.clear();
        self.drain_step_at = now;
        log::info!(node = life.state.id, reason:?; "draining");
        self.append(
            super::AppendKind::Drain,
            crate::version::RecordBody::Drain { node: life.state.id },
        );
        if !reason.is_gradual() {
            self.close_held(usize::MAX);
        }
        self.drain_step(now);
    }

    pub(super) fn drain_step(&mut self, now: Instant) {
        if now < self.drain_step_at {
            return;
        }
        self.drain_step_at = now + DRAIN_GAP;
        self.close_held(DRAIN_STEP);
    }

    fn close_held(&mut self, most: usize) {
        let held = self.tenures.held.iter().take(most);
        let step: Vec<_> = held.map(|tenure| tenure.partition).collect();
        for partition in step {
            self.begin_release(partition, false, "this node drains");
        }
    }

    /// Gives up every partition to its successors, because the lease has been gone for a while.
    ///
    /// A node that is heard and does not hear would otherwise keep its witnesses' grants alive
    /// without a lease of its own.
    pub(super) fn yield_held(&mut self) {
        let held: Vec<_> = self.tenures.held.iter().map(|tenure| tenure.partition).collect();
        for partition in held {
            self.begin_release(partition, true, "the lease is gone");
        }
    }
}

pub(super) fn fence_of(assignment: &AssignmentRow, step: usize) -> FenceToken {
    FenceToken { offset: assignment.offset, step: u16::try_from(step).unwrap_or(u16::MAX) }
}
