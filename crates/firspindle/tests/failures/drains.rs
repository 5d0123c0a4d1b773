//! Nodes and upstreams that leave.

use std::time::{Duration, Instant};

use harness::{Fleet, FleetSpec, RequestOutcome, longest_gap};

use crate::bench_fleet::{LONG, check, load, run_for, serving, settle};

/// Time in which a leaving upstream may still get new work.
const NEW_WORK_BOUND: Duration = Duration::from_secs(2);

/// Longest drain.
const DRAIN_LIMIT: Duration = Duration::from_secs(15);

/// Every order must have run: a drain cuts off and refuses nobody.
fn assert_all_ran(rows: &[RequestOutcome]) {
    let lost: Vec<_> = rows.iter().filter(|row| !row.ran()).collect();
    assert!(lost.is_empty(), "{} of {} orders lost, first: {:?}", lost.len(), rows.len(), lost[0]);
}

/// Microseconds of boot time, as journals use.
fn boot_micros() -> u64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    u64::try_from(time.tv_sec).expect("positive") * 1_000_000
        + u64::try_from(time.tv_nsec).expect("positive") / 1000
}

fn assert_no_new_work(fleet: &Fleet, host: usize, asked: u64) {
    let bound = asked + u64::try_from(NEW_WORK_BOUND.as_micros()).expect("short");
    let late = fleet.journal(host).iter().filter(|row| row.start > bound).count();
    assert_eq!(late, 0, "work started at the leaving upstream after {NEW_WORK_BOUND:?}");
}

fn drain_node(log_down: bool) {
    let mut fleet = serving(FleetSpec::one_service("registre", 4, 3));
    let probe = load(&fleet, "/registre/orders?work_ms=60", LONG);
    run_for(Duration::from_millis(700));
    if log_down {
        fleet.set_log_faults(r#"{"down": true}"#);
    }
    let asked = boot_micros();
    let drained = Instant::now();
    probe.disable_endpoint(1);
    run_for(Duration::from_millis(50));
    fleet.nodes[1].as_ref().expect("it runs").terminate();
    let status = fleet.nodes[1].as_mut().expect("it runs").wait(DRAIN_LIMIT);
    assert_eq!(status.and_then(|status| status.code()), Some(0), "it exits with 0");
    eprintln!("drain took {} ms", drained.elapsed().as_millis());
    run_for(Duration::from_millis(500));
    let end = Instant::now();
    let rows = check(&fleet, probe);
    eprintln!("longest time without service: {} ms", longest_gap(&rows, drained, end).as_millis());
    assert_all_ran(&rows);
    assert_no_new_work(&fleet, 1, asked);
}

#[test]
fn a_draining_node_loses_nothing() {
    drain_node(false);
}

#[test]
fn a_draining_node_loses_nothing_while_the_log_is_down() {
    drain_node(true);
}

#[test]
fn a_leaving_upstream_loses_nothing() {
    let mut fleet = serving(FleetSpec::one_service("registre", 4, 3));
    let probe = load(&fleet, "/registre/orders?work_ms=60", LONG);
    run_for(Duration::from_millis(700));
    let asked = boot_micros();
    fleet.upstreams[2].as_ref().expect("it runs").terminate();
    let status = fleet.upstreams[2].as_mut().expect("it runs").wait(DRAIN_LIMIT);
    assert_eq!(status.and_then(|status| status.code()), Some(0), "it is let go");
    run_for(Duration::from_millis(500));
    let rows = check(&fleet, probe);
    assert_all_ran(&rows);
    assert_no_new_work(&fleet, 2, asked);
}

#[test]
fn a_rolling_restart_loses_nothing() {
    let mut fleet = serving(FleetSpec::one_service("registre", 4, 3));
    let probe = load(&fleet, "/registre/orders?work_ms=20", LONG);
    run_for(Duration::from_millis(500));
    for host in 0..4 {
        fleet.upstreams[host].as_ref().expect("it runs").terminate();
        let status = fleet.upstreams[host].as_mut().expect("it runs").wait(DRAIN_LIMIT);
        assert_eq!(status.and_then(|status| status.code()), Some(0), "it is let go");
        fleet.start_upstream(host);
        settle(&fleet);
    }
    assert_all_ran(&check(&fleet, probe));
}
