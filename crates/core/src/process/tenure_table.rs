//! Partitions that a node waits for, serves or releases, as types.

use std::time::Instant;

use super::FenceToken;
use crate::connection::DedupState;
use crate::{LogOffset, NodeId, PartitionId};

/// The node is next in line and waits for earlier rights to end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingGrant {
    /// When it began to wait.
    pub since: Instant,
    /// When it may ask earlier holders again.
    pub ask_at: Instant,
}

/// The node serves the partition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldGrant {
    /// Fence of the grant.
    pub fence: FenceToken,
}

/// The node lets requests in flight end before it releases.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReleasingGrant {
    /// First offset whose rights are not released.
    pub before: LogOffset,
    /// Whether the present line is given up as well.
    pub yields: bool,
    /// Fence of the grant that ends.
    pub fence: FenceToken,
    /// Nodes that the release goes to.
    pub to: Vec<NodeId>,
}

/// The node released the partition and keeps the notice until it is seen.
#[derive(Debug, Clone, PartialEq)]
pub struct ReleasedGrant {
    /// First offset whose rights are not released.
    pub before: LogOffset,
    /// Fence of the grant that ended.
    pub fence: FenceToken,
    /// Nodes that have not seen the release.
    pub unseen: Vec<NodeId>,
    /// Memory to hand over.
    pub dedup_state: DedupState,
    /// When the notice is sent again.
    pub send_at: Instant,
    /// When the notice is dropped.
    pub keep_until: Instant,
}

/// A partition in state `S`; each step consumes the state before it.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenure<S> {
    /// Partition.
    pub partition: PartitionId,
    /// State.
    pub state: S,
}

impl Tenure<PendingGrant> {
    /// Begins to wait.
    pub const fn wait(partition: PartitionId, now: Instant) -> Self {
        Self { partition, state: PendingGrant { since: now, ask_at: now } }
    }

    /// Every earlier right has ended.
    #[must_use]
    pub fn hold(self, fence: FenceToken) -> Tenure<HeldGrant> {
        Tenure { partition: self.partition, state: HeldGrant { fence } }
    }
}

impl Tenure<HeldGrant> {
    /// Stops taking requests.
    #[must_use]
    pub fn release(self, yields: bool) -> Tenure<ReleasingGrant> {
        let fence = self.state.fence;
        let state = ReleasingGrant { before: 0, yields, fence, to: Vec::new() };
        Tenure { partition: self.partition, state }
    }
}

impl Tenure<ReleasingGrant> {
    /// No request is in flight any more.
    #[must_use]
    pub fn idle(
        self,
        dedup_state: DedupState,
        now: Instant,
        keep_until: Instant,
    ) -> Tenure<ReleasedGrant> {
        let state = ReleasedGrant {
            before: self.state.before,
            fence: self.state.fence,
            unseen: self.state.to,
            dedup_state,
            send_at: now,
            keep_until,
        };
        Tenure { partition: self.partition, state }
    }
}

/// All tenures of a node, each state sorted by partition.
#[derive(Debug, Clone, Default)]
pub struct TenureTable {
    /// Waiting.
    pub pending: Vec<Tenure<PendingGrant>>,
    /// Served.
    pub held: Vec<Tenure<HeldGrant>>,
    /// Ending.
    pub releasing: Vec<Tenure<ReleasingGrant>>,
    /// Ended, notice kept.
    pub released: Vec<Tenure<ReleasedGrant>>,
}

impl TenureTable {
    /// An empty table.
    pub const fn new() -> Self {
        Self { pending: Vec::new(), held: Vec::new(), releasing: Vec::new(), released: Vec::new() }
    }

    /// Grant under which a partition is served.
    pub fn held(&self, partition: PartitionId) -> Option<&HeldGrant> {
        let index = find(&self.held, partition).ok()?;
        Some(&self.held[index].state)
    }

    /// Whether requests of a partition may be in flight.
    pub fn is_active(&self, partition: PartitionId) -> bool {
        find(&self.held, partition).is_ok() || find(&self.releasing, partition).is_ok()
    }
}

/// Place of a partition in a sorted list.
pub fn find<S>(list: &[Tenure<S>], partition: PartitionId) -> Result<usize, usize> {
    list.binary_search_by_key(&partition, |tenure| tenure.partition)
}

/// Inserts a tenure, replacing one of the same partition.
pub fn insert<S>(list: &mut Vec<Tenure<S>>, tenure: Tenure<S>) {
    match find(list, tenure.partition) {
        Ok(index) => list[index] = tenure,
        Err(index) => list.insert(index, tenure),
    }
}

/// Takes a tenure out.
pub fn take<S>(list: &mut Vec<Tenure<S>>, partition: PartitionId) -> Option<Tenure<S>> {
    let index = find(list, partition).ok()?;
    Some(list.remove(index))
}
