//! Oracle: at most one node may run each partition, fences rise and manifests never revert.

use std::time::{Duration, Instant};

use firspindle_core::process::FenceToken;

use super::{Fault, NODES, PARTITIONS, World};

impl World {
    /// Checks that the fences of a partition rise from each holder to the next.
    pub(super) fn note_fence(
        &mut self,
        index: usize,
        partition: u32,
        fence: FenceToken,
    ) -> Result<(), Fault> {
        let boot_count = self.nodes[index].boot_count;
        if let Some((last, holder, boot)) = self.fences.get(&partition) {
            let same = *holder == index && *boot == boot_count;
            if fence < *last || (fence == *last && !same) {
                return Err(format!(
                    "fence of partition {partition} did not rise: {last} (node {holder}), then {fence} (node {index})"
                ));
            }
        }
        self.fences.insert(partition, (fence, index, boot_count));
        Ok(())
    }

    /// Notes that a node opens a partition, with the holder before it, which may be the node itself.
    pub(super) fn note_open(
        &mut self,
        index: usize,
        partition: u32,
        fence: FenceToken,
    ) -> Result<(), Fault> {
        if let Some((_, holder, boot)) = self.fences.get(&partition) {
            self.earlier_holders.insert(partition, (*holder, *boot));
        }
        self.note_fence(index, partition, fence)
    }

    /// Notes a fault if the holder before the present one has requests of a partition in flight while the
    /// present one counts the deduplication state of all earlier holders as complete. What those before
    /// it left open is part of its state.
    pub(super) fn check_dedup(&mut self, partition: u32) {
        let Some((holder, boot)) = self.earlier_holders.get(&partition) else { return };
        let reports = &self.nodes[*holder].abandoned_reports;
        if reports.iter().any(|row| (row.1, row.2) == (partition, *boot)) {
            let fault =
                format!("partition {partition}: node {holder} is not idle at {:?}", self.now);
            self.dedup_faults.push(fault);
        }
    }

    /// Checks that at most one node may run each partition and that no manifest reverts.
    pub(super) fn check_invariants(&mut self) -> Result<(), Fault> {
        for partition in 0..PARTITIONS {
            let orphaned_runs = self.nodes.iter().flat_map(|node| &node.orphaned_runs);
            let orphaned_runs =
                orphaned_runs.filter(|orphan| orphan.1 == partition && orphan.0 > self.now).count();
            let holders: Vec<_> = (0..NODES)
                .filter(|index| self.nodes[*index].alive)
                .filter(|index| {
                    let now = self.local(*index, self.now);
                    let machine = &self.nodes[*index].machine;
                    machine.may_run(partition, now) || self.has_in_flight(*index, partition, now)
                })
                .collect();
            if holders.len() + orphaned_runs > 1 {
                return Err(format!(
                    "partition {partition} may run on nodes {holders:?} at {:?}",
                    self.now
                ));
            }
        }
        for node in &mut self.nodes {
            let version = node.manifest_version();
            if version < node.seen_manifest_version {
                return Err("manifest reverted to an earlier version".to_owned());
            }
            node.seen_manifest_version = version;
        }
        Ok(())
    }

    /// Notes what a node's upstream runs on after the incarnation ends, until its grant ends.
    pub(super) fn leave_orphaned_runs(&mut self, index: usize) {
        if !self.nodes[index].alive {
            return;
        }
        let now = self.local(index, self.now);
        let Some(deadline) = self.nodes[index].machine.lease_deadline() else { return };
        let left = deadline.saturating_duration_since(now).as_micros();
        let left = left * 1_000_000 / u128::from(self.nodes[index].rate);
        let until = self.now
            + Duration::from_micros(
                u64::try_from(left).expect("a lease lasts less than u64 microseconds"),
            );
        for partition in 0..PARTITIONS {
            let active = self.nodes[index].machine.may_run(partition, now)
                || self.has_in_flight(index, partition, now);
            if active {
                self.nodes[index].orphaned_runs.push((until, partition));
            }
        }
    }

    /// Whether a request of a closed partition still runs. Its upstream stops it at the lease's
    /// deadline.
    pub(super) fn has_in_flight(&self, index: usize, partition: u32, now: Instant) -> bool {
        let node = &self.nodes[index];
        let lease = node.machine.lease_deadline().is_some_and(|deadline| now < deadline);
        lease && node.in_flight.iter().any(|row| row.1 == partition && row.0 > self.now)
    }

    /// Whether some running node may run the partition.
    pub fn is_served(&self, partition: u32) -> bool {
        (0..NODES).any(|index| {
            let now = self.local(index, self.now);
            let node = &self.nodes[index];
            node.alive && node.paused_until <= self.now && node.machine.may_run(partition, now)
        })
    }
}
