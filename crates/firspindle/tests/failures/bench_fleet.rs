//! A fleet under load, with the checks that every test makes.

use std::time::{Duration, Instant};

use harness::{
    Fleet, FleetSpec, LoadGenerator, LoadSpec, RequestOutcome, check_journals, check_outcomes,
    wait_until,
};

/// Partitions of the service.
pub const PARTITIONS: usize = 24;

/// Longest time without service after a loss, from the target.
pub const LOSS_BOUND: Duration = Duration::from_secs(3);

/// Patience of callers that ask again and again.
pub const SHORT: Duration = Duration::from_millis(400);

/// Patience of callers that wait.
pub const LONG: Duration = Duration::from_secs(5);

/// Longest wait for a state that has no bound of its own.
pub const SETTLE: Duration = Duration::from_secs(20);

/// Manifest with more lines for the service.
pub fn manifest(replaces: u64, more: &str) -> String {
    format!(
        "replaces = {replaces}\n[[service]]\nname = \"registre\"\npartitions = {PARTITIONS}\n\
         deadline_ms = 5000\n{more}\n"
    )
}

/// Starts a fleet that serves evenly.
pub fn serving(spec: FleetSpec) -> Fleet {
    serving_with(spec, "")
}

/// Starts a fleet with more lines in the manifest.
pub fn serving_with(spec: FleetSpec, more: &str) -> Fleet {
    let fleet = Fleet::start(spec);
    let output = fleet.publish(&manifest(0, more));
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    settle(&fleet);
    fleet
}

/// Waits until all partitions are served evenly and older lines and sets are dropped.
pub fn settle(fleet: &Fleet) {
    let living: Vec<_> =
        (0..fleet.nodes.len()).filter(|host| fleet.nodes[*host].is_some()).collect();
    let share = PARTITIONS / living.len();
    wait_until("the fleet settles", SETTLE, || {
        let counts: Vec<_> = living.iter().map(|host| fleet.partitions(*host).len()).collect();
        let even = counts.iter().all(|count| *count >= share);
        let settled = living
            .iter()
            .all(|host| fleet.status(*host).is_some_and(|status| status["open_history"] == 0));
        (even && settled && counts.iter().sum::<usize>() == PARTITIONS).then_some(())
    });
}

/// Keys that cover all partitions well enough.
pub fn keys() -> Vec<String> {
    (0..16).map(|number| format!("garage-{number}")).collect()
}

/// Starts callers at all hosts.
///
/// With `request_timeout` shorter than a takeover, callers ask again and again while a key is not
/// served; with a longer one they wait for it.
pub fn load(fleet: &Fleet, path: &str, request_timeout: Duration) -> LoadGenerator {
    let spec = LoadSpec { path: path.to_owned(), keys: keys(), callers: 16, request_timeout };
    let entries = (0..fleet.nodes.len()).map(|host| fleet.traffic_address(host)).collect();
    LoadGenerator::start(&spec, entries)
}

/// Lets callers run for a while.
pub fn run_for(time: Duration) {
    let until = Instant::now() + time;
    while Instant::now() < until {
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Checks every answer and every journal; returns the rows.
pub fn check(fleet: &Fleet, probe: LoadGenerator) -> Vec<RequestOutcome> {
    let rows = probe.stop();
    // A request whose caller got no answer may still end.
    run_for(Duration::from_millis(300));
    let journal = fleet.journals();
    let faults = check_outcomes(&rows, &journal);
    assert!(faults.is_empty(), "{} answers contradict: {:#?}", faults.len(), &faults[..1]);
    let faults = check_journals(&journal);
    assert!(faults.is_empty(), "{} faults: {}", faults.len(), faults[0]);
    let ran = rows.iter().filter(|row| row.ran()).count();
    assert!(ran > 100, "only {ran} of {} orders ran", rows.len());
    rows
}
