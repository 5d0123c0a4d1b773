//! Opens and closes partitions.

use std::time::{Duration, Instant};

use super::{NodeMachine, RELEASE_MEMORY};
use crate::connection::{HandoverMemory, PeerMessage, ReleaseAsk, ReleaseNotice};
use crate::process::tenure_table::{self, insert, take};
use crate::process::{DrainReason, FenceToken, LapseCheck, LifeCycle, NodeAction, Tenure};
use crate::version::{DepartReason, LineRow, PartitionRow};
use crate::{LogOffset, NodeId, PartitionId};

/// Time after which an earlier holder that does not release is pursued.
const RELEASE_PATIENCE: Duration = Duration::from_millis(600);

/// Time between two requests for the same release.
const ASK_GAP: Duration = Duration::from_millis(150);

/// Time for which the memory of a node that ended in order is waited for.
const HANDOVER_PATIENCE: Duration = Duration::from_millis(400);

/// Partitions that a draining node closes in one step.
const DRAIN_STEP: usize = 8;

/// Time between two steps of a drain.
const DRAIN_GAP: Duration = Duration::from_millis(50);

/// A node whose right must end before this one serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Blocker {
    node: NodeId,
    /// The node must release all rights below this offset.
    before: LogOffset,
}

/// A right of another node that must end before this one serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct EarlierRight {
    node: NodeId,
    fence: FenceToken,
}

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
        let line = self.state.partition(partition).and_then(PartitionRow::current).cloned();
        let step = line.as_ref().and_then(|line| self.continued_step(me, partition, line, now));
        match (line, step) {
            (Some(line), Some(step)) => self.refence(partition, &line, step, now),
            _ => self.begin_release(partition, false, "another node owns it"),
        }
    }

    /// Place at which a holder goes on serving: all before it in the line ended or released.
    fn continued_step(
        &self,
        me: NodeId,
        partition: PartitionId,
        line: &LineRow,
        now: Instant,
    ) -> Option<usize> {
        let step = line.nodes.iter().position(|node| *node == me)?;
        let over = |node: &NodeId| {
            self.has_ended(*node, now) || self.has_released(partition, *node, line.offset)
        };
        line.nodes[..step].iter().all(over).then_some(step)
    }

    fn refence(&mut self, partition: PartitionId, line: &LineRow, step: usize, now: Instant) {
        let fence = fence_of(line, step);
        let known = self.knows_line(line.offset) && self.lease.is_valid(now);
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
    pub fn partition_idle(&mut self, partition: PartitionId, memory: HandoverMemory, now: Instant) {
        let Some(me) = self.life.id() else { return };
        let Some(mut tenure) = take(&mut self.tenures.releasing, partition) else { return };
        if let Some(line) = self.state.partition(partition).and_then(PartitionRow::current) {
            let drains = matches!(self.life, LifeCycle::Draining(_));
            // Whoever gives up the present line lets the next in it serve.
            let gives_up = drains || tenure.state.yields;
            tenure.state.before = line.offset + LogOffset::from(gives_up);
            tenure.state.to = line.nodes.iter().copied().filter(|node| *node != me).collect();
        }
        log::info!(partition, to:? = tenure.state.to, before = tenure.state.before; "partition released");
        self.note_given(partition, tenure.state.before);
        insert(&mut self.tenures.released, tenure.idle(memory, now, now + RELEASE_MEMORY));
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
            let memory = &released.memory;
            for node in &released.unseen {
                let notice = ReleaseNotice {
                    partition: tenure.partition,
                    before: released.before,
                    served: Some(released.fence),
                    memory: memory.clone(),
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
        let line = row.and_then(PartitionRow::current);
        let step = line.and_then(|line| line.nodes.iter().position(|node| *node == me));
        let (Some(row), Some(line), Some(step)) = (row, line, step) else {
            take(&mut self.tenures.pending, partition);
            return;
        };
        let given_up = self.given_before(partition) > line.offset;
        if given_up || !self.is_next(partition, line, step, now) {
            take(&mut self.tenures.pending, partition);
            return;
        }
        let blockers = self.blockers(me, row, now);
        let offset = line.offset;
        let fence = fence_of(line, step);
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
    fn is_next(&self, partition: PartitionId, line: &LineRow, step: usize, now: Instant) -> bool {
        line.nodes[..step].iter().all(|node| {
            self.has_ended(*node, now)
                || self.has_released(partition, *node, line.offset)
                || self.is_silent(*node, now)
        })
    }

    fn is_silent(&self, node: NodeId, now: Instant) -> bool {
        let index = self.silent.binary_search_by_key(&node, |row| row.node);
        index.is_ok_and(|index| self.silent[index].until > now)
            || self.lapses.proven_at(node).is_some()
    }

    /// Whether `node` released its rights by the line at `offset`.
    ///
    /// A release made under a line that this node has not folded does not count yet: a grant
    /// below that line's fence would follow it.
    fn has_released(&self, partition: PartitionId, node: NodeId, offset: LogOffset) -> bool {
        let key = (partition, node);
        let index = self.releases.binary_search_by_key(&key, |row| (row.partition, row.node));
        index.is_ok_and(|index| {
            let before = self.releases[index].before;
            let known = before <= self.state.next_offset || !self.guards.fence_order;
            before > offset && known
        })
    }

    /// Nodes whose rights, by the present line or an earlier one, have not ended.
    fn blockers(&self, me: NodeId, row: &PartitionRow, now: Instant) -> Vec<Blocker> {
        let current = row.current().map_or(0, |line| line.offset);
        let mut blockers: Vec<_> = self
            .earlier_rights(me, row)
            .into_iter()
            .filter(|right| {
                let over = self.has_ended(right.node, now)
                    || self.has_released(row.id, right.node, right.fence.offset);
                !over || self.may_hand_over(row.id, right, now)
            })
            .map(|right| {
                let is_current = right.fence.offset == current;
                Blocker { node: right.node, before: current + LogOffset::from(is_current) }
            })
            .collect();
        blockers.sort_unstable_by_key(|blocker| (blocker.node, blocker.before));
        blockers.dedup();
        blockers
    }

    /// Rights of others that come before this node's, by the present line and earlier ones.
    fn earlier_rights(&self, me: NodeId, row: &PartitionRow) -> Vec<EarlierRight> {
        let mut rights = Vec::new();
        let given = self.given_before(row.id);
        let last = row.lines.len().saturating_sub(1);
        let first = if self.guards.earlier_holders { 0 } else { last };
        for (index, line) in row.lines.iter().enumerate().skip(first) {
            // Whoever stands behind this node in a line needs its release or its lapse.
            let own = line.nodes.iter().position(|node| *node == me);
            let bound = own.filter(|_| index == last || line.offset >= given);
            let end = bound.unwrap_or(line.nodes.len());
            let nodes = line.nodes[..end].iter().enumerate().filter(|(_, node)| **node != me);
            rights.extend(
                nodes.map(|(step, node)| EarlierRight { node: *node, fence: fence_of(line, step) }),
            );
        }
        rights
    }

    /// First offset whose rights this node has not released; 0 if it released none.
    fn given_before(&self, partition: PartitionId) -> LogOffset {
        let index = self.given.binary_search_by_key(&partition, |row| row.partition);
        index.map_or(0, |index| self.given[index].before)
    }

    /// Notes that this node says that it has no right below `before`.
    pub(super) fn note_given(&mut self, partition: PartitionId, before: LogOffset) {
        match self.given.binary_search_by_key(&partition, |row| row.partition) {
            Ok(index) => self.given[index].before = self.given[index].before.max(before),
            Err(index) => self.given.insert(index, super::GivenRow { partition, before }),
        }
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
                let ask = ReleaseAsk { partition, before: blocker.before };
                self.send(blocker.node, PeerMessage::AskRelease(ask));
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
                    let query = crate::connection::LapseQuery { target, newest_set };
                    self.send(witness, PeerMessage::Lapse(query));
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
        let (memory, clean) = self.collect_memory(partition);
        log::info!(partition, fence:%, clean; "partition opens");
        self.actions.push(NodeAction::Open { partition, fence, memory, clean });
    }

    /// Memories of the earlier holders, and whether nothing that they ran is missing.
    ///
    /// A node that ended without a release may have run requests unremembered, unless another
    /// served after it and handed its memory over.
    fn collect_memory(&mut self, partition: PartitionId) -> (Vec<HandoverMemory>, bool) {
        let me = self.life.id().unwrap_or(0);
        let row = self.state.partition(partition);
        let rights = row.map(|row| self.earlier_rights(me, row)).unwrap_or_default();
        let last = self.last_served(partition);
        let clean = rights.iter().all(|right| self.is_remembered(partition, right, last));
        let mut memory = Vec::new();
        for row in self.releases.iter_mut().filter(|row| row.partition == partition) {
            memory.push(std::mem::take(&mut row.memory));
        }
        if let Some(tenure) = take(&mut self.tenures.released, partition) {
            memory.push(tenure.state.memory);
        }
        (memory, clean)
    }

    /// Whether nothing that the right allowed is missing in the memories at hand.
    fn is_remembered(
        &self,
        partition: PartitionId,
        right: &EarlierRight,
        last: Option<FenceToken>,
    ) -> bool {
        self.has_released(partition, right.node, right.fence.offset)
            || last.is_some_and(|last| right.fence < last)
    }

    /// Highest fence whose holder's memory is at hand.
    fn last_served(&self, partition: PartitionId) -> Option<FenceToken> {
        let own = tenure_table::find(&self.tenures.released, partition).ok();
        let own = own.map(|index| self.tenures.released[index].state.fence);
        let heard = self.releases.iter().filter(|row| row.partition == partition);
        heard.filter_map(|row| row.served).chain(own).max()
    }

    /// Memory of the partition that this node can hand on, and the fence up to which it goes.
    pub(super) fn known_memory(
        &self,
        partition: PartitionId,
    ) -> (Option<FenceToken>, HandoverMemory) {
        let mut memory = HandoverMemory::default();
        for row in self.releases.iter().filter(|row| row.partition == partition) {
            memory.extend(&row.memory);
        }
        if let Ok(index) = tenure_table::find(&self.tenures.released, partition) {
            memory.extend(&self.tenures.released[index].state.memory);
        }
        (self.last_served(partition), memory)
    }

    /// Whether a node that released and ended may still hand its memory over.
    fn may_hand_over(&self, partition: PartitionId, right: &EarlierRight, now: Instant) -> bool {
        let reason = self.state.departed(right.node).map(|row| row.reason);
        let orderly = matches!(reason, Some(DepartReason::Left | DepartReason::Retired));
        let ended_at = self.lapses.ended_at(right.node);
        let recent = ended_at.is_some_and(|at| now < at + HANDOVER_PATIENCE);
        orderly && recent && !self.is_remembered(partition, right, self.last_served(partition))
    }

    /// Whether the rights of a node have provably ended.
    ///
    /// An upstream that checks grants stops at the grant's deadline. For one that does not, a
    /// silent owner is no evidence: its last request may still run, until the service's run
    /// bound has passed or the upstream's process has provably ended.
    pub(super) fn has_ended(&self, node: NodeId, now: Instant) -> bool {
        let departed = self.state.departed(node);
        let info = match (departed, self.state.member(node)) {
            (Some(row), _) => &row.info,
            (None, Some(row)) => &row.info,
            (None, None) => return node < self.state.next_offset,
        };
        if departed.is_some_and(|row| row.settled) {
            return true;
        }
        let evidence = match departed.map(|row| row.reason) {
            Some(DepartReason::Left | DepartReason::Retired) => return true,
            Some(DepartReason::Lost) => return self.lapses.closed_since(node, now).is_some(),
            Some(DepartReason::Replaced { upstream_ended: true }) => {
                return self.lapses.closed_since(node, now).is_some();
            }
            Some(DepartReason::Replaced { upstream_ended: false }) => {
                self.lapses.closed_since(node, now)
            }
            Some(DepartReason::Lapsed) => self.lapses.ended_at(node),
            None => self.lapses.proven_at(node),
        };
        let Some(since) = evidence else { return false };
        if info.upstream.checks_grants {
            return true;
        }
        let service = self.spec.as_ref().and_then(|spec| spec.service(&info.upstream.service));
        let bound = service.and_then(|service| service.run_bound);
        bound.is_some_and(|bound| since + bound <= now)
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

fn fence_of(line: &LineRow, step: usize) -> FenceToken {
    FenceToken { offset: line.offset, step: u16::try_from(step).unwrap_or(u16::MAX) }
}
