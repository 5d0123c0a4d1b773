//! Members of ended epochs, until every right that they may still have has ended.
//!
//! A node joins an epoch a full lease after it gave up all older ones. Its join therefore ends the
//! rights of the earlier incarnations at its address, and the grants that they gave as witnesses.
//! A lost member's rights end once a majority of each of its witness sets has joined.
//!
//! A join can reach the log after the restore although its writer still was in an older epoch. It
//! cannot be told from one that the log kept, so it counts as that of a member until a join of the
//! same incarnation shows that it never was one.

use super::{FoldOutcome, FoldState, dropped};
use crate::version::{
    DepartReason, DepartedRow, EarlierMember, EpochJoin, FoldEpoch, MemberInfo, MemberRow,
    PlanRecord, WitnessRow, WitnessSet, epoch_of, epoch_offset, offset_in_log, partition_service,
};
use crate::{LogOffset, NodeId};

impl FoldState {
    /// The state before the first record, for a reader of the log in `epoch`.
    pub fn in_epoch(epoch: FoldEpoch) -> Self {
        let start = epoch_offset(epoch, 0);
        Self { next_offset: start + 1, revision: start, ..Self::default() }
    }

    /// Epoch of the log that this state was folded in.
    pub const fn epoch(&self) -> FoldEpoch {
        epoch_of(self.next_offset)
    }

    /// Returns what remains of a state of an older epoch for a reader that continues from it in
    /// `epoch`.
    #[must_use]
    pub fn continued_in(self, epoch: FoldEpoch) -> Self {
        let earlier = self.earlier_members();
        let manifest = self.manifest.map(|mut row| {
            row.offset = epoch_offset(epoch, offset_in_log(row.offset));
            row
        });
        let empty = Self::in_epoch(epoch);
        let mut next = Self {
            next_offset: epoch_offset(epoch, offset_in_log(self.next_offset)),
            revision: manifest.as_ref().map_or(empty.revision, |row| row.offset),
            manifest,
            services: self.services,
            next_service_id: self.next_service_id,
            recent_ids: self.recent_ids,
            ..empty
        };
        next.retain_partitions();
        next.note_earlier(&earlier);
        next
    }

    /// Members of this epoch and of older ones that a reader in a newer epoch has to wait for.
    pub fn earlier_members(&self) -> Vec<EarlierMember> {
        let sets = |id| self.witness_row(id).map_or_else(Vec::new, |row| row.sets.clone());
        let departed = self.departed.iter().map(|row| EarlierMember {
            id: row.id,
            info: row.info.clone(),
            ended: row.quiesced,
            sets: sets(row.id),
        });
        let member = |row: &MemberRow| EarlierMember {
            id: row.id,
            info: row.info.clone(),
            ended: false,
            sets: sets(row.id),
        };
        departed.chain(self.members.iter().map(member)).collect()
    }

    /// Whether a planner may assign partitions of a service: every right of older epochs has ended.
    ///
    /// Readers do not check this, as what they know of older epochs depends on where they began to
    /// read. A plan that was computed before another join is dropped for its revision.
    pub fn accepts_assignments(&self, service: &str) -> bool {
        let ended = |row: &DepartedRow| *row.info.upstream.service != *service;
        self.is_assigned(service) || self.unended_members().all(ended)
    }

    /// Members of older epochs whose rights may not have ended.
    pub fn unended_members(&self) -> impl Iterator<Item = &DepartedRow> {
        let epoch = self.epoch();
        self.departed.iter().filter(move |row| epoch_of(row.id) < epoch && !row.quiesced)
    }

    fn is_assigned(&self, service: &str) -> bool {
        let id = self.service_named(service).map(|row| row.id);
        let mut rows = self.partitions.iter().filter(|row| !row.assignments.is_empty());
        rows.any(|row| Some(partition_service(row.id)) == id)
    }

    /// Folds the join of an incarnation that knows of earlier members.
    pub(super) fn join_epoch(&mut self, offset: LogOffset, join: &EpochJoin) -> FoldOutcome {
        if join.epoch < self.epoch() {
            return self.note_earlier_join(join.epoch, offset, &join.info, &join.earlier);
        }
        if join.epoch > self.epoch() {
            return dropped("join of a newer epoch");
        }
        self.note_earlier(&join.earlier);
        let outcome = self.join(offset, &join.info);
        if outcome == FoldOutcome::Applied {
            self.end_earlier();
        }
        outcome
    }

    /// Notes a join that was written in an older epoch. Its incarnation may have joined this one
    /// before, if the append took long.
    pub(super) fn note_earlier_join(
        &mut self,
        epoch: FoldEpoch,
        offset: LogOffset,
        info: &MemberInfo,
        earlier: &[EarlierMember],
    ) -> FoldOutcome {
        let id = epoch_offset(epoch, offset_in_log(offset));
        // A member of this id that another node named joined on the history that the log lost.
        if self.departed(id).is_none() {
            let row = EarlierMember { id, info: info.clone(), ended: false, sets: Vec::new() };
            self.note_earlier(&[row]);
        }
        self.note_earlier(earlier);
        self.end_earlier();
        dropped("join of an older epoch")
    }

    /// Notes that the rights of a member of an older epoch ended, by a record of that epoch.
    pub(super) fn depart_earlier(&mut self, node: NodeId, reason: DepartReason) -> FoldOutcome {
        let epoch = self.epoch();
        let Ok(index) = self.departed.binary_search_by_key(&node, |row| row.id) else {
            return dropped("no such member");
        };
        let row = &mut self.departed[index];
        let ended = reason != DepartReason::Revoked || row.info.upstream.checks_grants;
        if epoch_of(node) == epoch || row.quiesced || !ended {
            return dropped("no such member");
        }
        row.quiesced = true;
        dropped("record of an older epoch")
    }

    /// Notes the witness sets of a plan of an older epoch. The plan may not have been valid there;
    /// a set too many only delays the end of its member's rights.
    pub(super) fn note_earlier_plan(
        &mut self,
        offset: LogOffset,
        plan: &PlanRecord,
    ) -> FoldOutcome {
        let epoch = epoch_of(plan.base);
        let offset = epoch_offset(epoch, offset_in_log(offset));
        for change in &plan.sets {
            if self.departed(change.member).is_none() {
                continue;
            }
            self.add_set(change.member, WitnessSet { offset, nodes: change.nodes.clone() });
        }
        for row in self.witnesses.iter_mut().filter(|row| epoch_of(row.member) == epoch) {
            row.compact(plan.floor);
        }
        self.end_earlier();
        dropped("plan of an older epoch")
    }

    /// Whether sets of unended members of an older epoch are kept that they left by this floor.
    pub fn keeps_sets_left_by(&self, floor: LogOffset) -> bool {
        let epoch = epoch_of(floor);
        let mut rows = self.unended_members().filter(|row| epoch_of(row.id) == epoch);
        rows.any(|row| self.witness_row(row.id).is_some_and(|witnesses| witnesses.has_left(floor)))
    }

    /// Adds earlier members of services without assignments, and what was not known of them.
    fn note_earlier(&mut self, earlier: &[EarlierMember]) {
        let epoch = self.epoch();
        for member in earlier.iter().filter(|member| epoch_of(member.id) < epoch) {
            if self.is_assigned(&member.info.upstream.service) {
                continue;
            }
            let row = DepartedRow {
                id: member.id,
                reason: DepartReason::Restored,
                offset: self.next_offset - 1,
                quiesced: member.ended,
                info: member.info.clone(),
            };
            match self.departed.binary_search_by_key(&member.id, |row| row.id) {
                Ok(index) if self.departed[index].info.boot_id == member.info.boot_id => {
                    self.departed[index].quiesced |= member.ended;
                }
                // One of the two joins was written late, at the offset of the other. Only the
                // other can have witnesses by plans of its epoch.
                Ok(_) if member.ended || self.witness_row(member.id).is_some() => continue,
                Ok(index) => self.departed[index] = row,
                Err(index) => self.departed.insert(index, row),
            }
            for set in &member.sets {
                self.add_set(member.id, set.clone());
            }
        }
    }

    fn add_set(&mut self, member: NodeId, set: WitnessSet) {
        match self.witnesses.binary_search_by_key(&member, |row| row.member) {
            Ok(index) => {
                let sets = &mut self.witnesses[index].sets;
                if let Err(place) = sets.binary_search_by_key(&set.offset, |other| other.offset) {
                    sets.insert(place, set);
                }
            }
            Err(index) => self.witnesses.insert(index, WitnessRow { member, sets: vec![set] }),
        }
    }

    /// Ends the rights that the joins of this epoch prove to have ended.
    ///
    /// An incarnation that was a member of an older epoch and acted there ends with it. One that
    /// joins this epoch therefore never acted under its join of an older one.
    fn end_earlier(&mut self) {
        let epoch = self.epoch();
        let departed = self.departed.iter().filter(|row| epoch_of(row.id) == epoch);
        let members = self.members.iter().map(|row| &row.info);
        let joined: Vec<_> =
            departed.map(|row| &row.info).chain(members).map(JoinEvidence::of).collect();
        for row in self.departed.iter_mut().filter(|row| epoch_of(row.id) < epoch) {
            let newest = joined.iter().rfind(|join| join.address == row.info.peer_address);
            let Some(newest) = newest else { continue };
            let upstream_ended = row.info.upstream.boot_id != newest.upstream;
            let never_acted = joined.iter().any(|join| join.incarnation == row.info.boot_id);
            row.reason = DepartReason::Replaced { upstream_ended };
            row.quiesced |= upstream_ended || never_acted || row.info.upstream.checks_grants;
        }
        let ended: Vec<_> = self
            .departed
            .iter()
            .filter(|row| epoch_of(row.id) < epoch && !row.quiesced)
            .filter(|row| row.info.upstream.checks_grants && self.has_lost_witnesses(row.id))
            .map(|row| row.id)
            .collect();
        for row in self.departed.iter_mut().filter(|row| ended.contains(&row.id)) {
            row.quiesced = true;
        }
    }

    /// Whether no witness set of an earlier member can grant any more: those of each that have not
    /// joined this epoch are no majority. Of two witnesses one suffices.
    ///
    /// Any majority that let the member switch to a newer set has a witness that joined, and this
    /// one's join names the newer set.
    fn has_lost_witnesses(&self, member: NodeId) -> bool {
        let joined = |node: &&NodeId| {
            let reason = self.departed(**node).map(|row| row.reason);
            matches!(reason, Some(DepartReason::Replaced { .. }))
        };
        self.witness_row(member).is_some_and(|row| {
            row.sets.iter().all(|set| {
                let unjoined = set.nodes.len() - set.nodes.iter().filter(joined).count();
                unjoined < set.majority()
            })
        })
    }

    /// Forgets the members of older epochs, for tests of this rule.
    pub(crate) fn drop_earlier(&mut self) {
        let epoch = self.epoch();
        self.departed.retain(|row| epoch_of(row.id) == epoch);
        self.witnesses.retain(|row| epoch_of(row.member) == epoch);
    }
}

/// What a join of this epoch shows about members of older ones.
struct JoinEvidence {
    /// Address of the node.
    address: Box<str>,
    /// Boot id of the incarnation.
    incarnation: u128,
    /// Boot id of its upstream's process.
    upstream: u128,
}

impl JoinEvidence {
    fn of(info: &MemberInfo) -> Self {
        let (address, upstream) = (info.peer_address.clone(), info.upstream.boot_id);
        Self { address, incarnation: info.boot_id, upstream }
    }
}
