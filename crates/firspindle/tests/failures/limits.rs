//! Upstreams that name a limit in their answers, or say there that they leave.

use std::time::Duration;

use harness::{Fleet, FleetSpec, HttpClient};

use crate::drains::{assert_all_ran, assert_no_new_work, boot_time_us};
use crate::fleet_checks::{
    LONG_TIMEOUT, SHORT_TIMEOUT, run_for, start_fleet, start_load, stop_and_check,
};

/// Limit that an upstream names, in requests per second.
const LIMIT: usize = 8;

/// Length of the intervals in which the requests at an upstream are counted, in microseconds.
const WINDOW_US: u64 = 4_000_000;

/// Requests in a window that are excused.
const EXCUSED: usize = 5;

/// Time after an upstream first named its limit from which it binds, in microseconds.
const BINDING_AFTER_US: u64 = 500_000;

/// Host of the upstream.
const HOST: usize = 1;

fn say(fleet: &Fleet, host: usize, words: &str) {
    let path = format!("/say?{words}");
    let response = HttpClient::call(fleet.upstream_address(host), "POST", &path, &[], "");
    assert_eq!(response.expect("the upstream answers").status, 200);
}

/// Guards against an upstream that is sent as many requests as it has slots for, at any rate, although
/// its answers name the rate that it takes.
#[test]
fn an_upstream_gets_no_more_requests_than_its_answers_allow() {
    let fleet = start_fleet(FleetSpec::one_service("registre", 3, 3));
    let generator = start_load(&fleet, "/registre/orders?work_ms=20", SHORT_TIMEOUT);
    run_for(Duration::from_millis(700));
    let said_us = boot_time_us();
    say(&fleet, HOST, &format!("limit={LIMIT}"));
    run_for(Duration::from_secs(7));
    stop_and_check(&fleet, generator);
    let journal = fleet.journal(HOST);
    let binding = journal.iter().filter(|row| row.start >= said_us + BINDING_AFTER_US);
    let mut starts: Vec<_> = binding.map(|row| row.start).collect();
    starts.sort_unstable();
    let most = starts
        .iter()
        .enumerate()
        .map(|(index, start)| starts.partition_point(|other| *other < start + WINDOW_US) - index);
    let most = most.max().unwrap_or(0);
    assert!(most <= LIMIT * 4 + EXCUSED, "{most} requests in 4 s");
    assert!(starts.len() >= LIMIT * 5, "the limit is used: {} in 6.5 s", starts.len());
}

/// Guards against requests to an upstream that says in its answers that it leaves, while its
/// announcements do not say so.
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
