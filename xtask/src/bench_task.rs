//! Measures the two deployments at their current size, under load and faults, against a naive
//! baseline.
//!
//! The baseline is a caller with a fixed list of upstreams, which picks one by key and sends to it
//! directly: without ownership, priorities or any queue but that of the upstream.

use std::time::{Duration, Instant};

use harness::{Fleet, FleetProcess, FleetSpec, HttpClient, NodeSpec, check_journals, wait_until};

use crate::open_loop::{
    EndpointChoice, OpenLoopLoad, RequestKind, RequestSample, longest_key_gap_ms, percentiles,
    send_load,
};

/// Time that a request runs at an upstream, in milliseconds.
const WORK_MS: usize = 100;

/// Number of keys in phases that compare the load of the upstreams.
const MANY_KEYS: usize = 20_000;

/// Number of keys in phases that measure how long each key is unavailable.
const FEW_KEYS: usize = 40;

/// Time for which one phase sends requests.
const PHASE_DURATION: Duration = Duration::from_secs(6);

/// Time from sending a request to its deadline.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Time within which a fleet must settle: all partitions are served, every node serves at least
/// one, and no node keeps superseded assignments or witness sets any more (`open_history`).
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);

/// One of the two deployments.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum DeploymentName {
    /// Four data centres; registre with 10 upstreams of 10 slots, atelier with 4.
    PlateMakers,
    /// Three data centres; copydesk with 10 upstreams of 16 slots, proofroom with 3.
    Copydesk,
}

struct Deployment {
    manifest: &'static str,
    /// Name and number of upstreams of the service whose requests carry a key.
    keyed: (&'static str, usize),
    /// Name and number of upstreams of the service whose requests carry no key.
    unkeyed: (&'static str, usize),
    data_centres: usize,
    /// Slots of each upstream.
    slots: usize,
    /// Partitions of both services together.
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
            unkeyed: ("atelier", 4),
            data_centres: 4,
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
            unkeyed: ("proofroom", 3),
            data_centres: 3,
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

/// Runs one deployment through all phases and prints a table.
pub fn run(name: DeploymentName) {
    let deployment = deployment(name);
    let mut bench = BenchRun::start(deployment);
    println!(
        "| phase | path | kind | sent | ran % | not run | may have run | p50 ms | p99 ms | p99.9 ms | longest key gap ms | partitions opened | load max/mean | retries |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    bench.phase("calm", 0.5, |_| {});
    bench.phase("kill", 0.5, |bench| {
        bench.fleet.kill_host(0);
        if let Some(mut process) = bench.baseline[0].take() {
            process.kill();
        }
    });
    bench.fleet.start_node(0);
    bench.fleet.start_upstream(0);
    bench.start_baseline(0);
    bench.wait_until_settled();
    bench.phase("freeze 5 s", 0.5, |bench| bench.pause(1, Duration::from_secs(5)));
    bench.wait_until_settled();
    bench.phase("log outage", 0.5, |bench| {
        bench.fleet.set_log_faults(r#"{"down": true}"#);
        std::thread::sleep(Duration::from_secs(5));
        bench.fleet.set_log_faults("{}");
    });
    bench.phase("misleading load", 0.5, |bench| {
        let response =
            HttpClient::call(bench.fleet.upstream_address(2), "POST", "/misreport", &[], "");
        assert!(response.is_ok(), "the upstream accepts the request");
    });
    bench.phase("overload 2x", 2.0, |_| {});
    bench.wait_until_settled();
    bench.phase("rolling restart", 0.4, BenchRun::rolling_restart);
    let violations = check_journals(&bench.fleet.journals());
    println!();
    println!("journal rows: {}, faults: {}", bench.fleet.journals().len(), violations.len());
    assert!(violations.is_empty(), "{}", violations[0]);
}

struct BenchRun {
    deployment: Deployment,
    fleet: Fleet,
    /// Upstreams of the baseline; they run on the same hosts as those of the fleet.
    baseline: Vec<Option<FleetProcess>>,
}

/// Port of the upstreams of the baseline.
const BASELINE_PORT: u16 = 7030;

impl BenchRun {
    fn start(deployment: Deployment) -> Self {
        let mut nodes = Vec::new();
        for (service, count) in [deployment.keyed, deployment.unkeyed] {
            for _ in 0..count {
                nodes.push(NodeSpec {
                    service: service.to_owned(),
                    data_centre: format!("dc{}", nodes.len() % deployment.data_centres),
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
        let mut bench = Self { deployment, fleet, baseline: (0..count).map(|_| None).collect() };
        for host in 0..count {
            bench.start_baseline(host);
        }
        bench.wait_until_settled();
        bench
    }

    fn start_baseline(&mut self, host: usize) {
        let listen = self.fleet.addresses.address_of(host, BASELINE_PORT).to_string();
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
        let output_path = self.fleet.directory().join(format!("naive-{host}.txt"));
        self.baseline[host] = Some(FleetProcess::start("standin", &args, &output_path));
    }

    fn wait_until_settled(&self) {
        let partitions = self.deployment.partitions;
        wait_until("the fleet settles", SETTLE_TIMEOUT, || {
            let counts: Vec<_> =
                (0..self.fleet.nodes.len()).map(|host| self.fleet.partitions(host).len()).collect();
            let settled = (0..counts.len())
                .all(|host| self.fleet.status(host).is_some_and(|page| page["open_history"] == 0));
            let all = counts.iter().sum::<usize>() == partitions && counts.iter().all(|n| *n > 0);
            (all && settled).then_some(())
        });
    }

    /// Returns the requests per second, in the mix of the deployment, that both services can run.
    fn capacity(&self) -> f64 {
        let keyed: usize =
            self.deployment.kinds.iter().filter(|kind| kind.keyed).map(|kind| kind.percent).sum();
        let rate = |upstreams: usize, percent: usize| {
            (upstreams * self.deployment.slots) as f64 * 1000.0 / WORK_MS as f64 * 100.0
                / percent as f64
        };
        rate(self.deployment.keyed.1, keyed).min(rate(self.deployment.unkeyed.1, 100 - keyed))
    }

    fn pause(&self, host: usize, duration: Duration) {
        let upstream = self.fleet.upstreams[host].as_ref().expect("the process runs");
        let node = self.fleet.nodes[host].as_ref().expect("the process runs");
        let baseline = self.baseline[host].as_ref().expect("the process runs");
        for process in [upstream, node, baseline] {
            process.pause();
        }
        std::thread::sleep(duration);
        for process in [upstream, node, baseline] {
            process.resume();
        }
    }

    fn rolling_restart(&mut self) {
        for host in 0..3 {
            let upstream = self.fleet.upstreams[host].as_mut().expect("the process runs");
            upstream.terminate();
            let status = upstream.wait(Duration::from_secs(15));
            assert!(status.is_some(), "the upstream exits in time");
            self.fleet.start_upstream(host);
            // The baseline cannot drain an upstream, so its upstream is killed.
            if let Some(mut process) = self.baseline[host].take() {
                process.kill();
            }
            self.start_baseline(host);
        }
    }

    /// Sends the same load through the nodes and to the baseline, and injects a fault meanwhile.
    ///
    /// `load` is the rate as a fraction of [`BenchRun::capacity`].
    fn phase(&mut self, name: &str, load: f64, fault: impl FnOnce(&mut Self)) {
        let rate = self.capacity() * load;
        let count = self.fleet.nodes.len();
        let routed_load = OpenLoopLoad {
            kinds: self.deployment.kinds.clone(),
            endpoints: (0..count).map(|host| self.fleet.traffic_address(host)).collect(),
            choice: EndpointChoice::Uniform,
            keys: if name == "calm" || load > 1.0 { MANY_KEYS } else { FEW_KEYS },
            rate,
            duration: PHASE_DURATION,
            request_timeout: REQUEST_TIMEOUT,
        };
        let mut baseline_load = routed_load.clone();
        baseline_load.endpoints = (0..self.deployment.keyed.1)
            .map(|host| self.fleet.addresses.address_of(host, BASELINE_PORT))
            .collect();
        baseline_load.choice = EndpointChoice::ByKey;
        let opened = self.read_metric("firspindle_partitions_opened_total");
        let retry_count = self.read_metric("firspindle_retries_total");
        let keys = routed_load.keys;
        let journal: Vec<_> =
            (0..self.deployment.keyed.1).map(|host| self.fleet.journal(host).len()).collect();
        let started = Instant::now();
        let (routed, baseline) = std::thread::scope(|scope| {
            let routed = scope.spawn(|| send_load(&routed_load));
            let baseline = scope.spawn(|| send_load(&baseline_load));
            std::thread::sleep(Duration::from_millis(600));
            fault(self);
            (
                routed.join().expect("the load does not panic"),
                baseline.join().expect("the load does not panic"),
            )
        });
        let end = started + PHASE_DURATION;
        let runs: Vec<_> = (0..self.deployment.keyed.1)
            .map(|host| self.fleet.journal(host).len() - journal[host])
            .collect();
        let mean = runs.iter().sum::<usize>() as f64 / runs.len() as f64;
        let imbalance = runs.iter().copied().max().unwrap_or(0) as f64 / mean.max(1.0);
        let opened = increase(&opened, &self.read_metric("firspindle_partitions_opened_total"));
        let retry_count = increase(&retry_count, &self.read_metric("firspindle_retries_total"));
        let gap = |samples: &[RequestSample]| match keys {
            MANY_KEYS => "-".to_owned(),
            keys => longest_key_gap_ms(samples, started, end, keys).to_string(),
        };
        for (index, kind) in self.deployment.kinds.iter().enumerate() {
            let extra_columns = match index {
                0 => format!("{} | {opened:.0} | {imbalance:.2} | {retry_count:.0}", gap(&routed)),
                _ => " | | | ".to_owned(),
            };
            print_row(
                name,
                "firspindle",
                kind.name,
                &samples_of_kind(&routed, index),
                &extra_columns,
            );
            let extra_columns = if index == 0 {
                format!("{} | | | ", gap(&baseline))
            } else {
                " | | | ".to_owned()
            };
            print_row(name, "naive", kind.name, &samples_of_kind(&baseline, index), &extra_columns);
        }
        if load > 1.0 {
            let goodput = |samples: &[RequestSample]| {
                samples
                    .iter()
                    .filter(|sample| sample.ran() && sample.latency <= REQUEST_TIMEOUT)
                    .count() as f64
                    / PHASE_DURATION.as_secs_f64()
                    / self.capacity()
                    * 100.0
            };
            println!(
                "| {name} | goodput % of capacity | firspindle {:.0}, naive {:.0} | | | | | | | | | | | |",
                goodput(&routed),
                goodput(&baseline)
            );
        }
    }

    /// Returns the value of a metric at each node; 0 where it cannot be read.
    fn read_metric(&self, name: &str) -> Vec<f64> {
        let read = |host: usize| {
            let response =
                HttpClient::call(self.fleet.admin_address(host), "GET", "/metrics", &[], "");
            let text = response.map(|response| response.body).unwrap_or_default();
            let line = text.lines().find(|line| line.starts_with(name)).map(str::to_owned);
            line.and_then(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).unwrap_or(0.0)
        };
        (0..self.fleet.nodes.len()).map(read).collect()
    }
}

/// Returns the sum of the increases of counters, which restart at 0 with their process.
fn increase(before: &[f64], after: &[f64]) -> f64 {
    let change = |(before, after): (&f64, &f64)| match after < before {
        true => *after,
        false => after - before,
    };
    before.iter().zip(after).map(change).sum()
}

fn samples_of_kind(samples: &[RequestSample], kind: usize) -> Vec<&RequestSample> {
    samples.iter().filter(|sample| sample.kind == kind).collect()
}

fn print_row(phase: &str, path: &str, kind: &str, samples: &[&RequestSample], extra_columns: &str) {
    let sent = samples.len();
    let in_time =
        samples.iter().filter(|sample| sample.ran() && sample.latency <= REQUEST_TIMEOUT).count();
    let count = |verdict: &str| {
        samples.iter().filter(|sample| !sample.ran() && sample.verdict == verdict).count()
    };
    let unknown = samples.iter().filter(|sample| !sample.ran()).count() - count("not-run");
    let [p50, p99, p999] = percentiles(samples);
    println!(
        "| {phase} | {path} | {kind} | {sent} | {:.2} | {} | {unknown} | {p50:.1} | {p99:.1} | {p999:.1} | {extra_columns} |",
        in_time as f64 / sent.max(1) as f64 * 100.0,
        count("not-run"),
    );
}

/// Measures the latency that the router adds on loopback, compared with direct calls to the
/// upstream.
pub fn measure_added_latency() {
    let fleet = Fleet::start(
        FleetSpec::one_service("registre", 3, 3).upstream_arg("--checks-grants=false"),
    );
    let manifest = include_str!("../../examples/manifest-registre.toml");
    assert!(fleet.publish(manifest).status.success(), "the manifest is accepted");
    fleet.wait_until_served(64);
    let owner = fleet.owner("registre", "key-0").expect("the key has an owner");
    let load = |endpoint, path: &str| OpenLoopLoad {
        kinds: vec![RequestKind {
            name: "check",
            method: "GET",
            path: path.to_owned(),
            percent: 100,
            keyed: true,
        }],
        endpoints: vec![endpoint],
        choice: EndpointChoice::Uniform,
        keys: 1,
        rate: 500.0,
        duration: Duration::from_secs(10),
        request_timeout: REQUEST_TIMEOUT,
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
        send_load(&OpenLoopLoad { duration: Duration::from_secs(1), ..load.clone() });
        let samples = send_load(&load);
        let all: Vec<_> = samples.iter().collect();
        let ran = samples.iter().filter(|sample| sample.ran()).count();
        let [p50, p99, p999] = percentiles(&all);
        println!("| {name} | {p50:.2} | {p99:.2} | {p999:.2} | {ran} of {} |", samples.len());
    }
}
