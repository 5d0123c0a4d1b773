//! Schedules of faults, as a strategy.

use proptest::prelude::*;
use proptest::strategy::Union;

use crate::world::{NODES, PARTITIONS};

/// One step of a schedule.
#[derive(Debug, Clone)]
pub enum Step {
    /// Lets time pass.
    Run(u64),
    /// Cuts the link between two nodes, both ways.
    Cut(usize, usize),
    /// Cuts a node from all others.
    Isolate(usize),
    /// Heals all links.
    Heal,
    /// Stops a node for some milliseconds.
    Pause(usize, u64),
    /// Ends a node's process and starts another.
    Restart(usize),
    /// Ends a node's process for good.
    Kill(usize),
    /// Cuts a node from the log, or heals that.
    Log(usize, bool),
    /// Takes the log down, or up.
    LogDown(bool),
    /// Answers of effective appends are lost, or not.
    LoseAnswers(bool),
    /// An operator's or planner's record gives a partition a new line.
    Line(u32, Vec<usize>),
    /// A record gives a node new witnesses.
    Witnesses(usize, Vec<usize>),
    /// A node drains.
    Drain(usize),
}

/// Weights suit the protocol's times: leases of 1.5 s, takeovers of about 2 s.
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
        (4, (node.clone(), any::<bool>()).prop_map(|(n, up)| Step::Log(n, up)).boxed()),
        (2, any::<bool>().prop_map(Step::LogDown).boxed()),
        (1, any::<bool>().prop_map(Step::LoseAnswers).boxed()),
        (6, (0..PARTITIONS, nodes()).prop_map(|(p, assignment)| Step::Line(p, assignment)).boxed()),
        (4, (node.clone(), set).prop_map(|(n, set)| Step::Witnesses(n, set)).boxed()),
        (1, node.prop_map(Step::Drain).boxed()),
    ]);
    proptest::collection::vec(step, 8..40)
}
