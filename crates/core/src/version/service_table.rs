//! Load and succession counts of one service's nodes while a plan is computed.

use super::{MemberRow, PartitionRow, PlacementPolicy, ServiceSpec, SuccessorStrategy};
use crate::{NodeId, PartitionId};

/// With gradual moves, one plan moves at most this part (a quarter) of a node's share to it.
const GRADUAL_MOVE_DIVISOR: usize = 4;

/// Nodes that may own partitions of one service, with counts that change as the plan grows.
pub(super) struct ServiceTable<'a> {
    spec: &'a ServiceSpec,
    pub(super) nodes: Vec<&'a MemberRow>,
    /// Request slots of the upstream, at least 1, by index into `nodes`.
    slots: Vec<usize>,
    /// Index of the data centre among the distinct ones, by index into `nodes`.
    centre_indexes: Vec<usize>,
    /// Partitions that a node should hold at least, by index into `nodes`.
    min_held: Vec<usize>,
    /// Partitions that a node may hold at most, by index into `nodes`.
    max_held: Vec<usize>,
    /// Number of nodes that hold so few partitions that others give some up.
    underloaded: usize,
    /// Partitions held, by index into `nodes`.
    pub(super) held: Vec<usize>,
    /// Partitions of an owner that a node is the first successor for, by owner index times
    /// `nodes.len()` plus successor index.
    first_successor_counts: Vec<u32>,
    /// Partitions that a node is a successor for in any place, by index into `nodes`.
    successor_counts: Vec<u32>,
}

impl<'a> ServiceTable<'a> {
    pub(super) fn new(spec: &'a ServiceSpec, nodes: Vec<&'a MemberRow>, partitions: usize) -> Self {
        let count = nodes.len();
        let slots: Vec<_> =
            nodes.iter().map(|row| row.info.upstream.slots.max(1) as usize).collect();
        let total: usize = slots.iter().sum::<usize>().max(1);
        let mut names: Vec<_> = nodes.iter().map(|row| &row.info.data_centre).collect();
        names.sort_unstable();
        names.dedup();
        let centre = |row: &&MemberRow| names.binary_search(&&row.info.data_centre).unwrap_or(0);
        let centre_indexes = nodes.iter().map(centre).collect();
        let share = |slots: &usize| partitions * slots;
        let min_held = slots.iter().map(|slots| share(slots) / total).collect();
        let max_held =
            slots.iter().map(|slots| max_partitions(spec.policy, share(slots), total)).collect();
        Self {
            spec,
            nodes,
            slots,
            centre_indexes,
            min_held,
            max_held,
            underloaded: 0,
            held: vec![0; count],
            first_successor_counts: vec![0; count * count],
            successor_counts: vec![0; count],
        }
    }

    pub(super) fn index_of(&self, node: NodeId) -> Option<usize> {
        self.nodes.binary_search_by_key(&node, |row| row.id).ok()
    }

    /// Gives each partition without an owner to the node with the lowest load.
    pub(super) fn place_unowned(&mut self, owners: &mut [Option<usize>]) {
        for owner in owners.iter_mut().filter(|owner| owner.is_none()) {
            let index = self.least_loaded();
            self.held[index] += 1;
            *owner = Some(index);
        }
    }

    /// Node with the fewest partitions in proportion to its slots.
    fn least_loaded(&self) -> usize {
        let by_load = |index: &usize| (self.relative_load(*index, 1), *index);
        (0..self.nodes.len()).min_by_key(by_load).expect("table has nodes")
    }

    /// Partitions held plus `extra`, in proportion to the node's slots.
    fn relative_load(&self, index: usize, extra: usize) -> usize {
        const SCALE: usize = 1 << 16;
        (self.held[index] + extra) * SCALE / self.slots[index]
    }

    /// Moves partitions from nodes above their share to nodes below it, as few as needed.
    ///
    /// Partitions marked in `fixed` stay. With `gradual`, a node receives only a part of its
    /// share.
    pub(super) fn rebalance(
        &mut self,
        owners: &mut [Option<usize>],
        fixed: &[bool],
        gradual: bool,
    ) {
        self.underloaded =
            (0..self.nodes.len()).filter(|index| self.is_underloaded(*index)).count();
        let mut received = vec![0; self.nodes.len()];
        for (slot, fixed) in owners.iter_mut().zip(fixed) {
            let Some(owner) = *slot else { continue };
            if *fixed || !self.is_donor(owner) {
                continue;
            }
            let Some(recipient) = self.choose_recipient(owner, &received, gradual) else {
                continue;
            };
            self.move_partition(owner, recipient);
            received[recipient] += 1;
            *slot = Some(recipient);
        }
    }

    fn move_partition(&mut self, from: usize, to: usize) {
        let was_underloaded = self.is_underloaded(to);
        self.held[from] -= 1;
        self.held[to] += 1;
        if was_underloaded && !self.is_underloaded(to) {
            self.underloaded -= 1;
        }
        if self.is_underloaded(from) {
            self.underloaded += 1;
        }
    }

    /// Whether a node gives a partition up: it holds more than its maximum, or more than its
    /// minimum while another node is underloaded.
    fn is_donor(&self, index: usize) -> bool {
        let held = self.held[index];
        held > self.max_held[index] || (held > self.min_held[index] && self.underloaded > 0)
    }

    /// Whether a node holds fewer partitions than its minimum; the churn policy tolerates a tenth
    /// less.
    fn is_underloaded(&self, index: usize) -> bool {
        let min_held = self.min_held[index];
        match self.spec.policy {
            PlacementPolicy::Availability => self.held[index] < min_held,
            PlacementPolicy::Churn => self.held[index] < min_held - min_held / 10,
        }
    }

    /// Node that takes a partition over from `owner`: an underloaded one, or any below its
    /// maximum if the owner is above its own.
    fn choose_recipient(&self, owner: usize, received: &[usize], gradual: bool) -> Option<usize> {
        let is_overloaded = self.held[owner] > self.max_held[owner];
        let eligible = |index: &usize| {
            let min_held = self.min_held[*index];
            let limit = if gradual { (min_held / GRADUAL_MOVE_DIVISOR).max(1) } else { usize::MAX };
            let has_room = self.is_underloaded(*index)
                || (is_overloaded && self.held[*index] < self.max_held[*index]);
            *index != owner && received[*index] < limit && has_room
        };
        (0..self.nodes.len()).filter(eligible).min_by_key(|index| self.relative_load(*index, 1))
    }

    /// The current assignment, if its owner stays, all its nodes are eligible and it has as many
    /// successors as wanted.
    pub(super) fn retained_assignment(
        &self,
        row: &PartitionRow,
        owner: usize,
    ) -> Option<Vec<usize>> {
        let assignment = row.current()?;
        let nodes: Option<Vec<_>> =
            assignment.nodes.iter().map(|node| self.index_of(*node)).collect();
        let nodes = nodes?;
        let wanted = (self.spec.successors + 1).min(self.nodes.len());
        (nodes.first() == Some(&owner) && nodes.len() == wanted).then_some(nodes)
    }

    /// Adds an assignment's successors to the counts.
    pub(super) fn count_assignment(&mut self, nodes: &[usize]) {
        if let [owner, first, ..] = nodes {
            self.first_successor_counts[owner * self.nodes.len() + first] += 1;
        }
        for index in nodes.iter().skip(1) {
            self.successor_counts[*index] += 1;
        }
    }

    /// Chooses the successors behind `owner`, one place at a time.
    pub(super) fn choose_assignment(
        &self,
        row: &PartitionRow,
        owner: usize,
        strategy: SuccessorStrategy,
    ) -> Vec<usize> {
        let mut assignment = vec![owner];
        let wanted = (self.spec.successors + 1).min(self.nodes.len());
        while assignment.len() < wanted {
            let eligible = (0..self.nodes.len()).filter(|index| !assignment.contains(index));
            let best = match strategy {
                SuccessorStrategy::Balanced => {
                    eligible.min_by_key(|index| self.rank(&assignment, *index))
                }
                SuccessorStrategy::Rendezvous => {
                    eligible.max_by_key(|index| rendezvous_weight(row.id, self.nodes[*index].id))
                }
            };
            let Some(best) = best else { break };
            assignment.push(best);
        }
        assignment
    }

    /// Sort key of a possible successor, the best first: fewest nodes of the assignment in its
    /// data centre, fewest times first successor of this owner in proportion to its slots, lowest
    /// load, then fewest times successor of any owner.
    fn rank(&self, assignment: &[usize], index: usize) -> (usize, u32, usize, u32, usize) {
        const SCALE: u32 = 1 << 12;
        let slots = u32::try_from(self.slots[index]).unwrap_or(u32::MAX);
        let of_owner =
            self.first_successor_counts[assignment[0] * self.nodes.len() + index] * SCALE / slots;
        let centre = self.centre_indexes[index];
        let same_centre = assignment.iter().filter(|other| self.centre_indexes[**other] == centre);
        let of_any = self.successor_counts[index] * SCALE / slots;
        (same_centre.count(), of_owner, self.relative_load(index, 1), of_any, index)
    }
}

/// Partitions that a node may hold before it must give some up: its share rounded up, and under
/// the churn policy a tenth more.
fn max_partitions(policy: PlacementPolicy, weighted: usize, total: usize) -> usize {
    let share = weighted.div_ceil(total);
    match policy {
        PlacementPolicy::Availability => share,
        PlacementPolicy::Churn => share + share / 10,
    }
}

/// Weight of a node for a partition under rendezvous hashing.
pub fn rendezvous_weight(partition: PartitionId, node: NodeId) -> u64 {
    let mut bytes = [0; 12];
    bytes[..4].copy_from_slice(&partition.to_le_bytes());
    bytes[4..].copy_from_slice(&node.to_le_bytes());
    xxhash_rust::xxh3::xxh3_64(&bytes)
}
