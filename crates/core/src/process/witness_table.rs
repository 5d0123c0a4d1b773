//! Leases that a node grants to other nodes as their witness.
//!
//! A witness makes two kinds of promise. A grant promises the holder that it may rely on the
//! lease for its duration. A promise of revocation assures the node that wants to prove the
//! revocation that the witness never grants the holder a lease again. A witness gives the second
//! only after the first has expired, and keeps both until its process ends.

use std::time::{Duration, Instant};

use super::{LeaseTiming, SafetyGuards};
use crate::connection::{RenewRequest, RenewVerdict, RevokeRequest, RevokeVerdict, SwitchVerdict};
use crate::version::{FoldState, WitnessSet};
use crate::{LogOffset, NodeId};

/// Time between two reports of the same silent holder.
const SILENCE_NOTICE_INTERVAL: Duration = Duration::from_millis(500);

/// Grants and promises, by holder.
#[derive(Debug, Clone)]
pub struct WitnessTable {
    timing: LeaseTiming,
    guards: SafetyGuards,
    /// Sorted by holder.
    rows: Vec<WitnessGrant>,
}

#[derive(Debug, Clone)]
struct WitnessGrant {
    holder: NodeId,
    /// Time at which the last grant expires.
    until: Instant,
    /// Highest assignment offset named in a granted renewal.
    assignment_offset: LogOffset,
    /// Whether this witness promised the revocation, and so may never grant again.
    promised: bool,
    /// Time from which the holder is next reported silent, unless it renews.
    notice_at: Instant,
}

impl WitnessTable {
    /// Creates an empty table.
    pub const fn new(timing: LeaseTiming, guards: SafetyGuards) -> Self {
        Self { timing, guards, rows: Vec::new() }
    }

    /// Answers a renewal by `holder`; `me` is the witness's own id.
    pub fn renew(
        &mut self,
        state: &FoldState,
        me: NodeId,
        holder: NodeId,
        request: &RenewRequest,
        now: Instant,
    ) -> RenewVerdict {
        let newest = newest_set(state, holder);
        let newest_offset = newest.map_or(0, |set| set.offset);
        if holder < state.next_offset && state.member(holder).is_none() {
            return RenewVerdict::Promised;
        }
        if request.set > newest_offset {
            return RenewVerdict::Behind;
        }
        if request.set < newest_offset && self.guards.old_set_refuses {
            return RenewVerdict::Superseded;
        }
        let in_set = state.witness_row(holder).is_some_and(|row| {
            row.sets.iter().any(|set| set.offset == request.set && set.contains(me))
        });
        if !in_set {
            return RenewVerdict::Superseded;
        }
        let lease = self.timing.lease;
        let promise = self.guards.promise;
        let row = self.row_or_insert(holder, now);
        if row.promised && promise {
            return RenewVerdict::Promised;
        }
        row.until = row.until.max(now + lease);
        row.assignment_offset = row.assignment_offset.max(request.assignment_offset);
        row.notice_at = row.until;
        RenewVerdict::Granted
    }

    /// Answers whether `holder` may switch to a newer witness set.
    pub fn switch_set(
        &mut self,
        state: &FoldState,
        holder: NodeId,
        set: LogOffset,
    ) -> SwitchVerdict {
        if newest_set(state, holder).is_none_or(|newest| newest.offset < set) {
            return SwitchVerdict::Behind;
        }
        match self.find(holder) {
            Some(row) if row.promised => SwitchVerdict::Promised,
            _ => SwitchVerdict::Allowed,
        }
    }

    /// Answers a revocation request, with the highest assignment offset named in a granted renewal.
    ///
    /// Promises the revocation if the last grant has expired and the requester knows the holder's
    /// newest witness set.
    pub fn promise_revocation(
        &mut self,
        state: &FoldState,
        me: NodeId,
        request: RevokeRequest,
        now: Instant,
    ) -> (RevokeVerdict, LogOffset) {
        let newest = newest_set(state, request.target);
        let newest_offset = newest.map_or(0, |set| set.offset);
        let outside = newest.is_some_and(|set| !set.contains(me));
        let promise = self.guards.promise;
        let row = self.row_or_insert(request.target, now);
        let verdict = if newest_offset > request.newest_set {
            RevokeVerdict::RequesterBehind
        } else if row.until > now && promise {
            RevokeVerdict::NotYet { remaining: row.until - now }
        } else if outside && newest_offset == request.newest_set && !row.promised {
            RevokeVerdict::Superseded
        } else {
            row.promised = true;
            RevokeVerdict::Promised
        };
        (verdict, row.assignment_offset)
    }

    /// Returns the holders whose grants expired without a renewal and whose next report is due.
    pub fn due_silences(&mut self, now: Instant) -> Vec<NodeId> {
        let mut silent = Vec::new();
        for row in &mut self.rows {
            if row.notice_at <= now && row.until <= now {
                row.notice_at = now + SILENCE_NOTICE_INTERVAL;
                silent.push(row.holder);
            }
        }
        silent
    }

    /// Whether the last grant to `holder` has not expired yet.
    pub fn is_granted(&self, holder: NodeId, now: Instant) -> bool {
        self.find(holder).is_some_and(|row| row.until > now)
    }

    /// Drops rows of holders that ended and whose grants expired.
    ///
    /// Renewals of an ended holder are refused even without a row, so no promise is forgotten.
    pub fn retain_members(&mut self, state: &FoldState, now: Instant) {
        let next = state.next_offset;
        self.rows.retain(|row| {
            row.until > now || row.holder >= next || state.member(row.holder).is_some()
        });
    }

    fn find(&self, holder: NodeId) -> Option<&WitnessGrant> {
        let index = self.rows.binary_search_by_key(&holder, |row| row.holder).ok()?;
        Some(&self.rows[index])
    }

    fn row_or_insert(&mut self, holder: NodeId, now: Instant) -> &mut WitnessGrant {
        let index = match self.rows.binary_search_by_key(&holder, |row| row.holder) {
            Ok(index) => index,
            Err(index) => {
                let row = WitnessGrant {
                    holder,
                    until: now,
                    assignment_offset: 0,
                    promised: false,
                    notice_at: now + SILENCE_NOTICE_INTERVAL,
                };
                self.rows.insert(index, row);
                index
            }
        };
        &mut self.rows[index]
    }
}

fn newest_set(state: &FoldState, holder: NodeId) -> Option<&WitnessSet> {
    state.witness_row(holder).and_then(|row| row.newest())
}
