//! Starts fleets and load, and makes the checks that the tests have in common.

use std::time::{Duration, Instant};

use harness::{
    Fleet, FleetSpec, LoadGenerator, LoadSpec, RequestOutcome, check_journals, check_outcomes,
    wait_until,
};

/// Partitions of the service.
pub const PARTITIONS: usize = 24;

/// Longest time without service after a loss that the project's target allows.
pub const LOSS_BOUND: Duration = Duration::from_secs(3);

/// Request timeout of callers that give up before a takeover and send new requests.
pub const SHORT_TIMEOUT: Duration = Duration::from_millis(400);

/// Request timeout of callers that wait until their key is served again.
pub const LONG_TIMEOUT: Duration = Duration::from_secs(5);

/// Time limit for waits that have no bound of their own.
pub const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Lines of a manifest for a service without key ownership, any of whose upstreams may run an order.
pub const WITHOUT_KEYS: &str =
    "divided_by = \"none\"\n[[service.operation]]\nprefix = \"/orders\"\nidempotent = true";

/// Returns a manifest with additional lines for the service.
pub fn manifest(replaces: u64, service_lines: &str) -> String {
    format!(
        "replaces = {replaces}\n[[service]]\nname = \"registre\"\npartitions = {PARTITIONS}\n\
         deadline_ms = 5000\n{service_lines}\n"
    )
}

/// Starts a fleet and waits until its partitions are distributed evenly.
pub fn start_fleet(spec: FleetSpec) -> Fleet {
    start_fleet_with(spec, "")
}

/// Starts a fleet with additional lines for the service in its manifest.
pub fn start_fleet_with(spec: FleetSpec, service_lines: &str) -> Fleet {
    let fleet = Fleet::start(spec);
    let output = fleet.publish(&manifest(0, service_lines));
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    wait_until_settled(&fleet);
    fleet
}

/// Waits until all partitions are served and evenly distributed, and superseded assignments and
/// witness sets are dropped.
pub fn wait_until_settled(fleet: &Fleet) {
    let live_hosts: Vec<_> =
        (0..fleet.nodes.len()).filter(|host| fleet.nodes[*host].is_some()).collect();
    let min_share = PARTITIONS / live_hosts.len();
    wait_until("the partitions are distributed evenly", SETTLE_TIMEOUT, || {
        let counts: Vec<_> = live_hosts.iter().map(|host| fleet.partitions(*host).len()).collect();
        let even = counts.iter().all(|count| *count >= min_share);
        let history_closed = live_hosts
            .iter()
            .all(|host| fleet.status(*host).is_some_and(|status| status["open_history"] == 0));
        (even && history_closed && counts.iter().sum::<usize>() == PARTITIONS).then_some(())
    });
}

/// Returns keys that spread over the partitions.
pub fn keys() -> Vec<String> {
    (0..16).map(|number| format!("garage-{number}")).collect()
}

/// Starts callers that send to all hosts.
///
/// With a `request_timeout` shorter than a takeover, callers keep sending new requests while a key
/// is not served; with a longer one they wait until it is served again.
pub fn start_load(fleet: &Fleet, path: &str, request_timeout: Duration) -> LoadGenerator {
    let spec = LoadSpec { path: path.to_owned(), keys: keys(), callers: 16, request_timeout };
    let endpoints = (0..fleet.nodes.len()).map(|host| fleet.traffic_address(host)).collect();
    LoadGenerator::start(&spec, endpoints)
}

/// Lets the callers run for a while.
pub fn run_for(time: Duration) {
    let until = Instant::now() + time;
    while Instant::now() < until {
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Stops the callers, checks every response and every journal, and returns the outcomes.
pub fn stop_and_check(fleet: &Fleet, generator: LoadGenerator) -> Vec<RequestOutcome> {
    let rows = generator.stop();
    // A request whose caller got no response may still be running.
    run_for(Duration::from_millis(300));
    let journal = fleet.journals();
    let violations = check_outcomes(&rows, &journal);
    assert!(
        violations.is_empty(),
        "{} responses contradict the journals: {:#?}",
        violations.len(),
        &violations[..1]
    );
    let violations = check_journals(&journal);
    assert!(
        violations.is_empty(),
        "{} violations in the journals: {}",
        violations.len(),
        violations[0]
    );
    let ran = rows.iter().filter(|row| row.ran()).count();
    assert!(ran > 100, "only {ran} of {} orders ran", rows.len());
    rows
}
