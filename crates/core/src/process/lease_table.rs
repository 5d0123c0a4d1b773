//! The lease that a node holds; one lease covers all partitions that it owns.

use std::time::Instant;

use super::{LeaseTiming, SafetyGuards};
use crate::connection::{RenewReply, RenewVerdict, SwitchReply, SwitchVerdict};
use crate::version::{WitnessRow, WitnessSet};
use crate::{LogOffset, NodeId};

/// Maximum number of sent renewals that are kept, to match late replies to them.
const MAX_SENT_RENEWALS: usize = 8;

/// Holder's side of the lease protocol.
#[derive(Debug, Clone)]
pub struct LeaseTable {
    timing: LeaseTiming,
    guards: SafetyGuards,
    /// Witness set that renewals are sent under.
    active: Option<WitnessSet>,
    /// Newer set that the holder is switching to.
    next: Option<WitnessSet>,
    /// Witnesses of the active set that allowed the switch.
    switch_confirmed_by: Vec<NodeId>,
    /// First set after the one that the deadline was granted under; `None` once the active set
    /// granted.
    ungranted: Option<LogOffset>,
    /// Newest grant of each witness of the active set, sorted by witness.
    grants: Vec<GrantRow>,
    /// Newest renewals sent, oldest first.
    sent: Vec<SentRenewal>,
    /// Sequence number of the last renewal sent.
    sequence: u64,
    /// Time of the next renewal; `None` if it is due at once.
    renew_at: Option<Instant>,
    /// Time until which the node may act, on its own clock.
    deadline: Option<Instant>,
    /// Witnesses of the active set that promised never to grant this holder again.
    refused: Vec<NodeId>,
}

/// Newest grant from one witness. The lease counts from the sending of the renewal, which is
/// never later than the witness's own start.
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

/// One renewal to send to all witnesses of a set.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RenewalRound {
    /// Offset of the set to renew under.
    pub set: LogOffset,
    /// Sequence number of the renewal, which ties a reply to the time of sending.
    pub sequence: u64,
    /// Witnesses to send it to.
    pub witnesses: Vec<NodeId>,
    /// Offset of a newer set, and the witnesses that have not allowed the switch to it yet.
    pub switch: Option<(LogOffset, Vec<NodeId>)>,
}

impl LeaseTable {
    /// Creates a table without a lease.
    pub const fn new(timing: LeaseTiming, guards: SafetyGuards) -> Self {
        Self {
            timing,
            guards,
            active: None,
            next: None,
            switch_confirmed_by: Vec::new(),
            ungranted: None,
            grants: Vec::new(),
            sent: Vec::new(),
            sequence: 0,
            renew_at: None,
            deadline: None,
            refused: Vec::new(),
        }
    }

    /// Applies the node's witness sets as they are after a record was folded.
    pub fn fold_sets(&mut self, row: &WitnessRow) {
        let Some(active) = &self.active else {
            self.active = row.sets.first().cloned();
            self.ungranted = self.active_set();
            self.renew_at = None;
            return self.fold_newer_sets(row);
        };
        debug_assert!(row.newest().is_some_and(|set| set.offset >= active.offset));
        self.fold_newer_sets(row);
    }

    fn fold_newer_sets(&mut self, row: &WitnessRow) {
        let active = self.active.as_ref().map_or(0, |set| set.offset);
        let next = row.sets.iter().find(|set| set.offset > active);
        if self.next.as_ref().map(|set| set.offset) != next.map(|set| set.offset) {
            self.next = next.cloned();
            self.switch_confirmed_by.clear();
            self.renew_at = None;
            if !self.guards.confirmed_switch {
                self.complete_switch();
            }
        }
    }

    /// Returns the renewal that is due at `now`, if any, and schedules the next one.
    pub fn due_renewal(
        &mut self,
        assignment_offset: LogOffset,
        now: Instant,
    ) -> Option<RenewalRound> {
        if self.renew_at.is_some_and(|at| now < at) {
            return None;
        }
        let active = self.active.clone()?;
        let gap = if self.next.is_some() { self.timing.resend } else { self.timing.renew };
        self.renew_at = Some(now + gap);
        self.sequence += 1;
        if self.sent.len() == MAX_SENT_RENEWALS {
            self.sent.remove(0);
        }
        self.sent.push(SentRenewal { sequence: self.sequence, sent_at: now, assignment_offset });
        let switch = self.next.as_ref().map(|next| {
            let open = active.nodes.iter().filter(|node| !self.switch_confirmed_by.contains(node));
            (next.offset, open.copied().collect())
        });
        Some(RenewalRound {
            set: active.offset,
            sequence: self.sequence,
            witnesses: active.nodes,
            switch,
        })
    }

    /// Makes the next renewal due at once.
    pub fn renew_now(&mut self) {
        self.renew_at = None;
    }

    /// Applies a witness's reply to a renewal.
    pub fn apply_renew_reply(&mut self, witness: NodeId, reply: &RenewReply) {
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
        self.ungranted = None;
    }

    /// Applies a witness's reply to a switch request; a majority of the active set completes the
    /// switch.
    pub fn apply_switch_reply(&mut self, witness: NodeId, reply: SwitchReply) {
        let expected = self.next.as_ref().map(|set| set.offset);
        let Some(active) = &self.active else { return };
        if expected != Some(reply.set) || !active.contains(witness) {
            return;
        }
        if reply.verdict != SwitchVerdict::Allowed || self.switch_confirmed_by.contains(&witness) {
            return;
        }
        self.switch_confirmed_by.push(witness);
        if self.switch_confirmed_by.len() >= active.majority() {
            self.complete_switch();
        }
    }

    fn complete_switch(&mut self) {
        self.active = self.next.take();
        if self.ungranted.is_none() {
            self.ungranted = self.active_set();
        }
        self.switch_confirmed_by.clear();
        self.grants.clear();
        self.refused.clear();
        self.renew_at = None;
    }

    /// Time until which the node may act, on its own clock.
    pub const fn deadline(&self) -> Option<Instant> {
        self.deadline
    }

    /// Whether the lease is valid at `now`.
    pub fn is_valid(&self, now: Instant) -> bool {
        self.deadline.is_some_and(|deadline| now < deadline)
    }

    /// Discards the lease, because the clock that it was measured with cannot be trusted; the next
    /// grants restore it.
    pub fn discard(&mut self) {
        self.deadline = None;
        self.grants.clear();
        self.sent.clear();
        self.renew_at = None;
    }

    /// Offset of the witness set that renewals are sent under.
    pub fn active_set(&self) -> Option<LogOffset> {
        self.active.as_ref().map(|set| set.offset)
    }

    /// Offset of the first witness set that must not be acknowledged yet, because the deadline may
    /// rest on a grant from an earlier set.
    pub fn first_ungranted(&self) -> Option<LogOffset> {
        self.ungranted.or_else(|| self.next.as_ref().map(|set| set.offset))
    }

    /// Whether the holder waits for the active set to allow the switch to a newer one.
    pub const fn is_switching(&self) -> bool {
        self.next.is_some()
    }

    /// Highest assignment offset that a majority of witnesses knows the holder may act under.
    pub fn majority_assignment_offset(&self) -> LogOffset {
        let Some(majority) = self.active.as_ref().map(WitnessSet::majority) else { return 0 };
        let mut offsets: Vec<_> = self.grants.iter().map(|grant| grant.assignment_offset).collect();
        offsets.sort_unstable_by(|a, b| b.cmp(a));
        offsets.get(majority - 1).copied().unwrap_or(0)
    }

    /// Whether no majority can ever grant again, because too many witnesses promised a revocation.
    pub fn is_lost(&self) -> bool {
        self.active
            .as_ref()
            .is_some_and(|set| self.refused.len() > set.nodes.len() - set.majority())
    }
}
