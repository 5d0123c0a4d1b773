//! Property tests of exclusive ownership under message loss, delays, duplicates, pauses, restarts,
//! clock drift, network partitions, log outages and racing records. For each safety guard, a test
//! shows that an invariant breaks without it.

mod late_dedup;
mod late_joins;
mod restores;
mod schedule;
mod world;

use std::time::Duration;

use firspindle_core::process::SafetyGuards;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};
use schedule::{Step, steps};
use world::{PARTITIONS, World, run_history};

/// Number of histories run with all guards enabled, over all shards.
const SAFE_HISTORIES: u32 = 1500;

/// Number of histories within which a disabled guard must lead to a fault.
const GUARD_HISTORIES: u32 = 6000;

/// Number of histories after which every partition must be served again.
const RECOVERY_HISTORIES: u32 = 300;

/// Time allowed for that. A holder that cannot renew its lease starts over after three lease
/// durations, and other nodes wait for it.
const RECOVERY_TIME: Duration = Duration::from_secs(15);

/// Reads a number from the environment, so that longer runs need no change here.
fn env_number(name: &str, default: u32) -> u32 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn runner(cases: u32, seed: u8) -> TestRunner {
    let config =
        Config { cases, max_shrink_iters: 0, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]))
}

/// Runs random histories; returns the first fault with the seed and steps that lead to it.
fn explore(cases: u32, seed: u8, guards: SafetyGuards) -> Result<(), String> {
    explore_steps(steps(), cases, seed, guards)
}

/// The same with a given strategy for schedules.
fn explore_steps(
    steps: impl Strategy<Value = Vec<Step>>,
    cases: u32,
    seed: u8,
    guards: SafetyGuards,
) -> Result<(), String> {
    let strategy = (any::<u64>(), steps);
    let result = runner(cases, seed).run(&strategy, |(seed, steps)| {
        run_history(seed, &steps, guards).map(|_| ()).map_err(TestCaseError::fail)
    });
    result.map_err(|error| match error {
        TestError::Fail(reason, (seed, steps)) => {
            format!("{reason}\nseed {seed}\nsteps {steps:?}")
        }
        TestError::Abort(reason) => format!("aborted: {reason}"),
    })
}

/// Runs one quarter of the histories with all guards enabled; none may break an invariant.
fn assert_exclusive(shard: u8) {
    let cases = env_number("OWNERSHIP_CASES", SAFE_HISTORIES) / 4;
    let seed = u8::try_from(env_number("OWNERSHIP_SEED", 1)).unwrap_or(1).wrapping_mul(4) + shard;
    if let Err(fault) = explore(cases, seed, SafetyGuards::all()) {
        panic!("{fault}");
    }
}

#[test]
fn one_owner_in_every_history_shard_0() {
    assert_exclusive(0);
}

#[test]
fn one_owner_in_every_history_shard_1() {
    assert_exclusive(1);
}

#[test]
fn one_owner_in_every_history_shard_2() {
    assert_exclusive(2);
}

#[test]
fn one_owner_in_every_history_shard_3() {
    assert_exclusive(3);
}

/// Checks that some history breaks an invariant when a guard is disabled.
fn assert_fault_without(guards: SafetyGuards) {
    let cases = env_number("GUARD_CASES", GUARD_HISTORIES);
    let found = explore(cases, 7, guards);
    assert!(found.is_err(), "no fault within {cases} histories without the guard");
}

#[test]
fn without_earlier_holders_two_owners_appear() {
    assert_fault_without(SafetyGuards { earlier_holders: false, ..SafetyGuards::all() });
}

#[test]
fn without_the_promise_two_owners_appear() {
    assert_fault_without(SafetyGuards { promise: false, ..SafetyGuards::all() });
}

#[test]
fn without_the_confirmed_switch_two_owners_appear() {
    assert_fault_without(SafetyGuards { confirmed_switch: false, ..SafetyGuards::all() });
}

#[test]
fn without_refusing_old_sets_two_owners_appear() {
    assert_fault_without(SafetyGuards { old_set_refuses: false, ..SafetyGuards::all() });
}

#[test]
fn without_closing_old_sets_two_owners_appear() {
    assert_fault_without(SafetyGuards { old_sets_closed: false, ..SafetyGuards::all() });
}

#[test]
fn without_the_lease_recheck_two_owners_appear() {
    assert_fault_without(SafetyGuards { lease_recheck: false, ..SafetyGuards::all() });
}

#[test]
fn without_the_fence_order_a_fence_falls() {
    assert_fault_without(SafetyGuards { fence_order: false, ..SafetyGuards::all() });
}

#[test]
fn without_the_drift_margin_two_owners_appear() {
    assert_fault_without(SafetyGuards { drift_margin: false, ..SafetyGuards::all() });
}

#[test]
fn without_waiting_for_idle_two_owners_appear() {
    assert_fault_without(SafetyGuards { idle_release: false, ..SafetyGuards::all() });
}

/// No partition stays unserved: after any history, once all faults are repaired, every partition
/// is served again.
#[test]
fn every_partition_is_served_again_after_any_history() {
    let cases = env_number("RETURN_CASES", RECOVERY_HISTORIES);
    let strategy = (any::<u64>(), steps());
    let result = runner(cases, 11).run(&strategy, |(seed, steps)| {
        let mut world =
            run_history(seed, &steps, SafetyGuards::all()).map_err(TestCaseError::fail)?;
        world.repair().map_err(TestCaseError::fail)?;
        world.run(RECOVERY_TIME).map_err(TestCaseError::fail)?;
        for partition in 0..PARTITIONS {
            let what = || format!("partition {partition}: {}", world.describe(partition));
            prop_assert!(world.is_served(partition), "not served: {}", what());
        }
        Ok(())
    });
    if let Err(TestError::Fail(reason, (seed, steps))) = result {
        panic!("{reason}\nseed {seed}\nsteps {steps:?}");
    }
}

#[test]
fn a_fleet_without_faults_serves_every_partition() {
    let mut world = World::start(1, SafetyGuards::all()).expect("no invariant breaks");
    world.run(Duration::from_secs(2)).expect("no invariant breaks");
    assert!((0..PARTITIONS).all(|partition| world.is_served(partition)));
}
