//! Metrics of a node, for Prometheus.

use prometheus::{
    Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};

/// Upper bounds of the latency histogram's buckets, in seconds.
const LATENCY_BUCKETS_S: [f64; 12] =
    [0.0005, 0.001, 0.002, 0.004, 0.008, 0.011, 0.016, 0.032, 0.064, 0.25, 1.0, 5.0];

/// All metrics of a node.
#[derive(Debug)]
pub struct MetricsSet {
    registry: Registry,
    /// Responses to callers, by service and verdict.
    pub answers: IntCounterVec,
    /// Responses to callers with a verdict other than `ran`, by status.
    pub refusals: IntCounterVec,
    /// Attempts beyond a request's first.
    pub retries: IntCounter,
    /// Requests sent to the node's upstream.
    pub runs: IntCounter,
    /// Seconds from a request's arrival to its response.
    pub latency: Histogram,
    /// Partitions that this node serves.
    pub partitions: IntGauge,
    /// First log offset that is not folded.
    pub offset: IntGauge,
    /// Version of the manifest in force.
    pub manifest: IntGauge,
    /// Members in force.
    pub members: IntGauge,
    /// 1 while the lease is valid, else 0.
    pub lease: IntGauge,
    /// Messages sent to other nodes.
    pub messages: IntCounter,
    /// Bytes of messages sent to other nodes.
    pub message_bytes: IntCounter,
    /// Records that this node appended.
    pub appends: IntCounter,
    /// Partitions that this node opened.
    pub opened: IntCounter,
    /// Requests that wait for a slot.
    pub queued: IntGauge,
}

impl Default for MetricsSet {
    fn default() -> Self {
        let registry = Registry::new();
        let latency = HistogramOpts::new(
            "firspindle_answer_seconds",
            "Time from a request's arrival to its answer",
        )
        .buckets(LATENCY_BUCKETS_S.to_vec());
        let latency = Histogram::with_opts(latency).expect("the name is valid");
        registry.register(Box::new(latency.clone())).expect("the name is new");
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help).expect("the name is valid");
            registry.register(Box::new(counter.clone())).expect("the name is new");
            counter
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("the name is valid");
            registry.register(Box::new(gauge.clone())).expect("the name is new");
            gauge
        };
        let family = |name: &str, help: &str, labels: &[&str]| {
            let family = IntCounterVec::new(Opts::new(name, help), labels).expect("valid");
            registry.register(Box::new(family.clone())).expect("the name is new");
            family
        };
        Self {
            answers: family(
                "firspindle_answers_total",
                "Answers to callers by service and verdict",
                &["service", "verdict"],
            ),
            refusals: family(
                "firspindle_refusals_total",
                "Answers without an upstream's answer by status",
                &["status"],
            ),
            retries: counter("firspindle_retries_total", "Attempts beyond a request's first"),
            runs: counter("firspindle_runs_total", "Requests sent to the upstream beside"),
            latency,
            partitions: gauge("firspindle_partitions", "Partitions that this node serves"),
            offset: gauge("firspindle_log_offset", "Next log offset to fold"),
            manifest: gauge("firspindle_manifest_version", "Manifest version in force"),
            members: gauge("firspindle_members", "Members in force"),
            lease: gauge("firspindle_lease_valid", "1 while the lease runs"),
            messages: counter("firspindle_peer_messages_total", "Messages sent to other nodes"),
            message_bytes: counter(
                "firspindle_peer_bytes_total",
                "Bytes of messages sent to other nodes",
            ),
            appends: counter("firspindle_appends_total", "Records that this node appended"),
            opened: counter("firspindle_partitions_opened_total", "Partitions opened"),
            queued: gauge("firspindle_queued_requests", "Requests that wait for a slot"),
            registry,
        }
    }
}

impl MetricsSet {
    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let families = self.registry.gather();
        TextEncoder::new().encode_to_string(&families).unwrap_or_default()
    }
}
