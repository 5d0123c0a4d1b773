//! A log that is slow, down or loses responses, and manifests that are published concurrently.

use std::time::{Duration, Instant};

use harness::{Fleet, FleetSpec, HttpClient, wait_until};
use rustix::process::Signal;

use crate::fleet_checks::{
    LONG_TIMEOUT, PARTITIONS, SETTLE_TIMEOUT, manifest, run_for, start_fleet, start_load,
    stop_and_check, wait_until_settled,
};

/// Longest time for a manifest to come into force everywhere that the project's target allows.
pub const MANIFEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Duration of an outage.
const OUTAGE_TIME: Duration = Duration::from_secs(3);

pub fn version(fleet: &Fleet, host: usize) -> u64 {
    let status = fleet.status(host);
    status.and_then(|status| status["manifest_version"].as_u64()).unwrap_or(0)
}

pub fn wait_for_version(fleet: &Fleet, wanted: u64) {
    let started = Instant::now();
    wait_until("the manifest is in force everywhere", MANIFEST_TIMEOUT, || {
        let hosts = (0..fleet.nodes.len()).filter(|host| fleet.nodes[*host].is_some());
        hosts.into_iter().all(|host| version(fleet, host) == wanted).then_some(())
    });
    eprintln!("in force everywhere after {} ms", started.elapsed().as_millis());
}

#[test]
fn service_continues_while_the_log_is_down_or_slow() {
    let fleet = start_fleet(FleetSpec::one_service("registre", 3, 3));
    let generator = start_load(&fleet, "/registre/orders", LONG_TIMEOUT);
    run_for(Duration::from_millis(500));
    fleet.set_log_faults(r#"{"down": true}"#);
    run_for(OUTAGE_TIME);
    fleet.set_log_faults(r#"{"slow_ms": 700}"#);
    run_for(OUTAGE_TIME);
    fleet.set_log_faults("{}");
    let rows = stop_and_check(&fleet, generator);
    let refused = rows.iter().filter(|row| !row.ran()).count();
    assert_eq!(refused, 0, "no order is refused during an outage of the log");
}

#[test]
fn appends_whose_responses_are_lost_are_applied_once() {
    let mut fleet = Fleet::start(FleetSpec::one_service("registre", 2, 2));
    fleet.set_log_faults(r#"{"lose_answers": true}"#);
    let output = fleet.publish(&manifest(0, ""));
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    fleet.spec.nodes.push(fleet.spec.nodes[0].clone());
    fleet.nodes.push(None);
    fleet.upstreams.push(None);
    fleet.start_node(2);
    fleet.start_upstream(2);
    fleet.wait_until_served(PARTITIONS);
    let status = fleet.status(0).expect("the node responds");
    assert_eq!(status["members"].as_array().map(Vec::len), Some(3), "each node joined once");
}

#[test]
fn one_of_two_concurrent_manifests_is_accepted() {
    let fleet = start_fleet(FleetSpec::one_service("registre", 3, 3));
    let manifests = [manifest(1, "queue_limit = 50"), manifest(1, "queue_limit = 60")];
    let outputs: Vec<_> = std::thread::scope(|scope| {
        let fleet = &fleet;
        let publishers: Vec<_> =
            manifests.iter().map(|text| scope.spawn(move || fleet.publish(text))).collect();
        publishers
            .into_iter()
            .map(|publisher| publisher.join().expect("the publisher does not panic"))
            .collect()
    });
    let mut codes: Vec<_> = outputs.iter().map(|output| output.status.code()).collect();
    codes.sort_unstable();
    assert_eq!(codes, [Some(0), Some(3)], "one manifest is accepted, one refused");
    wait_for_version(&fleet, 2);
    let late = fleet.publish(&manifest(1, "queue_limit = 70"));
    assert_eq!(late.status.code(), Some(3), "a manifest that replaces an older version is refused");
    assert_eq!(version(&fleet, 0), 2);
    let response =
        HttpClient::call(fleet.admin_address(1), "POST", "/manifests", &[], manifest(2, ""));
    assert_eq!(response.expect("the node responds").status, 200);
    wait_for_version(&fleet, 3);
}

#[test]
fn a_manifest_reaches_a_node_that_is_cut_off_from_the_log() {
    let fleet = start_fleet(FleetSpec::one_service("registre", 3, 3).with_links());
    fleet.log_links[2].signal(Signal::USR1);
    run_for(Duration::from_millis(200));
    let output = fleet.publish(&manifest(1, "queue_limit = 50"));
    assert!(output.status.success());
    wait_for_version(&fleet, 2);
}

#[test]
fn publishing_while_the_log_is_down_has_an_unknown_outcome() {
    let fleet = start_fleet(FleetSpec::one_service("registre", 1, 1));
    fleet.set_log_faults(r#"{"down": true}"#);
    let output = fleet.publish(&manifest(1, ""));
    assert_eq!(output.status.code(), Some(4));
    assert_eq!(version(&fleet, 0), 1);
}

/// The manifest's record expires in the log and all nodes restart; the manifest must still be in
/// force.
#[test]
fn a_manifest_survives_its_record_and_a_restart_of_all_nodes() {
    let mut spec = FleetSpec::one_service("registre", 3, 3).log_arg("--retention-ms=6000");
    spec.retention_s = 6;
    let mut fleet = start_fleet(spec);
    let output = fleet.publish(&manifest(1, "queue_limit = 50"));
    assert!(output.status.success());
    wait_for_version(&fleet, 2);
    run_for(Duration::from_secs(8));
    for host in 0..3 {
        fleet.kill_host(host);
    }
    for host in 0..3 {
        fleet.start_node(host);
        fleet.start_upstream(host);
    }
    wait_until("the restarted nodes have the manifest", SETTLE_TIMEOUT, || {
        (0..3).all(|host| version(&fleet, host) == 2).then_some(())
    });
    wait_until_settled(&fleet);
    let late = fleet.publish(&manifest(0, ""));
    assert_eq!(late.status.code(), Some(3), "the first version must not come back");
}

#[test]
fn a_node_that_starts_without_the_log_takes_its_state_from_peers() {
    let mut fleet = start_fleet(FleetSpec::one_service("registre", 4, 3));
    fleet.set_log_faults(r#"{"down": true}"#);
    fleet.kill_host(3);
    fleet.start_node(3);
    wait_until("the new process has the manifest", SETTLE_TIMEOUT, || {
        (version(&fleet, 3) == 1).then_some(())
    });
    let response = wait_until("the new process routes requests", SETTLE_TIMEOUT, || {
        let headers = [("firspindle-key", "garage-1")];
        let response = fleet.call(3, "POST", "/registre/orders", &headers, "").ok()?;
        (response.status == 200).then_some(response)
    });
    assert_eq!(response.verdict(), "ran");
}
