//! Proofs that the leases of other holders are revoked.
//!
//! A lease is revoked if no witness set can grant it again and every grant has expired. A proof
//! needs, from a majority of the holder's newest witness set that this node knows, the promise
//! never to grant again. From a majority of each older set it needs either that promise or the
//! reply that the set is superseded and the witness's last grant has expired. A witness whose
//! process provably ended counts as well, once a full lease duration has passed since this node
//! folded the record of that end.

use std::time::Instant;

use super::{LeaseTiming, SafetyGuards};
use crate::connection::{RevokeReply, RevokeVerdict};
use crate::version::{FoldState, WitnessSet};
use crate::{LogOffset, NodeId};

/// Inquiries in progress, completed proofs and the members known to have ended, each sorted by
/// node.
#[derive(Debug, Clone)]
pub struct RevocationTable {
    timing: LeaseTiming,
    guards: SafetyGuards,
    inquiries: Vec<RevocationInquiry>,
    proofs: Vec<RevocationProof>,
    ended: Vec<MemberEnd>,
}

/// Replies collected so far for the proof that the lease of one holder is revoked.
#[derive(Debug, Clone)]
struct RevocationInquiry {
    target: NodeId,
    replies: Vec<WitnessReply>,
    /// Time from which the next requests to the witnesses are due.
    request_at: Instant,
}

/// Newest reply of one witness, or its promise if it gave one.
#[derive(Debug, Clone, Copy)]
struct WitnessReply {
    witness: NodeId,
    /// Newest set named in the request.
    newest_set: LogOffset,
    verdict: RevokeVerdict,
    /// Highest assignment offset under which the witness granted the holder.
    assignment_offset: LogOffset,
}

/// A completed proof.
#[derive(Debug, Clone, Copy)]
struct RevocationProof {
    target: NodeId,
    /// Time at which it was completed.
    at: Instant,
}

/// Times at which this process folded that a member ended.
#[derive(Debug, Clone, Copy)]
struct MemberEnd {
    node: NodeId,
    /// Time at which it folded that the incarnation ended.
    at: Instant,
    /// Time at which it folded that the member's process ended, if it did.
    process_at: Option<Instant>,
}

/// Next step of an inquiry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RevocationCheck {
    /// Send requests to these witnesses; the offset is that of the holder's newest set that this
    /// node knows.
    Request(LogOffset, Vec<NodeId>),
    /// Wait for replies.
    Wait,
    /// The proof was completed by this call.
    Proven,
}

impl RevocationTable {
    /// Creates an empty table.
    pub const fn new(timing: LeaseTiming, guards: SafetyGuards) -> Self {
        Self { timing, guards, inquiries: Vec::new(), proofs: Vec::new(), ended: Vec::new() }
    }

    /// Notes the members that ended according to the folded state.
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
                    self.ended.insert(index, MemberEnd { node: row.id, at: now, process_at });
                }
            }
        }
        self.ended.retain(|ended| state.departed(ended.node).is_some());
        self.proofs.retain(|proof| {
            state.member(proof.target).is_some() || state.departed(proof.target).is_some()
        });
    }

    /// Time at which all grants of a node whose process ended had expired; `None` if the process is
    /// not known to have ended or a grant may still be valid at `now`.
    ///
    /// The time is one full lease after this process folded that the process ended.
    pub fn expired_since(&self, node: NodeId, now: Instant) -> Option<Instant> {
        let index = self.ended.binary_search_by_key(&node, |ended| ended.node).ok()?;
        let expired_at = self.ended[index].process_at? + self.timing.full_lease();
        (expired_at <= now).then_some(expired_at)
    }

    /// Time at which this process folded that a member's incarnation ended.
    pub fn ended_at(&self, node: NodeId) -> Option<Instant> {
        let index = self.ended.binary_search_by_key(&node, |ended| ended.node).ok()?;
        Some(self.ended[index].at)
    }

    /// Time at which this process proved the revocation of a node's lease.
    pub fn proven_at(&self, node: NodeId) -> Option<Instant> {
        let index = self.proofs.binary_search_by_key(&node, |proof| proof.target).ok()?;
        Some(self.proofs[index].at)
    }

    /// Nodes whose revocation is proven here and that are still members according to the log.
    pub fn unrecorded<'a>(&'a self, state: &'a FoldState) -> impl Iterator<Item = NodeId> + 'a {
        let is_member = |node: &NodeId| state.member(*node).is_some();
        self.proofs.iter().map(|proof| proof.target).filter(is_member)
    }

    /// Whether an inquiry about `target` is in progress.
    pub fn is_inquired(&self, target: NodeId) -> bool {
        self.inquiries.binary_search_by_key(&target, |inquiry| inquiry.target).is_ok()
    }

    /// Targets of all inquiries in progress.
    pub fn targets(&self) -> Vec<NodeId> {
        self.inquiries.iter().map(|inquiry| inquiry.target).collect()
    }

    /// Starts an inquiry about `target`, unless one is in progress or the revocation is proven.
    pub fn start_inquiry(&mut self, target: NodeId, now: Instant) {
        if self.proven_at(target).is_some() {
            return;
        }
        if let Err(index) = self.inquiries.binary_search_by_key(&target, |inquiry| inquiry.target) {
            let inquiry = RevocationInquiry { target, replies: Vec::new(), request_at: now };
            self.inquiries.insert(index, inquiry);
        }
    }

    /// Ends an inquiry without a proof.
    pub fn cancel_inquiry(&mut self, target: NodeId) {
        self.inquiries.retain(|inquiry| inquiry.target != target);
    }

    /// Applies a witness's reply. Returns whether the holder is evidently alive: at least two
    /// witnesses replied that more than half of the lease remains.
    pub fn apply_revoke_reply(&mut self, witness: NodeId, reply: &RevokeReply) -> bool {
        let Ok(index) =
            self.inquiries.binary_search_by_key(&reply.target, |inquiry| inquiry.target)
        else {
            return false;
        };
        let inquiry = &mut self.inquiries[index];
        let row = WitnessReply {
            witness,
            newest_set: reply.newest_set,
            verdict: reply.verdict,
            assignment_offset: reply.assignment_offset,
        };
        match inquiry.replies.iter_mut().find(|row| row.witness == witness) {
            // A promise is permanent: a later reply must not replace it or its `assignment_offset`.
            Some(old) if old.verdict == RevokeVerdict::Promised => {}
            Some(old) => *old = row,
            None => inquiry.replies.push(row),
        }
        let half = self.timing.lease / 2;
        let fresh = |row: &&WitnessReply| matches!(row.verdict, RevokeVerdict::NotYet { remaining } if remaining > half);
        inquiry.replies.iter().filter(fresh).count() >= 2
    }

    /// Checks whether the proof for `target` is complete, and otherwise returns the witnesses to
    /// send requests to.
    pub fn check(&mut self, state: &FoldState, target: NodeId, now: Instant) -> RevocationCheck {
        let Ok(index) = self.inquiries.binary_search_by_key(&target, |inquiry| inquiry.target)
        else {
            return RevocationCheck::Wait;
        };
        let Some(row) = state.witness_row(target) else { return RevocationCheck::Wait };
        let Some(newest) = row.newest() else { return RevocationCheck::Wait };
        if self.is_complete(state, &self.inquiries[index], now) {
            self.inquiries.remove(index);
            let index = self.proofs.partition_point(|proof| proof.target < target);
            self.proofs.insert(index, RevocationProof { target, at: now });
            return RevocationCheck::Proven;
        }
        let inquiry = &mut self.inquiries[index];
        if now < inquiry.request_at {
            return RevocationCheck::Wait;
        }
        inquiry.request_at = now + self.timing.resend;
        let replies = &inquiry.replies;
        let promised = |node: &NodeId| {
            let done =
                |row: &WitnessReply| row.witness == *node && row.verdict == RevokeVerdict::Promised;
            replies.iter().any(done)
        };
        let mut unpromised: Vec<_> =
            row.sets.iter().flat_map(|set| &set.nodes).copied().filter(|n| !promised(n)).collect();
        unpromised.sort_unstable();
        unpromised.dedup();
        RevocationCheck::Request(newest.offset, unpromised)
    }

    /// Whether the newest set and all older sets are closed, and this node has folded every
    /// assignment that the holder may have acted under.
    fn is_complete(&self, state: &FoldState, inquiry: &RevocationInquiry, now: Instant) -> bool {
        let Some(row) = state.witness_row(inquiry.target) else { return false };
        let Some(newest) = row.newest() else { return false };
        let highest_assignment_offset =
            inquiry.replies.iter().map(|row| row.assignment_offset).max();
        if self.guards.fence_order && highest_assignment_offset.unwrap_or(0) >= state.next_offset {
            return false;
        }
        let older = &row.sets[..row.sets.len() - 1];
        let older_closed = !self.guards.old_sets_closed
            || older.iter().all(|set| self.is_set_closed(inquiry, set, newest.offset, true, now));
        older_closed && self.is_set_closed(inquiry, newest, newest.offset, false, now)
    }

    /// Whether a majority of a set can never grant the holder again. The reply that the set is
    /// superseded counts only for an older set, and only if the request named the newest one.
    fn is_set_closed(
        &self,
        inquiry: &RevocationInquiry,
        set: &WitnessSet,
        newest: LogOffset,
        is_older: bool,
        now: Instant,
    ) -> bool {
        let counts = |node: &&NodeId| {
            if self.expired_since(**node, now).is_some() {
                return true;
            }
            inquiry.replies.iter().filter(|row| row.witness == **node).any(|row| {
                match row.verdict {
                    RevokeVerdict::Promised => true,
                    RevokeVerdict::Superseded => is_older && row.newest_set == newest,
                    RevokeVerdict::NotYet { .. } | RevokeVerdict::RequesterBehind => false,
                }
            })
        };
        set.nodes.iter().filter(counts).count() >= set.majority()
    }
}
