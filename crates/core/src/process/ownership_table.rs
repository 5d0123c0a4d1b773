//! Partitions that a node waits for, serves, is releasing or has released, as a typestate.

use std::time::Instant;

use super::FenceToken;
use crate::connection::DedupState;
use crate::{LogOffset, NodeId, PartitionId};

/// The node is next to serve and waits until the rights of earlier holders have ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingGrant {
    /// Time at which it began to wait.
    pub since: Instant,
    /// Time from which it may send earlier holders the next release request.
    pub request_at: Instant,
}

/// The node serves the partition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldGrant {
    /// Fence of the grant.
    pub fence: FenceToken,
    /// Set while the deduplication state of an earlier holder is missing and may still arrive.
    pub dedup_wait: Option<DedupWait>,
}

/// A right of another node that came before this node's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EarlierRight {
    /// Node that had the right.
    pub node: NodeId,
    /// Fence under which it may have served.
    pub fence: FenceToken,
}

/// A wait for the deduplication state of earlier holders that did not release the partition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DedupWait {
    /// Rights under which requests may have run that no state at hand lists.
    pub missing: Vec<EarlierRight>,
    /// Time from which the state is not expected any more.
    pub until: Instant,
    /// Time of the next request for it.
    pub request_at: Instant,
}

/// The node lets requests in flight finish before it releases the partition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReleasingGrant {
    /// First offset whose rights are not released; 0 until the partition is idle.
    pub before: LogOffset,
    /// Whether the rights under the current assignment are given up as well.
    pub gives_up_current: bool,
    /// Fence of the grant that is ending.
    pub fence: FenceToken,
    /// Nodes to notify of the release.
    pub to: Vec<NodeId>,
}

/// The node released the partition, and resends the notice to each other node of the assignment
/// until that node confirms it.
#[derive(Debug, Clone, PartialEq)]
pub struct ReleasedGrant {
    /// First offset whose rights are not released.
    pub before: LogOffset,
    /// Fence of the grant that ended.
    pub fence: FenceToken,
    /// Nodes that have not confirmed the release.
    pub unconfirmed: Vec<NodeId>,
    /// Deduplication state for the next holder.
    pub dedup_state: DedupState,
    /// Time from which the notice is sent again.
    pub send_at: Instant,
    /// Time at which the notice and the deduplication state are dropped.
    pub keep_until: Instant,
}

/// The incarnation that served the partition ended, and its last requests may still be in flight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedGrant {
    /// Fence of the grant that ended.
    pub fence: FenceToken,
}

/// A partition in state `S`; each transition consumes the previous state.
#[derive(Debug, Clone, PartialEq)]
pub struct PartitionOwnership<S> {
    /// Id of the partition.
    pub partition: PartitionId,
    /// Data that exists only in this state.
    pub state: S,
}

impl PartitionOwnership<PendingGrant> {
    /// Creates a partition that waits to be served.
    pub const fn wait(partition: PartitionId, now: Instant) -> Self {
        Self { partition, state: PendingGrant { since: now, request_at: now } }
    }

    /// Starts to serve, once every earlier right has ended.
    #[must_use]
    pub fn hold(self, fence: FenceToken) -> PartitionOwnership<HeldGrant> {
        PartitionOwnership {
            partition: self.partition,
            state: HeldGrant { fence, dedup_wait: None },
        }
    }
}

impl PartitionOwnership<HeldGrant> {
    /// Stops accepting new requests.
    #[must_use]
    pub fn release(self, gives_up_current: bool) -> PartitionOwnership<ReleasingGrant> {
        let fence = self.state.fence;
        let state = ReleasingGrant { before: 0, gives_up_current, fence, to: Vec::new() };
        PartitionOwnership { partition: self.partition, state }
    }
}

impl PartitionOwnership<EndedGrant> {
    /// Hands the deduplication state over once no request is in flight. Rights that the incarnation
    /// had end by other evidence.
    #[must_use]
    pub fn idle(
        self,
        to: Vec<NodeId>,
        dedup_state: DedupState,
        now: Instant,
        keep_until: Instant,
    ) -> PartitionOwnership<ReleasedGrant> {
        let fence = self.state.fence;
        let state = ReleasedGrant {
            before: 0,
            fence,
            unconfirmed: to,
            dedup_state,
            send_at: now,
            keep_until,
        };
        PartitionOwnership { partition: self.partition, state }
    }
}

impl PartitionOwnership<ReleasingGrant> {
    /// Completes the release, once no request is in flight.
    #[must_use]
    pub fn idle(
        self,
        dedup_state: DedupState,
        now: Instant,
        keep_until: Instant,
    ) -> PartitionOwnership<ReleasedGrant> {
        let state = ReleasedGrant {
            before: self.state.before,
            fence: self.state.fence,
            unconfirmed: self.state.to,
            dedup_state,
            send_at: now,
            keep_until,
        };
        PartitionOwnership { partition: self.partition, state }
    }
}

/// All partitions that a node has to do with, by state, each list sorted by partition.
#[derive(Debug, Clone, Default)]
pub struct OwnershipTable {
    /// Partitions that wait for earlier rights to end.
    pub pending: Vec<PartitionOwnership<PendingGrant>>,
    /// Partitions served.
    pub held: Vec<PartitionOwnership<HeldGrant>>,
    /// Partitions whose requests in flight are finishing.
    pub releasing: Vec<PartitionOwnership<ReleasingGrant>>,
    /// Partitions released, with the notice and deduplication state that are still kept.
    pub released: Vec<PartitionOwnership<ReleasedGrant>>,
    /// Partitions of an ended incarnation of this process, until none of their requests is in flight.
    pub ended: Vec<PartitionOwnership<EndedGrant>>,
}

impl OwnershipTable {
    /// Creates an empty table.
    pub const fn new() -> Self {
        Self {
            pending: Vec::new(),
            held: Vec::new(),
            releasing: Vec::new(),
            released: Vec::new(),
            ended: Vec::new(),
        }
    }

    /// Ends all partitions that requests may be in flight of, as the incarnation ended; returns them.
    pub fn end(&mut self) -> Vec<PartitionId> {
        let held = std::mem::take(&mut self.held);
        let held = held.into_iter().map(|row| (row.partition, row.state.fence));
        let releasing = std::mem::take(&mut self.releasing);
        let releasing = releasing.into_iter().map(|row| (row.partition, row.state.fence));
        let active: Vec<_> = held.chain(releasing).collect();
        self.pending.clear();
        for (partition, fence) in &active {
            let state = EndedGrant { fence: *fence };
            insert(&mut self.ended, PartitionOwnership { partition: *partition, state });
        }
        active.into_iter().map(|(partition, _)| partition).collect()
    }

    /// Returns the grant under which a partition is served.
    pub fn held(&self, partition: PartitionId) -> Option<&HeldGrant> {
        let index = find(&self.held, partition).ok()?;
        Some(&self.held[index].state)
    }

    /// Whether requests of a partition may be in flight.
    pub fn is_active(&self, partition: PartitionId) -> bool {
        find(&self.held, partition).is_ok() || find(&self.releasing, partition).is_ok()
    }
}

/// Returns the index of a partition in a sorted list, or the index at which to insert it.
pub fn find<S>(list: &[PartitionOwnership<S>], partition: PartitionId) -> Result<usize, usize> {
    list.binary_search_by_key(&partition, |ownership| ownership.partition)
}

/// Inserts an entry, replacing one of the same partition.
pub fn insert<S>(list: &mut Vec<PartitionOwnership<S>>, ownership: PartitionOwnership<S>) {
    match find(list, ownership.partition) {
        Ok(index) => list[index] = ownership,
        Err(index) => list.insert(index, ownership),
    }
}

/// Removes and returns the entry of a partition.
pub fn take<S>(
    list: &mut Vec<PartitionOwnership<S>>,
    partition: PartitionId,
) -> Option<PartitionOwnership<S>> {
    let index = find(list, partition).ok()?;
    Some(list.remove(index))
}
