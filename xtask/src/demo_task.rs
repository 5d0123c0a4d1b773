//! Demonstration: a fleet serves a key, its owner is killed, and another node takes over.

use std::time::{Duration, Instant};

use harness::{Fleet, FleetSpec, HttpResponse, check_journals, new_request_id, wait_until};

/// Manifest to publish, in TOML; it defines the service registre.
const MANIFEST: &str = include_str!("../../examples/manifest-registre.toml");

/// Number of partitions in the manifest.
const PARTITIONS: usize = 64;

/// Time within which partitions must be balanced, and the key served again after the kill.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs the demonstration and prints what each step shows.
pub fn run() {
    let started = Instant::now();
    println!("starting a log, three nodes in three data centres, three upstreams");
    let mut fleet = Fleet::start(FleetSpec::one_service("registre", 3, 3));
    let output = fleet.publish(MANIFEST);
    print!("publish: {}", String::from_utf8_lossy(&output.stdout));
    let first = send_order(&fleet, 0);
    println!("first answer {} ms after the start:", started.elapsed().as_millis());
    print_response(&first);
    fleet.wait_until_served(PARTITIONS);
    wait_until("the partitions are spread evenly", RECOVERY_TIMEOUT, || {
        (0..3).all(|host| fleet.partitions(host).len() >= PARTITIONS / 3).then_some(())
    });
    for host in 0..3 {
        println!("host-{host} serves {} partitions", fleet.partitions(host).len());
    }
    let owner = fleet.owner("registre", "garage-7").expect("the key has an owner");
    println!("garage-7 is owned by host-{owner}; killing node and upstream");
    fleet.kill_host(owner);
    let killed_at = Instant::now();
    let entry_host = (owner + 1) % 3;
    let mut refusals = 0;
    let response = loop {
        let response = send_order(&fleet, entry_host);
        if response.status == 200 {
            break response;
        }
        if refusals == 0 {
            print_response(&response);
        }
        refusals += 1;
        assert!(
            killed_at.elapsed() < RECOVERY_TIMEOUT,
            "the key is not served again within {RECOVERY_TIMEOUT:?}"
        );
    };
    println!(
        "served again {} ms after the kill, after {refusals} refusals:",
        killed_at.elapsed().as_millis()
    );
    print_response(&response);
    let violations = check_journals(&fleet.journals());
    println!(
        "runs on the upstreams' journals: {}, faults: {}",
        fleet.journals().len(),
        violations.len()
    );
    assert!(violations.is_empty(), "{violations:?}");
    println!("logs and settings: {}", fleet.directory().display());
}

fn send_order(fleet: &Fleet, host: usize) -> HttpResponse {
    let id = new_request_id();
    let headers = [("firspindle-key", "garage-7"), ("idempotency-key", id.as_str())];
    loop {
        match fleet.call(host, "POST", "/registre/orders", &headers, "2 blanks") {
            Ok(response) if response.status == 503 && response.body.contains("no manifest") => {
                std::thread::sleep(Duration::from_millis(5));
            }
            Ok(response) => return response,
            Err(error) => panic!("no response: {error}"),
        }
    }
}

fn print_response(response: &HttpResponse) {
    println!(
        "  {} verdict={} fence={} {}",
        response.status,
        response.verdict(),
        response.header("firspindle-fence"),
        response.body.trim()
    );
}
