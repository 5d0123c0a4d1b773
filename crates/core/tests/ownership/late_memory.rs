//! Deduplication state of holders that another node replaced while they were paused.

use std::time::Duration;

use firspindle_core::process::SafetyGuards;
use firspindle_core::request::MEMORY_WAIT_MS;

use crate::schedule::Step;
use crate::world::{NODES, World};

/// Time for which all nodes are paused, longer than a lease.
const PAUSE_MS: u64 = 1_700;

/// Most time that a process wakes up later than the first.
const MAX_LATE_MS: u64 = 300;

/// Time after it within which all partitions are served.
const RECOVERY_TIME: Duration = Duration::from_secs(4);

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
        times.append(&mut world.memory_times);
        missing += world.missing_memories();
        assert_eq!(world.memory_faults, [""; 0], "seed {seed}");
    }
    times.sort_unstable();
    println!("{} handed over late, {missing} not: {times:?}", times.len());
    assert!(times.len() > 20, "takeovers: {}", times.len());
    // One message in fifty is lost, and one in twenty is late.
    assert!(missing * 20 <= times.len(), "{missing} missing");
    assert!(times.iter().all(|time| *time < Duration::from_millis(MEMORY_WAIT_MS)), "{times:?}");
}
