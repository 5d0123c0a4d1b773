//! Random schedules of faults, as a proptest strategy.

use proptest::prelude::*;
use proptest::sample::Index;
use proptest::strategy::Union;

use crate::world::{NODES, PARTITIONS};

/// One step of a schedule.
#[derive(Debug, Clone)]
pub enum Step {
    /// Lets some milliseconds pass.
    Run(u64),
    /// Cuts the link between two nodes in both directions.
    Cut(usize, usize),
    /// Cuts a node from all others.
    Isolate(usize),
    /// Restores all links.
    Heal,
    /// Pauses a node for some milliseconds; its clock goes on.
    Pause(usize, u64),
    /// Kills a node's process and starts another.
    Restart(usize),
    /// Kills a node's process without starting another.
    Kill(usize),
    /// Sets whether a node can reach the log.
    LogLink(usize, bool),
    /// Sets whether the log is down for all nodes.
    LogDown(bool),
    /// Sets whether the log's answers to successful appends may be lost.
    LoseAnswers(bool),
    /// A plan record gives a partition a new owner and successors.
    PlanAssignment(u32, Vec<usize>),
    /// A plan record gives a node new witnesses.
    PlanWitnesses(usize, Vec<usize>),
    /// Drains a node.
    Drain(usize),
    /// The log comes back from an older copy, without some of its newest records.
    RestoreLog(usize),
    /// An operator writes the next manifest.
    Publish(u64),
}

/// Most records that one restore drops; more than the log has when a schedule starts.
const MAX_LOST_RECORDS: usize = 16;

/// Returns random schedules during which the log is restored up to four times.
pub fn steps_with_restores() -> impl Strategy<Value = Vec<Step>> {
    let restore = (1..=MAX_LOST_RECORDS).prop_map(Step::RestoreLog);
    let publish = any::<u64>().prop_map(Step::Publish);
    let restores = proptest::collection::vec((any::<Index>(), restore), 1..=4);
    let publications = proptest::collection::vec((any::<Index>(), publish), 0..4);
    (steps(), restores, publications).prop_map(|(mut steps, restores, publications)| {
        for (index, step) in restores.into_iter().chain(publications) {
            steps.insert(index.index(steps.len() + 1), step);
        }
        steps
    })
}

/// Returns schedules in which a restore loses the newest witness set of a holder that is cut off
/// with two of these witnesses from the log and from all others.
pub fn steps_with_lost_set() -> impl Strategy<Value = Vec<Step>> {
    (400u64..1200, 1usize..8).prop_map(|(switch_ms, lost)| {
        let cut_off = [0, 4, 5];
        let mut steps: Vec<_> =
            cut_off.iter().map(|node| Step::PlanWitnesses(*node, vec![1, 2, 3])).collect();
        steps.extend([Step::PlanAssignment(0, vec![0]), Step::Run(2000)]);
        steps.extend([Step::PlanWitnesses(0, vec![3, 4, 5]), Step::Run(switch_ms)]);
        steps.extend(cut_off.iter().map(|node| Step::LogLink(*node, false)));
        for node in cut_off {
            steps.extend([1, 2, 3].map(|other| Step::Cut(node, other)));
        }
        steps.extend([Step::RestoreLog(lost), Step::Run(4000)]);
        steps
    })
}

/// Returns random schedules. Weights and times suit the protocol's durations: leases of 1.5 s,
/// takeovers of about 2 s.
pub fn steps() -> impl Strategy<Value = Vec<Step>> {
    let node = 0..NODES;
    let nodes =
        || proptest::sample::subsequence((0..NODES).collect::<Vec<_>>(), 1..=3).prop_shuffle();
    let set = proptest::sample::subsequence((0..NODES).collect::<Vec<_>>(), 3);
    let step = Union::new_weighted(vec![
        (12, (50u64..1500).prop_map(Step::Run).boxed()),
        (3, (node.clone(), node.clone()).prop_map(|(a, b)| Step::Cut(a, b)).boxed()),
        (3, node.clone().prop_map(Step::Isolate).boxed()),
        (2, Just(Step::Heal).boxed()),
        (4, (node.clone(), 300u64..5000).prop_map(|(n, ms)| Step::Pause(n, ms)).boxed()),
        (1, node.clone().prop_map(Step::Restart).boxed()),
        (2, node.clone().prop_map(Step::Kill).boxed()),
        (4, (node.clone(), any::<bool>()).prop_map(|(n, up)| Step::LogLink(n, up)).boxed()),
        (2, any::<bool>().prop_map(Step::LogDown).boxed()),
        (1, any::<bool>().prop_map(Step::LoseAnswers).boxed()),
        (
            6,
            (0..PARTITIONS, nodes())
                .prop_map(|(p, assignment)| Step::PlanAssignment(p, assignment))
                .boxed(),
        ),
        (4, (node.clone(), set).prop_map(|(n, set)| Step::PlanWitnesses(n, set)).boxed()),
        (1, node.prop_map(Step::Drain).boxed()),
    ]);
    proptest::collection::vec(step, 8..40)
}
