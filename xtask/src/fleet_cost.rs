//! Resource use of real, idle fleets of several sizes.

use std::time::{Duration, Instant};

use harness::{Fleet, FleetSpec, HttpClient, wait_until};

/// Numbers of nodes; each node has an upstream.
const SIZES: [usize; 4] = [5, 10, 20, 40];

/// Partitions per node, the same as at the target size.
const PARTITIONS_PER_NODE: usize = 39;

/// Time for which an idle fleet is measured.
const MEASUREMENT_WINDOW: Duration = Duration::from_secs(5);

/// Time within which a fleet must put a manifest in force, or settle: each node serves its share of
/// the partitions, and keeps no superseded assignments or witness sets any more (`open_history`).
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Clock ticks per second of the CPU times in `/proc` (`USER_HZ`).
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

/// Measures a fleet of each size and prints a table.
pub fn measure_fleets() {
    println!(
        "| nodes | start to settled ms | cpu % of a core, mean / planner | RSS MB mean / most | sent msg/s | sent B/s | manifest in force ms | records |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for size in SIZES {
        measure_fleet(size);
    }
}

fn measure_fleet(size: usize) {
    let started = Instant::now();
    let fleet = Fleet::start(FleetSpec::one_service("orders", size, 5));
    let partitions = size * PARTITIONS_PER_NODE;
    let manifest = |replaces: u64| {
        format!(
            "replaces = {replaces}\n[[service]]\nname = \"orders\"\npartitions = {partitions}\n"
        )
    };
    assert!(fleet.publish(&manifest(0)).status.success(), "the manifest is accepted");
    wait_until("the fleet settles", SETTLE_TIMEOUT, || {
        (0..size)
            .all(|host| {
                let even = fleet.partitions(host).len() == PARTITIONS_PER_NODE;
                even && fleet.status(host).is_some_and(|status| status["open_history"] == 0)
            })
            .then_some(())
    });
    let settled = started.elapsed();
    let planner = planner_host(&fleet);
    let before: Vec<_> = (0..size).map(|host| read_cost(&fleet, host)).collect();
    std::thread::sleep(MEASUREMENT_WINDOW);
    let after: Vec<_> = (0..size).map(|host| read_cost(&fleet, host)).collect();
    let seconds = MEASUREMENT_WINDOW.as_secs_f64();
    let mean = |field: fn(&NodeCost) -> f64| {
        let change = before.iter().zip(&after).map(|(a, b)| field(b) - field(a));
        change.sum::<f64>() / size as f64 / seconds
    };
    let cpu = mean(|cost| cost.cpu_seconds) * 100.0;
    let planner_cpu = (after[planner].cpu_seconds - before[planner].cpu_seconds) / seconds * 100.0;
    let resident: Vec<_> = after.iter().map(|cost| cost.resident_mb).collect();
    let max_resident = resident.iter().copied().fold(0.0, f64::max);
    let resident = resident.iter().sum::<f64>() / size as f64;
    let published = Instant::now();
    assert!(fleet.publish(&manifest(1)).status.success(), "the manifest is accepted");
    wait_until("the manifest is in force everywhere", SETTLE_TIMEOUT, || {
        (0..size)
            .all(|host| fleet.status(host).is_some_and(|page| page["manifest_version"] == 2))
            .then_some(())
    });
    let in_force = published.elapsed();
    println!(
        "| {size} | {} | {cpu:.2} / {planner_cpu:.2} | {resident:.1} / {max_resident:.1} | {:.1} | {:.0} | {} | {} |",
        settled.as_millis(),
        mean(|cost| cost.messages),
        mean(|cost| cost.bytes),
        in_force.as_millis(),
        fleet.status(0).map_or(0, |page| page["next_offset"].as_u64().unwrap_or(0)),
    );
}

struct NodeCost {
    cpu_seconds: f64,
    resident_mb: f64,
    messages: f64,
    bytes: f64,
}

fn planner_host(fleet: &Fleet) -> usize {
    let page = fleet.status(0).expect("the node responds");
    let planner = page["planner"].clone();
    (0..fleet.nodes.len())
        .find(|host| fleet.status(*host).is_some_and(|page| page["node"] == planner))
        .unwrap_or(0)
}

fn read_cost(fleet: &Fleet, host: usize) -> NodeCost {
    let process_id = fleet.nodes[host].as_ref().expect("the node runs").id();
    let stat = std::fs::read_to_string(format!("/proc/{process_id}/stat")).unwrap_or_default();
    let fields: Vec<_> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let stat_field =
        |index: usize| fields.get(index).and_then(|text| text.parse().ok()).unwrap_or(0.0);
    let pages: f64 = stat_field(21);
    let response = HttpClient::call(fleet.admin_address(host), "GET", "/metrics", &[], "");
    let text = response.map(|response| response.body).unwrap_or_default();
    let metric = |name: &str| {
        let line = text.lines().find(|line| line.starts_with(name));
        line.and_then(|line| line.rsplit(' ').next()?.parse().ok()).unwrap_or(0.0)
    };
    NodeCost {
        cpu_seconds: (stat_field(11) + stat_field(12)) / CLOCK_TICKS_PER_SECOND,
        resident_mb: pages * 4096.0 / 1e6,
        messages: metric("firspindle_peer_messages_total"),
        bytes: metric("firspindle_peer_bytes_total"),
    }
}
