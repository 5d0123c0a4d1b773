//! When a node claims the planner's term, and what it plans.
//!
//! A planner is no authority. Its plans name the revision that they were computed from, and
//! readers drop any other; two planners at once cost appends and nothing else.

use std::time::{Duration, Instant};

use super::LeaseTiming;
use crate::version::FoldState;
use crate::{LogOffset, NodeId};

/// Time between two plans, which lets changes gather.
const PLAN_GAP: Duration = Duration::from_millis(50);

/// Time that a needed plan may be missing before the next node claims the term.
const PLAN_PATIENCE: Duration = Duration::from_millis(400);

/// Time added for each place behind the planner, so that claims come one at a time.
const RANK_GAP: Duration = Duration::from_millis(60);

/// Time between two records that only raise the floor.
const FLOOR_GAP: Duration = Duration::from_millis(400);

/// Records folded since a checkpoint before the next one.
const CHECKPOINT_RECORDS: u64 = 512;

/// Acknowledged offsets by member, and the times of the planner's work.
#[derive(Debug, Clone)]
pub struct PlannerDesk {
    checkpoint_gap: Duration,
    acked: Vec<AckedRow>,
    plan_at: Instant,
    floor_at: Instant,
    /// Revision at which the node saw that a plan is missing, and since when.
    missing: Option<(LogOffset, Instant)>,
    checked: LogOffset,
    checkpoint_offset: LogOffset,
    checkpoint_at: Instant,
}

#[derive(Debug, Clone, Copy)]
struct AckedRow {
    node: NodeId,
    offset: LogOffset,
}

impl PlannerDesk {
    /// A desk that writes a checkpoint at least every `checkpoint_gap`.
    pub fn new(checkpoint_gap: Duration, now: Instant) -> Self {
        Self {
            checkpoint_gap,
            acked: Vec::new(),
            plan_at: now,
            floor_at: now + FLOOR_GAP,
            missing: None,
            checked: 0,
            checkpoint_offset: 0,
            checkpoint_at: now,
        }
    }

    /// A member acknowledged an offset.
    pub fn acked(&mut self, node: NodeId, offset: LogOffset) {
        match self.acked.binary_search_by_key(&node, |row| row.node) {
            Ok(index) => self.acked[index].offset = self.acked[index].offset.max(offset),
            Err(index) => self.acked.insert(index, AckedRow { node, offset }),
        }
    }

    /// Offset that every member acknowledged, 0 while one is unheard.
    pub fn floor(&self, state: &FoldState) -> LogOffset {
        let heard = |node: NodeId| {
            let index = self.acked.binary_search_by_key(&node, |row| row.node).ok()?;
            Some(self.acked[index].offset)
        };
        state.members.iter().map(|row| heard(row.id).unwrap_or(row.id)).min().unwrap_or(0)
    }

    /// Drops what was heard of members that ended.
    pub fn retain_members(&mut self, state: &FoldState) {
        self.acked.retain(|row| state.member(row.node).is_some());
    }

    /// A checkpoint was folded.
    pub fn checkpoint_seen(&mut self, offset: LogOffset, now: Instant) {
        self.checkpoint_offset = offset;
        self.checkpoint_at = now;
    }

    /// Whether the planner should write a checkpoint.
    pub fn checkpoint_due(&self, state: &FoldState, now: Instant) -> bool {
        let records = state.next_offset.saturating_sub(self.checkpoint_offset);
        let late = now.duration_since(self.checkpoint_at) >= self.checkpoint_gap;
        // Without new records too: the last checkpoint expires as any record.
        records >= CHECKPOINT_RECORDS || late
    }

    /// Whether a planner may plan now; notes the time if so.
    pub fn plan_due(&mut self, now: Instant) -> bool {
        if now < self.plan_at {
            return false;
        }
        self.plan_at = now + PLAN_GAP;
        true
    }

    /// Whether raising the floor alone is worth a record now; notes the time if so.
    pub fn floor_due(&mut self, state: &FoldState, floor: LogOffset, now: Instant) -> bool {
        if floor <= state.floor || now < self.floor_at {
            return false;
        }
        let assignments = state.partitions.iter().filter_map(|row| row.assignments.get(1));
        let sets = state.witnesses.iter().filter_map(|row| row.sets.get(1));
        let superseded =
            assignments.map(|assignment| assignment.offset).chain(sets.map(|set| set.offset));
        if !superseded.into_iter().any(|offset| offset <= floor) {
            return false;
        }
        self.floor_at = now + FLOOR_GAP;
        true
    }

    /// Whether `me` should claim the term; `needed` tells whether the state wants a plan.
    pub fn claim_due(
        &mut self,
        state: &FoldState,
        me: NodeId,
        needed: impl FnOnce() -> bool,
        now: Instant,
    ) -> bool {
        let planner = state.term.planner.and_then(|planner| state.member(planner));
        let vacant = planner.is_none();
        let overdue = now.duration_since(self.checkpoint_at) >= self.checkpoint_gap * 2
            && self.checkpoint_due(state, now);
        if self.missing.is_none_or(|(revision, _)| revision != state.revision) {
            self.missing = Some((state.revision, now));
        }
        let since = self.missing.map_or(now, |(_, since)| since);
        let rank = rank_behind_planner(state, me);
        let patience = if vacant { Duration::ZERO } else { PLAN_PATIENCE } + RANK_GAP * rank;
        if now.duration_since(since) < patience {
            return false;
        }
        if vacant || overdue {
            self.missing = Some((state.revision, now));
            return true;
        }
        if self.checked == state.revision {
            return false;
        }
        self.checked = state.revision;
        needed()
    }

    /// Allows another check of the same revision, after a plan was appended in vain.
    pub fn recheck(&mut self) {
        self.checked = 0;
    }

    /// Time between a member's messages to the planner.
    pub fn heartbeat_gap(timing: &LeaseTiming) -> Duration {
        timing.renew * 2
    }
}

/// Members that come before `me` when the planner is replaced, at most 100.
fn rank_behind_planner(state: &FoldState, me: NodeId) -> u32 {
    let planner = state.term.planner.unwrap_or(0);
    let count = state.members.len();
    let start = state.members.partition_point(|row| row.id <= planner);
    let place = state.members.partition_point(|row| row.id < me);
    let rank = (place + count - start.min(count)) % count.max(1);
    u32::try_from(rank).unwrap_or(u32::MAX).min(100)
}
