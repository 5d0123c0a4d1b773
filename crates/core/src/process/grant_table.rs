//! What the node beside an upstream grants to it, and when.
//!
//! Three rules keep one owner for each key:
//!
//! 1. A node grants only cells that the newest plan gives to its upstream's life, and only while
//!    that plan was confirmed by the store within [`GrantTiming::confirm`].
//! 2. A cell that a plan gives to a new holder is granted there only once each earlier fence of
//!    the cell has ended: its node told so, or [`GrantTiming::replaced_end`] has passed since
//!    this node folded the plan that replaced it.
//! 3. A node tells that a fence has ended only when its upstream freed the cell, reported twice
//!    in a row that it does not hold it, let the last hold run out, or is known to be dead.

mod cell_state;
mod instance_step;

use std::time::Instant;

use serde::{Deserialize, Serialize};

use cell_state::{CellState, HandoverRow, RevokedGrant};
use instance_step::is_superseded;

use super::{GrantGuards, GrantTiming};
use crate::connection::{GrantReply, GrantRow, UpstreamReport};
use crate::version::{
    CELL_KEYS, CELLS, CellIndex, HolderRow, PlanVersion, ServiceRanges, UpstreamInstance,
    keys_of_cells,
};

/// Fence of an earlier holder that this node cannot name, after a start from a snapshot.
const UNKNOWN_FENCE: PlanVersion = PlanVersion::MAX;

/// Heartbeats in a row that show a cell as not held before its fence counts as ended. The first
/// may have been on its way while the last grant was.
const MIN_ABSENT_REPORTS: u32 = 2;

/// A fence that has ended on some cells; for the node of the next holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedFence {
    /// First cell.
    pub first: CellIndex,
    /// Last cell.
    pub last: CellIndex,
    /// Fence that has ended.
    pub fence: PlanVersion,
    /// Handover token, or empty.
    pub handover: Box<str>,
}

/// Grants of one node.
#[derive(Debug, Clone)]
pub struct GrantTable {
    timing: GrantTiming,
    guards: GrantGuards,
    host: Box<str>,
    instance: Option<UpstreamInstance>,
    /// Lives that ended; their late heartbeats grant nothing.
    ended_instances: Vec<UpstreamInstance>,
    /// Whether the present life is known to use the upstream's address.
    address_confirmed: bool,
    /// When the holds of an earlier process of this node have surely ended.
    earlier_holds_end: Instant,
    last_sequence: u64,
    cells: Vec<CellState>,
    ranges: Option<ServiceRanges>,
    version: PlanVersion,
    /// Since when each folded plan has named this host as a holder.
    member_since: Option<Instant>,
    /// Whether a heartbeat to this process showed that nothing is held under a later plan.
    no_later_holds: bool,
}

impl GrantTable {
    /// A book without a plan.
    pub fn new(host: Box<str>, timing: GrantTiming, guards: GrantGuards, now: Instant) -> Self {
        Self {
            timing,
            guards,
            host,
            instance: None,
            ended_instances: Vec::new(),
            address_confirmed: false,
            earlier_holds_end: timing.hold_end(now),
            last_sequence: 0,
            cells: vec![CellState::default(); CELLS],
            ranges: None,
            version: 0,
            member_since: None,
            no_later_holds: false,
        }
    }

    /// Times of the grants.
    pub fn timing(&self) -> GrantTiming {
        self.timing
    }

    /// Whether this process can say that nothing was granted here under a later plan than the
    /// one folded: neither by itself nor by an earlier process.
    pub fn attests(&self) -> bool {
        self.no_later_holds || !self.guards.heartbeat_proof
    }

    /// Guards of the grants.
    pub const fn guards(&self) -> GrantGuards {
        self.guards
    }

    /// Life of the upstream beside, once it was heard.
    pub fn instance(&self) -> Option<&UpstreamInstance> {
        self.instance.as_ref()
    }

    /// Folds the division of a newer plan. `contiguous` says that no plan between the last one and
    /// this one was missed; the first plan of all is whole too.
    pub fn fold(
        &mut self,
        version: PlanVersion,
        after: ServiceRanges,
        contiguous: bool,
        now: Instant,
    ) {
        let before = self.ranges.take();
        let old = before.as_ref().map(ServiceRanges::cells);
        let member = after.holder_on(&self.host).is_some();
        self.member_since = self.member_since.filter(|_| member).or(member.then_some(now));
        // Nodes under plans that do not name this host did not ask it before they granted on.
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
            if contiguous && old_holder.is_some_and(stays) {
                // The same upstream goes on under a higher fence.
                if cell.fence > 0 {
                    cell.assign(new.fence);
                }
                continue;
            }
            if !contiguous && new.fence > holder.settled_version && self.guards.snapshot_wait {
                cell.add_prior_grant(UNKNOWN_FENCE, ends_at);
            }
            if known > 0 {
                cell.add_prior_grant(known, ends_at);
            }
            if cell.fence > 0 {
                cell.revoke();
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

    /// A fence of an earlier holder has ended.
    pub fn apply_ended(&mut self, row: &EndedFence) {
        for index in row.first..=row.last.min(CELLS - 1) {
            let cell = &mut self.cells[index];
            cell.mark_ended(row.fence);
            if !row.handover.is_empty() {
                cell.handover = Some(HandoverRow { fence: row.fence, token: row.handover.clone() });
            }
        }
    }

    /// Takes a heartbeat, and answers with what the upstream is to hold. Nothing is granted
    /// after `permitted_until`.
    pub fn take_report(
        &mut self,
        report: &UpstreamReport,
        permitted_until: Option<Instant>,
        now: Instant,
    ) -> Option<GrantReply> {
        if self.ended_instances.contains(&report.instance) {
            return None;
        }
        if self.instance.as_ref() != Some(&report.instance) {
            if self
                .instance
                .as_ref()
                .is_some_and(|instance| is_superseded(&report.instance, instance))
            {
                return None;
            }
            self.change_instance(report.instance.clone(), now);
        }
        if report.sequence <= self.last_sequence {
            return None;
        }
        self.last_sequence = report.sequence;
        self.apply_held(report);
        self.end_revoked_fences(now);
        let permitted = permitted_until.is_some_and(|until| now < until);
        permitted.then(|| self.grant(report.sequence, now))
    }

    fn apply_held(&mut self, report: &UpstreamReport) {
        let mut held = vec![0; CELLS];
        for row in &report.holds {
            for cell in &mut held[cells_of_keys(row.first, row.last)] {
                *cell = row.fence;
            }
        }
        for (cell, held) in self.cells.iter_mut().zip(held) {
            cell.apply_held(held, report.sequence);
        }
        self.no_later_holds |= report.holds.iter().all(|row| row.fence <= self.version);
        for row in &report.freed {
            for index in cells_of_keys(row.first, row.last) {
                self.cells[index].apply_freed(&row.handover);
            }
        }
    }

    /// Ends the fences whose last hold has run out or is known to be gone.
    fn end_revoked_fences(&mut self, now: Instant) {
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

    /// Fences that have ended here, for the nodes of the cells' present holders: host and rows.
    /// The caller sends them until [`Self::remove_acknowledged`].
    pub fn ended_fences(&mut self, now: Instant) -> Vec<(Box<str>, Vec<EndedFence>)> {
        self.end_revoked_fences(now);
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

    /// Drops fences whose end was acknowledged.
    pub fn remove_acknowledged(&mut self, rows: &[EndedFence]) {
        for row in rows {
            for index in row.first..=row.last.min(CELLS - 1) {
                self.cells[index].revoked.retain(|revoked_grant| {
                    revoked_grant.fence != row.fence || !revoked_grant.ended
                });
            }
        }
    }

    /// Whether the cell may be used at the upstream now.
    pub fn is_granted(&self, index: CellIndex, now: Instant) -> bool {
        let cell = &self.cells[index];
        cell.fence > 0 && cell.granted_until.is_some_and(|until| now < until)
    }

    /// Cells that may be used now, one flag each.
    pub fn granted_cells(&self, now: Instant) -> Vec<bool> {
        (0..CELLS).map(|index| self.is_granted(index, now)).collect()
    }

    /// Plan version up to which nothing that an earlier holder of this node's cells had can
    /// still run.
    pub fn settled_version(&self, now: Instant) -> PlanVersion {
        let open = self.cells.iter().filter(|cell| cell.fence > 0 && !cell.prior_grants_ended(now));
        let first_open = open.map(|cell| cell.fence).min();
        first_open.map_or(self.version, |fence| fence - 1)
    }

    /// Cells that the plan gives to the upstream, and those of them that wait for an earlier
    /// holder's end.
    pub fn waiting_cells(&self, now: Instant) -> (usize, usize) {
        let ours = self.cells.iter().filter(|cell| cell.fence > 0);
        let waiting = ours.clone().filter(|cell| !cell.prior_grants_ended(now));
        (ours.count(), waiting.count())
    }

    fn grant(&mut self, sequence: u64, now: Instant) -> GrantReply {
        let until = self.timing.hold_end(now);
        let mut rows: Vec<GrantRow> = Vec::new();
        for (index, cell) in self.cells.iter_mut().enumerate() {
            let free = cell.prior_grants_ended(now) || !self.guards.prior_wait;
            if cell.fence == 0 || !free {
                continue;
            }
            cell.prior_grants.clear();
            cell.granted_until = Some(until);
            cell.granted_sequence = sequence;
            let handover = if cell.held == cell.fence { None } else { cell.handover.as_ref() };
            let token = handover.map_or("", |row| &*row.token);
            let (first, last) = keys_of_cells(index, index);
            match rows.last_mut() {
                Some(row)
                    if u32::from(row.last) + 1 == u32::from(first)
                        && row.fence == cell.fence
                        && *row.handover == *token =>
                {
                    row.last = last;
                }
                _ => {
                    rows.push(GrantRow { first, last, fence: cell.fence, handover: token.into() });
                }
            }
        }
        GrantReply { rows, hold: self.timing.hold }
    }
}

fn cells_of_keys(first: u16, last: u16) -> std::ops::Range<CellIndex> {
    if last < first {
        return 0..0;
    }
    usize::from(first) / CELL_KEYS..usize::from(last) / CELL_KEYS + 1
}

fn add_ended(rows: &mut Vec<EndedFence>, index: CellIndex, revoked_grant: &RevokedGrant) {
    match rows.last_mut() {
        Some(row)
            if row.last + 1 == index
                && row.fence == revoked_grant.fence
                && row.handover == revoked_grant.handover =>
        {
            row.last = index;
        }
        _ => rows.push(EndedFence {
            first: index,
            last: index,
            fence: revoked_grant.fence,
            handover: revoked_grant.handover.clone(),
        }),
    }
}
