//! Histories in which the log comes back from an older copy: what was written since is lost, and
//! its offsets are given out again.

use firspindle_core::process::SafetyGuards;
use proptest::prelude::*;
use proptest::test_runner::TestError;

use crate::schedule::steps_with_restores;
use crate::world::{PARTITIONS, run_history};
use crate::{RECOVERY_TIME, env_number, explore_steps, runner};

/// Number of histories run with all guards enabled, over all shards.
const RESTORE_HISTORIES: u32 = 800;

/// Number of histories after which every partition must be served again.
const RECOVERY_HISTORIES: u32 = 150;

/// Runs one quarter of the histories with all guards enabled; none may break an invariant.
fn assert_exclusive(shard: u8) {
    let cases = env_number("RESTORE_CASES", RESTORE_HISTORIES) / 4;
    let seed = u8::try_from(env_number("RESTORE_SEED", 9)).unwrap_or(9).wrapping_mul(4) + shard;
    if let Err(fault) = explore_steps(steps_with_restores(), cases, seed, SafetyGuards::all()) {
        panic!("{fault}");
    }
}

#[test]
fn one_owner_in_every_history_with_restores_shard_0() {
    assert_exclusive(0);
}

#[test]
fn one_owner_in_every_history_with_restores_shard_1() {
    assert_exclusive(1);
}

#[test]
fn one_owner_in_every_history_with_restores_shard_2() {
    assert_exclusive(2);
}

#[test]
fn one_owner_in_every_history_with_restores_shard_3() {
    assert_exclusive(3);
}

/// After restores and once all faults are repaired, every partition is served again, and the next
/// manifest is in force on every node.
#[test]
fn service_and_manifests_return_after_restores_of_the_log() {
    let cases = env_number("RETURN_CASES", RECOVERY_HISTORIES);
    let strategy = (any::<u64>(), steps_with_restores());
    let result = runner(cases, 12).run(&strategy, |(seed, steps)| {
        let mut world =
            run_history(seed, &steps, SafetyGuards::all()).map_err(TestCaseError::fail)?;
        world.repair().map_err(TestCaseError::fail)?;
        world.run(RECOVERY_TIME).map_err(TestCaseError::fail)?;
        let before = world.manifest_versions();
        world.publish(7);
        world.run(RECOVERY_TIME).map_err(TestCaseError::fail)?;
        let after = world.manifest_versions();
        for partition in 0..PARTITIONS {
            let what = || format!("partition {partition}: {}", world.describe(partition));
            prop_assert!(world.is_served(partition), "not served: {}", what());
        }
        let risen = before.iter().zip(&after).all(|(before, after)| after > before);
        let equal = after.iter().all(|version| *version == after[0]);
        prop_assert!(risen && equal, "manifest not in force: {before:?}, then {after:?}");
        Ok(())
    });
    if let Err(TestError::Fail(reason, (seed, steps))) = result {
        panic!("{reason}\nseed {seed}\nsteps {steps:?}");
    }
}
