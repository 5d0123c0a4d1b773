//! Planned shutdowns of nodes and upstreams.

use std::time::{Duration, Instant};

use harness::{Fleet, FleetSpec, RequestOutcome, longest_gap};

use crate::fleet_checks::{
    LONG_TIMEOUT, run_for, start_fleet, start_load, stop_and_check, wait_until_settled,
};

/// Time for which a leaving upstream may still be sent new requests.
const NEW_WORK_BOUND: Duration = Duration::from_secs(2);

/// Time limit for a process to exit after it was asked to shut down.
const DRAIN_LIMIT: Duration = Duration::from_secs(15);

/// Asserts that every order ran: a drain neither interrupts nor refuses any.
pub fn assert_all_ran(rows: &[RequestOutcome]) {
    let lost: Vec<_> = rows.iter().filter(|row| !row.ran()).collect();
    assert!(lost.is_empty(), "{} of {} orders lost, first: {:?}", lost.len(), rows.len(), lost[0]);
}

/// Returns the boot time in microseconds, the time of the journals.
pub fn boot_time_us() -> u64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    u64::try_from(time.tv_sec).expect("positive") * 1_000_000
        + u64::try_from(time.tv_nsec).expect("positive") / 1000
}

/// Asserts that the leaving upstream started no request later than [`NEW_WORK_BOUND`].
pub fn assert_no_new_work(fleet: &Fleet, host: usize, drain_requested_us: u64) {
    let bound = drain_requested_us + u64::try_from(NEW_WORK_BOUND.as_micros()).expect("short");
    let late = fleet.journal(host).iter().filter(|row| row.start > bound).count();
    assert_eq!(late, 0, "work started at the leaving upstream after {NEW_WORK_BOUND:?}");
}

/// Shuts down one node of a fleet under load, and checks that all orders run.
fn check_node_drain(log_down: bool) {
    let mut fleet = start_fleet(FleetSpec::one_service("registre", 4, 3));
    let generator = start_load(&fleet, "/registre/orders?work_ms=60", LONG_TIMEOUT);
    run_for(Duration::from_millis(700));
    if log_down {
        fleet.set_log_faults(r#"{"down": true}"#);
    }
    let drain_requested_us = boot_time_us();
    let drain_started = Instant::now();
    generator.disable_endpoint(1);
    run_for(Duration::from_millis(50));
    fleet.nodes[1].as_ref().expect("the node is running").terminate();
    let status = fleet.nodes[1].as_mut().expect("the node is running").wait(DRAIN_LIMIT);
    assert_eq!(status.and_then(|status| status.code()), Some(0), "the node exits with 0");
    eprintln!("drain took {} ms", drain_started.elapsed().as_millis());
    run_for(Duration::from_millis(500));
    let end = Instant::now();
    let rows = stop_and_check(&fleet, generator);
    eprintln!(
        "longest time without service: {} ms",
        longest_gap(&rows, drain_started, end).as_millis()
    );
    assert_all_ran(&rows);
    assert_no_new_work(&fleet, 1, drain_requested_us);
}

#[test]
fn a_draining_node_loses_nothing() {
    check_node_drain(false);
}

#[test]
fn a_draining_node_loses_nothing_while_the_log_is_down() {
    check_node_drain(true);
}

#[test]
fn a_leaving_upstream_loses_nothing() {
    let mut fleet = start_fleet(FleetSpec::one_service("registre", 4, 3));
    let generator = start_load(&fleet, "/registre/orders?work_ms=60", LONG_TIMEOUT);
    run_for(Duration::from_millis(700));
    let drain_requested_us = boot_time_us();
    fleet.upstreams[2].as_ref().expect("the upstream is running").terminate();
    let status = fleet.upstreams[2].as_mut().expect("the upstream is running").wait(DRAIN_LIMIT);
    assert_eq!(status.and_then(|status| status.code()), Some(0), "the upstream exits with 0");
    run_for(Duration::from_millis(500));
    let rows = stop_and_check(&fleet, generator);
    assert_all_ran(&rows);
    assert_no_new_work(&fleet, 2, drain_requested_us);
}

#[test]
fn a_rolling_restart_loses_nothing() {
    let mut fleet = start_fleet(FleetSpec::one_service("registre", 4, 3));
    let generator = start_load(&fleet, "/registre/orders?work_ms=20", LONG_TIMEOUT);
    run_for(Duration::from_millis(500));
    for host in 0..4 {
        fleet.upstreams[host].as_ref().expect("the upstream is running").terminate();
        let status =
            fleet.upstreams[host].as_mut().expect("the upstream is running").wait(DRAIN_LIMIT);
        assert_eq!(status.and_then(|status| status.code()), Some(0), "the upstream exits with 0");
        fleet.start_upstream(host);
        wait_until_settled(&fleet);
    }
    assert_all_ran(&stop_and_check(&fleet, generator));
}
