//! The two deployments at today's size, under load and faults, beside a naive baseline.
//!
//! The baseline is a caller with a fixed list of upstreams that picks by key and asks them
//! directly: no ownership, no priorities, no queue but the upstream's own.

use std::time::{Duration, Instant};

use harness::{Fleet, FleetProcess, FleetSpec, HttpClient, NodeSpec, check_journals, wait_until};

use crate::open_loop::{
    OpenLoad, RequestKind, SentRow, TargetChoice, percentiles, send_load, unavailable_ms,
};

/// Time that a request takes at an upstream, in milliseconds.
const WORK_MS: usize = 100;

/// Keys asked for where the load of targets is compared.
const MANY_KEYS: usize = 20_000;

/// Keys asked for where the time without service of each key is measured.
const FEW_KEYS: usize = 40;

/// Time of one phase.
const PHASE: Duration = Duration::from_secs(6);

/// Time from leaving to deadline.
const PATIENCE: Duration = Duration::from_secs(2);

/// Longest wait for a fleet to settle.
const LIMIT: Duration = Duration::from_secs(60);

/// One of the two deployments.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum DeploymentName {
    /// Four data centres; registre with 10 targets of 10 slots, atelier with 4.
    PlateMakers,
    /// Three data centres; copydesk with 10 targets of 16 slots, proofroom with 3.
    Copydesk,
}

struct Deployment {
    manifest: &'static str,
    keyed: (&'static str, usize),
    spread: (&'static str, usize),
    centres: usize,
    slots: usize,
    partitions: usize,
    kinds: Vec<RequestKind>,
}

fn kind(
    name: &'static str,
    method: &'static str,
    path: &str,
    percent: usize,
    keyed: bool,
) -> RequestKind {
    let path = format!("{path}?work_ms={WORK_MS}");
    RequestKind { name, method, path, percent, keyed }
}

fn deployment(name: DeploymentName) -> Deployment {
    match name {
        DeploymentName::PlateMakers => Deployment {
            manifest: include_str!("../../examples/manifest-plate-makers.toml"),
            keyed: ("registre", 10),
            spread: ("atelier", 4),
            centres: 4,
            slots: 10,
            partitions: 80,
            kinds: vec![
                kind("blank order", "POST", "/registre/orders", 25, true),
                kind("plate check", "GET", "/registre/checks", 50, true),
                kind("template", "GET", "/atelier/templates", 25, false),
            ],
        },
        DeploymentName::Copydesk => Deployment {
            manifest: include_str!("../../examples/manifest-copydesk.toml"),
            keyed: ("copydesk", 10),
            spread: ("proofroom", 3),
            centres: 3,
            slots: 16,
            partitions: 80,
            kinds: vec![
                kind("accepted change", "POST", "/copydesk/changes", 25, true),
                kind("manuscript", "GET", "/copydesk/manuscripts", 55, true),
                kind("proof", "GET", "/proofroom/proofs", 10, false),
                kind("style check", "GET", "/proofroom/style-checks", 10, false),
            ],
        },
    }
}

/// Runs one deployment through all phases.
pub fn run(name: DeploymentName) {
    let deployment = deployment(name);
    let mut bench = Bench::start(deployment);
    println!(
        "| phase | path | kind | sent | ran % | not run | may have run | p50 ms | p99 ms | p99.9 ms | longest key gap ms | partitions opened | load max/mean | retries |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    bench.phase("calm", 0.5, |_| {});
    bench.phase("kill", 0.5, |bench| {
        bench.fleet.kill_host(0);
        if let Some(mut process) = bench.naive[0].take() {
            process.kill();
        }
    });
    bench.fleet.start_node(0);
    bench.fleet.start_upstream(0);
    bench.start_naive(0);
    bench.settle();
    bench.phase("freeze 5 s", 0.5, |bench| bench.pause(1, Duration::from_secs(5)));
    bench.settle();
    bench.phase("log outage", 0.5, |bench| {
        bench.fleet.set_log_faults(r#"{"down": true}"#);
        std::thread::sleep(Duration::from_secs(5));
        bench.fleet.set_log_faults("{}");
    });
    bench.phase("misleading load", 0.5, |bench| {
        let reply =
            HttpClient::call(bench.fleet.upstream_address(2), "POST", "/misreport", &[], "");
        assert!(reply.is_ok(), "the upstream takes it");
    });
    bench.phase("overload 2x", 2.0, |_| {});
    bench.settle();
    bench.phase("rolling restart", 0.4, Bench::roll);
    let faults = check_journals(&bench.fleet.journals());
    println!();
    println!("journal rows: {}, faults: {}", bench.fleet.journals().len(), faults.len());
    assert!(faults.is_empty(), "{}", faults[0]);
}

struct Bench {
    deployment: Deployment,
    fleet: Fleet,
    /// Upstreams of the baseline, beside the fleet's.
    naive: Vec<Option<FleetProcess>>,
}

/// Port of the baseline's upstreams.
const NAIVE_PORT: u16 = 7030;

impl Bench {
    fn start(deployment: Deployment) -> Self {
        let mut nodes = Vec::new();
        for (service, count) in [deployment.keyed, deployment.spread] {
            for _ in 0..count {
                nodes.push(NodeSpec {
                    service: service.to_owned(),
                    data_centre: format!("dc{}", nodes.len() % deployment.centres),
                    region: "region".to_owned(),
                    upstream_args: vec![format!("--slots={}", deployment.slots)],
                });
            }
        }
        let mut spec = FleetSpec::one_service("none", 0, 1);
        spec.nodes = nodes;
        let fleet = Fleet::start(spec);
        assert!(fleet.publish(deployment.manifest).status.success(), "the manifest is accepted");
        let count = fleet.nodes.len();
        let mut bench = Self { deployment, fleet, naive: (0..count).map(|_| None).collect() };
        for host in 0..count {
            bench.start_naive(host);
        }
        bench.settle();
        bench
    }

    fn start_naive(&mut self, host: usize) {
        let listen = self.fleet.addresses.address_of(host, NAIVE_PORT).to_string();
        let slots = self.deployment.slots.to_string();
        let args = [
            "upstream",
            "--listen",
            &listen,
            "--announce",
            "http://127.0.0.1:1",
            "--service",
            "x",
            "--checks-grants",
            "false",
            "--slots",
            &slots,
            "--connections",
            "100000",
        ];
        let log = self.fleet.directory().join(format!("naive-{host}.txt"));
        self.naive[host] = Some(FleetProcess::start("standin", &args, &log));
    }

    fn settle(&self) {
        let partitions = self.deployment.partitions;
        wait_until("the fleet settles", LIMIT, || {
            let counts: Vec<_> =
                (0..self.fleet.nodes.len()).map(|host| self.fleet.partitions(host).len()).collect();
            let settled = (0..counts.len())
                .all(|host| self.fleet.status(host).is_some_and(|page| page["open_history"] == 0));
            let all = counts.iter().sum::<usize>() == partitions && counts.iter().all(|n| *n > 0);
            (all && settled).then_some(())
        });
    }

    /// Requests a second that the keyed service and the other can run together.
    fn capacity(&self) -> f64 {
        let keyed: usize =
            self.deployment.kinds.iter().filter(|kind| kind.keyed).map(|kind| kind.percent).sum();
        let rate = |targets: usize, percent: usize| {
            (targets * self.deployment.slots) as f64 * 1000.0 / WORK_MS as f64 * 100.0
                / percent as f64
        };
        rate(self.deployment.keyed.1, keyed).min(rate(self.deployment.spread.1, 100 - keyed))
    }

    fn pause(&self, host: usize, time: Duration) {
        let upstream = self.fleet.upstreams[host].as_ref().expect("it runs");
        let node = self.fleet.nodes[host].as_ref().expect("it runs");
        let naive = self.naive[host].as_ref().expect("it runs");
        for process in [upstream, node, naive] {
            process.pause();
        }
        std::thread::sleep(time);
        for process in [upstream, node, naive] {
            process.resume();
        }
    }

    fn roll(&mut self) {
        for host in 0..3 {
            let upstream = self.fleet.upstreams[host].as_mut().expect("it runs");
            upstream.terminate();
            let status = upstream.wait(Duration::from_secs(15));
            assert!(status.is_some(), "the upstream is let go");
            self.fleet.start_upstream(host);
            // The baseline has nobody who lets an upstream go.
            if let Some(mut process) = self.naive[host].take() {
                process.kill();
            }
            self.start_naive(host);
        }
    }

    /// Runs a load through the nodes and past them at once, and a fault meanwhile.
    fn phase(&mut self, name: &str, load: f64, fault: impl FnOnce(&mut Self)) {
        let rate = self.capacity() * load;
        let count = self.fleet.nodes.len();
        let base = OpenLoad {
            kinds: self.deployment.kinds.clone(),
            entries: (0..count).map(|host| self.fleet.traffic_address(host)).collect(),
            choice: TargetChoice::Spread,
            keys: if name == "calm" || load > 1.0 { MANY_KEYS } else { FEW_KEYS },
            rate,
            time: PHASE,
            request_timeout: PATIENCE,
        };
        let mut direct = base.clone();
        direct.entries = (0..self.deployment.keyed.1)
            .map(|host| self.fleet.addresses.address_of(host, NAIVE_PORT))
            .collect();
        direct.choice = TargetChoice::ByKey;
        let opened = self.metric("firspindle_partitions_opened_total");
        let retries = self.metric("firspindle_retries_total");
        let keys = base.keys;
        let journal: Vec<_> =
            (0..self.deployment.keyed.1).map(|host| self.fleet.journal(host).len()).collect();
        let started = Instant::now();
        let (routed, naive) = std::thread::scope(|scope| {
            let routed = scope.spawn(|| send_load(&base));
            let naive = scope.spawn(|| send_load(&direct));
            std::thread::sleep(Duration::from_millis(600));
            fault(self);
            (routed.join().expect("it ends"), naive.join().expect("it ends"))
        });
        let end = started + PHASE;
        let runs: Vec<_> = (0..self.deployment.keyed.1)
            .map(|host| self.fleet.journal(host).len() - journal[host])
            .collect();
        let mean = runs.iter().sum::<usize>() as f64 / runs.len() as f64;
        let imbalance = runs.iter().copied().max().unwrap_or(0) as f64 / mean.max(1.0);
        let opened = increase(&opened, &self.metric("firspindle_partitions_opened_total"));
        let retries = increase(&retries, &self.metric("firspindle_retries_total"));
        let gap = |rows: &[SentRow]| match keys {
            MANY_KEYS => "-".to_owned(),
            keys => unavailable_ms(rows, started, end, keys).to_string(),
        };
        for (index, kind) in self.deployment.kinds.iter().enumerate() {
            let more = match index {
                0 => format!("{} | {opened:.0} | {imbalance:.2} | {retries:.0}", gap(&routed)),
                _ => " | | | ".to_owned(),
            };
            print_row(name, "firspindle", kind.name, &rows_of(&routed, index), &more);
            let more =
                if index == 0 { format!("{} | | | ", gap(&naive)) } else { " | | | ".to_owned() };
            print_row(name, "naive", kind.name, &rows_of(&naive, index), &more);
        }
        if load > 1.0 {
            let goodput = |rows: &[SentRow]| {
                rows.iter().filter(|row| row.ran() && row.latency <= PATIENCE).count() as f64
                    / PHASE.as_secs_f64()
                    / self.capacity()
                    * 100.0
            };
            println!(
                "| {name} | goodput % of capacity | firspindle {:.0}, naive {:.0} | | | | | | | | | | | |",
                goodput(&routed),
                goodput(&naive)
            );
        }
    }

    /// A counter of each node.
    fn metric(&self, name: &str) -> Vec<f64> {
        let read = |host: usize| {
            let reply =
                HttpClient::call(self.fleet.admin_address(host), "GET", "/metrics", &[], "");
            let text = reply.map(|reply| reply.body).unwrap_or_default();
            let line = text.lines().find(|line| line.starts_with(name)).map(str::to_owned);
            line.and_then(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).unwrap_or(0.0)
        };
        (0..self.fleet.nodes.len()).map(read).collect()
    }
}

/// Increase of counters, which begin at 0 in a new process.
fn increase(before: &[f64], after: &[f64]) -> f64 {
    let change = |(before, after): (&f64, &f64)| match after < before {
        true => *after,
        false => after - before,
    };
    before.iter().zip(after).map(change).sum()
}

fn rows_of(rows: &[SentRow], kind: usize) -> Vec<&SentRow> {
    rows.iter().filter(|row| row.kind == kind).collect()
}

fn print_row(phase: &str, path: &str, kind: &str, rows: &[&SentRow], more: &str) {
    let sent = rows.len();
    let in_time = rows.iter().filter(|row| row.ran() && row.latency <= PATIENCE).count();
    let count =
        |verdict: &str| rows.iter().filter(|row| !row.ran() && row.verdict == verdict).count();
    let unknown = rows.iter().filter(|row| !row.ran()).count() - count("not-run");
    let [p50, p99, p999] = percentiles(rows);
    println!(
        "| {phase} | {path} | {kind} | {sent} | {:.2} | {} | {unknown} | {p50:.1} | {p99:.1} | {p999:.1} | {more} |",
        in_time as f64 / sent.max(1) as f64 * 100.0,
        count("not-run"),
    );
}

/// Added latency of the router on loopback, against the same client asking the upstream.
pub fn added_latency() {
    let fleet = Fleet::start(
        FleetSpec::one_service("registre", 3, 3).upstream_arg("--checks-grants=false"),
    );
    let manifest = include_str!("../../examples/manifest-registre.toml");
    assert!(fleet.publish(manifest).status.success(), "the manifest is accepted");
    fleet.wait_until_served(64);
    let owner = fleet.owner("registre", "key-0").expect("the key has an owner");
    let load = |entry, path: &str| OpenLoad {
        kinds: vec![RequestKind {
            name: "check",
            method: "GET",
            path: path.to_owned(),
            percent: 100,
            keyed: true,
        }],
        entries: vec![entry],
        choice: TargetChoice::Spread,
        keys: 1,
        rate: 500.0,
        time: Duration::from_secs(10),
        request_timeout: PATIENCE,
    };
    println!("| path at 500 requests/s | p50 ms | p99 ms | p99.9 ms | ran |");
    println!("|---|---|---|---|---|");
    let cases = [
        ("upstream asked directly", load(fleet.upstream_address(owner), "/checks")),
        ("entry is the owner", load(fleet.traffic_address(owner), "/registre/checks")),
        (
            "entry forwards to the owner",
            load(fleet.traffic_address((owner + 1) % 3), "/registre/checks"),
        ),
    ];
    for (name, load) in cases {
        send_load(&OpenLoad { time: Duration::from_secs(1), ..load.clone() });
        let rows = send_load(&load);
        let all: Vec<_> = rows.iter().collect();
        let ran = rows.iter().filter(|row| row.ran()).count();
        let [p50, p99, p999] = percentiles(&all);
        println!("| {name} | {p50:.2} | {p99:.2} | {p999:.2} | {ran} of {} |", rows.len());
    }
}
