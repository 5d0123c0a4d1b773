//! The upstream's lives: which one uses the address, and what those before it held.

use std::time::Instant;

use super::GrantTable;
use super::cell_state::RevokedGrant;
use crate::version::{HolderRow, UpstreamInstance};

impl GrantTable {
    /// The upstream's life changed. What the former life held has ended if the new one was born later.
    pub(super) fn change_instance(&mut self, instance: UpstreamInstance, now: Instant) {
        let address_confirmed =
            self.instance.as_ref().is_some_and(|old| is_superseded(old, &instance));
        if let Some(old) = self.instance.replace(instance) {
            self.ended_instances.push(old);
        }
        self.last_sequence = 0;
        self.address_confirmed = false;
        self.revoke_cells(address_confirmed);
        self.assign_own_cells(now);
    }

    /// Whether cells wait for a proof that an earlier life on this host has ended.
    pub fn needs_address_check(&self) -> bool {
        let Some(instance) = self.instance.as_ref().filter(|_| !self.address_confirmed) else {
            return false;
        };
        let earlier = |row: &HolderRow| row.host == self.host && row.instance != *instance;
        let planned = self.ranges.as_ref().is_some_and(|ranges| ranges.holders.iter().any(earlier));
        let open = |row: &RevokedGrant| !row.ended && !row.current_instance;
        planned || self.cells.iter().any(|cell| cell.revoked.iter().any(open))
    }

    /// The upstream's address answered as a life of this id: each other life that used the
    /// address has ended.
    pub fn confirm_address(&mut self, id: &str, now: Instant) {
        if self.instance.as_ref().is_none_or(|instance| *instance.id != *id) {
            return;
        }
        self.address_confirmed = true;
        for cell in &mut self.cells {
            for row in cell.revoked.iter_mut().filter(|row| !row.current_instance) {
                row.ended = true;
            }
        }
        self.end_earlier_instances();
        self.end_revoked_fences(now);
    }

    /// Ends what the plan in force gives to other lives on this host, once the present one is
    /// known to use the address.
    pub(super) fn end_earlier_instances(&mut self) {
        let (Some(ranges), Some(instance), true) =
            (&self.ranges, &self.instance, self.address_confirmed)
        else {
            return;
        };
        for (index, row) in ranges.cells().into_iter().enumerate() {
            let holder = &ranges.holders[usize::from(row.holder)];
            if holder.host == self.host && holder.instance != *instance {
                self.cells[index].mark_ended(row.fence);
            }
        }
    }

    /// The upstream's process was seen gone: what it held has ended.
    pub fn end_instance(&mut self) {
        self.instance = None;
        self.address_confirmed = false;
        self.revoke_cells(true);
    }

    /// Nothing is held under the present life any more; `ended` says that its holds, and those of
    /// the lives before it, have ended too.
    fn revoke_cells(&mut self, ended: bool) {
        for cell in &mut self.cells {
            cell.revoke_instance(ended);
        }
    }

    /// Takes the cells that the plan in force gives to the present life. Cells of an earlier
    /// life on this host, which the present one proves dead, have ended.
    fn assign_own_cells(&mut self, now: Instant) {
        let (Some(ranges), Some(instance)) = (&self.ranges, &self.instance) else { return };
        for (index, row) in ranges.cells().into_iter().enumerate() {
            let holder = &ranges.holders[usize::from(row.holder)];
            if holder.host != self.host {
                continue;
            }
            let cell = &mut self.cells[index];
            if holder.instance == *instance {
                cell.assign(row.fence);
            } else if is_superseded(&holder.instance, instance) {
                cell.mark_ended(row.fence);
            }
        }
        self.end_revoked_fences(now);
    }
}

/// Whether the later life's existence proves that the earlier one has ended: both have the same
/// place, and the later was born after it.
pub(super) fn is_superseded(earlier: &UpstreamInstance, later: &UpstreamInstance) -> bool {
    earlier.born_ms > 0 && earlier.born_ms < later.born_ms
}
