//! Hosts that are killed, frozen or cut off.

use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use harness::{Fleet, FleetSpec, HttpClient, longest_gap, wait_until};
use rustix::process::Signal;

use crate::bench_fleet::{
    LOSS_BOUND, SETTLE, SHORT, check, load, run_for, serving, serving_with, settle,
};

/// Time that callers run before and after a fault.
const CALM: Duration = Duration::from_millis(700);

/// Time after a loss in which service must return, and a while longer.
const AFTER: Duration = Duration::from_secs(5);

/// Work of an order that is to be under way at a freeze; shorter than the deadline of 5 s.
const LONG_WORK_MS: u64 = 4_000;

fn owner(fleet: &Fleet, key: &str) -> usize {
    wait_until("the key has an owner", SETTLE, || fleet.owner("registre", key))
}

fn assert_gap(rows: &[harness::RequestOutcome], from: Instant, to: Instant) {
    let gap = longest_gap(rows, from, to);
    eprintln!("longest time without service: {} ms", gap.as_millis());
    assert!(gap <= LOSS_BOUND, "a key was not served for {gap:?}");
}

fn kill_owner(log_down: bool) {
    let mut fleet = serving(FleetSpec::one_service("registre", 4, 3));
    let probe = load(&fleet, "/registre/orders?work_ms=5", SHORT);
    run_for(CALM);
    if log_down {
        fleet.set_log_faults(r#"{"down": true}"#);
        run_for(CALM);
    }
    let victim = owner(&fleet, "garage-1");
    let killed = Instant::now();
    probe.disable_endpoint(victim);
    fleet.kill_host(victim);
    run_for(AFTER);
    let end = Instant::now();
    assert_gap(&check(&fleet, probe), killed, end);
}

#[test]
fn a_killed_owner_is_succeeded() {
    kill_owner(false);
}

#[test]
fn a_killed_owner_is_succeeded_while_the_log_is_down() {
    kill_owner(true);
}

#[test]
fn an_owner_and_then_its_successor_are_killed() {
    let mut fleet = serving(FleetSpec::one_service("registre", 5, 3));
    let probe = load(&fleet, "/registre/orders?work_ms=5", SHORT);
    run_for(CALM);
    let first = owner(&fleet, "garage-1");
    let killed = Instant::now();
    probe.disable_endpoint(first);
    fleet.kill_host(first);
    let second = owner(&fleet, "garage-1");
    let again = Instant::now();
    probe.disable_endpoint(second);
    fleet.kill_host(second);
    run_for(AFTER);
    let end = Instant::now();
    let rows = check(&fleet, probe);
    assert!(again.duration_since(killed) <= LOSS_BOUND, "the first loss took too long");
    assert_gap(&rows, again, end);
}

#[test]
fn a_frozen_host_returns_as_if_nothing_happened() {
    let mut fleet = serving(FleetSpec::one_service("registre", 4, 3));
    let probe = load(&fleet, "/registre/orders?work_ms=40", SHORT);
    run_for(CALM);
    let victim = owner(&fleet, "garage-1");
    let frozen = Instant::now();
    probe.disable_endpoint(victim);
    fleet.nodes[victim].as_ref().expect("it runs").pause();
    fleet.upstreams[victim].as_ref().expect("it runs").pause();
    run_for(AFTER);
    let end = Instant::now();
    // The upstream goes on first, with what its node sent before.
    fleet.upstreams[victim].as_ref().expect("it runs").resume();
    run_for(CALM);
    fleet.nodes[victim].as_ref().expect("it runs").resume();
    run_for(CALM);
    assert_gap(&check(&fleet, probe), frozen, end);
    settle(&fleet);
    fleet.kill_host(victim);
}

#[test]
fn a_frozen_node_returns_with_bytes_in_its_socket() {
    let fleet = serving(FleetSpec::one_service("registre", 4, 3));
    let probe = load(&fleet, "/registre/orders?work_ms=40", SHORT);
    run_for(CALM);
    let victim = owner(&fleet, "garage-1");
    let frozen = Instant::now();
    probe.disable_endpoint(victim);
    fleet.nodes[victim].as_ref().expect("it runs").pause();
    run_for(AFTER);
    let end = Instant::now();
    fleet.nodes[victim].as_ref().expect("it runs").resume();
    run_for(CALM);
    assert_gap(&check(&fleet, probe), frozen, end);
}

#[test]
fn a_frozen_upstream_loses_its_partitions() {
    let fleet = serving(FleetSpec::one_service("registre", 4, 3));
    let probe = load(&fleet, "/registre/orders?work_ms=20", SHORT);
    run_for(CALM);
    let victim = owner(&fleet, "garage-1");
    let frozen = Instant::now();
    fleet.upstreams[victim].as_ref().expect("it runs").pause();
    run_for(AFTER);
    let end = Instant::now();
    fleet.upstreams[victim].as_ref().expect("it runs").resume();
    run_for(CALM);
    assert_gap(&check(&fleet, probe), frozen, end);
}

#[test]
fn a_node_that_hears_no_peer_is_succeeded() {
    let fleet = serving(FleetSpec::one_service("registre", 4, 3).with_links());
    let probe = load(&fleet, "/registre/orders?work_ms=5", SHORT);
    run_for(CALM);
    let victim = owner(&fleet, "garage-1");
    let cut = Instant::now();
    fleet.peer_links[victim].signal(Signal::USR1);
    run_for(AFTER);
    let end = Instant::now();
    fleet.peer_links[victim].signal(Signal::USR2);
    run_for(CALM);
    assert_gap(&check(&fleet, probe), cut, end);
}

/// A silent owner is no evidence where the upstream does not check grants.
#[test]
fn without_grant_checks_a_lost_owner_is_not_succeeded() {
    let spec = FleetSpec::one_service("registre", 4, 3).upstream_arg("--checks-grants=false");
    let mut fleet = serving(spec);
    let victim = owner(&fleet, "garage-1");
    fleet.kill_host(victim);
    run_for(AFTER);
    assert_eq!(fleet.owner("registre", "garage-1"), None, "it must stay unavailable");
    let reply = fleet.call(
        (victim + 1) % 4,
        "POST",
        "/registre/orders",
        &[("firspindle-key", "garage-1")],
        "",
    );
    let reply = reply.expect("a whole answer");
    assert_eq!((reply.status, reply.verdict()), (503, "not-run"));
    assert!(!reply.header("retry-after").is_empty());
    // The host's next process shows that the one before has ended.
    fleet.start_node(victim);
    fleet.start_upstream(victim);
    owner(&fleet, "garage-1");
}

#[test]
fn without_grant_checks_a_run_bound_is_waited_for() {
    let spec = FleetSpec::one_service("registre", 4, 3).upstream_arg("--checks-grants=false");
    let mut fleet = serving_with(spec, "run_bound_ms = 800");
    let probe = load(&fleet, "/registre/orders?work_ms=100", SHORT);
    run_for(CALM);
    let victim = owner(&fleet, "garage-1");
    let killed = Instant::now();
    probe.disable_endpoint(victim);
    // The upstream lives on: what it was sent runs to its end.
    fleet.nodes[victim].as_mut().expect("it runs").kill();
    run_for(AFTER);
    let end = Instant::now();
    assert_gap(&check(&fleet, probe), killed, end);
}

#[test]
fn a_data_centre_is_lost() {
    let mut fleet = serving(FleetSpec::one_service("registre", 6, 3));
    let probe = load(&fleet, "/registre/orders?work_ms=5", SHORT);
    run_for(CALM);
    let killed = Instant::now();
    for host in [0, 3] {
        probe.disable_endpoint(host);
        fleet.kill_host(host);
    }
    run_for(AFTER);
    let end = Instant::now();
    assert_gap(&check(&fleet, probe), killed, end);
}

/// What the grant check at the upstream is for: the same freeze without it breaks the promise.
///
/// An order is at work at the freeze, and is thawed once the successor has run its key.
#[test]
fn without_the_grant_check_a_frozen_host_runs_beside_its_successor() {
    let spec = FleetSpec::one_service("registre", 4, 3).upstream_arg("--checks-grants=false");
    let fleet = serving_with(spec, "run_bound_ms = 0");
    let victim = owner(&fleet, "garage-1");
    let order = send_order(fleet.traffic_address((victim + 1) % 4), "garage-1", LONG_WORK_MS);
    wait_until("the order is at work", SETTLE, || {
        (fleet.running_requests(victim) == Some(1)).then_some(())
    });
    // The upstream first: whatever passes between the two signals, the order stays at work.
    fleet.upstreams[victim].as_ref().expect("it runs").pause();
    fleet.nodes[victim].as_ref().expect("it runs").pause();
    let probe = load(&fleet, "/registre/orders?work_ms=5", SHORT);
    probe.disable_endpoint(victim);
    wait_until("the successor runs the key", SETTLE, || {
        let journal = fleet.journals();
        journal.iter().any(|row| row.key == "garage-1" && row.host != victim).then_some(())
    });
    fleet.upstreams[victim].as_ref().expect("it runs").resume();
    wait_until("the order's work takes effect", SETTLE, || {
        fleet.journal(victim).iter().any(|row| row.key == "garage-1").then_some(())
    });
    fleet.nodes[victim].as_ref().expect("it runs").resume();
    probe.stop();
    let _ = order.join();
    let faults = harness::check_journals(&fleet.journals());
    assert!(!faults.is_empty(), "the check would not be needed");
}

/// Sends an order in a thread of its own; its answer may be lost.
fn send_order(entry: SocketAddr, key: &'static str, work_ms: u64) -> JoinHandle<()> {
    std::thread::spawn(move || {
        let path = format!("/registre/orders?work_ms={work_ms}");
        let _ = HttpClient::call(entry, "POST", &path, &[("firspindle-key", key)], String::new());
    })
}
