//! Single requests that are repeated, interrupted or crash upstreams.

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use harness::{
    Fleet, FleetSpec, HttpClient, HttpResponse, check_journals, new_request_id, wait_until,
};

use crate::fleet_checks::{SETTLE_TIMEOUT, WITHOUT_KEYS, run_for, start_fleet, start_fleet_with};

/// Retries that a node may send before its first request.
const RETRY_RESERVE: usize = 10;

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

/// Longest time that a read goes on after its caller has left.
const CANCEL_BOUND: Duration = Duration::from_millis(500);

/// Sends a request and returns its connection, once an upstream runs it.
fn start_request(fleet: &Fleet, host: usize, head: &str) -> TcpStream {
    let mut caller = TcpStream::connect(fleet.traffic_address(host)).expect("the node listens");
    write!(caller, "{head}\r\nhost: node\r\nfirspindle-key: garage-1\r\ncontent-length: 0\r\n\r\n")
        .expect("the request can be written");
    wait_until("an upstream runs the request", SETTLE_TIMEOUT, || {
        (running_requests(fleet) == 1).then_some(())
    });
    caller
}

fn running_requests(fleet: &Fleet) -> usize {
    (0..2).filter_map(|host| fleet.running_requests(host)).sum()
}

/// Guards against work for callers that are gone, at the owner of the key and at another node.
#[test]
fn a_closed_caller_connection_cancels_a_read() {
    let fleet = start_fleet(FleetSpec::one_service("registre", 2, 2));
    for host in 0..2 {
        let caller = start_request(&fleet, host, "GET /registre/checks?work_ms=3000 HTTP/1.1");
        drop(caller);
        let left_at = Instant::now();
        wait_until("the read ends", SETTLE_TIMEOUT, || {
            (running_requests(&fleet) == 0).then_some(())
        });
        assert!(left_at.elapsed() <= CANCEL_BOUND, "host {host}: {:?}", left_at.elapsed());
    }
}

/// Guards against an order that is lost, or runs twice, because its caller left and sent it again.
#[test]
fn an_order_goes_on_after_its_caller_left() {
    let fleet = start_fleet(FleetSpec::one_service("registre", 2, 2));
    for host in 0..2 {
        let id = new_request_id();
        let head = format!("POST /registre/orders?work_ms=1500 HTTP/1.1\r\nidempotency-key: {id}");
        drop(start_request(&fleet, host, &head));
        wait_until("the order ends", SETTLE_TIMEOUT, || {
            (count_runs(&fleet, &id) == 1).then_some(())
        });
        // The upstream notes the run before it answers; until then the order is running.
        let again = wait_until("the order is answered", SETTLE_TIMEOUT, || {
            let again = place_order(&fleet, host, "/registre/orders?work_ms=1500", &id);
            ((again.status, again.verdict()) != (409, "may-have-run")).then_some(again)
        });
        assert_eq!((again.status, again.verdict()), (200, "ran"), "host {host}");
        assert_eq!(count_runs(&fleet, &id), 1);
    }
}

/// Places an order in a fleet whose upstreams refuse all requests with `status`; returns the response
/// and the number of requests that reached an upstream.
fn place_refused_order(service_lines: &str, status: u16) -> (HttpResponse, usize) {
    let fleet = start_fleet_with(FleetSpec::one_service("registre", 3, 3), service_lines);
    let path = format!("/say?refuse={status}");
    for host in 0..3 {
        let said = HttpClient::call(fleet.upstream_address(host), "POST", &path, &[], "");
        assert_eq!(said.expect("the upstream answers").status, 200);
    }
    let response = place_order(&fleet, 0, "/registre/orders", &new_request_id());
    let arrivals = (0..3).map(|host| fleet.arrivals(host).expect("the upstream answers").len());
    (response, arrivals.sum())
}

#[test]
fn an_upstream_without_grant_is_not_asked_beyond_the_retry_budget() {
    let (response, refused) = place_refused_order("", 421);
    assert_eq!((response.status, response.verdict()), (503, "not-run"));
    assert!((2..=1 + RETRY_RESERVE).contains(&refused), "{refused} requests for one order");
}

#[test]
fn a_refusal_for_want_of_room_passes_on_when_its_upstream_says_to_return() {
    let (response, refused) = place_refused_order("", 503);
    assert_eq!((response.status, response.verdict()), (503, "not-run"));
    assert_eq!((response.header("retry-after"), refused), ("7", 1));
}

#[test]
fn a_refused_request_without_key_is_not_sent_beyond_the_retry_budget() {
    for status in [421, 503] {
        let (response, refused) = place_refused_order(WITHOUT_KEYS, status);
        assert_eq!((response.status, response.verdict()), (503, "not-run"));
        let range = 2..=1 + RETRY_RESERVE;
        assert!(range.contains(&refused), "{status}: {refused} requests for one order");
    }
}
