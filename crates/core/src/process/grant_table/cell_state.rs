//! What a node knows of one cell: its fence, earlier holders, fences that end here.

use std::time::Instant;

use crate::version::PlanVersion;

/// Right of an earlier holder that may still run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PriorRow {
    pub(super) fence: PlanVersion,
    pub(super) ends_at: Instant,
}

/// Fence that this node's upstream lost and whose end is still to be shown.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct LosingRow {
    pub(super) fence: PlanVersion,
    /// Times that a heartbeat showed the cell as not held since the last grant.
    pub(super) absent: u32,
    pub(super) handover: Box<str>,
    pub(super) ended: bool,
    /// Whether the life that held it is the present one, whose heartbeats speak of it.
    pub(super) present_life: bool,
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
    pub(super) priors: Vec<PriorRow>,
    /// Fences known to have ended, before or after the plan that replaced them was folded.
    pub(super) ended: Vec<PlanVersion>,
    pub(super) handover: Option<HandoverRow>,
    pub(super) losing: Vec<LosingRow>,
    /// End of the last hold that this process granted.
    pub(super) granted_until: Option<Instant>,
    /// Heartbeat on whose answer the last grant went out.
    pub(super) granted_sequence: u64,
    /// Fence that the upstream last reported; 0 if it did not hold the cell.
    pub(super) held: u64,
}

impl CellState {
    pub(super) fn add_prior(&mut self, fence: PlanVersion, ends_at: Instant) {
        if !self.ended.contains(&fence) {
            self.priors.push(PriorRow { fence, ends_at });
        }
    }

    pub(super) fn note_ended(&mut self, fence: PlanVersion) {
        self.priors.retain(|row| row.fence != fence);
        if !self.ended.contains(&fence) {
            self.ended.push(fence);
        }
    }

    /// The cell is to be held under a fence; what was said of that fence's end holds no more.
    pub(super) fn take(&mut self, fence: PlanVersion) {
        self.fence = fence;
        self.losing.retain(|row| row.fence != fence);
    }

    pub(super) fn lose(&mut self) {
        let handover = "".into();
        let fence = self.fence;
        self.losing.push(LosingRow {
            fence,
            absent: 0,
            handover,
            ended: false,
            present_life: true,
        });
    }

    /// The life that was to hold the cell is not the present one any more.
    pub(super) fn lose_life(&mut self, ended: bool) {
        self.held = 0;
        if self.fence > 0 {
            self.lose();
        }
        self.fence = 0;
        for row in &mut self.losing {
            row.present_life = false;
            row.ended |= ended;
        }
        if ended {
            self.granted_until = None;
        }
    }

    pub(super) fn is_free(&self, now: Instant) -> bool {
        self.priors.iter().all(|row| now >= row.ends_at)
    }

    pub(super) fn take_held(&mut self, held: u64, sequence: u64) {
        self.held = held;
        if held == 0 {
            if sequence > self.granted_sequence {
                self.losing.iter_mut().for_each(|row| row.absent += 1);
            }
            return;
        }
        self.losing.iter_mut().for_each(|row| row.absent = 0);
        if held == self.fence {
            // Only this fence's holder could have been given it, after all before had ended.
            self.priors.clear();
        }
    }

    pub(super) fn take_freed(&mut self, handover: &str) {
        for row in self.losing.iter_mut().filter(|row| row.present_life) {
            row.ended = true;
            row.handover = handover.into();
        }
    }
}
