//! Deduplication state of holders that another node replaced while they were paused.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::TestError;

use firspindle_core::process::SafetyGuards;
use firspindle_core::request::DEDUP_WAIT_MS;

use crate::schedule::{Step, steps};
use crate::world::{NODES, World, run_history};
use crate::{env_number, runner};

/// Time for which all nodes are paused, longer than a lease.
const PAUSE_MS: u64 = 1_700;

/// Most time that a process wakes up later than the first.
const MAX_LATE_MS: u64 = 300;

/// Time after it within which all partitions are served.
const RECOVERY_TIME: Duration = Duration::from_secs(4);

/// Number of random histories.
const HISTORIES: u32 = 600;

/// Guards against orders that did not run and are refused as ones that may have run, because the holder
/// that a pause of all hosts cost its lease never tells the next one what it saw.
#[test]
fn a_holder_replaced_in_a_pause_hands_over_what_it_saw() {
    let (mut times, mut missing) = (Vec::new(), 0);
    for seed in 0..200 {
        let mut world = World::start(seed, SafetyGuards::all()).expect("no rule is broken");
        for node in 0..NODES {
            // Some processes get the processor later than others.
            let late = seed * 7 + node as u64 * 31;
            let pause = Step::Pause(node, PAUSE_MS + late % MAX_LATE_MS);
            world.apply(&pause).expect("no rule is broken");
        }
        world.run(RECOVERY_TIME).expect("no rule is broken");
        times.append(&mut world.dedup_times);
        missing += world.missing_dedup();
        assert_eq!(world.dedup_faults, [""; 0], "seed {seed}");
    }
    times.sort_unstable();
    println!("{} handed over late, {missing} not: {times:?}", times.len());
    assert!(times.len() > 20, "takeovers: {}", times.len());
    // One message in fifty is lost, and one in twenty is late.
    assert!(missing * 20 <= times.len(), "{missing} missing");
    assert!(times.iter().all(|time| *time < Duration::from_millis(DEDUP_WAIT_MS)), "{times:?}");
}

/// Guards against requests that run twice, because a state counts as complete while an earlier holder that
/// ended still has requests in flight.
#[test]
fn no_state_is_complete_before_the_earlier_holder_is_idle() {
    let cases = env_number("DEDUP_CASES", HISTORIES);
    let strategy = (any::<u64>(), steps());
    let result = runner(cases, 41).run(&strategy, |(seed, steps)| {
        let world = run_history(seed, &steps, SafetyGuards::all()).map_err(TestCaseError::fail)?;
        prop_assert!(world.dedup_faults.is_empty(), "{:?}", world.dedup_faults);
        Ok(())
    });
    if let Err(TestError::Fail(reason, (seed, steps))) = result {
        panic!("{reason}\nseed {seed}\nsteps {steps:?}");
    }
}

/// Guards against the same after an owner that ended before it served, with which the assignment of the
/// earlier holder was forgotten.
#[test]
fn no_state_is_complete_after_an_owner_that_never_served() {
    let steps = [
        Step::Pause(3, 1985),
        Step::LogLink(1, false),
        Step::Isolate(4),
        Step::Run(3372),
        Step::Pause(2, 3339),
        Step::LogLink(1, true),
        Step::Run(2137),
    ];
    let world = run_history(8_969_937_273_798_536_532, &steps, SafetyGuards::all());
    let world = world.expect("no rule is broken");
    assert_eq!(world.dedup_faults, [""; 0]);
}
