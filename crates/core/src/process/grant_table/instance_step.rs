//! Changes of the upstream's instance: which one uses the address, and what earlier ones held.

use std::time::Instant;

use super::GrantTable;
use super::cell_state::RevokedGrant;
use crate::version::{HolderRow, UpstreamInstance};

/// Most ended instances that are remembered. A heartbeat is seconds late at most, an instance lives longer.
const MAX_ENDED_INSTANCES: usize = 64;

impl GrantTable {
    /// Makes `instance` the current one. The holds of the former instance have ended if it is
    /// known to be the new one's former life ([`proves_end`]).
    pub(super) fn change_instance(&mut self, instance: UpstreamInstance, now: Instant) {
        let address_confirmed =
            self.instance.as_ref().is_some_and(|old| proves_end(old, &instance));
        let refused = self.refused_instance.take().filter(|refused| *refused != instance);
        self.ended_instances.extend(refused);
        self.ended_instances.extend(self.instance.replace(instance));
        let surplus = self.ended_instances.len().saturating_sub(MAX_ENDED_INSTANCES);
        self.ended_instances.drain(..surplus);
        self.last_sequence = 0;
        self.address_confirmed = false;
        self.revoke_cells(address_confirmed);
        self.assign_own_cells(now);
    }

    /// Whether a health check is to tell which instance uses the address: cells wait until an earlier one is
    /// known to have ended, or one that counts as ended goes on sending reports.
    pub fn needs_address_check(&self) -> bool {
        if self.has_credible_claim() {
            return true;
        }
        let Some(instance) = self.instance.as_ref().filter(|_| !self.address_confirmed) else {
            return false;
        };
        let earlier = |row: &HolderRow| row.host == self.host && row.instance != *instance;
        let planned = self.ranges.as_ref().is_some_and(|ranges| ranges.holders.iter().any(earlier));
        let open = |row: &RevokedGrant| !row.ended && !row.current_instance;
        planned || self.cells.iter().any(|cell| cell.revoked.iter().any(open))
    }

    /// Records that an upstream with this id answered at the upstream's address. Does nothing if
    /// the current instance has another id. Otherwise every other instance that used the address
    /// has ended.
    pub fn confirm_address(&mut self, id: &str, now: Instant) {
        self.decide_claim(id, now);
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

    /// Ends the fences that the plan in force gives to other instances on this host, once the
    /// current one is known to use the address.
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

    /// Records that the upstream's process has ended, and with it everything that it held.
    pub fn end_instance(&mut self) {
        self.refused_instance = self.instance.take().or(self.refused_instance.take());
        self.address_confirmed = false;
        self.revoke_cells(true);
    }

    /// Revokes all cells of the current instance. `ended` says that its holds, and those of the
    /// instances before it, have ended too.
    fn revoke_cells(&mut self, ended: bool) {
        for cell in &mut self.cells {
            cell.revoke_instance(ended);
        }
        self.has_revoked = true;
    }

    /// Assigns the cells that the plan in force gives to the current instance, and ends the fences
    /// of earlier instances on this host that the current one supersedes.
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
            } else if proves_end(&holder.instance, instance) {
                cell.mark_ended(row.fence);
            }
        }
        self.end_revoked_fences(now);
    }
}

/// Whether a report of `later` proves that `earlier` has ended: it started after it under the same id.
/// Under another id, a health check is to show that `later` uses the address.
fn proves_end(earlier: &UpstreamInstance, later: &UpstreamInstance) -> bool {
    earlier.id == later.id && is_superseded(earlier, later)
}

/// Whether `later` started after `earlier`, whose reports are late then. An unknown start time of `earlier`
/// (0) says nothing.
pub(super) fn is_superseded(earlier: &UpstreamInstance, later: &UpstreamInstance) -> bool {
    earlier.born_ms > 0 && earlier.born_ms < later.born_ms
}
