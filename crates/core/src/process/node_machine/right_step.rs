//! Rights of other nodes to serve a partition: which come before this node's, and whether they have
//! ended.
//!
//! An assignment gives each node that it names a right, whose fence is the assignment's offset
//! and the node's rank in it.

use std::time::{Duration, Instant};

use super::NodeMachine;
use super::ownership_step::fence_of;
use crate::process::EarlierRight;
use crate::version::{DepartReason, PartitionRow};
use crate::{LogOffset, NodeId, PartitionId};

/// Time to wait for the handover of a node that left or retired in an orderly way.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(400);

/// A node whose rights must end before this one serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Blocker {
    pub(super) node: NodeId,
    /// The node must release all its rights below this offset.
    pub(super) before: LogOffset,
}

impl NodeMachine {
    /// Nodes whose rights under the current or an earlier assignment have not ended, or whose
    /// handover is still expected.
    pub(super) fn blockers(&self, me: NodeId, row: &PartitionRow, now: Instant) -> Vec<Blocker> {
        let current = row.current().map_or(0, |assignment| assignment.offset);
        let mut blockers: Vec<_> = self
            .earlier_rights(me, row)
            .into_iter()
            .filter(|right| {
                let ended = self.has_ended(right.node, now)
                    || self.has_released(row.id, right.node, right.fence.offset);
                !ended || self.may_hand_over(row.id, right, now)
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

    /// Rights of other nodes, under the current and earlier assignments, that come before this
    /// node's.
    pub(super) fn earlier_rights(&self, me: NodeId, row: &PartitionRow) -> Vec<EarlierRight> {
        let mut rights = Vec::new();
        let given_up = self.released_before(row.id);
        let last = row.assignments.len().saturating_sub(1);
        let first = if self.guards.earlier_holders { 0 } else { last };
        for (index, assignment) in row.assignments.iter().enumerate().skip(first) {
            // A node behind this one in an assignment can serve under it only after this node
            // releases or its lease is revoked, so its right does not come first. That no longer
            // holds for earlier assignments that this node has released.
            let own = assignment.nodes.iter().position(|node| *node == me);
            let bound = own.filter(|_| index == last || assignment.offset >= given_up);
            let end = bound.unwrap_or(assignment.nodes.len());
            let nodes = assignment.nodes[..end].iter().enumerate().filter(|(_, node)| **node != me);
            rights.extend(nodes.map(|(rank, node)| EarlierRight {
                node: *node,
                fence: fence_of(assignment, rank),
            }));
        }
        rights
    }

    /// Returns the first offset whose rights this node has not released; 0 if it released none.
    pub(super) fn released_before(&self, partition: PartitionId) -> LogOffset {
        let index = self.own_releases.binary_search_by_key(&partition, |row| row.partition);
        index.map_or(0, |index| self.own_releases[index].before)
    }

    /// Notes that this node notifies others that it has no right below `before`.
    pub(super) fn note_own_release(&mut self, partition: PartitionId, before: LogOffset) {
        match self.own_releases.binary_search_by_key(&partition, |row| row.partition) {
            Ok(index) => {
                self.own_releases[index].before = self.own_releases[index].before.max(before);
            }
            Err(index) => self.own_releases.insert(index, super::OwnRelease { partition, before }),
        }
    }

    /// Whether a node that left or retired in an orderly way may still hand over its deduplication
    /// state.
    fn may_hand_over(&self, partition: PartitionId, right: &EarlierRight, now: Instant) -> bool {
        let reason = self.state.departed(right.node).map(|row| row.reason);
        let orderly = matches!(reason, Some(DepartReason::Left | DepartReason::Retired));
        let ended_at = self.revocations.ended_at(right.node);
        let recent = ended_at.is_some_and(|at| now < at + HANDOVER_TIMEOUT);
        orderly && recent && !self.is_covered(partition, right, self.last_served(partition))
    }

    /// Whether the rights of a node have provably ended.
    ///
    /// An upstream that checks grants stops a request at the grant's deadline. For one that does
    /// not, the end of the owner's lease proves nothing: its last request may still run until the
    /// service's run bound has passed or the upstream's process has provably ended.
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
            // Only records of the newer epoch show the end.
            Some(DepartReason::Restored) => return false,
            Some(DepartReason::Lost) => return self.revocations.expired_since(node, now).is_some(),
            Some(DepartReason::Replaced { upstream_ended: true }) => {
                return self.revocations.expired_since(node, now).is_some();
            }
            Some(DepartReason::Replaced { upstream_ended: false }) => {
                self.revocations.expired_since(node, now)
            }
            Some(DepartReason::Revoked) => self.revocations.ended_at(node),
            None => self.revocations.proven_at(node),
        };
        let Some(since) = evidence else { return false };
        if info.upstream.checks_grants {
            return true;
        }
        let service = self.spec.as_ref().and_then(|spec| spec.service(&info.upstream.service));
        let bound = service.and_then(|service| service.run_bound);
        bound.is_some_and(|bound| since + bound <= now)
    }

    /// Whether `node` released its rights under the assignment at `offset`.
    ///
    /// A release made under an assignment that this node has not folded does not count yet: this
    /// node would otherwise serve after it under a fence lower than that assignment's.
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

    /// Whether `node` was reported silent recently, or its revocation is proven.
    pub(super) fn is_silent(&self, node: NodeId, now: Instant) -> bool {
        let index = self.silent.binary_search_by_key(&node, |row| row.node);
        index.is_ok_and(|index| self.silent[index].until > now)
            || self.revocations.proven_at(node).is_some()
    }
}
