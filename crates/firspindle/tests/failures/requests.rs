//! Single requests that are repeated, interrupted or crash upstreams.

use std::time::Duration;

use harness::{Fleet, FleetSpec, HttpResponse, check_journals, new_request_id, wait_until};

use crate::fleet_checks::{SETTLE_TIMEOUT, run_for, start_fleet};

fn place_order(fleet: &Fleet, host: usize, path: &str, id: &str) -> HttpResponse {
    let headers = [("firspindle-key", "garage-1"), ("idempotency-key", id)];
    fleet.call(host, "POST", path, &headers, "order").expect("a complete response")
}

fn count_runs(fleet: &Fleet, id: &str) -> usize {
    fleet.journals().iter().filter(|row| row.id == id).count()
}

#[test]
fn a_repeated_order_runs_once_and_gets_the_same_response() {
    let fleet = start_fleet(FleetSpec::one_service("registre", 3, 3));
    let id = new_request_id();
    let first = place_order(&fleet, 0, "/registre/orders", &id);
    let again = place_order(&fleet, 1, "/registre/orders", &id);
    assert_eq!((first.status, first.verdict()), (200, "ran"));
    assert_eq!((again.status, again.verdict(), &again.body), (200, "ran", &first.body));
    assert_eq!(count_runs(&fleet, &id), 1);
}

#[test]
fn a_repeated_order_runs_once_across_a_handover() {
    let fleet = start_fleet(FleetSpec::one_service("registre", 3, 3));
    let id = new_request_id();
    let first = place_order(&fleet, 0, "/registre/orders", &id);
    assert_eq!(first.verdict(), "ran");
    let owner_host = fleet.owner("registre", "garage-1").expect("the key has an owner");
    fleet.nodes[owner_host].as_ref().expect("the node is running").terminate();
    wait_until("the partition has a new owner", SETTLE_TIMEOUT, || {
        fleet.owner("registre", "garage-1").filter(|host| *host != owner_host)
    });
    let entry_host = (owner_host + 1) % 3;
    let again = place_order(&fleet, entry_host, "/registre/orders", &id);
    assert_eq!((again.status, again.verdict(), &again.body), (200, "ran", &first.body));
    assert_eq!(count_runs(&fleet, &id), 1);
}

#[test]
fn after_an_unclean_takeover_an_older_order_may_have_run() {
    let mut fleet = start_fleet(FleetSpec::one_service("registre", 3, 3));
    let id = new_request_id();
    let first = place_order(&fleet, 0, "/registre/orders", &id);
    assert_eq!(first.verdict(), "ran");
    let owner_host = fleet.owner("registre", "garage-1").expect("the key has an owner");
    fleet.kill_host(owner_host);
    wait_until("the partition has a new owner", SETTLE_TIMEOUT, || {
        fleet.owner("registre", "garage-1")
    });
    let entry_host = (owner_host + 1) % 3;
    let again = place_order(&fleet, entry_host, "/registre/orders", &id);
    assert_eq!((again.status, again.verdict()), (409, "may-have-run"));
    assert_eq!(count_runs(&fleet, &id), 1);
    run_for(Duration::from_millis(400));
    assert_eq!(
        place_order(&fleet, entry_host, "/registre/orders", &new_request_id()).verdict(),
        "ran"
    );
}

#[test]
fn a_truncated_response_is_reported_as_a_failure() {
    let fleet = start_fleet(FleetSpec::one_service("registre", 3, 3));
    for entry_host in 0..3 {
        let id = new_request_id();
        let response = place_order(&fleet, entry_host, "/registre/orders?cut=1&size=20000", &id);
        assert_eq!((response.status, response.verdict()), (502, "may-have-run"));
        // Later responses on the same connections must be complete and reach their own callers.
        for _ in 0..5 {
            let id = new_request_id();
            let response = place_order(&fleet, entry_host, "/registre/orders", &id);
            assert_eq!(response.verdict(), "ran");
            assert!(response.body.contains(&id), "another caller's response: {}", response.body);
        }
    }
}

#[test]
fn a_late_response_reaches_no_other_caller() {
    let fleet = start_fleet(FleetSpec::one_service("registre", 3, 3));
    let owner_host = fleet.owner("registre", "garage-1").expect("the key has an owner");
    for entry_host in [owner_host, (owner_host + 1) % 3] {
        let id = new_request_id();
        let deadline = (harness::unix_ms() + 100).to_string();
        let headers = [
            ("firspindle-key", "garage-1"),
            ("idempotency-key", id.as_str()),
            ("firspindle-deadline", deadline.as_str()),
        ];
        let response = fleet.call(entry_host, "POST", "/registre/orders?work_ms=400", &headers, "");
        let response = response.expect("a complete response");
        assert_eq!((response.status, response.verdict()), (504, "may-have-run"));
        for _ in 0..8 {
            let id = new_request_id();
            let response = place_order(&fleet, entry_host, "/registre/orders?work_ms=60", &id);
            assert!(response.body.contains(&id), "another caller's response: {}", response.body);
        }
    }
    assert!(check_journals(&fleet.journals()).is_empty());
}

/// After two crashes every node refuses the request; other requests for its key are served.
#[test]
fn a_request_that_crashes_upstreams_crashes_at_most_two() {
    let mut fleet = start_fleet(FleetSpec::one_service("registre", 5, 3));
    for round in 0..6 {
        let entry_host = round % 5;
        let response =
            place_order(&fleet, entry_host, "/registre/orders?crash=1", &new_request_id());
        eprintln!("round {round}: {} {}", response.status, response.verdict());
        wait_until("the key is served again", SETTLE_TIMEOUT, || {
            fleet.owner("registre", "garage-1")
        });
    }
    let crashed: Vec<_> = (0..5)
        .filter(|host| {
            let upstream = fleet.upstreams[*host].as_mut().expect("the upstream is running");
            upstream.wait(Duration::from_millis(20)).is_some()
        })
        .collect();
    assert!(crashed.len() <= 2, "upstreams {crashed:?} crashed");
    wait_until("every node refuses the request", SETTLE_TIMEOUT, || {
        let refused = |host| {
            let response = place_order(&fleet, host, "/registre/orders?crash=1", &new_request_id());
            response.status == 422
                && response.verdict() == "not-run"
                && !response.header("retry-after").is_empty()
        };
        (0..5).all(refused).then_some(())
    });
    assert_eq!(place_order(&fleet, 0, "/registre/orders", &new_request_id()).verdict(), "ran");
}
