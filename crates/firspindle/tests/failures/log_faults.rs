//! The log as it really is, and manifests that race.

use std::time::{Duration, Instant};

use harness::{Fleet, FleetSpec, HttpClient, wait_until};
use rustix::process::Signal;

use crate::bench_fleet::{
    LONG, PARTITIONS, SETTLE, check, load, manifest, run_for, serving, settle,
};

/// Bound for a manifest to be in force everywhere, of today's target.
const MANIFEST_BOUND: Duration = Duration::from_secs(3);

/// Time of an outage.
const OUTAGE: Duration = Duration::from_secs(3);

fn version(fleet: &Fleet, host: usize) -> u64 {
    let status = fleet.status(host);
    status.and_then(|status| status["manifest_version"].as_u64()).unwrap_or(0)
}

fn wait_for_version(fleet: &Fleet, wanted: u64) {
    let started = Instant::now();
    wait_until("the manifest is in force everywhere", MANIFEST_BOUND, || {
        let hosts = (0..fleet.nodes.len()).filter(|host| fleet.nodes[*host].is_some());
        hosts.into_iter().all(|host| version(fleet, host) == wanted).then_some(())
    });
    eprintln!("in force everywhere after {} ms", started.elapsed().as_millis());
}

#[test]
fn service_goes_on_while_the_log_is_down_or_slow() {
    let fleet = serving(FleetSpec::one_service("registre", 3, 3));
    let probe = load(&fleet, "/registre/orders", LONG);
    run_for(Duration::from_millis(500));
    fleet.set_log_faults(r#"{"down": true}"#);
    run_for(OUTAGE);
    fleet.set_log_faults(r#"{"slow_ms": 700}"#);
    run_for(OUTAGE);
    fleet.set_log_faults("{}");
    let rows = check(&fleet, probe);
    let refused = rows.iter().filter(|row| !row.ran()).count();
    assert_eq!(refused, 0, "an outage of the log refuses nobody");
}

#[test]
fn appends_that_take_effect_without_an_answer_are_folded_once() {
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
    let status = fleet.status(0).expect("the node answers");
    assert_eq!(status["members"].as_array().map(Vec::len), Some(3), "each joined once");
}

#[test]
fn of_two_operators_one_wins() {
    let fleet = serving(FleetSpec::one_service("registre", 3, 3));
    let texts = [manifest(1, "queue_limit = 50"), manifest(1, "queue_limit = 60")];
    let outputs: Vec<_> = std::thread::scope(|scope| {
        let fleet = &fleet;
        let publishers: Vec<_> =
            texts.iter().map(|text| scope.spawn(move || fleet.publish(text))).collect();
        publishers.into_iter().map(|publisher| publisher.join().expect("it ends")).collect()
    });
    let mut codes: Vec<_> = outputs.iter().map(|output| output.status.code()).collect();
    codes.sort_unstable();
    assert_eq!(codes, [Some(0), Some(3)], "one is accepted, one refused");
    wait_for_version(&fleet, 2);
    let late = fleet.publish(&manifest(1, "queue_limit = 70"));
    assert_eq!(late.status.code(), Some(3), "a late one is refused");
    assert_eq!(version(&fleet, 0), 2);
    let reply =
        HttpClient::call(fleet.admin_address(1), "POST", "/manifests", &[], manifest(2, ""));
    assert_eq!(reply.expect("the node answers").status, 200);
    wait_for_version(&fleet, 3);
}

#[test]
fn a_manifest_reaches_a_node_that_is_cut_off_from_the_log() {
    let fleet = serving(FleetSpec::one_service("registre", 3, 3).with_links());
    fleet.log_links[2].signal(Signal::USR1);
    run_for(Duration::from_millis(200));
    let output = fleet.publish(&manifest(1, "queue_limit = 50"));
    assert!(output.status.success());
    wait_for_version(&fleet, 2);
}

#[test]
fn publishing_while_the_log_is_down_is_unknown() {
    let fleet = serving(FleetSpec::one_service("registre", 1, 1));
    fleet.set_log_faults(r#"{"down": true}"#);
    let output = fleet.publish(&manifest(1, ""));
    assert_eq!(output.status.code(), Some(4));
    assert_eq!(version(&fleet, 0), 1);
}

/// Records expire, all nodes restart, and the manifest is still in force.
#[test]
fn a_manifest_outlives_its_record_and_all_nodes() {
    let mut spec = FleetSpec::one_service("registre", 3, 3).log_arg("--retention-ms=6000");
    spec.retention_s = 6;
    let mut fleet = serving(spec);
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
    wait_until("the restarted nodes hold the manifest", SETTLE, || {
        (0..3).all(|host| version(&fleet, host) == 2).then_some(())
    });
    settle(&fleet);
    let late = fleet.publish(&manifest(0, ""));
    assert_eq!(late.status.code(), Some(3), "the first version does not come back");
}

/// A node that starts while the log is down takes its state from peers.
#[test]
fn a_node_that_starts_without_the_log_routes_by_its_peers() {
    let mut fleet = serving(FleetSpec::one_service("registre", 4, 3));
    fleet.set_log_faults(r#"{"down": true}"#);
    fleet.kill_host(3);
    fleet.start_node(3);
    wait_until("the new process knows the manifest", SETTLE, || {
        (version(&fleet, 3) == 1).then_some(())
    });
    let reply = wait_until("it routes", SETTLE, || {
        let headers = [("firspindle-key", "garage-1")];
        let reply = fleet.call(3, "POST", "/registre/orders", &headers, "").ok()?;
        (reply.status == 200).then_some(reply)
    });
    assert_eq!(reply.verdict(), "ran");
}
