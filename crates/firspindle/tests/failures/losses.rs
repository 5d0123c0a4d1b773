//! Hosts that are killed, paused or cut off from others.

use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use harness::{Fleet, FleetSpec, HttpClient, longest_gap, wait_until};
use rustix::process::Signal;

use crate::drains::assert_all_ran;
use crate::fleet_checks::{
    LONG_TIMEOUT, LOSS_BOUND, SETTLE_TIMEOUT, SHORT_TIMEOUT, run_for, start_fleet,
    start_fleet_with, start_load, stop_and_check, wait_until_settled,
};

/// Time for which callers run before and after a fault.
const STEADY_TIME: Duration = Duration::from_millis(700);

/// Time for which callers run after a loss; longer than [`LOSS_BOUND`], in which service must
/// return.
const RECOVERY_TIME: Duration = Duration::from_secs(5);

/// Run time of an order that must still be running when its host is paused, in milliseconds; less
/// than the deadline of 5 s.
const LONG_WORK_MS: u64 = 4_000;

/// Pause that outlasts a lease.
const LONG_PAUSE: Duration = Duration::from_millis(1600);

fn wait_for_owner(fleet: &Fleet, key: &str) -> usize {
    wait_until("the key has an owner", SETTLE_TIMEOUT, || fleet.owner("registre", key))
}

/// Asserts that no key was without service for longer than [`LOSS_BOUND`].
fn assert_gap(rows: &[harness::RequestOutcome], from: Instant, to: Instant) {
    let gap = longest_gap(rows, from, to);
    eprintln!("longest time without service: {} ms", gap.as_millis());
    assert!(gap <= LOSS_BOUND, "a key was not served for {gap:?}");
}

/// Kills the owner of a key under load and checks that a successor takes over in time.
fn check_owner_loss(log_down: bool) {
    let mut fleet = start_fleet(FleetSpec::one_service("registre", 4, 3));
    let generator = start_load(&fleet, "/registre/orders?work_ms=5", SHORT_TIMEOUT);
    run_for(STEADY_TIME);
    if log_down {
        fleet.set_log_faults(r#"{"down": true}"#);
        run_for(STEADY_TIME);
    }
    let owner_host = wait_for_owner(&fleet, "garage-1");
    let killed_at = Instant::now();
    generator.disable_endpoint(owner_host);
    fleet.kill_host(owner_host);
    run_for(RECOVERY_TIME);
    let end = Instant::now();
    assert_gap(&stop_and_check(&fleet, generator), killed_at, end);
}

#[test]
fn a_killed_owner_is_replaced() {
    check_owner_loss(false);
}

#[test]
fn a_killed_owner_is_replaced_while_the_log_is_down() {
    check_owner_loss(true);
}

#[test]
fn an_owner_and_then_its_successor_are_killed() {
    let mut fleet = start_fleet(FleetSpec::one_service("registre", 5, 3));
    let generator = start_load(&fleet, "/registre/orders?work_ms=5", SHORT_TIMEOUT);
    run_for(STEADY_TIME);
    let first = wait_for_owner(&fleet, "garage-1");
    let killed_at = Instant::now();
    generator.disable_endpoint(first);
    fleet.kill_host(first);
    let second = wait_for_owner(&fleet, "garage-1");
    let second_killed_at = Instant::now();
    generator.disable_endpoint(second);
    fleet.kill_host(second);
    run_for(RECOVERY_TIME);
    let end = Instant::now();
    let rows = stop_and_check(&fleet, generator);
    assert!(
        second_killed_at.duration_since(killed_at) <= LOSS_BOUND,
        "the first loss took too long"
    );
    assert_gap(&rows, second_killed_at, end);
}

#[test]
fn a_paused_host_resumes_without_conflicting_runs() {
    let mut fleet = start_fleet(FleetSpec::one_service("registre", 4, 3));
    let generator = start_load(&fleet, "/registre/orders?work_ms=40", SHORT_TIMEOUT);
    run_for(STEADY_TIME);
    let owner_host = wait_for_owner(&fleet, "garage-1");
    let paused_at = Instant::now();
    generator.disable_endpoint(owner_host);
    fleet.nodes[owner_host].as_ref().expect("the node is running").pause();
    fleet.upstreams[owner_host].as_ref().expect("the upstream is running").pause();
    run_for(RECOVERY_TIME);
    let end = Instant::now();
    // The upstream resumes first, with requests that its node sent before the pause.
    fleet.upstreams[owner_host].as_ref().expect("the upstream is running").resume();
    run_for(STEADY_TIME);
    fleet.nodes[owner_host].as_ref().expect("the node is running").resume();
    run_for(STEADY_TIME);
    assert_gap(&stop_and_check(&fleet, generator), paused_at, end);
    wait_until_settled(&fleet);
    fleet.kill_host(owner_host);
}

/// The pause is longer than a lease, so no order in flight may take effect after it.
#[test]
fn orders_that_a_pause_of_all_hosts_kept_from_running_are_not_refused() {
    let fleet = start_fleet(FleetSpec::one_service("registre", 4, 3));
    let generator = start_load(&fleet, "/registre/orders?work_ms=20", LONG_TIMEOUT);
    run_for(STEADY_TIME);
    fleet.pause();
    run_for(LONG_PAUSE);
    fleet.resume();
    run_for(RECOVERY_TIME);
    assert_all_ran(&stop_and_check(&fleet, generator));
}

#[test]
fn a_paused_node_resumes_with_unread_requests_in_its_socket() {
    let fleet = start_fleet(FleetSpec::one_service("registre", 4, 3));
    let generator = start_load(&fleet, "/registre/orders?work_ms=40", SHORT_TIMEOUT);
    run_for(STEADY_TIME);
    let owner_host = wait_for_owner(&fleet, "garage-1");
    let paused_at = Instant::now();
    generator.disable_endpoint(owner_host);
    fleet.nodes[owner_host].as_ref().expect("the node is running").pause();
    run_for(RECOVERY_TIME);
    let end = Instant::now();
    fleet.nodes[owner_host].as_ref().expect("the node is running").resume();
    run_for(STEADY_TIME);
    assert_gap(&stop_and_check(&fleet, generator), paused_at, end);
}

#[test]
fn a_paused_upstream_loses_its_partitions() {
    let fleet = start_fleet(FleetSpec::one_service("registre", 4, 3));
    let generator = start_load(&fleet, "/registre/orders?work_ms=20", SHORT_TIMEOUT);
    run_for(STEADY_TIME);
    let owner_host = wait_for_owner(&fleet, "garage-1");
    let paused_at = Instant::now();
    fleet.upstreams[owner_host].as_ref().expect("the upstream is running").pause();
    run_for(RECOVERY_TIME);
    let end = Instant::now();
    fleet.upstreams[owner_host].as_ref().expect("the upstream is running").resume();
    run_for(STEADY_TIME);
    assert_gap(&stop_and_check(&fleet, generator), paused_at, end);
}

#[test]
fn a_node_cut_off_from_its_peers_is_replaced() {
    let fleet = start_fleet(FleetSpec::one_service("registre", 4, 3).with_links());
    let generator = start_load(&fleet, "/registre/orders?work_ms=5", SHORT_TIMEOUT);
    run_for(STEADY_TIME);
    let owner_host = wait_for_owner(&fleet, "garage-1");
    let cut_at = Instant::now();
    fleet.peer_links[owner_host].signal(Signal::USR1);
    run_for(RECOVERY_TIME);
    let end = Instant::now();
    fleet.peer_links[owner_host].signal(Signal::USR2);
    run_for(STEADY_TIME);
    assert_gap(&stop_and_check(&fleet, generator), cut_at, end);
}

/// If the upstream does not check grants, an owner that sends nothing may still have work running,
/// so its silence is not enough for a takeover.
#[test]
fn without_grant_checks_a_lost_owner_is_not_replaced() {
    let spec = FleetSpec::one_service("registre", 4, 3).upstream_arg("--checks-grants=false");
    let mut fleet = start_fleet(spec);
    let owner_host = wait_for_owner(&fleet, "garage-1");
    fleet.kill_host(owner_host);
    run_for(RECOVERY_TIME);
    assert_eq!(fleet.owner("registre", "garage-1"), None, "the key must stay unavailable");
    let response = fleet.call(
        (owner_host + 1) % 4,
        "POST",
        "/registre/orders",
        &[("firspindle-key", "garage-1")],
        "",
    );
    let response = response.expect("a complete response");
    assert_eq!((response.status, response.verdict()), (503, "not-run"));
    assert!(!response.header("retry-after").is_empty());
    // The next process on the host proves that the previous one has ended.
    fleet.start_node(owner_host);
    fleet.start_upstream(owner_host);
    wait_for_owner(&fleet, "garage-1");
}

#[test]
fn without_grant_checks_a_takeover_waits_for_the_run_bound() {
    let spec = FleetSpec::one_service("registre", 4, 3).upstream_arg("--checks-grants=false");
    let mut fleet = start_fleet_with(spec, "run_bound_ms = 800");
    let generator = start_load(&fleet, "/registre/orders?work_ms=100", SHORT_TIMEOUT);
    run_for(STEADY_TIME);
    let owner_host = wait_for_owner(&fleet, "garage-1");
    let killed_at = Instant::now();
    generator.disable_endpoint(owner_host);
    // The upstream stays alive, so requests that it was sent run to their end.
    fleet.nodes[owner_host].as_mut().expect("the node is running").kill();
    run_for(RECOVERY_TIME);
    let end = Instant::now();
    assert_gap(&stop_and_check(&fleet, generator), killed_at, end);
}

#[test]
fn a_data_centre_is_lost() {
    let mut fleet = start_fleet(FleetSpec::one_service("registre", 6, 3));
    let generator = start_load(&fleet, "/registre/orders?work_ms=5", SHORT_TIMEOUT);
    run_for(STEADY_TIME);
    let killed_at = Instant::now();
    for host in [0, 3] {
        generator.disable_endpoint(host);
        fleet.kill_host(host);
    }
    run_for(RECOVERY_TIME);
    let end = Instant::now();
    assert_gap(&stop_and_check(&fleet, generator), killed_at, end);
}

/// Shows why upstreams must check grants: without the check, a pause lets two upstreams run work
/// for the same key at the same time.
///
/// An order is running when its host is paused, and resumes after the successor has run requests
/// for the same key.
#[test]
fn without_grant_checks_a_paused_host_runs_beside_its_successor() {
    let spec = FleetSpec::one_service("registre", 4, 3).upstream_arg("--checks-grants=false");
    let fleet = start_fleet_with(spec, "run_bound_ms = 0");
    let owner_host = wait_for_owner(&fleet, "garage-1");
    let order = send_order(fleet.traffic_address((owner_host + 1) % 4), "garage-1", LONG_WORK_MS);
    wait_until("the order is running", SETTLE_TIMEOUT, || {
        (fleet.running_requests(owner_host) == Some(1)).then_some(())
    });
    // The upstream is paused first, so that the order still runs however much time passes between
    // the two signals.
    fleet.upstreams[owner_host].as_ref().expect("the upstream is running").pause();
    fleet.nodes[owner_host].as_ref().expect("the node is running").pause();
    let generator = start_load(&fleet, "/registre/orders?work_ms=5", SHORT_TIMEOUT);
    generator.disable_endpoint(owner_host);
    wait_until("the successor runs a request for the key", SETTLE_TIMEOUT, || {
        let journal = fleet.journals();
        journal.iter().any(|row| row.key == "garage-1" && row.host != owner_host).then_some(())
    });
    fleet.upstreams[owner_host].as_ref().expect("the upstream is running").resume();
    wait_until("the order takes effect", SETTLE_TIMEOUT, || {
        fleet.journal(owner_host).iter().any(|row| row.key == "garage-1").then_some(())
    });
    fleet.nodes[owner_host].as_ref().expect("the node is running").resume();
    generator.stop();
    let _ = order.join();
    let violations = harness::check_journals(&fleet.journals());
    assert!(!violations.is_empty(), "no conflicting runs, so the grant check would not be needed");
}

/// Sends an order in its own thread and ignores the result, as the response may be lost.
fn send_order(endpoint: SocketAddr, key: &'static str, work_ms: u64) -> JoinHandle<()> {
    std::thread::spawn(move || {
        let path = format!("/registre/orders?work_ms={work_ms}");
        let _ =
            HttpClient::call(endpoint, "POST", &path, &[("firspindle-key", key)], String::new());
    })
}
