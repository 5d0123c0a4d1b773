//! Proofs that other holders lapsed.
//!
//! A proof needs promises from a majority of the newest witness set that the taker knows, and
//! from a majority of each older one a promise or the word that the set was superseded and its
//! last grant has run out. A witness whose process provably ended counts once a full lease time
//! has passed since that was folded.

use std::time::Instant;

use super::{LeaseTiming, SafetyGuards};
use crate::connection::{LapseAnswer, LapseReply};
use crate::version::{FoldState, WitnessSet};
use crate::{LogOffset, NodeId};

/// Pursuits and proofs by holder.
#[derive(Debug, Clone)]
pub struct LapseTable {
    timing: LeaseTiming,
    guards: SafetyGuards,
    pursuits: Vec<LapsePursuit>,
    proofs: Vec<LapseProof>,
    ended: Vec<EndedFence>,
}

#[derive(Debug, Clone)]
struct LapsePursuit {
    target: NodeId,
    answers: Vec<WitnessAnswer>,
    ask_at: Instant,
}

#[derive(Debug, Clone, Copy)]
struct WitnessAnswer {
    witness: NodeId,
    newest_set: LogOffset,
    answer: LapseAnswer,
    line_offset: LogOffset,
}

#[derive(Debug, Clone, Copy)]
struct LapseProof {
    target: NodeId,
    at: Instant,
}

/// When this process folded that another ended.
#[derive(Debug, Clone, Copy)]
struct EndedFence {
    node: NodeId,
    /// When it folded that the member ended.
    at: Instant,
    /// When it folded that the member's process ended.
    process_at: Option<Instant>,
}

/// What a pursuit needs next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LapseCheck {
    /// Witnesses to ask, with the newest set that the taker knows.
    Ask(LogOffset, Vec<NodeId>),
    /// Wait for answers.
    Wait,
    /// The lapse is proven now.
    Proven,
}

impl LapseTable {
    /// An empty table.
    pub const fn new(timing: LeaseTiming, guards: SafetyGuards) -> Self {
        Self { timing, guards, pursuits: Vec::new(), proofs: Vec::new(), ended: Vec::new() }
    }

    /// Notes the members that the state holds ended.
    pub fn fold_departed(&mut self, state: &FoldState, now: Instant) {
        for row in &state.departed {
            let process_ended = row.reason.process_ended();
            match self.ended.binary_search_by_key(&row.id, |ended| ended.node) {
                Ok(index) if process_ended && self.ended[index].process_at.is_none() => {
                    self.ended[index].process_at = Some(now);
                }
                Ok(_) => {}
                Err(index) => {
                    let process_at = process_ended.then_some(now);
                    self.ended.insert(index, EndedFence { node: row.id, at: now, process_at });
                }
            }
        }
        self.ended.retain(|ended| state.departed(ended.node).is_some());
        self.proofs.retain(|proof| {
            state.member(proof.target).is_some() || state.departed(proof.target).is_some()
        });
    }

    /// Time since which the process of a node is known to have ended, and its grants run out.
    pub fn closed_since(&self, node: NodeId, now: Instant) -> Option<Instant> {
        let index = self.ended.binary_search_by_key(&node, |ended| ended.node).ok()?;
        let closed_at = self.ended[index].process_at? + self.timing.full_lease();
        (closed_at <= now).then_some(closed_at)
    }

    /// Time at which this process folded that a member ended.
    pub fn ended_at(&self, node: NodeId) -> Option<Instant> {
        let index = self.ended.binary_search_by_key(&node, |ended| ended.node).ok()?;
        Some(self.ended[index].at)
    }

    /// Time at which the lapse of a node was proven here.
    pub fn proven_at(&self, node: NodeId) -> Option<Instant> {
        let index = self.proofs.binary_search_by_key(&node, |proof| proof.target).ok()?;
        Some(self.proofs[index].at)
    }

    /// Nodes proven here that the log does not hold ended.
    pub fn unrecorded<'a>(&'a self, state: &'a FoldState) -> impl Iterator<Item = NodeId> + 'a {
        let open = |node: &NodeId| state.member(*node).is_some();
        self.proofs.iter().map(|proof| proof.target).filter(open)
    }

    /// Whether a pursuit of `target` runs.
    pub fn is_pursued(&self, target: NodeId) -> bool {
        self.pursuits.binary_search_by_key(&target, |pursuit| pursuit.target).is_ok()
    }

    /// Targets of all pursuits.
    pub fn targets(&self) -> Vec<NodeId> {
        self.pursuits.iter().map(|pursuit| pursuit.target).collect()
    }

    /// Begins to pursue `target`.
    pub fn pursue(&mut self, target: NodeId, now: Instant) {
        if self.proven_at(target).is_some() {
            return;
        }
        if let Err(index) = self.pursuits.binary_search_by_key(&target, |pursuit| pursuit.target) {
            let pursuit = LapsePursuit { target, answers: Vec::new(), ask_at: now };
            self.pursuits.insert(index, pursuit);
        }
    }

    /// Ends a pursuit without a proof.
    pub fn give_up(&mut self, target: NodeId) {
        self.pursuits.retain(|pursuit| pursuit.target != target);
    }

    /// Takes a witness's answer; returns whether it shows the holder alive.
    pub fn answered(&mut self, witness: NodeId, reply: &LapseReply) -> bool {
        let Ok(index) = self.pursuits.binary_search_by_key(&reply.target, |pursuit| pursuit.target)
        else {
            return false;
        };
        let pursuit = &mut self.pursuits[index];
        let row = WitnessAnswer {
            witness,
            newest_set: reply.newest_set,
            answer: reply.answer,
            line_offset: reply.line_offset,
        };
        match pursuit.answers.iter_mut().find(|answer| answer.witness == witness) {
            // A promise is for ever; only its line offset may not be lost.
            Some(old) if old.answer == LapseAnswer::Promised => {}
            Some(old) => *old = row,
            None => pursuit.answers.push(row),
        }
        let half = self.timing.lease / 2;
        let fresh = |answer: &&WitnessAnswer| matches!(answer.answer, LapseAnswer::NotYet { remaining } if remaining > half);
        pursuit.answers.iter().filter(fresh).count() >= 2
    }

    /// Advances the pursuit of `target`.
    pub fn check(&mut self, state: &FoldState, target: NodeId, now: Instant) -> LapseCheck {
        let Ok(index) = self.pursuits.binary_search_by_key(&target, |pursuit| pursuit.target)
        else {
            return LapseCheck::Wait;
        };
        let Some(row) = state.witness_row(target) else { return LapseCheck::Wait };
        let Some(newest) = row.newest() else { return LapseCheck::Wait };
        if self.is_complete(state, &self.pursuits[index], now) {
            self.pursuits.remove(index);
            let index = self.proofs.partition_point(|proof| proof.target < target);
            self.proofs.insert(index, LapseProof { target, at: now });
            return LapseCheck::Proven;
        }
        let pursuit = &mut self.pursuits[index];
        if now < pursuit.ask_at {
            return LapseCheck::Wait;
        }
        pursuit.ask_at = now + self.timing.resend;
        let answers = &pursuit.answers;
        let promised = |node: &NodeId| {
            let done =
                |row: &WitnessAnswer| row.witness == *node && row.answer == LapseAnswer::Promised;
            answers.iter().any(done)
        };
        let mut open: Vec<_> =
            row.sets.iter().flat_map(|set| &set.nodes).copied().filter(|n| !promised(n)).collect();
        open.sort_unstable();
        open.dedup();
        LapseCheck::Ask(newest.offset, open)
    }

    fn is_complete(&self, state: &FoldState, pursuit: &LapsePursuit, now: Instant) -> bool {
        let Some(row) = state.witness_row(pursuit.target) else { return false };
        let Some(newest) = row.newest() else { return false };
        let acted_under = pursuit.answers.iter().map(|answer| answer.line_offset).max();
        if self.guards.fence_order && acted_under.unwrap_or(0) >= state.next_offset {
            return false;
        }
        let older = &row.sets[..row.sets.len() - 1];
        let older_closed = !self.guards.old_sets_closed
            || older.iter().all(|set| self.is_closed(pursuit, set, newest.offset, true, now));
        older_closed && self.is_closed(pursuit, newest, newest.offset, false, now)
    }

    fn is_closed(
        &self,
        pursuit: &LapsePursuit,
        set: &WitnessSet,
        newest: LogOffset,
        is_older: bool,
        now: Instant,
    ) -> bool {
        let counts = |node: &&NodeId| {
            if self.closed_since(**node, now).is_some() {
                return true;
            }
            pursuit.answers.iter().filter(|row| row.witness == **node).any(|row| match row.answer {
                LapseAnswer::Promised => true,
                LapseAnswer::Superseded => is_older && row.newest_set == newest,
                LapseAnswer::NotYet { .. } | LapseAnswer::TakerBehind => false,
            })
        };
        set.nodes.iter().filter(counts).count() >= set.majority()
    }
}
