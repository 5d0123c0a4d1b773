//! Placement compared: modulo hashing, rendezvous hashing, and the product's plans.

use firspindle_core::NodeId;
use firspindle_core::version::{
    FoldOutcome, FoldState, LogRecord, ManifestSpec, MemberInfo, PlanBuilder, RecordBody,
    SuccessorStrategy, UpstreamInfo, partition_of_key,
};

/// Keys that are hashed to measure load.
const KEYS: u32 = 2_000_000;

/// A deployment to place.
struct PlacedCase {
    name: &'static str,
    nodes: usize,
    partitions: usize,
    centres: usize,
    policy: &'static str,
}

const CASES: [PlacedCase; 3] = [
    PlacedCase { name: "registre", nodes: 10, partitions: 64, centres: 4, policy: "availability" },
    PlacedCase { name: "copydesk", nodes: 10, partitions: 64, centres: 3, policy: "churn" },
    PlacedCase {
        name: "target",
        nodes: 840,
        partitions: 32_768,
        centres: 5,
        policy: "availability",
    },
];

/// Runs all comparisons.
pub fn run() {
    println!(
        "| case | placement | partitions max/mean | keys max/mean | moved on a join / least | moved on a loss / least | most of a lost node's load on one survivor |"
    );
    println!("|---|---|---|---|---|---|---|");
    for case in &CASES {
        compare(case);
    }
    println!();
    println!("| case | replacements | moved in all | least possible | partitions max/mean after |");
    println!("|---|---|---|---|---|");
    for case in &CASES {
        replace_all_day(case);
    }
}

struct PlacedState {
    state: FoldState,
    spec: ManifestSpec,
    choice: SuccessorStrategy,
    next_id: u128,
    moved: usize,
}

impl PlacedState {
    fn new(case: &PlacedCase, choice: SuccessorStrategy) -> Self {
        let text = format!(
            "replaces = 0\n[[service]]\nname = \"s\"\npartitions = {}\npolicy = \"{}\"\n",
            case.partitions, case.policy
        );
        let spec = ManifestSpec::parse(&text).expect("the manifest is valid");
        let mut placed = Self { state: FoldState::default(), spec, choice, next_id: 0, moved: 0 };
        placed.fold(RecordBody::Manifest { replaces: 0, text: text.into() });
        for index in 0..case.nodes {
            placed.join(index, case.centres);
        }
        placed.fold(RecordBody::Claim { term: 1, node: 2 });
        placed.settle();
        placed.moved = 0;
        placed
    }

    fn fold(&mut self, body: RecordBody) {
        self.next_id += 1;
        let record = LogRecord { id: self.next_id, body };
        let outcome = self.state.fold(self.state.next_offset, &record);
        assert_eq!(outcome, FoldOutcome::Applied);
    }

    fn join(&mut self, index: usize, centres: usize) {
        let info = MemberInfo {
            host: format!("host-{index}").into(),
            region: "region".into(),
            data_centre: format!("dc-{}", index % centres).into(),
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
        self.fold(RecordBody::Join(info));
    }

    /// Plans until nothing is left, counting changes of holders.
    fn settle(&mut self) {
        loop {
            let floor = self.state.next_offset - 1;
            let builder = PlanBuilder::new(&self.state, &self.spec).floor(floor);
            let plan = builder.successors(self.choice).build();
            if plan.is_empty() {
                return;
            }
            let before = self.holders();
            self.fold(RecordBody::Plan(plan));
            let changed = before.iter().zip(self.holders()).filter(|(a, b)| **a != *b);
            self.moved += changed.count();
        }
    }

    /// Holder of each partition: the first living node of its line.
    fn holders(&self) -> Vec<NodeId> {
        let holder = |row: &firspindle_core::version::PartitionRow| {
            let nodes = row.current().map_or(&[][..], |assignment| &assignment.nodes);
            nodes.iter().copied().find(|node| self.state.member(*node).is_some()).unwrap_or(0)
        };
        self.state.partitions.iter().map(holder).collect()
    }
}

/// Greatest count over the mean.
fn imbalance(owners: &[NodeId], nodes: usize) -> f64 {
    let mut sorted = owners.to_vec();
    sorted.sort_unstable();
    let most = sorted.chunk_by(|a, b| a == b).map(<[NodeId]>::len).max().unwrap_or(0);
    most as f64 * nodes as f64 / owners.len() as f64
}

/// Owner of each sampled key.
fn key_owners(owners: &[NodeId]) -> Vec<NodeId> {
    let count = u16::try_from(owners.len()).expect("few partitions");
    let owner = |key: u32| owners[partition_of_key(0, count, &key.to_le_bytes()) as usize];
    (0..KEYS).map(owner).collect()
}

fn changed(before: &[NodeId], after: &[NodeId]) -> usize {
    before.iter().zip(after).filter(|(a, b)| a != b).count()
}

/// Greatest part of a lost node's partitions on one survivor, in partitions.
fn worst_share(before: &[NodeId], after: &[NodeId], lost: NodeId) -> usize {
    let mut taken: Vec<_> =
        before.iter().zip(after).filter(|(a, _)| **a == lost).map(|(_, b)| *b).collect();
    taken.sort_unstable();
    taken.chunk_by(|a, b| a == b).map(<[NodeId]>::len).max().unwrap_or(0)
}

fn print_case(
    case: &PlacedCase,
    name: &str,
    start: &[NodeId],
    joined: &[NodeId],
    lost_node: NodeId,
    lost: &[NodeId],
) {
    let nodes = case.nodes;
    let least_join = case.partitions / (nodes + 1);
    let least_loss = start.iter().filter(|node| **node == lost_node).count();
    println!(
        "| {} | {name} | {:.3} | {:.3} | {} / {least_join} | {} / {least_loss} | {} |",
        case.name,
        imbalance(start, nodes),
        imbalance(&key_owners(start), nodes),
        changed(start, joined),
        changed(start, lost),
        worst_share(start, lost, lost_node),
    );
}

fn compare(case: &PlacedCase) {
    let all: Vec<NodeId> = (1..=case.nodes as u64).collect();
    let more: Vec<NodeId> = (1..=case.nodes as u64 + 1).collect();
    let lost_node = case.nodes as u64 / 2;
    let fewer: Vec<NodeId> = all.iter().copied().filter(|node| *node != lost_node).collect();
    let partitions = 0..case.partitions;
    let modulo = |nodes: &[NodeId]| -> Vec<NodeId> {
        partitions.clone().map(|partition| nodes[partition % nodes.len()]).collect()
    };
    print_case(case, "modulo", &modulo(&all), &modulo(&more), lost_node, &modulo(&fewer));
    let weight = |partition: usize, node: NodeId| {
        firspindle_core::version::rendezvous_weight(partition as u32, node)
    };
    let rendezvous = |nodes: &[NodeId]| -> Vec<NodeId> {
        let best = |partition: usize| {
            nodes.iter().copied().max_by_key(|node| weight(partition, *node)).unwrap_or(0)
        };
        partitions.clone().map(best).collect()
    };
    print_case(
        case,
        "rendezvous",
        &rendezvous(&all),
        &rendezvous(&more),
        lost_node,
        &rendezvous(&fewer),
    );
    for (name, choice) in [
        ("plan, successors by rendezvous", SuccessorStrategy::Rendezvous),
        ("plan, successors balanced", SuccessorStrategy::Balanced),
    ] {
        let placed = PlacedState::new(case, choice);
        let start = placed.holders();
        let mut joined =
            PlacedState { state: placed.state.clone(), spec: placed.spec.clone(), ..placed };
        joined.join(case.nodes, case.centres);
        joined.settle();
        let mut lost = PlacedState::new(case, choice);
        let lost_node = lost.state.members[case.nodes / 2].id;
        lost.fold(RecordBody::Revoke { node: lost_node, prover: 2 });
        // What successors take at once, before any plan.
        let taken = lost.holders();
        print_case(case, name, &start, &joined.holders(), lost_node, &taken);
    }
}

/// Each node replaced once, one after the other, up to the target's daily number.
fn replace_all_day(case: &PlacedCase) {
    const DAILY: usize = 240;
    let mut placed = PlacedState::new(case, SuccessorStrategy::Balanced);
    let replacements = DAILY.min(case.nodes * 3);
    let mut least = 0;
    for number in 0..replacements {
        let victim = placed.state.members[number % case.nodes.min(3)].id;
        least += 2 * placed.holders().iter().filter(|node| **node == victim).count();
        let before = placed.holders();
        placed.fold(RecordBody::Left { node: victim });
        placed.moved += changed(&before, &placed.holders());
        placed.settle();
        placed.join(case.nodes + number, case.centres);
        placed.settle();
    }
    let holders = placed.holders();
    println!(
        "| {} | {replacements} | {} | {least} | {:.3} |",
        case.name,
        placed.moved,
        imbalance(&holders, case.nodes)
    );
}
