//! The whole path, shown.

use std::time::{Duration, Instant};

use harness::{Fleet, FleetSpec, HttpResponse, check_journals, new_request_id, wait_until};

/// The manifest that is published.
const MANIFEST: &str = include_str!("../../examples/manifest-registre.toml");

/// Partitions of the manifest.
const PARTITIONS: usize = 64;

/// Longest time for which the key is asked for after the kill.
const RETURN_LIMIT: Duration = Duration::from_secs(10);

/// Runs the demonstration.
pub fn run() {
    let started = Instant::now();
    println!("starting a log, three nodes in three data centres, three upstreams");
    let mut fleet = Fleet::start(FleetSpec::one_service("registre", 3, 3));
    let output = fleet.publish(MANIFEST);
    print!("publish: {}", String::from_utf8_lossy(&output.stdout));
    let first = order(&fleet, 0);
    println!("first answer {} ms after the start:", started.elapsed().as_millis());
    print_reply(&first);
    fleet.wait_until_served(PARTITIONS);
    wait_until("the partitions are spread evenly", RETURN_LIMIT, || {
        (0..3).all(|host| fleet.partitions(host).len() >= PARTITIONS / 3).then_some(())
    });
    for host in 0..3 {
        println!("host-{host} serves {} partitions", fleet.partitions(host).len());
    }
    let owner = fleet.owner("registre", "garage-7").expect("the key has an owner");
    println!("garage-7 is owned by host-{owner}; killing node and upstream");
    fleet.kill_host(owner);
    let killed = Instant::now();
    let entry = (owner + 1) % 3;
    let mut refusals = 0;
    let reply = loop {
        let reply = order(&fleet, entry);
        if reply.status == 200 {
            break reply;
        }
        if refusals == 0 {
            print_reply(&reply);
        }
        refusals += 1;
        assert!(killed.elapsed() < RETURN_LIMIT, "the key was not served again");
    };
    println!(
        "served again {} ms after the kill, after {refusals} refusals:",
        killed.elapsed().as_millis()
    );
    print_reply(&reply);
    let faults = check_journals(&fleet.journals());
    println!(
        "runs on the upstreams' journals: {}, faults: {}",
        fleet.journals().len(),
        faults.len()
    );
    assert!(faults.is_empty(), "{faults:?}");
    println!("logs and settings: {}", fleet.directory().display());
}

fn order(fleet: &Fleet, host: usize) -> HttpResponse {
    let id = new_request_id();
    let headers = [("firspindle-key", "garage-7"), ("idempotency-key", id.as_str())];
    loop {
        match fleet.call(host, "POST", "/registre/orders", &headers, "2 blanks") {
            Ok(reply) if reply.status == 503 && reply.body.contains("no manifest") => {
                std::thread::sleep(Duration::from_millis(5));
            }
            Ok(reply) => return reply,
            Err(error) => panic!("no answer: {error}"),
        }
    }
}

fn print_reply(reply: &HttpResponse) {
    println!(
        "  {} verdict={} fence={} {}",
        reply.status,
        reply.verdict(),
        reply.header("firspindle-fence"),
        reply.body.trim()
    );
}
