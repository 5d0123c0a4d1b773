//! Valid plans with arbitrary contents, computed from the end of the log at any moment.

use firspindle_core::version::{
    AssignmentChange, FoldState, PlanRecord, RecordBody, WitnessSetChange,
};

use super::World;

impl World {
    pub(super) fn node_ids(state: &FoldState, indices: &[usize]) -> Vec<u64> {
        let id = |index: &usize| {
            let address: Box<str> = index.to_string().into();
            state.members.iter().find(|row| row.info.peer_address == address).map(|row| row.id)
        };
        indices.iter().filter_map(id).collect()
    }

    pub(super) fn plan_assignment(&mut self, partition: u32, assignment: &[usize]) {
        let state = self.end_state();
        let nodes = Self::node_ids(&state, assignment);
        if !nodes.is_empty() && state.accepts_assignments("registre") {
            self.plan(&state, vec![AssignmentChange { partition, nodes }], Vec::new());
        }
    }

    pub(super) fn plan_set(&mut self, node: usize, set: &[usize]) {
        let state = self.end_state();
        let mut nodes = Self::node_ids(&state, set);
        nodes.sort_unstable();
        let Some(member) = Self::node_ids(&state, &[node]).first().copied() else { return };
        if !nodes.is_empty() {
            self.plan(&state, Vec::new(), vec![WitnessSetChange { member, nodes }]);
        }
    }

    pub(super) fn plan(
        &mut self,
        state: &FoldState,
        assignments: Vec<AssignmentChange>,
        sets: Vec<WitnessSetChange>,
    ) {
        let plan = PlanRecord {
            term: state.term.number,
            base: state.revision,
            floor: state.floor,
            assignments,
            sets,
        };
        self.append_foreign(RecordBody::Plan(plan));
    }
}
