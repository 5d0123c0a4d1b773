//! Upstreams that name a limit in their answers, or say there that they leave.

use std::time::Duration;

use harness::{Fleet, FleetSpec, HttpClient};

use crate::drains::{assert_all_ran, assert_no_new_work, boot_time_us};
use crate::fleet_checks::{
    LONG_TIMEOUT, SHORT_TIMEOUT, WITHOUT_KEYS, run_for, start_fleet, start_fleet_with, start_load,
    stop_and_check,
};

/// Length of the intervals in which the requests at an upstream are counted, in microseconds.
const WINDOW_US: u64 = 4_000_000;

/// Requests in a window that are excused.
const EXCUSED: usize = 5;

/// Time after an upstream first named its limit from which it binds, in microseconds.
const BINDING_AFTER_US: u64 = 500_000;

/// Requests that an upstream runs at once; as many may be cut off when its node is killed.
const UPSTREAM_SLOTS: usize = 10;

/// Pause after which other nodes have taken over and the node starts over.
const LOST_LEASE_PAUSE: Duration = Duration::from_secs(3);

/// Host of the upstream.
const HOST: usize = 1;

fn say(fleet: &Fleet, host: usize, words: &str) {
    let path = format!("/say?{words}");
    let response = HttpClient::call(fleet.upstream_address(host), "POST", &path, &[], "");
    assert_eq!(response.expect("the upstream answers").status, 200);
}

/// Returns those of `times` from which on the limit binds, in ascending order.
fn binding(mut times: Vec<u64>, said_us: u64) -> Vec<u64> {
    times.retain(|at| *at >= said_us + BINDING_AFTER_US);
    times.sort_unstable();
    times
}

fn assert_limit_kept(arrivals: &[u64], limit: usize) {
    let most = arrivals
        .iter()
        .enumerate()
        .map(|(index, start)| arrivals.partition_point(|other| *other < start + WINDOW_US) - index);
    let most = most.max().unwrap_or(0);
    assert!(most <= limit * 4 + EXCUSED, "{most} requests in 4 s");
}

/// An upstream that names a limit beside load.
struct LimitCase {
    /// Additional lines of the manifest.
    service_lines: &'static str,
    /// Run time of each request.
    work_ms: u32,
    /// Requests per second.
    limit: usize,
    /// Seconds of the limit's requests that are to come in 6.5 s.
    used_s: usize,
}

impl LimitCase {
    /// Plays the case with `fault` after 3 s, and checks that the limit is kept and used.
    fn check(&self, fault: impl FnOnce(&mut Fleet)) {
        let spec = FleetSpec::one_service("registre", 3, 3);
        let mut fleet = start_fleet_with(spec, self.service_lines);
        let path = format!("/registre/orders?work_ms={}", self.work_ms);
        let generator = start_load(&fleet, &path, SHORT_TIMEOUT);
        run_for(Duration::from_millis(700));
        let said_us = boot_time_us();
        say(&fleet, HOST, &format!("limit={}", self.limit));
        run_for(Duration::from_secs(3));
        fault(&mut fleet);
        run_for(Duration::from_secs(4));
        if self.service_lines.is_empty() {
            stop_and_check(&fleet, generator);
        } else {
            // Requests without keys have no owner, which the checks look for.
            generator.stop();
        }
        let arrivals = fleet.arrivals(HOST).expect("the upstream answers");
        assert_limit_kept(&binding(arrivals, said_us), self.limit);
        let journal = fleet.journal(HOST).iter().map(|row| row.start).collect();
        let count = binding(journal, said_us).len();
        assert!(count >= self.limit * self.used_s, "the limit is used: {count} in 6.5 s");
    }
}

/// Upstreams that each node serves as soon as it has joined.
const LOW_LIMIT: LimitCase =
    LimitCase { service_lines: WITHOUT_KEYS, work_ms: 200, limit: 1, used_s: 3 };

/// Without the limit the upstream gets as many as it has slots for, at any rate.
#[test]
fn an_upstream_gets_no_more_requests_than_its_answers_allow() {
    let case = LimitCase { service_lines: "", work_ms: 20, limit: 8, used_s: 5 };
    case.check(|_| {});
}

#[test]
fn a_node_that_starts_again_keeps_the_limit_of_its_upstream() {
    LOW_LIMIT.check(|fleet| {
        for _ in 0..2 {
            fleet.nodes[HOST].as_mut().expect("the node is running").kill();
            fleet.start_node(HOST);
            run_for(Duration::from_secs(1));
        }
    });
}

#[test]
fn a_node_that_lost_its_lease_keeps_the_limit_of_its_upstream() {
    LOW_LIMIT.check(|fleet| {
        let node = fleet.nodes[HOST].as_ref().expect("the node is running");
        for _ in 0..2 {
            node.pause();
            run_for(LOST_LEASE_PAUSE);
            node.resume();
            run_for(Duration::from_millis(500));
        }
    });
}

/// Its announcements do not say so.
#[test]
fn no_request_reaches_an_upstream_after_its_answers_said_that_it_leaves() {
    let fleet = start_fleet(FleetSpec::one_service("registre", 4, 3));
    let generator = start_load(&fleet, "/registre/orders?work_ms=20", LONG_TIMEOUT);
    run_for(Duration::from_millis(700));
    let said_us = boot_time_us();
    say(&fleet, HOST, "leaving=1");
    run_for(Duration::from_secs(6));
    let rows = stop_and_check(&fleet, generator);
    assert_all_ran(&rows);
    assert_no_new_work(&fleet, HOST, said_us);
}

#[test]
fn requests_without_keys_wait_for_the_grant_of_a_node_that_starts_again() {
    let spec = FleetSpec::one_service("registre", 3, 3);
    let mut fleet = start_fleet_with(spec, WITHOUT_KEYS);
    let generator = start_load(&fleet, "/registre/orders?work_ms=20", LONG_TIMEOUT);
    run_for(Duration::from_millis(700));
    fleet.nodes[HOST].as_mut().expect("the node is running").kill();
    fleet.start_node(HOST);
    run_for(Duration::from_secs(3));
    generator.stop();
    let journal = fleet.journal(HOST);
    let arrivals = fleet.arrivals(HOST).expect("the upstream answers");
    assert!(journal.len() > 100, "{} requests ran", journal.len());
    let unrun = arrivals.len() - journal.len();
    assert!(unrun <= UPSTREAM_SLOTS, "{unrun} requests arrived in vain");
}

#[test]
fn refusals_that_name_no_limit_end_none() {
    let fleet = start_fleet(FleetSpec::one_service("registre", 3, 3));
    say(&fleet, HOST, "limit=2&in_runs=1");
    let said_us = boot_time_us();
    let generator = start_load(&fleet, "/registre/orders?work_ms=20", SHORT_TIMEOUT);
    let refused = start_load(&fleet, "/registre/orders?refuse=503", SHORT_TIMEOUT);
    run_for(Duration::from_secs(6));
    refused.stop();
    stop_and_check(&fleet, generator);
    let arrivals = fleet.arrivals(HOST).expect("the upstream answers");
    assert_limit_kept(&binding(arrivals, said_us), 2);
}
