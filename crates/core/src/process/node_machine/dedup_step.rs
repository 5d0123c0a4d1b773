//! Deduplication state that earlier holders of a partition hand over: which of it is missing, and how it
//! arrives after the partition was opened.

use std::time::Instant;

use super::ownership_step::REQUEST_INTERVAL;
use super::{NodeMachine, RELEASE_RETENTION};
use crate::PartitionId;
use crate::connection::{DedupState, PeerMessage, ReleaseRequest};
use crate::process::ownership_table::{self, insert, take};
use crate::process::{EarlierRight, FenceToken, HeldGrant, NodeAction, PartitionOwnership};
use crate::version::PartitionRow;

impl NodeMachine {
    /// Returns the earlier rights under which requests may have run that the deduplication state at hand
    /// does not list.
    ///
    /// A node that ended without a release may have run such requests, unless another node served
    /// after it and handed over its own state.
    pub(super) fn missing_dedup(&self, partition: PartitionId) -> Vec<EarlierRight> {
        let me = self.life.id().unwrap_or(0);
        let row = self.state.partition(partition);
        let mut rights = row.map(|row| self.earlier_rights(me, row)).unwrap_or_default();
        self.retain_missing(partition, &mut rights);
        rights
    }

    /// Drops the rights that the deduplication state at hand covers.
    pub(super) fn retain_missing(&self, partition: PartitionId, rights: &mut Vec<EarlierRight>) {
        let last = self.last_served(partition);
        rights.retain(|right| !self.is_covered(partition, right, last));
    }

    /// Whether the deduplication state of earlier epochs is at hand: the first owner of an epoch does not
    /// know what ran in older ones.
    pub(super) fn knows_earlier_epochs(&self, partition: PartitionId) -> bool {
        self.state.epoch() == 0 || self.last_served(partition).is_some()
    }

    /// Takes out the deduplication state that earlier holders handed over.
    pub(super) fn collect_dedup_state(&mut self, partition: PartitionId) -> Vec<DedupState> {
        let mut dedup_state = Vec::new();
        for row in self.releases.iter_mut().filter(|row| row.partition == partition) {
            dedup_state.push(std::mem::take(&mut row.dedup_state));
        }
        if let Some(ownership) = take(&mut self.ownerships.released, partition) {
            dedup_state.push(ownership.state.dedup_state);
        }
        dedup_state
    }

    /// Whether the deduplication state at hand covers all requests that may have run under `right`:
    /// its holder released it, or it or a holder with a higher fence handed over its state.
    pub(super) fn is_covered(
        &self,
        partition: PartitionId,
        right: &EarlierRight,
        last: Option<FenceToken>,
    ) -> bool {
        self.has_released(partition, right.node, right.fence.offset)
            || last.is_some_and(|last| right.fence <= last)
    }

    /// Returns the highest fence whose holder's deduplication state is at hand.
    pub(super) fn last_served(&self, partition: PartitionId) -> Option<FenceToken> {
        let own = ownership_table::find(&self.ownerships.released, partition).ok();
        let own = own.map(|index| self.ownerships.released[index].state.fence);
        let received = self.releases.iter().filter(|row| row.partition == partition);
        received.filter_map(|row| row.served_fence).chain(own).max()
    }

    /// Returns the deduplication state of the partition that this node can hand on, and the fence
    /// up to which it is complete.
    pub(super) fn known_dedup_state(
        &self,
        partition: PartitionId,
    ) -> (Option<FenceToken>, DedupState) {
        let mut dedup_state = DedupState::default();
        for row in self.releases.iter().filter(|row| row.partition == partition) {
            dedup_state.extend(&row.dedup_state);
        }
        if let Ok(index) = ownership_table::find(&self.ownerships.released, partition) {
            dedup_state.extend(&self.ownerships.released[index].state.dedup_state);
        }
        (self.last_served(partition), dedup_state)
    }

    /// Requests the deduplication state that partitions opened without, where it is due.
    pub(super) fn request_missing_dedup(&mut self, now: Instant) {
        let waits = |ownership: &&PartitionOwnership<HeldGrant>| {
            ownership.state.dedup_wait.as_ref().is_some_and(|wait| now >= wait.request_at)
        };
        let due: Vec<_> =
            self.ownerships.held.iter().filter(waits).map(|row| row.partition).collect();
        for partition in due {
            self.request_dedup(partition, now);
        }
    }

    /// Requests the state of a partition from the earlier holders that have not handed it over. Their
    /// rights have provably ended, but their processes may still run.
    pub(super) fn request_dedup(&mut self, partition: PartitionId, now: Instant) {
        let current = self.state.partition(partition).and_then(PartitionRow::current);
        let before = current.map_or(0, |assignment| assignment.offset + 1);
        let Ok(index) = ownership_table::find(&self.ownerships.held, partition) else { return };
        let dedup_wait = &mut self.ownerships.held[index].state.dedup_wait;
        let Some(wait) = dedup_wait.as_mut().filter(|wait| now < wait.until) else {
            *dedup_wait = None;
            return;
        };
        wait.request_at = now + REQUEST_INTERVAL;
        let mut nodes: Vec<_> = wait.missing.iter().map(|right| right.node).collect();
        nodes.sort_unstable();
        nodes.dedup();
        for node in nodes {
            self.send(node, PeerMessage::RequestRelease(ReleaseRequest { partition, before }));
        }
    }

    /// Completes the deduplication state of a partition that opened without, if it is all at hand now.
    pub(super) fn complete_dedup(&mut self, partition: PartitionId) {
        let Ok(index) = ownership_table::find(&self.ownerships.held, partition) else { return };
        let Some(mut wait) = self.ownerships.held[index].state.dedup_wait.take() else { return };
        self.retain_missing(partition, &mut wait.missing);
        if !wait.missing.is_empty() {
            self.ownerships.held[index].state.dedup_wait = Some(wait);
            return;
        }
        log::info!(partition; "deduplication state completed");
        let dedup_state = self.collect_dedup_state(partition);
        self.actions.push(NodeAction::CompleteDedup { partition, dedup_state });
    }

    /// Hands over the deduplication state of a partition that an ended incarnation of this process
    /// served, once none of its requests is in flight.
    pub fn abandoned_idle(
        &mut self,
        partition: PartitionId,
        dedup_state: DedupState,
        now: Instant,
    ) {
        let Some(ownership) = take(&mut self.ownerships.ended, partition) else { return };
        let current = self.state.partition(partition).and_then(PartitionRow::current);
        let nodes = current.map_or(&[][..], |assignment| &assignment.nodes);
        let to: Vec<_> = nodes.iter().copied().filter(|node| !self.is_own(*node)).collect();
        log::info!(partition, to:?, requests = dedup_state.requests.len(); "partition of an ended incarnation idle");
        match ownership_table::find(&self.ownerships.released, partition) {
            Ok(index) => self.ownerships.released[index].state.dedup_state.extend(&dedup_state),
            Err(_) => insert(
                &mut self.ownerships.released,
                ownership.idle(to, dedup_state, now, now + RELEASE_RETENTION),
            ),
        }
        self.complete_dedup(partition);
    }
}
