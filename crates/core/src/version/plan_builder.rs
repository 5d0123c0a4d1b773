//! Computes plans: the owner and successors of each partition and the witnesses of each member.
//!
//! A plan is a pure function of the state, so any member can compute it. It moves as few
//! partitions as keep the counts even: a partition stays with its holder unless the holder has
//! ended, drains, or has more than its share while another node has less. Successors are spread
//! so that, when a node fails, each survivor takes over an even part of its load. This is the
//! balanced dispatch that `RepairBoost` (USENIX ATC 2021) applies to repair traffic, here applied
//! to succession.

use super::service_table::ServiceTable;
use super::{
    AssignmentChange, FoldState, ManifestSpec, MemberRow, PartitionRow, PlanRecord, ServiceRow,
    ServiceSpec, WitnessSetChange, choose_witnesses,
};
use crate::{LogOffset, NodeId, PartitionId};

/// Most assignments in one plan; bounds its size and the time to compute it.
const MAX_ASSIGNMENTS: usize = 2048;

/// Witness sets below this size are extended as soon as there are enough members.
const FULL_SET_SIZE: usize = 3;

/// How successors are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuccessorStrategy {
    /// Spread evenly over all nodes that survive the owner.
    Balanced,
    /// Highest random weight (rendezvous hashing), for comparison.
    Rendezvous,
}

/// Computes the plan for one state.
#[derive(Debug, Clone, Copy)]
pub struct PlanBuilder<'a> {
    state: &'a FoldState,
    spec: &'a ManifestSpec,
    floor: LogOffset,
    strategy: SuccessorStrategy,
    gradual_moves: bool,
}

impl<'a> PlanBuilder<'a> {
    /// A builder over a state and its parsed manifest.
    pub const fn new(state: &'a FoldState, spec: &'a ManifestSpec) -> Self {
        Self { state, spec, floor: 0, strategy: SuccessorStrategy::Balanced, gradual_moves: true }
    }

    /// Sets the offset that every member acknowledged.
    #[must_use]
    pub const fn floor(mut self, floor: LogOffset) -> Self {
        self.floor = floor;
        self
    }

    /// Sets how successors are chosen.
    #[must_use]
    pub const fn successors(mut self, strategy: SuccessorStrategy) -> Self {
        self.strategy = strategy;
        self
    }

    /// Sets whether a node that joins receives its share over several plans.
    #[must_use]
    pub const fn gradual_moves(mut self, gradual_moves: bool) -> Self {
        self.gradual_moves = gradual_moves;
        self
    }

    /// Computes the plan.
    pub fn build(&self) -> PlanRecord {
        let mut assignments = Vec::new();
        for service in &self.state.services {
            if !self.state.accepts_assignments(&service.name) {
                continue;
            }
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

    /// Adds the assignments of a service that change.
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
        let gradual = self.gradual_moves && !is_first_plan(rows);
        let fixed = Self::fixed_owners(rows, &owners, &table);
        table.rebalance(&mut owners, &fixed, gradual);
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

    /// Whether a node has witnesses; without them it has no lease and can serve nothing.
    fn has_witnesses(&self, node: NodeId) -> bool {
        self.state.witness_row(node).is_some()
    }

    /// Marks partitions that this plan already moves to a successor; moving them again would
    /// cause a second handover.
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
        let mut changing = Vec::new();
        for (row, owner) in rows.iter().zip(owners) {
            let Some(owner) = *owner else { continue };
            match table.retained_assignment(row, owner) {
                Some(nodes) => table.count_assignment(&nodes),
                None => changing.push((row, owner)),
            }
        }
        // Partitions whose owner changes come before those that only lack a successor, because
        // the plan may be truncated.
        changing.sort_by_key(|(row, owner)| {
            let first = row.current().and_then(|assignment| assignment.nodes.first().copied());
            first == Some(table.nodes[*owner].id)
        });
        changing.truncate(MAX_ASSIGNMENTS.saturating_sub(assignments.len()));
        for (row, owner) in changing {
            let nodes = table.choose_assignment(row, owner, self.strategy);
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

    /// Number of witness sets that name each member, by index into the members.
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

    /// Data centres of members that do not drain, each with its number of members, sorted.
    fn centre_counts(&self) -> Vec<(&'a str, usize)> {
        let staying = self.state.members.iter().filter(|row| !row.draining);
        let mut names: Vec<_> = staying.map(|row| &*row.info.data_centre).collect();
        names.sort_unstable();
        names.chunk_by(|a, b| a == b).map(|chunk| (chunk[0], chunk.len())).collect()
    }

    /// Whether a member's witness set spans fewer data centres than it could, so that the loss of
    /// one data centre takes more witnesses than necessary. This happens to sets that were chosen
    /// when few members had joined.
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

    /// Whether a member's witness set must change: it is missing, names a witness that has ended
    /// or drains, is too small, or names the member itself without need.
    fn set_needs_change(&self, member: NodeId) -> bool {
        let Some(row) = self.state.witness_row(member) else { return true };
        // One change at a time: the member first has to leave the older set.
        if row.sets.len() > 1 {
            return false;
        }
        let Some(set) = row.newest() else { return true };
        let lost_witness = set.nodes.iter().any(|node| match self.state.member(*node) {
            Some(witness) => witness.draining,
            None => true,
        });
        let others =
            self.state.members.iter().filter(|row| !row.draining).count().saturating_sub(1);
        let too_small = set.nodes.len() < FULL_SET_SIZE && others + 1 > set.nodes.len();
        let own_witness = set.contains(member) && others >= FULL_SET_SIZE;
        lost_witness || too_small || own_witness
    }
}

fn is_first_plan(rows: &[PartitionRow]) -> bool {
    rows.iter().all(|row| row.assignments.is_empty())
}

/// Each partition's holder, if there is one that is eligible, counted in the table.
///
/// The holder is the first node of the assignment that is still an eligible member; one that
/// drains has released the partition to the next.
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
