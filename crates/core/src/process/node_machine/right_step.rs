//! Rights of others: which come before this node's, whether they have ended, and what their
//! holders remember.

use std::time::{Duration, Instant};

use super::NodeMachine;
use super::tenure_step::fence_of;
use crate::connection::DedupState;
use crate::process::FenceToken;
use crate::process::tenure_table::{self, take};
use crate::version::{DepartReason, PartitionRow};
use crate::{LogOffset, NodeId, PartitionId};

/// Time for which the memory of a node that ended in order is waited for.
const HANDOVER_PATIENCE: Duration = Duration::from_millis(400);

/// A node whose right must end before this one serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Blocker {
    pub(super) node: NodeId,
    /// The node must release all rights below this offset.
    pub(super) before: LogOffset,
}

/// A right of another node that must end before this one serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct EarlierRight {
    node: NodeId,
    fence: FenceToken,
}

impl NodeMachine {
    /// Nodes whose rights, by the present line or an earlier one, have not ended.
    pub(super) fn blockers(&self, me: NodeId, row: &PartitionRow, now: Instant) -> Vec<Blocker> {
        let current = row.current().map_or(0, |assignment| assignment.offset);
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
    pub(super) fn earlier_rights(&self, me: NodeId, row: &PartitionRow) -> Vec<EarlierRight> {
        let mut rights = Vec::new();
        let given = self.given_before(row.id);
        let last = row.assignments.len().saturating_sub(1);
        let first = if self.guards.earlier_holders { 0 } else { last };
        for (index, assignment) in row.assignments.iter().enumerate().skip(first) {
            // Whoever stands behind this node in a line needs its release or its lapse.
            let own = assignment.nodes.iter().position(|node| *node == me);
            let bound = own.filter(|_| index == last || assignment.offset >= given);
            let end = bound.unwrap_or(assignment.nodes.len());
            let nodes = assignment.nodes[..end].iter().enumerate().filter(|(_, node)| **node != me);
            rights.extend(nodes.map(|(step, node)| EarlierRight {
                node: *node,
                fence: fence_of(assignment, step),
            }));
        }
        rights
    }

    /// First offset whose rights this node has not released; 0 if it released none.
    pub(super) fn given_before(&self, partition: PartitionId) -> LogOffset {
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

    /// Memories of the earlier holders, and whether nothing that they ran is missing.
    ///
    /// A node that ended without a release may have run requests unremembered, unless another
    /// served after it and handed its memory over.
    pub(super) fn collect_memory(&mut self, partition: PartitionId) -> (Vec<DedupState>, bool) {
        let me = self.life.id().unwrap_or(0);
        let row = self.state.partition(partition);
        let rights = row.map(|row| self.earlier_rights(me, row)).unwrap_or_default();
        let last = self.last_served(partition);
        let clean = rights.iter().all(|right| self.is_remembered(partition, right, last));
        let mut dedup_state = Vec::new();
        for row in self.releases.iter_mut().filter(|row| row.partition == partition) {
            dedup_state.push(std::mem::take(&mut row.dedup_state));
        }
        if let Some(tenure) = take(&mut self.tenures.released, partition) {
            dedup_state.push(tenure.state.dedup_state);
        }
        (dedup_state, clean)
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
        heard.filter_map(|row| row.served_fence).chain(own).max()
    }

    /// Memory of the partition that this node can hand on, and the fence up to which it goes.
    pub(super) fn known_memory(&self, partition: PartitionId) -> (Option<FenceToken>, DedupState) {
        let mut dedup_state = DedupState::default();
        for row in self.releases.iter().filter(|row| row.partition == partition) {
            dedup_state.extend(&row.dedup_state);
        }
        if let Ok(index) = tenure_table::find(&self.tenures.released, partition) {
            dedup_state.extend(&self.tenures.released[index].state.dedup_state);
        }
        (self.last_served(partition), dedup_state)
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
        if departed.is_some_and(|row| row.quiesced) {
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
            Some(DepartReason::Revoked) => self.lapses.ended_at(node),
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

    /// Whether `node` released its rights by the line at `offset`.
    ///
    /// A release made under a line that this node has not folded does not count yet: a grant
    /// below that line's fence would follow it.
    pub(super) fn has_released(
        &self,
        partition: PartitionId,
        node: NodeId,
        offset: LogOffset,
    ) -> bool {
        let key = (partition, node);
        let index = self.releases.binary_search_by_key(&key, |row| (row.partition, row.node));
        index.is_ok_and(|index| {
            let before = self.releases[index].before;
            let known = before <= self.state.next_offset || !self.guards.fence_order;
            before > offset && known
        })
    }

    pub(super) fn is_silent(&self, node: NodeId, now: Instant) -> bool {
        let index = self.silent.binary_search_by_key(&node, |row| row.node);
        index.is_ok_and(|index| self.silent[index].until > now)
            || self.lapses.proven_at(node).is_some()
    }
}
