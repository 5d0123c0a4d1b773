//! What a node knows of one cell: its fence, earlier holders, fences that end here.

use std::time::Instant;

use crate::version::PlanVersion;

/// Right of an earlier holder that may still run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PriorGrant {
    pub(super) fence: PlanVersion,
    pub(super) ends_at: Instant,
}

/// Fence that this node's upstream lost and whose end is still to be shown.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct RevokedGrant {
    pub(super) fence: PlanVersion,
    /// Times that a heartbeat showed the cell as not held since the last grant.
    pub(super) absent_reports: u32,
    pub(super) handover: Box<str>,
    pub(super) ended: bool,
    /// Whether the life that held it is the present one, whose heartbeats speak of it.
    pub(super) current_instance: bool,
}

/// A handover token, and the fence under which its sender held the cell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct HandoverRow {
    pub(super) fence: PlanVersion,
    pub(super) token: Box<str>,
}

#[derive(Debug, Clone, Default)]
pub(super) struct CellState {
    /// Fence under which this node's upstream is to hold the cell; 0 if it is not to.
    pub(super) fence: PlanVersion,
    pub(super) prior_grants: Vec<PriorGrant>,
    /// Fences known to have ended, before or after the plan that replaced them was folded.
    pub(super) ended: Vec<PlanVersion>,
    pub(super) handover: Option<HandoverRow>,
    pub(super) revoked: Vec<RevokedGrant>,
    /// End of the last hold that this process granted.
    pub(super) granted_until: Option<Instant>,
    /// Heartbeat on whose answer the last grant went out.
    pub(super) granted_sequence: u64,
    /// Fence that the upstream last reported; 0 if it did not hold the cell.
    pub(super) held: u64,
}

impl CellState {
    pub(super) fn add_prior_grant(&mut self, fence: PlanVersion, ends_at: Instant) {
        if !self.ended.contains(&fence) {
            self.prior_grants.push(PriorGrant { fence, ends_at });
        }
    }

    pub(super) fn mark_ended(&mut self, fence: PlanVersion) {
        self.prior_grants.retain(|row| row.fence != fence);
        if !self.ended.contains(&fence) {
            self.ended.push(fence);
        }
    }

    /// The cell is to be held under a fence; what was said of that fence's end holds no more.
    pub(super) fn assign(&mut self, fence: PlanVersion) {
        self.fence = fence;
        self.revoked.retain(|row| row.fence != fence);
    }

    pub(super) fn revoke(&mut self) {
        let handover = "".into();
        let fence = self.fence;
        self.revoked.push(RevokedGrant {
            fence,
            absent_reports: 0,
            handover,
            ended: false,
            current_instance: true,
        });
    }

    /// The life that was to hold the cell is not the present one any more.
    pub(super) fn revoke_instance(&mut self, ended: bool) {
        self.held = 0;
        if self.fence > 0 {
            self.revoke();
        }
        self.fence = 0;
        for row in &mut self.revoked {
            row.current_instance = false;
            row.ended |= ended;
        }
        if ended {
            self.granted_until = None;
        }
    }

    pub(super) fn prior_grants_ended(&self, now: Instant) -> bool {
        self.prior_grants.iter().all(|row| now >= row.ends_at)
    }

    pub(super) fn apply_held(&mut self, held: u64, sequence: u64) {
        self.held = held;
        if held == 0 {
            if sequence > self.granted_sequence {
                self.revoked.iter_mut().for_each(|row| row.absent_reports += 1);
            }
            return;
        }
        self.revoked.iter_mut().for_each(|row| row.absent_reports = 0);
        if held == self.fence {
            // Only this fence's holder could have been given it, after all before had ended.
            self.prior_grants.clear();
        }
    }

    pub(super) fn apply_freed(&mut self, handover: &str) {
        for row in self.revoked.iter_mut().filter(|row| row.current_instance) {
            row.ended = true;
            row.handover = handover.into();
        }
    }
}
