//! Compares partition placements: modulo hashing, rendezvous hashing and the plans of firspindle.

use firspindle_core::NodeId;
use firspindle_core::version::{
    FoldOutcome, FoldState, LogRecord, ManifestSpec, MemberInfo, PlanBuilder, RecordBody,
    SuccessorStrategy, UpstreamInfo, partition_of_key,
};

/// Number of keys that are hashed to measure the load of each node.
const KEYS: u32 = 2_000_000;

/// A deployment whose partitions are placed.
struct PlacementCase {
    name: &'static str,
    nodes: usize,
    partitions: usize,
    data_centres: usize,
    policy: &'static str,
}

const CASES: [PlacementCase; 3] = [
    PlacementCase {
        name: "registre",
        nodes: 10,
        partitions: 64,
        data_centres: 4,
        policy: "availability",
    },
    PlacementCase { name: "copydesk", nodes: 10, partitions: 64, data_centres: 3, policy: "churn" },
    PlacementCase {
        name: "target",
        nodes: 840,
        partitions: 32_768,
        data_centres: 5,
        policy: "availability",
    },
];

/// Runs all comparisons and prints the tables.
pub fn run() {
    println!(
        "| case | placement | partitions max/mean | keys max/mean | moved on a join / least | moved on a loss / least | most of a lost node's load on one survivor |"
    );
    println!("|---|---|---|---|---|---|---|");
    for case in &CASES {
        compare_placements(case);
    }
    println!();
    println!("| case | replacements | moved in all | least possible | partitions max/mean after |");
    println!("|---|---|---|---|---|");
    for case in &CASES {
        simulate_daily_replacements(case);
    }
}

struct PlacementState {
    state: FoldState,
    spec: ManifestSpec,
    strategy: SuccessorStrategy,
    next_id: u128,
    moved: usize,
}

impl PlacementState {
    fn new(case: &PlacementCase, strategy: SuccessorStrategy) -> Self {
        let text = format!(
            "replaces = 0\n[[service]]\nname = \"s\"\npartitions = {}\npolicy = \"{}\"\n",
            case.partitions, case.policy
        );
        let spec = ManifestSpec::parse(&text).expect("the manifest is valid");
        let mut placement =
            Self { state: FoldState::default(), spec, strategy, next_id: 0, moved: 0 };
        placement.append_record(RecordBody::Manifest { replaces: 0, text: text.into() });
        for index in 0..case.nodes {
            placement.join(index, case.data_centres);
        }
        placement.append_record(RecordBody::Claim { term: 1, node: 2 });
        placement.plan_until_stable();
        placement.moved = 0;
        placement
    }

    fn append_record(&mut self, body: RecordBody) {
        self.next_id += 1;
        let record = LogRecord { id: self.next_id, body };
        let outcome = self.state.fold(self.state.next_offset, &record);
        assert_eq!(outcome, FoldOutcome::Applied);
    }

    fn join(&mut self, index: usize, data_centres: usize) {
        let info = MemberInfo {
            host: format!("host-{index}").into(),
            region: "region".into(),
            data_centre: format!("dc-{}", index % data_centres).into(),
            peer_address: format!("peer-{index}").into(),
            forward_address: "".into(),
            traffic_address: "".into(),
            boot_id: u128::from(self.state.next_offset) << 32,
            process_id: u128::from(self.state.next_offset) << 32,
            upstream: UpstreamInfo {
                service: "s".into(),
                slots: 10,
                connections: 100,
                checks_grants: true,
                boot_id: 1,
            },
        };
        self.append_record(RecordBody::Join(info));
    }

    /// Applies plans until nothing is left to plan, and counts the partitions whose owner changes.
    fn plan_until_stable(&mut self) {
        loop {
            let floor = self.state.next_offset - 1;
            let builder = PlanBuilder::new(&self.state, &self.spec).floor(floor);
            let plan = builder.successors(self.strategy).build();
            if plan.is_empty() {
                return;
            }
            let before = self.owners();
            self.append_record(RecordBody::Plan(plan));
            let changed = before.iter().zip(self.owners()).filter(|(a, b)| **a != *b);
            self.moved += changed.count();
        }
    }

    /// Returns the owner of each partition: the first node of its current assignment that is still
    /// a member, or 0 if there is none.
    fn owners(&self) -> Vec<NodeId> {
        let owner = |row: &firspindle_core::version::PartitionRow| {
            let nodes = row.current().map_or(&[][..], |assignment| &assignment.nodes);
            nodes.iter().copied().find(|node| self.state.member(*node).is_some()).unwrap_or(0)
        };
        self.state.partitions.iter().map(owner).collect()
    }
}

/// Returns the largest number of partitions or keys that one node owns, divided by the mean.
fn imbalance(owners: &[NodeId], nodes: usize) -> f64 {
    let mut sorted = owners.to_vec();
    sorted.sort_unstable();
    let largest = sorted.chunk_by(|a, b| a == b).map(<[NodeId]>::len).max().unwrap_or(0);
    largest as f64 * nodes as f64 / owners.len() as f64
}

/// Returns the owner of each sampled key.
fn key_owners(owners: &[NodeId]) -> Vec<NodeId> {
    let count = u16::try_from(owners.len()).expect("the number of partitions fits 16 bits");
    let owner = |key: u32| owners[partition_of_key(0, count, &key.to_le_bytes()) as usize];
    (0..KEYS).map(owner).collect()
}

fn count_changed(before: &[NodeId], after: &[NodeId]) -> usize {
    before.iter().zip(after).filter(|(a, b)| a != b).count()
}

/// Returns the largest number of partitions that one survivor takes over from a lost node.
fn largest_takeover(before: &[NodeId], after: &[NodeId], lost: NodeId) -> usize {
    let mut taken: Vec<_> =
        before.iter().zip(after).filter(|(a, _)| **a == lost).map(|(_, b)| *b).collect();
    taken.sort_unstable();
    taken.chunk_by(|a, b| a == b).map(<[NodeId]>::len).max().unwrap_or(0)
}

fn print_placement(
    case: &PlacementCase,
    name: &str,
    start: &[NodeId],
    joined: &[NodeId],
    lost_node: NodeId,
    lost: &[NodeId],
) {
    let nodes = case.nodes;
    let min_join_moves = case.partitions / (nodes + 1);
    let min_loss_moves = start.iter().filter(|node| **node == lost_node).count();
    println!(
        "| {} | {name} | {:.3} | {:.3} | {} / {min_join_moves} | {} / {min_loss_moves} | {} |",
        case.name,
        imbalance(start, nodes),
        imbalance(&key_owners(start), nodes),
        count_changed(start, joined),
        count_changed(start, lost),
        largest_takeover(start, lost, lost_node),
    );
}

fn compare_placements(case: &PlacementCase) {
    let all_nodes: Vec<NodeId> = (1..=case.nodes as u64).collect();
    let with_joined_node: Vec<NodeId> = (1..=case.nodes as u64 + 1).collect();
    let lost_node = case.nodes as u64 / 2;
    let without_lost_node: Vec<NodeId> =
        all_nodes.iter().copied().filter(|node| *node != lost_node).collect();
    let partitions = 0..case.partitions;
    let modulo = |nodes: &[NodeId]| -> Vec<NodeId> {
        partitions.clone().map(|partition| nodes[partition % nodes.len()]).collect()
    };
    print_placement(
        case,
        "modulo",
        &modulo(&all_nodes),
        &modulo(&with_joined_node),
        lost_node,
        &modulo(&without_lost_node),
    );
    let weight = |partition: usize, node: NodeId| {
        firspindle_core::version::rendezvous_weight(partition as u32, node)
    };
    let rendezvous = |nodes: &[NodeId]| -> Vec<NodeId> {
        let best = |partition: usize| {
            nodes.iter().copied().max_by_key(|node| weight(partition, *node)).unwrap_or(0)
        };
        partitions.clone().map(best).collect()
    };
    print_placement(
        case,
        "rendezvous",
        &rendezvous(&all_nodes),
        &rendezvous(&with_joined_node),
        lost_node,
        &rendezvous(&without_lost_node),
    );
    for (name, strategy) in [
        ("plan, successors by rendezvous", SuccessorStrategy::Rendezvous),
        ("plan, successors balanced", SuccessorStrategy::Balanced),
    ] {
        let placement = PlacementState::new(case, strategy);
        let start = placement.owners();
        let mut joined = PlacementState {
            state: placement.state.clone(),
            spec: placement.spec.clone(),
            ..placement
        };
        joined.join(case.nodes, case.data_centres);
        joined.plan_until_stable();
        let mut lost = PlacementState::new(case, strategy);
        let lost_node = lost.state.members[case.nodes / 2].id;
        lost.append_record(RecordBody::Revoke { node: lost_node, prover: 2 });
        // The successors of the revoked node take over at once, before any plan.
        let taken = lost.owners();
        print_placement(case, name, &start, &joined.owners(), lost_node, &taken);
    }
}

/// Replaces nodes one after the other, up to the daily number at the target size, and counts moves.
fn simulate_daily_replacements(case: &PlacementCase) {
    const DAILY_REPLACEMENTS: usize = 240;
    let mut placement = PlacementState::new(case, SuccessorStrategy::Balanced);
    let replacements = DAILY_REPLACEMENTS.min(case.nodes * 3);
    let mut min_moves = 0;
    for number in 0..replacements {
        let replaced_node = placement.state.members[number % case.nodes.min(3)].id;
        min_moves += 2 * placement.owners().iter().filter(|node| **node == replaced_node).count();
        let before = placement.owners();
        placement.append_record(RecordBody::Left { node: replaced_node });
        placement.moved += count_changed(&before, &placement.owners());
        placement.plan_until_stable();
        placement.join(case.nodes + number, case.data_centres);
        placement.plan_until_stable();
    }
    let owners = placement.owners();
    println!(
        "| {} | {replacements} | {} | {min_moves} | {:.3} |",
        case.name,
        placement.moved,
        imbalance(&owners, case.nodes)
    );
}
