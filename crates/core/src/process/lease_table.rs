//! The one lease that a node holds for all that it owns.

use std::time::Instant;

use super::{LeaseTiming, SafetyGuards};
use crate::connection::{RenewReply, RenewVerdict, SwitchReply, SwitchVerdict};
use crate::version::{WitnessRow, WitnessSet};
use crate::{LogOffset, NodeId};

/// Renewals remembered for matching late replies.
const SENT_MEMORY: usize = 8;

/// The holder's side of the lease.
#[derive(Debug, Clone)]
pub struct LeaseTable {
    timing: LeaseTiming,
    guards: SafetyGuards,
    /// Set in use.
    active: Option<WitnessSet>,
    /// Newer set that the holder moves to.
    next: Option<WitnessSet>,
    /// Witnesses of the active set that let the holder move.
    clean: Vec<NodeId>,
    /// First set after the one that the deadline was granted under.
    unsettled: Option<LogOffset>,
    grants: Vec<GrantRow>,
    sent: Vec<SentRenewal>,
    sequence: u64,
    renew_at: Option<Instant>,
    deadline: Option<Instant>,
    refused: Vec<NodeId>,
}

/// Newest grant of one witness.
#[derive(Debug, Clone, Copy)]
struct GrantRow {
    witness: NodeId,
    sent_at: Instant,
    assignment_offset: LogOffset,
}

#[derive(Debug, Clone, Copy)]
struct SentRenewal {
    sequence: u64,
    sent_at: Instant,
    assignment_offset: LogOffset,
}

/// A renewal to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RenewalRound {
    /// Set to renew under.
    pub set: LogOffset,
    /// Sequence of the renewal.
    pub sequence: u64,
    /// Witnesses to send it to.
    pub witnesses: Vec<NodeId>,
    /// Witnesses to ask for a move, with the newer set's offset.
    pub moves: Option<(LogOffset, Vec<NodeId>)>,
}

impl LeaseTable {
    /// A table without a lease.
    pub const fn new(timing: LeaseTiming, guards: SafetyGuards) -> Self {
        Self {
            timing,
            guards,
            active: None,
            next: None,
            clean: Vec::new(),
            unsettled: None,
            grants: Vec::new(),
            sent: Vec::new(),
            sequence: 0,
            renew_at: None,
            deadline: None,
            refused: Vec::new(),
        }
    }

    /// Takes the sets of a newly folded record.
    pub fn fold_sets(&mut self, row: &WitnessRow) {
        let Some(active) = &self.active else {
            self.active = row.sets.first().cloned();
            self.unsettled = self.active_set();
            self.renew_at = None;
            return self.fold_sets_after(row);
        };
        debug_assert!(row.newest().is_some_and(|set| set.offset >= active.offset));
        self.fold_sets_after(row);
    }

    fn fold_sets_after(&mut self, row: &WitnessRow) {
        let active = self.active.as_ref().map_or(0, |set| set.offset);
        let next = row.sets.iter().find(|set| set.offset > active);
        if self.next.as_ref().map(|set| set.offset) != next.map(|set| set.offset) {
            self.next = next.cloned();
            self.clean.clear();
            self.renew_at = None;
            if !self.guards.clean_move {
                self.move_on();
            }
        }
    }

    /// The renewal due at `now`, if one is.
    pub fn round(&mut self, assignment_offset: LogOffset, now: Instant) -> Option<RenewalRound> {
        if self.renew_at.is_some_and(|at| now < at) {
            return None;
        }
        let active = self.active.clone()?;
        let gap = if self.next.is_some() { self.timing.resend } else { self.timing.renew };
        self.renew_at = Some(now + gap);
        self.sequence += 1;
        if self.sent.len() == SENT_MEMORY {
            self.sent.remove(0);
        }
        self.sent.push(SentRenewal { sequence: self.sequence, sent_at: now, assignment_offset });
        let moves = self.next.as_ref().map(|next| {
            let open = active.nodes.iter().filter(|node| !self.clean.contains(node));
            (next.offset, open.copied().collect())
        });
        Some(RenewalRound {
            set: active.offset,
            sequence: self.sequence,
            witnesses: active.nodes,
            moves,
        })
    }

    /// Makes the next renewal due at once.
    pub fn hurry(&mut self) {
        self.renew_at = None;
    }

    /// Takes a witness's answer to a renewal.
    pub fn renewed(&mut self, witness: NodeId, reply: &RenewReply) {
        let Some(active) = &self.active else { return };
        if reply.set != active.offset || !active.contains(witness) {
            return;
        }
        match reply.verdict {
            RenewVerdict::Granted => self.count_grant(witness, reply.sequence),
            RenewVerdict::Promised if !self.refused.contains(&witness) => {
                self.refused.push(witness);
            }
            _ => {}
        }
    }

    fn count_grant(&mut self, witness: NodeId, sequence: u64) {
        let Some(sent) = self.sent.iter().find(|sent| sent.sequence == sequence).copied() else {
            return;
        };
        let row =
            GrantRow { witness, sent_at: sent.sent_at, assignment_offset: sent.assignment_offset };
        match self.grants.binary_search_by_key(&witness, |grant| grant.witness) {
            Ok(index) if self.grants[index].sent_at < row.sent_at => self.grants[index] = row,
            Ok(_) => {}
            Err(index) => self.grants.insert(index, row),
        }
        self.update_deadline();
    }

    fn update_deadline(&mut self) {
        let Some(majority) = self.active.as_ref().map(WitnessSet::majority) else { return };
        let mut sent: Vec<_> = self.grants.iter().map(|grant| grant.sent_at).collect();
        sent.sort_unstable_by(|a, b| b.cmp(a));
        let Some(oldest) = sent.get(majority - 1) else { return };
        let lease =
            if self.guards.drift_margin { self.timing.holder_lease() } else { self.timing.lease };
        let deadline = *oldest + lease;
        self.deadline = Some(self.deadline.map_or(deadline, |old| old.max(deadline)));
        self.unsettled = None;
    }

    /// Takes a witness's answer to a move.
    pub fn moved(&mut self, witness: NodeId, reply: SwitchReply) {
        let expected = self.next.as_ref().map(|set| set.offset);
        let Some(active) = &self.active else { return };
        if expected != Some(reply.set) || !active.contains(witness) {
            return;
        }
        if reply.verdict != SwitchVerdict::Allowed || self.clean.contains(&witness) {
            return;
        }
        self.clean.push(witness);
        if self.clean.len() >= active.majority() {
            self.move_on();
        }
    }

    fn move_on(&mut self) {
        self.active = self.next.take();
        if self.unsettled.is_none() {
            self.unsettled = self.active_set();
        }
        self.clean.clear();
        self.grants.clear();
        self.refused.clear();
        self.renew_at = None;
    }

    /// Time until which the node may act, on its own clock.
    pub const fn deadline(&self) -> Option<Instant> {
        self.deadline
    }

    /// Whether the lease holds at `now`.
    pub fn is_valid(&self, now: Instant) -> bool {
        self.deadline.is_some_and(|deadline| now < deadline)
    }

    /// Forgets the lease after a clock that cannot be trusted; the next grants restore it.
    pub fn distrust(&mut self) {
        self.deadline = None;
        self.grants.clear();
        self.sent.clear();
        self.renew_at = None;
    }

    /// Offset of the set in use.
    pub fn active_set(&self) -> Option<LogOffset> {
        self.active.as_ref().map(|set| set.offset)
    }

    /// First set that must not be acknowledged: the deadline may rest on one before it.
    pub fn first_unsettled(&self) -> Option<LogOffset> {
        self.unsettled.or_else(|| self.next.as_ref().map(|set| set.offset))
    }

    /// Whether a newer set waits for the present one to let the holder go.
    pub const fn is_moving(&self) -> bool {
        self.next.is_some()
    }

    /// Highest line offset that a majority of witnesses knows the holder to act under.
    pub fn line_majority(&self) -> LogOffset {
        let Some(majority) = self.active.as_ref().map(WitnessSet::majority) else { return 0 };
        let mut offsets: Vec<_> = self.grants.iter().map(|grant| grant.assignment_offset).collect();
        offsets.sort_unstable_by(|a, b| b.cmp(a));
        offsets.get(majority - 1).copied().unwrap_or(0)
    }

    /// Whether a majority can never grant again, because too many promised the lapse.
    pub fn is_lost(&self) -> bool {
        self.active
            .as_ref()
            .is_some_and(|set| self.refused.len() > set.nodes.len() - set.majority())
    }
}
