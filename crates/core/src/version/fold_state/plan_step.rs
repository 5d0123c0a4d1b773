//! Folds plans, and drops assignments, witness sets and departed members no longer needed.

use super::{FoldOutcome, FoldState};
use crate::version::{AssignmentRow, PlanRecord, WitnessRow, WitnessSet, epoch_of};
use crate::{LogOffset, NodeId};

impl FoldState {
    pub(super) fn apply_plan(&mut self, offset: LogOffset, plan: &PlanRecord) -> FoldOutcome {
        if let Err(reason) = self.check_plan(plan) {
            return FoldOutcome::Dropped(reason.into());
        }
        for change in &plan.assignments {
            let index = self.partition_index(change.partition).expect("plan was checked");
            let assignment = AssignmentRow { offset, nodes: change.nodes.clone() };
            self.partitions[index].assignments.push(assignment);
        }
        for change in &plan.sets {
            let set = WitnessSet { offset, nodes: change.nodes.clone() };
            match self.witnesses.binary_search_by_key(&change.member, |row| row.member) {
                Ok(index) => self.witnesses[index].sets.push(set),
                Err(index) => {
                    let row = WitnessRow { member: change.member, sets: vec![set] };
                    self.witnesses.insert(index, row);
                }
            }
        }
        self.raise_floor(plan.floor);
        FoldOutcome::Applied
    }

    fn check_plan(&self, plan: &PlanRecord) -> Result<(), &'static str> {
        if plan.term != self.term.number {
            return Err("plan of another term");
        }
        if plan.base != self.revision {
            return Err("plan computed from an outdated revision");
        }
        let known = |nodes: &[NodeId]| nodes.iter().all(|node| self.member(*node).is_some());
        let assignments_ok = plan
            .assignments
            .iter()
            .all(|change| self.partition_index(change.partition).is_some() && known(&change.nodes));
        let sets_ok = plan
            .sets
            .iter()
            .all(|change| known(&change.nodes) && self.member(change.member).is_some());
        if assignments_ok && sets_ok {
            Ok(())
        } else {
            Err("plan names an unknown node or partition")
        }
    }

    fn raise_floor(&mut self, floor: LogOffset) {
        if floor <= self.floor {
            return;
        }
        self.floor = floor;
        self.compact();
    }

    /// Drops what the floor supersedes, except assignments of departed members that have not
    /// quiesced.
    pub(super) fn compact(&mut self) {
        let unquiesced: Vec<_> =
            self.departed.iter().filter(|row| !row.quiesced).map(|row| row.id).collect();
        for row in &mut self.partitions {
            row.compact(self.floor, &unquiesced);
        }
        // The floor tells nothing of members of older epochs: none of them acknowledged it.
        let epoch = self.epoch();
        for row in self.witnesses.iter_mut().filter(|row| epoch_of(row.member) == epoch) {
            row.compact(self.floor);
        }
        self.drop_unreferenced();
    }

    /// Forgets departed members that no assignment or witness set names any more.
    fn drop_unreferenced(&mut self) {
        let mut referenced: Vec<NodeId> = Vec::new();
        for row in &self.partitions {
            referenced.extend(row.assignments.iter().flat_map(|assignment| &assignment.nodes));
        }
        for row in &self.witnesses {
            if self.member(row.member).is_some() {
                referenced.extend(row.sets.iter().flat_map(|set| &set.nodes));
            }
        }
        referenced.sort_unstable();
        referenced.dedup();
        // As long as rights of older epochs last, any member may show by its join that some ended.
        if self.unended_members().next().is_none() {
            self.departed.retain(|row| referenced.binary_search(&row.id).is_ok());
        }
        let members = &self.members;
        let departed = &self.departed;
        self.witnesses.retain(|row| {
            members.binary_search_by_key(&row.member, |member| member.id).is_ok()
                || departed.binary_search_by_key(&row.member, |former| former.id).is_ok()
        });
    }
}
