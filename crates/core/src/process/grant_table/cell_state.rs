//! State of one cell at a node: the current fence, grants of earlier holders, and revoked fences
//! of this node's upstream.

use std::time::Instant;

use super::key_handover::{KeyHandover, insert_handover};
use super::reported_cell::ReportedCell;
use crate::version::PlanVersion;

/// Grant of an earlier holder that may not have ended yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct EarlierGrant {
    pub(super) fence: PlanVersion,
    /// Time by which it has ended, even if its node does not report that.
    pub(super) ends_at: Instant,
}

/// Fence that a plan took from this node's upstream, kept until the next holder's node has
/// acknowledged its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct RevokedGrant {
    pub(super) fence: PlanVersion,
    /// Consecutive heartbeats since the last grant that did not report the cell as held.
    pub(super) absent_reports: u32,
    /// Tokens of the keys that were released so far, sorted by key.
    pub(super) handovers: Vec<KeyHandover>,
    pub(super) ended: bool,
    /// Whether the instance that held it is the current one, so that heartbeats report on it.
    pub(super) current_instance: bool,
}

/// Handover tokens of an earlier holder, and the fence under which it held the cell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct HandoverRow {
    pub(super) fence: PlanVersion,
    /// Sorted by key; keys without a token are left out.
    pub(super) tokens: Vec<KeyHandover>,
}

/// What a released key proves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReleaseProof {
    /// The end of a fence, if the report with this sequence number lists no key of the cell as held and
    /// cannot have crossed the last grant.
    AllKeys {
        /// The report's sequence number.
        sequence: u64,
    },
    /// The end of a fence, whatever becomes of the other keys; only for tests.
    AnyKey,
}

/// Most ended fences that a cell remembers. The end of one that was forgotten is waited for.
const MAX_ENDED_FENCES: usize = 16;

#[derive(Debug, Clone, Default)]
pub(super) struct CellState {
    /// Fence under which the plan assigns the cell to this node's upstream; 0 if it does not.
    pub(super) fence: PlanVersion,
    /// Grants of earlier holders that must end before the cell is granted here.
    pub(super) earlier_grants: Vec<EarlierGrant>,
    /// Fences known to have ended. The report may arrive before the plan that replaces the fence
    /// is applied.
    pub(super) ended: Vec<PlanVersion>,
    pub(super) handover: Option<HandoverRow>,
    pub(super) revoked: Vec<RevokedGrant>,
    /// End of the last hold that this process granted.
    pub(super) granted_until: Option<Instant>,
    /// Fence of that grant.
    pub(super) granted_fence: PlanVersion,
    /// Sequence number of the heartbeat that the last grant answered.
    pub(super) granted_sequence: u64,
    /// Fence under which the last heartbeat reported all keys of the cell as held; 0 if it did not.
    pub(super) held: PlanVersion,
}

impl CellState {
    pub(super) fn add_earlier_grant(&mut self, fence: PlanVersion, ends_at: Instant) {
        if !self.ended.contains(&fence) {
            self.earlier_grants.push(EarlierGrant { fence, ends_at });
        }
    }

    pub(super) fn mark_ended(&mut self, fence: PlanVersion) {
        self.earlier_grants.retain(|row| row.fence != fence);
        if !self.ended.contains(&fence) {
            self.ended.push(fence);
            let surplus = self.ended.len().saturating_sub(MAX_ENDED_FENCES);
            self.ended.drain(..surplus);
        }
    }

    /// Assigns the cell to the upstream under a fence, and discards an earlier revocation of that
    /// fence.
    pub(super) fn assign(&mut self, fence: PlanVersion) {
        self.fence = fence;
        self.revoked.retain(|row| row.fence != fence);
    }

    /// Replaces the fence of a cell that the upstream keeps.
    pub(super) fn renumber(&mut self, fence: PlanVersion) {
        if self.granted_fence == self.fence {
            self.granted_fence = fence;
        }
        self.assign(fence);
    }

    /// Whether the upstream may still hold the cell under the present fence.
    pub(super) fn is_held(&self, now: Instant) -> bool {
        let granted = self.fence > 0 && self.granted_fence == self.fence;
        granted && self.granted_until.is_some_and(|until| now < until)
    }

    pub(super) fn revoke(&mut self) {
        self.revoked.push(RevokedGrant {
            fence: self.fence,
            absent_reports: 0,
            handovers: Vec::new(),
            ended: false,
            current_instance: true,
        });
    }

    /// Revokes the cell because the instance that it was assigned to is no longer the current one.
    /// `ended` says that this instance and those before it are known to be dead.
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

    pub(super) fn earlier_grants_ended(&self, now: Instant) -> bool {
        self.earlier_grants.iter().all(|row| now >= row.ends_at)
    }

    /// Applies which keys of the cell a heartbeat reports as held.
    pub(super) fn apply_held(&mut self, reported: ReportedCell, sequence: u64) {
        self.held = reported.whole_fence();
        if reported.is_absent() {
            if sequence > self.granted_sequence {
                self.revoked.iter_mut().for_each(|row| row.absent_reports += 1);
            }
            return;
        }
        self.revoked.iter_mut().for_each(|row| row.absent_reports = 0);
        if reported.highest_fence() == self.fence {
            // This fence was granted only after all earlier ones had ended.
            self.earlier_grants.clear();
        }
    }

    /// Applies that the upstream released keys of the cell, after [`Self::apply_held`] of the same
    /// report. A revoked fence has ended once no key is left that the upstream holds or is working on.
    pub(super) fn apply_freed(&mut self, handover: &KeyHandover, release: ReleaseProof) {
        for row in self.revoked.iter_mut().filter(|row| row.current_instance) {
            if !handover.token.is_empty() {
                insert_handover(&mut row.handovers, handover.clone());
            }
            row.ended |= match release {
                ReleaseProof::AllKeys { sequence } => {
                    row.absent_reports > 0 && sequence > self.granted_sequence + 1
                }
                ReleaseProof::AnyKey => true,
            };
        }
    }
}
