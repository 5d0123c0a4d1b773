//! Timing of the planner's work, and of claims to the planner role.
//!
//! Safety does not depend on there being one planner. A plan names the revision that it was
//! computed from, and readers drop a plan for any other revision; two planners at once cause
//! superfluous appends and nothing worse.

use std::time::{Duration, Instant};

use super::LeaseTiming;
use crate::version::{AssignmentRow, FoldState, epoch_of};
use crate::{LogOffset, NodeId};

/// Time between two plans, so that one plan covers several changes.
const PLAN_INTERVAL: Duration = Duration::from_millis(50);

/// Time that a needed plan may be missing before another node claims the planner role.
const PLAN_TIMEOUT: Duration = Duration::from_millis(400);

/// Delay added for each rank behind the planner, so that nodes do not all claim at once.
const CLAIM_STAGGER: Duration = Duration::from_millis(60);

/// Time between two plan records that only raise the floor (the offset that every member
/// acknowledged).
const FLOOR_INTERVAL: Duration = Duration::from_millis(400);

/// Number of records folded since the last checkpoint that makes the next one due.
const CHECKPOINT_RECORDS: u64 = 512;

/// Offsets acknowledged by members, and due times of the planner's work.
#[derive(Debug, Clone)]
pub struct PlannerSchedule {
    checkpoint_interval: Duration,
    /// Offset that each member acknowledged, sorted by node.
    acked: Vec<AckedRow>,
    /// Time from which the next plan may be written.
    plan_at: Instant,
    /// Time from which a record may raise the floor alone.
    floor_at: Instant,
    /// Revision that may need a plan, and the time at which this node first saw that revision.
    pending_revision: Option<(LogOffset, Instant)>,
    /// Revision for which this node last computed whether a plan is needed; 0 for none.
    checked_revision: LogOffset,
    /// Offset of the last checkpoint folded or snapshot installed; 0 for none.
    checkpoint_offset: LogOffset,
    /// Time at which that happened; until then, the time of the start.
    checkpoint_at: Instant,
}

#[derive(Debug, Clone, Copy)]
struct AckedRow {
    node: NodeId,
    offset: LogOffset,
}

impl PlannerSchedule {
    /// Creates a schedule with a checkpoint at least every `checkpoint_interval`.
    pub fn new(checkpoint_interval: Duration, now: Instant) -> Self {
        Self {
            checkpoint_interval,
            acked: Vec::new(),
            plan_at: now,
            floor_at: now + FLOOR_INTERVAL,
            pending_revision: None,
            checked_revision: 0,
            checkpoint_offset: 0,
            checkpoint_at: now,
        }
    }

    /// Notes the offset that a member acknowledged.
    pub fn note_ack(&mut self, node: NodeId, offset: LogOffset) {
        match self.acked.binary_search_by_key(&node, |row| row.node) {
            Ok(index) => self.acked[index].offset = self.acked[index].offset.max(offset),
            Err(index) => self.acked.insert(index, AckedRow { node, offset }),
        }
    }

    /// Returns the offset that every member has acknowledged, below that of any assignment that shows
    /// who served a partition before and that nobody has served under since.
    ///
    /// A member that has not sent an acknowledgement counts with its join offset.
    pub fn floor(&self, state: &FoldState) -> LogOffset {
        let acked = state.members.iter().map(|row| self.acked_offset(row.id)).min().unwrap_or(0);
        // An owner acknowledges an assignment only once it has served under it.
        let is_served = |assignment: &AssignmentRow| {
            let owner = assignment.nodes.first().copied();
            let owner = owner.filter(|owner| state.member(*owner).is_some());
            owner.is_some_and(|owner| self.acked_offset(owner) >= assignment.offset)
        };
        let unserved = state.partitions.iter().filter_map(|row| match &*row.assignments {
            [_, superseding, ..] if !row.current().is_some_and(is_served) => {
                Some(superseding.offset.saturating_sub(1))
            }
            _ => None,
        });
        unserved.min().unwrap_or(acked).min(acked)
    }

    fn acked_offset(&self, node: NodeId) -> LogOffset {
        let index = self.acked.binary_search_by_key(&node, |row| row.node);
        index.map_or(node, |index| self.acked[index].offset)
    }

    /// Starts over, in a new epoch of the log.
    pub fn restart(&mut self, now: Instant) {
        *self = Self::new(self.checkpoint_interval, now);
    }

    /// Drops the acknowledgements of members that ended.
    pub fn retain_members(&mut self, state: &FoldState) {
        self.acked.retain(|row| state.member(row.node).is_some());
    }

    /// Notes that a checkpoint was folded at `offset`.
    pub fn note_checkpoint(&mut self, offset: LogOffset, now: Instant) {
        self.checkpoint_offset = offset;
        self.checkpoint_at = now;
    }

    /// Whether the planner should write a checkpoint.
    pub fn checkpoint_due(&self, state: &FoldState, now: Instant) -> bool {
        let records = state.next_offset.saturating_sub(self.checkpoint_offset);
        let late = now.duration_since(self.checkpoint_at) >= self.checkpoint_interval;
        // A checkpoint is due even without new records, because the last one expires from the log
        // like any record.
        records >= CHECKPOINT_RECORDS || late
    }

    /// Whether the planner may write a plan now; if so, schedules the next one.
    pub fn plan_due(&mut self, now: Instant) -> bool {
        if now < self.plan_at {
            return false;
        }
        self.plan_at = now + PLAN_INTERVAL;
        true
    }

    /// Whether a record that only raises the floor is due; if so, schedules the next one.
    ///
    /// Such a record is worth its cost only if a superseded assignment or witness set can then be
    /// dropped.
    pub fn floor_due(&mut self, state: &FoldState, floor: LogOffset, now: Instant) -> bool {
        if floor <= state.floor || now < self.floor_at {
            return false;
        }
        let assignments = state.partitions.iter().filter_map(|row| row.assignments.get(1));
        let rows = state.witnesses.iter().filter(|row| epoch_of(row.member) == state.epoch());
        let sets = rows.filter_map(|row| row.sets.get(1));
        let superseded =
            assignments.map(|assignment| assignment.offset).chain(sets.map(|set| set.offset));
        if !superseded.into_iter().any(|offset| offset <= floor) {
            return false;
        }
        self.floor_at = now + FLOOR_INTERVAL;
        true
    }

    /// Whether `me` should claim the planner role; `needed` computes whether the state needs a
    /// plan, and is called at most once per revision.
    pub fn claim_due(
        &mut self,
        state: &FoldState,
        me: NodeId,
        needed: impl FnOnce() -> bool,
        now: Instant,
    ) -> bool {
        let planner = state.term.planner.and_then(|planner| state.member(planner));
        let vacant = planner.is_none();
        let overdue = now.duration_since(self.checkpoint_at) >= self.checkpoint_interval * 2
            && self.checkpoint_due(state, now);
        if self.pending_revision.is_none_or(|(revision, _)| revision != state.revision) {
            self.pending_revision = Some((state.revision, now));
        }
        let since = self.pending_revision.map_or(now, |(_, since)| since);
        let rank = rank_behind_planner(state, me);
        let delay = if vacant { Duration::ZERO } else { PLAN_TIMEOUT } + CLAIM_STAGGER * rank;
        if now.duration_since(since) < delay {
            return false;
        }
        if vacant || overdue {
            self.pending_revision = Some((state.revision, now));
            return true;
        }
        if self.checked_revision == state.revision {
            return false;
        }
        self.checked_revision = state.revision;
        needed()
    }

    /// Allows `needed` to be computed again for the same revision, after an append failed.
    pub fn allow_recheck(&mut self) {
        self.checked_revision = 0;
    }

    /// Time between two heartbeats of a member to the planner.
    pub fn heartbeat_interval(timing: &LeaseTiming) -> Duration {
        timing.renew * 2
    }
}

/// Number of members that claim before `me` when the planner is replaced, at most 100.
///
/// Members claim in the order of their ids, starting after the planner's and wrapping around.
fn rank_behind_planner(state: &FoldState, me: NodeId) -> u32 {
    let planner = state.term.planner.unwrap_or(0);
    let count = state.members.len();
    let start = state.members.partition_point(|row| row.id <= planner);
    let place = state.members.partition_point(|row| row.id < me);
    let rank = (place + count - start.min(count)) % count.max(1);
    u32::try_from(rank).unwrap_or(u32::MAX).min(100)
}
