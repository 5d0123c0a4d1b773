//! Computes plans: who owns what, who succeeds, who witnesses.
//!
//! The builder is a pure function of the state, so that any member can compute it. It moves the
//! least that keeps counts even: a partition stays with its holder unless the holder is gone,
//! drains, or has more than its share while another has less. Successors are spread so that each
//! survivor of a loss takes an even part of the lost load. This is the balanced dispatch that
//! `RepairBoost` (USENIX ATC 2021) applies to repair traffic, here applied to succession.

use super::service_table::ServiceTable;
use super::{
    AssignmentChange, FoldState, ManifestSpec, MemberRow, PartitionRow, PlanRecord, ServiceRow,
    ServiceSpec, WitnessSetChange, choose_witnesses,
};
use crate::{LogOffset, NodeId, PartitionId};

/// Most lines in one plan, which bounds its size and the time that computing it takes.
const MAX_ASSIGNMENTS: usize = 2048;

/// Witness sets below this size are widened when members allow it.
const FULL_SET_SIZE: usize = 3;

/// How successors are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuccessorStrategy {
    /// Even over all survivors of the owner.
    Balanced,
    /// Highest random weight, the baseline.
    Rendezvous,
}

/// Computes the plan for one state.
#[derive(Debug, Clone, Copy)]
pub struct PlanBuilder<'a> {
    state: &'a FoldState,
    spec: &'a ManifestSpec,
    floor: LogOffset,
    choice: SuccessorStrategy,
    gradual_moves: bool,
}

impl<'a> PlanBuilder<'a> {
    /// A builder over a state and its parsed manifest.
    pub const fn new(state: &'a FoldState, spec: &'a ManifestSpec) -> Self {
        Self { state, spec, floor: 0, choice: SuccessorStrategy::Balanced, gradual_moves: true }
    }

    /// Sets the offset that every member acknowledged.
    #[must_use]
    pub const fn floor(mut self, floor: LogOffset) -> Self {
        self.floor = floor;
        self
    }

    /// Sets how successors are chosen.
    #[must_use]
    pub const fn successors(mut self, choice: SuccessorStrategy) -> Self {
        self.choice = choice;
        self
    }

    /// Sets whether a fresh node takes its share in steps.
    #[must_use]
    pub const fn gradual_moves(mut self, gradual_moves: bool) -> Self {
        self.gradual_moves = gradual_moves;
        self
    }

    /// Computes the plan.
    pub fn build(&self) -> PlanRecord {
        let mut assignments = Vec::new();
        for service in &self.state.services {
            if let Some(spec) = self.spec.service(&service.name) {
                self.plan_service(service, spec, &mut assignments);
            }
        }
        PlanRecord {
            term: self.state.term.number,
            base: self.state.revision,
            floor: self.floor,
            assignments,
            sets: self.plan_sets(),
        }
    }

    fn plan_service(
        &self,
        service: &ServiceRow,
        spec: &'a ServiceSpec,
        assignments: &mut Vec<AssignmentChange>,
    ) {
        let mut table = self.service_table(service, spec);
        if table.nodes.is_empty() {
            return;
        }
        let rows = self.service_rows(service);
        let mut owners = retain_owners(rows, &mut table);
        table.place_unowned(&mut owners);
        let step = self.gradual_moves && !is_first_plan(rows);
        let fixed = Self::fixed_owners(rows, &owners, &table);
        table.rebalance(&mut owners, &fixed, step);
        self.write_assignments(rows, &owners, &mut table, assignments);
    }

    fn service_rows(&self, service: &ServiceRow) -> &'a [PartitionRow] {
        let rows = &self.state.partitions;
        let low = PartitionId::from(service.id) << 16;
        let start = rows.partition_point(|row| row.id < low);
        let end = start + usize::from(service.partitions);
        &rows[start..end.min(rows.len())]
    }

    fn service_table(&self, service: &ServiceRow, spec: &'a ServiceSpec) -> ServiceTable<'a> {
        let runs_service = |row: &&MemberRow| row.info.upstream.service == service.name;
        let ready = |row: &&MemberRow| !row.draining && self.has_witnesses(row.id);
        let nodes: Vec<_> = self.state.members.iter().filter(runs_service).filter(ready).collect();
        ServiceTable::new(spec, nodes, usize::from(service.partitions))
    }

    /// A node without witnesses has no lease and can serve nothing.
    fn has_witnesses(&self, node: NodeId) -> bool {
        self.state.witness_row(node).is_some()
    }

    /// Partitions that a successor takes over now; moving them on would hand over twice.
    fn fixed_owners(
        rows: &[PartitionRow],
        owners: &[Option<usize>],
        table: &ServiceTable<'_>,
    ) -> Vec<bool> {
        let fixed = |(row, owner): (&PartitionRow, &Option<usize>)| {
            let first = row.current().and_then(|assignment| assignment.nodes.first().copied());
            first.is_some_and(|first| table.index_of(first) != *owner)
        };
        rows.iter().zip(owners).map(fixed).collect()
    }

    fn write_assignments(
        &self,
        rows: &[PartitionRow],
        owners: &[Option<usize>],
        table: &mut ServiceTable<'_>,
        assignments: &mut Vec<AssignmentChange>,
    ) {
        let mut open = Vec::new();
        for (row, owner) in rows.iter().zip(owners) {
            let Some(owner) = *owner else { continue };
            match table.retained_assignment(row, owner) {
                Some(nodes) => table.count_assignment(&nodes),
                None => open.push((row, owner)),
            }
        }
        // Partitions without their owner come before those that only lack a successor.
        open.sort_by_key(|(row, owner)| {
            let first = row.current().and_then(|assignment| assignment.nodes.first().copied());
            first == Some(table.nodes[*owner].id)
        });
        open.truncate(MAX_ASSIGNMENTS.saturating_sub(assignments.len()));
        for (row, owner) in open {
            let nodes = table.choose_assignment(row, owner, self.choice);
            table.count_assignment(&nodes);
            let nodes = nodes.into_iter().map(|index| table.nodes[index].id).collect();
            assignments.push(AssignmentChange { partition: row.id, nodes });
        }
    }

    fn plan_sets(&self) -> Vec<WitnessSetChange> {
        let members = &self.state.members;
        let mut uses = self.witness_uses();
        let centres = self.centre_counts();
        let mut sets = Vec::new();
        for member in members {
            if !self.set_needs_change(member.id) && !self.set_could_spread(member, &centres) {
                continue;
            }
            let nodes = choose_witnesses(members, &uses, member);
            let current = self.state.witness_row(member.id).and_then(|row| row.newest());
            if nodes.is_empty() || current.is_some_and(|set| set.nodes == nodes) {
                continue;
            }
            for node in &nodes {
                if let Ok(index) = members.binary_search_by_key(node, |row| row.id) {
                    uses[index] += 1;
                }
            }
            sets.push(WitnessSetChange { member: member.id, nodes });
        }
        sets
    }

    fn witness_uses(&self) -> Vec<u32> {
        let members = &self.state.members;
        let mut uses = vec![0; members.len()];
        for row in &self.state.witnesses {
            let Some(set) = row.newest() else { continue };
            for node in &set.nodes {
                if let Ok(index) = members.binary_search_by_key(node, |member| member.id) {
                    uses[index] += 1;
                }
            }
        }
        uses
    }

    /// Data centres of members that stay, with their numbers, sorted.
    fn centre_counts(&self) -> Vec<(&'a str, usize)> {
        let open = self.state.members.iter().filter(|row| !row.draining);
        let mut names: Vec<_> = open.map(|row| &*row.info.data_centre).collect();
        names.sort_unstable();
        names.chunk_by(|a, b| a == b).map(|chunk| (chunk[0], chunk.len())).collect()
    }

    /// Whether a set spans fewer data centres than it could, so that the loss of one takes more
    /// witnesses than it must. Sets from when few members had joined are so.
    fn set_could_spread(&self, member: &MemberRow, centres: &[(&str, usize)]) -> bool {
        let Some(row) = self.state.witness_row(member.id) else { return false };
        let Some(set) = row.newest().filter(|_| row.sets.len() == 1) else { return false };
        let own: &str = &member.info.data_centre;
        let alone = centres.iter().any(|(name, count)| *name == own && *count == 1);
        let possible = (centres.len() - usize::from(alone)).min(set.nodes.len());
        let members = set.nodes.iter().filter_map(|node| self.state.member(*node));
        let mut spanned: Vec<_> = members.map(|row| &*row.info.data_centre).collect();
        spanned.sort_unstable();
        spanned.dedup();
        spanned.len() < possible
    }

    fn set_needs_change(&self, member: NodeId) -> bool {
        let Some(row) = self.state.witness_row(member) else { return true };
        // One change at a time: the member first leaves the older set.
        if row.sets.len() > 1 {
            return false;
        }
        let Some(set) = row.newest() else { return true };
        let gone = set.nodes.iter().any(|node| match self.state.member(*node) {
            Some(witness) => witness.draining,
            None => true,
        });
        let others =
            self.state.members.iter().filter(|row| !row.draining).count().saturating_sub(1);
        let narrow = set.nodes.len() < FULL_SET_SIZE && others + 1 > set.nodes.len();
        let own_witness = set.contains(member) && others >= FULL_SET_SIZE;
        gone || narrow || own_witness
    }
}

fn is_first_plan(rows: &[PartitionRow]) -> bool {
    rows.iter().all(|row| row.assignments.is_empty())
}

/// Each partition's holder, if it stays eligible.
///
/// The holder is the first node of the line that is still a member; one that drains has
/// released to the next.
fn retain_owners(rows: &[PartitionRow], table: &mut ServiceTable<'_>) -> Vec<Option<usize>> {
    let mut owners = Vec::with_capacity(rows.len());
    for row in rows {
        let nodes = row.current().map_or(&[][..], |assignment| &assignment.nodes);
        let holder = nodes.iter().find_map(|node| table.index_of(*node));
        if let Some(index) = holder {
            table.held[index] += 1;
        }
        owners.push(holder);
    }
    owners
}
