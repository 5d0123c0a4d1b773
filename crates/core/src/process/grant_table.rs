//! Grants of key ranges from a node to its local upstream.
//!
//! A grant lets the upstream hold cells for a limited time; each heartbeat renews it. Three rules
//! ensure that each key has at most one owner:
//!
//! 1. A node grants only cells that the newest plan assigns to the current instance of its
//!    upstream, and only while the store, or every other holder of the plan, confirmed that plan
//!    within [`GrantTiming::confirm`].
//! 2. A cell that a plan assigns to a new holder is granted there only after each earlier fence
//!    of the cell has ended: the earlier holder's node reported the end, or
//!    [`GrantTiming::replaced_end`] has passed since this node applied the plan that replaced the
//!    fence.
//! 3. A node reports that a fence has ended only after its upstream freed the last key of the cell,
//!    reported twice in a row that it holds no key of it, let the last hold expire, or is known to be
//!    dead. An upstream frees key by key: it goes on working on one after it has freed its neighbours.

mod cell_state;
mod ended_fence;
mod instance_step;
mod key_handover;
mod life_claim;
mod reported_cell;

use std::time::Instant;

use cell_state::{CellState, HandoverRow, ReleaseProof};
use ended_fence::add_ended;
use instance_step::is_superseded;
use key_handover::split_by_token;
use life_claim::LifeClaim;
use reported_cell::{ReportedCell, cells_of_keys};

pub use ended_fence::EndedFence;
pub use key_handover::KeyHandover;

use super::{GrantGuards, GrantPermit, GrantTiming};
use crate::connection::{GrantReply, GrantRow, OwnReport, add_granted};
use crate::version::{
    CELLS, CellIndex, HolderRow, LogEpoch, PlanVersion, ServiceRanges, UpstreamInstance,
    epoch_of_version, keys_of_cells,
};

/// Placeholder for the fence of an earlier holder that this node does not know because it missed
/// plans, as after a start from a snapshot.
const UNKNOWN_FENCE: PlanVersion = PlanVersion::MAX;

/// Consecutive heartbeats without a cell after which its fence counts as ended. The first one may
/// have crossed the last grant on the network.
const MIN_ABSENT_REPORTS: u32 = 2;

/// Cells that one node grants to its local upstream, and fences that still have to end.
#[derive(Debug, Clone)]
pub struct GrantTable {
    timing: GrantTiming,
    guards: GrantGuards,
    host: Box<str>,
    instance: Option<UpstreamInstance>,
    /// Instances that have ended; a late heartbeat from one of them gets no grant.
    ended_instances: Vec<UpstreamInstance>,
    /// The instance whose address refused connections last. It has ended once another registers.
    refused_instance: Option<UpstreamInstance>,
    /// Whether the current instance is known to listen at the upstream's address.
    address_confirmed: bool,
    /// Reports that look late, from an instance that may be alive.
    claim: Option<LifeClaim>,
    /// Time by which every hold that an earlier process of this node granted has ended.
    earlier_holds_end: Instant,
    /// Sequence number of the newest heartbeat of the current instance.
    last_sequence: u64,
    /// State of each cell, by index.
    cells: Vec<CellState>,
    /// The service's ranges of the newest plan applied.
    ranges: Option<ServiceRanges>,
    /// Version of that plan; 0 without a plan.
    version: PlanVersion,
    /// Time since which every applied plan has named this host as a holder.
    member_since: Option<Instant>,
    /// Whether a heartbeat to this process showed that the upstream holds nothing under a plan
    /// later than the applied one.
    no_later_holds: bool,
    /// Whether any cell may have a revoked fence. Every datagram asks for those that ended.
    has_revoked: bool,
}

impl GrantTable {
    /// Creates a table without a plan. Holds granted by an earlier process of this node may last
    /// until [`GrantTiming::hold_end`] of `now`.
    pub fn new(host: Box<str>, timing: GrantTiming, guards: GrantGuards, now: Instant) -> Self {
        Self {
            timing,
            guards,
            host,
            instance: None,
            ended_instances: Vec::new(),
            refused_instance: None,
            address_confirmed: false,
            claim: None,
            earlier_holds_end: timing.hold_end(now),
            last_sequence: 0,
            cells: vec![CellState::default(); CELLS],
            ranges: None,
            version: 0,
            member_since: None,
            no_later_holds: false,
            has_revoked: false,
        }
    }

    /// Returns the time limits that this table grants by.
    pub fn timing(&self) -> GrantTiming {
        self.timing
    }

    /// Whether this node can confirm to others that nothing was granted here under a plan later
    /// than the applied one, neither by this process nor by an earlier one.
    pub fn attests(&self) -> bool {
        self.no_later_holds || !self.guards.heartbeat_proof
    }

    /// Returns the epoch of the newest plan applied that has ranges of the service.
    pub const fn epoch(&self) -> LogEpoch {
        epoch_of_version(self.version)
    }

    /// Returns which safety guards are in place.
    pub const fn guards(&self) -> GrantGuards {
        self.guards
    }

    /// Returns the current instance of the local upstream; `None` before its first heartbeat.
    pub fn instance(&self) -> Option<&UpstreamInstance> {
        self.instance.as_ref()
    }

    /// Applies the service's ranges of a newer plan. `contiguous` says that no plan between the
    /// last applied one and this one was missed, which also holds for the first plan of all.
    pub fn apply_ranges(
        &mut self,
        version: PlanVersion,
        after: ServiceRanges,
        contiguous: bool,
        now: Instant,
    ) {
        // Every node of the earlier epoch has lost the permission to grant cells that are not held, so
        // what this one has granted is held by nobody else.
        let restored =
            self.version > 0 && epoch_of_version(version) > epoch_of_version(self.version);
        let before = self.ranges.take();
        let old = before.as_ref().map(ServiceRanges::cells);
        let member = after.holder_on(&self.host).is_some();
        let since = self.member_since.filter(|_| member && !restored);
        self.member_since = since.or(member.then_some(now));
        // Nodes under a plan that does not name this host renew grants without its attestation.
        let consulted = !self.guards.new_member_wait
            || contiguous
                && self.member_since.is_some_and(|since| now >= since + self.timing.attested);
        let ends_at = self.timing.replaced_end(consulted, now);
        for (index, new) in after.cells().into_iter().enumerate() {
            let cell = &mut self.cells[index];
            let holder = &after.holders[usize::from(new.holder)];
            let old_row = old.as_ref().map(|old| old[index]);
            if old_row.is_some_and(|old| old.fence == new.fence) {
                continue;
            }
            let known = old_row.map_or(0, |row| row.fence);
            let old_holder = before
                .as_ref()
                .zip(old_row)
                .map(|(before, row)| &before.holders[usize::from(row.holder)]);
            let stays =
                |old: &HolderRow| old.host == holder.host && old.instance == holder.instance;
            let kept = if restored { cell.is_held(now) } else { contiguous };
            if kept && old_holder.is_some_and(stays) {
                // The same instance keeps the cell under a higher fence.
                if cell.fence > 0 {
                    cell.renumber(new.fence);
                }
                continue;
            }
            if (!contiguous || restored)
                && new.fence > holder.settled_version
                && self.guards.snapshot_wait
            {
                cell.add_earlier_grant(UNKNOWN_FENCE, ends_at);
            }
            if known > 0 {
                cell.add_earlier_grant(known, ends_at);
            }
            if cell.fence > 0 {
                cell.revoke();
                self.has_revoked = true;
            }
            let ours = holder.host == self.host && Some(&holder.instance) == self.instance.as_ref();
            cell.fence = 0;
            if ours {
                cell.assign(new.fence);
            }
        }
        self.ranges = Some(after);
        self.version = version;
        self.end_earlier_instances();
        self.end_revoked_fences(now);
    }

    /// Applies the report that a fence of an earlier holder has ended.
    pub fn apply_ended(&mut self, row: &EndedFence) {
        for index in row.first..=row.last.min(CELLS - 1) {
            let cell = &mut self.cells[index];
            cell.mark_ended(row.fence);
            let tokens = row.handovers_of(index);
            let is_newest = cell.handover.as_ref().is_none_or(|known| known.fence <= row.fence);
            if is_newest && !tokens.is_empty() {
                cell.handover = Some(HandoverRow { fence: row.fence, tokens });
            }
        }
    }

    /// Whether a report is the newest of the current instance, or of one that follows it: what it says
    /// replaces what is known. A late or repeated one says nothing new.
    pub fn is_newest(&self, report: &OwnReport) -> bool {
        let current = self.instance.as_ref();
        let same = current == Some(&report.instance);
        let ended = self.ended_instances.contains(&report.instance)
            || current.is_some_and(|instance| is_superseded(&report.instance, instance));
        !ended && (!same || report.sequence > self.last_sequence)
    }

    /// Applies the report of a heartbeat and returns what the upstream is to hold. Returns `None`
    /// for a repeated or late heartbeat, and once `permit` has ended.
    pub fn apply_report(
        &mut self,
        report: &OwnReport,
        permit: GrantPermit,
        now: Instant,
    ) -> Option<GrantReply> {
        if !self.is_newest(report) {
            self.note_late_report(report, now);
            return None;
        }
        if self.instance.as_ref() != Some(&report.instance) {
            self.change_instance(report.instance.clone(), now);
        }
        if report.sequence <= self.last_sequence {
            return None;
        }
        self.last_sequence = report.sequence;
        self.contradict_claim();
        self.apply_held(report);
        self.end_revoked_fences(now);
        let permitted = permit.acquires(now) || permit.renews(now);
        permitted.then(|| self.grant(report.sequence, permit, now))
    }

    fn apply_held(&mut self, report: &OwnReport) {
        let mut reported = vec![ReportedCell::default(); CELLS];
        for row in &report.holds {
            for index in cells_of_keys(row.first, row.last) {
                reported[index].add(index, row);
            }
        }
        for (cell, reported) in self.cells.iter_mut().zip(&reported) {
            cell.apply_held(*reported, report.sequence);
        }
        self.no_later_holds |= report.holds.iter().all(|row| row.fence <= self.version);
        let release = match self.guards.whole_cells {
            true => ReleaseProof::AllKeys { sequence: report.sequence },
            false => ReleaseProof::AnyKey,
        };
        let mut in_part = 0;
        for row in &report.freed {
            for index in cells_of_keys(row.first, row.last) {
                let (first, last) = keys_of_cells(index, index);
                let (first, last) = (row.first.max(first), row.last.min(last));
                let handover = KeyHandover { first, last, token: row.handover.clone() };
                self.cells[index].apply_freed(&handover, release);
                in_part += usize::from(!reported[index].is_absent());
            }
        }
        if in_part > 0 {
            log::info!(
                sequence = report.sequence, rows = in_part;
                "keys released in cells on which the upstream is still at work"
            );
        }
    }

    /// Ends the revoked fences whose last hold has expired or is known to have been given up.
    fn end_revoked_fences(&mut self, now: Instant) {
        if !self.has_revoked {
            return;
        }
        let earlier_holds_ended = now >= self.earlier_holds_end;
        for cell in &mut self.cells {
            if cell.revoked.is_empty() {
                continue;
            }
            let granted_hold_ended = cell.granted_until.is_some_and(|until| now >= until);
            let never_granted = cell.granted_until.is_none();
            for row in &mut cell.revoked {
                row.ended |= granted_hold_ended || (never_granted && earlier_holds_ended);
                row.ended |= row.current_instance && row.absent_reports >= MIN_ABSENT_REPORTS;
                row.ended |= !self.guards.hold_end;
            }
        }
    }

    /// Returns the fences that have ended here, grouped by the host of the cells' current holder.
    /// The caller sends them again until that host acknowledges them
    /// ([`Self::remove_acknowledged`]).
    pub fn ended_fences(&mut self, now: Instant) -> Vec<(Box<str>, Vec<EndedFence>)> {
        if !self.has_revoked {
            return Vec::new();
        }
        self.end_revoked_fences(now);
        self.has_revoked = self.cells.iter().any(|cell| !cell.revoked.is_empty());
        let Some(ranges) = &self.ranges else { return Vec::new() };
        let mut found: Vec<(Box<str>, Vec<EndedFence>)> = Vec::new();
        for (index, new) in ranges.cells().into_iter().enumerate() {
            let host = &ranges.holders[usize::from(new.holder)].host;
            for row in self.cells[index].revoked.iter().filter(|row| row.ended) {
                let position = found.iter().position(|(name, _)| name == host);
                let position = position.unwrap_or_else(|| {
                    found.push((host.clone(), Vec::new()));
                    found.len() - 1
                });
                add_ended(&mut found[position].1, index, row);
            }
        }
        found
    }

    /// Removes ended fences that the next holder's node acknowledged.
    pub fn remove_acknowledged(&mut self, rows: &[EndedFence]) {
        for row in rows {
            for index in row.first..=row.last.min(CELLS - 1) {
                self.cells[index].revoked.retain(|revoked_grant| {
                    revoked_grant.fence != row.fence || !revoked_grant.ended
                });
            }
        }
    }

    /// Whether requests for the cell may be sent to the upstream now.
    pub fn is_granted(&self, index: CellIndex, now: Instant) -> bool {
        self.cells[index].is_held(now)
    }

    /// Returns [`Self::is_granted`] for each cell.
    pub fn granted_cells(&self, now: Instant) -> Vec<bool> {
        (0..CELLS).map(|index| self.is_granted(index, now)).collect()
    }

    /// Returns the plan version up to which every hold of an earlier holder of this node's cells
    /// has ended.
    pub fn settled_version(&self, now: Instant) -> PlanVersion {
        // Which cells are its own is known from the first heartbeat on.
        if self.instance.is_none() {
            return 0;
        }
        let open =
            self.cells.iter().filter(|cell| cell.fence > 0 && !cell.earlier_grants_ended(now));
        let first_open = open.map(|cell| cell.fence).min();
        first_open.map_or(self.version, |fence| fence - 1)
    }

    /// Returns the number of cells that the plan assigns to the upstream, and how many of them
    /// wait until an earlier holder's fence has ended.
    pub fn waiting_cells(&self, now: Instant) -> (usize, usize) {
        let ours = self.cells.iter().filter(|cell| cell.fence > 0);
        let waiting = ours.clone().filter(|cell| !cell.earlier_grants_ended(now));
        (ours.count(), waiting.count())
    }

    fn grant(&mut self, sequence: u64, permit: GrantPermit, now: Instant) -> GrantReply {
        let until = self.timing.hold_end(now);
        let acquires = permit.acquires(now);
        let mut rows: Vec<GrantRow> = Vec::new();
        for (index, cell) in self.cells.iter_mut().enumerate() {
            let free = cell.earlier_grants_ended(now) || !self.guards.earlier_wait;
            let reported = permit.trusts_reports && cell.held == cell.fence;
            let renewed = permit.renews(now) && (cell.is_held(now) || reported);
            if cell.fence == 0 || !free || !(acquires || renewed) {
                continue;
            }
            cell.earlier_grants.clear();
            cell.granted_until = Some(until);
            cell.granted_fence = cell.fence;
            cell.granted_sequence = sequence;
            let handover = if cell.held == cell.fence { None } else { cell.handover.as_ref() };
            let tokens = handover.map_or(&[][..], |row| &row.tokens);
            let (first, last) = keys_of_cells(index, index);
            for (first, last, token) in split_by_token(first, last, tokens) {
                let fence = cell.fence;
                add_granted(&mut rows, GrantRow { first, last, fence, handover: token.into() });
            }
        }
        GrantReply { rows, hold: self.timing.hold }
    }
}
