//! Grants that a node gives as a witness.
//!
//! A grant is a promise in one direction (the holder may count on a lease time) and a lapse is a
//! promise in the other (the holder is never granted again). A witness gives the second only
//! after the first has run out, and remembers both until its process ends.

use std::time::{Duration, Instant};

use super::{LeaseTiming, SafetyGuards};
use crate::connection::{RenewRequest, RenewVerdict, RevokeAnswer, RevokeRequest, SwitchVerdict};
use crate::version::{FoldState, WitnessSet};
use crate::{LogOffset, NodeId};

/// Time between two notices of the same silence.
const SILENCE_REPEAT: Duration = Duration::from_millis(500);

/// Grants by holder.
#[derive(Debug, Clone)]
pub struct WitnessTable {
    timing: LeaseTiming,
    guards: SafetyGuards,
    rows: Vec<WitnessGrant>,
}

#[derive(Debug, Clone)]
struct WitnessGrant {
    holder: NodeId,
    /// Time at which the last grant runs out.
    until: Instant,
    /// Highest line offset granted under.
    assignment_offset: LogOffset,
    promised: bool,
    notice_at: Instant,
}

impl WitnessTable {
    /// An empty table.
    pub const fn new(timing: LeaseTiming, guards: SafetyGuards) -> Self {
        Self { timing, guards, rows: Vec::new() }
    }

    /// Answers a renewal by `holder`.
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
        let row = self.row(holder, now);
        if row.promised && promise {
            return RenewVerdict::Promised;
        }
        row.until = row.until.max(now + lease);
        row.assignment_offset = row.assignment_offset.max(request.assignment_offset);
        row.notice_at = row.until;
        RenewVerdict::Granted
    }

    /// Answers a move of `holder` to a newer set.
    pub fn move_set(&mut self, state: &FoldState, holder: NodeId, set: LogOffset) -> SwitchVerdict {
        if newest_set(state, holder).is_none_or(|newest| newest.offset < set) {
            return SwitchVerdict::Behind;
        }
        match self.find(holder) {
            Some(row) if row.promised => SwitchVerdict::Promised,
            _ => SwitchVerdict::Allowed,
        }
    }

    /// Answers a lapse query, with the highest line offset granted under.
    pub fn lapse(
        &mut self,
        state: &FoldState,
        me: NodeId,
        query: RevokeRequest,
        now: Instant,
    ) -> (RevokeAnswer, LogOffset) {
        let newest = newest_set(state, query.target);
        let newest_offset = newest.map_or(0, |set| set.offset);
        let outside = newest.is_some_and(|set| !set.contains(me));
        let promise = self.guards.promise;
        let row = self.row(query.target, now);
        let answer = if newest_offset > query.newest_set {
            RevokeAnswer::RequesterBehind
        } else if row.until > now && promise {
            RevokeAnswer::NotYet { remaining: row.until - now }
        } else if outside && newest_offset == query.newest_set && !row.promised {
            RevokeAnswer::Superseded
        } else {
            row.promised = true;
            RevokeAnswer::Promised
        };
        (answer, row.assignment_offset)
    }

    /// Holders whose grants ran out without a renewal, each noticed now and then.
    pub fn silent(&mut self, now: Instant) -> Vec<NodeId> {
        let mut silent = Vec::new();
        for row in &mut self.rows {
            if row.notice_at <= now && row.until <= now {
                row.notice_at = now + SILENCE_REPEAT;
                silent.push(row.holder);
            }
        }
        silent
    }

    /// Whether the holder's last grant here still runs.
    pub fn is_granted(&self, holder: NodeId, now: Instant) -> bool {
        self.find(holder).is_some_and(|row| row.until > now)
    }

    /// Drops rows of holders that ended and whose grants ran out.
    ///
    /// Renewals of an ended holder are refused without a row, so no promise is forgotten.
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

    fn row(&mut self, holder: NodeId, now: Instant) -> &mut WitnessGrant {
        let index = match self.rows.binary_search_by_key(&holder, |row| row.holder) {
            Ok(index) => index,
            Err(index) => {
                let row = WitnessGrant {
                    holder,
                    until: now,
                    assignment_offset: 0,
                    promised: false,
                    notice_at: now + SILENCE_REPEAT,
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
