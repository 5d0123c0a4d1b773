//! Metrics in the Prometheus text format.

use prometheus::{
    Gauge, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, Opts, Registry,
    TextEncoder,
};

/// Upper bounds of the latency buckets in seconds, around the latency objectives of the services.
const LATENCY_BUCKETS_S: [f64; 12] =
    [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.6, 1.0, 2.0, 4.0, 8.0];

/// All metrics of a mesh node.
#[derive(Debug)]
pub struct MeshMetrics {
    registry: Registry,
    /// Responses to callers, by route, outcome and status.
    pub answers: IntCounterVec,
    /// Seconds from a request's arrival to its response, by route.
    pub latency: HistogramVec,
    /// Seconds that a request waits in the queue for the upstream, by service.
    pub queue_time: HistogramVec,
    /// Seconds between two nodes, there and back, until a response begins, by service.
    pub network_time: HistogramVec,
    /// Seconds by which a timer of the traffic thread fires late.
    pub timer_lag: Histogram,
    /// Requests whose caller left before the response, by role of the node and stage.
    pub abandoned: IntCounterVec,
    /// Seconds until the host's link has sent all that it is to carry.
    pub link_backlog: Gauge,
    /// Sends of a request beyond its first, by service.
    pub retries: IntCounterVec,
    /// Connections opened, by destination: peer or upstream.
    pub connects: IntCounterVec,
    /// Requests sent to the upstream.
    pub sends: IntCounter,
}

impl Default for MeshMetrics {
    fn default() -> Self {
        let registry = Registry::new();
        let family = |name: &str, help: &str, labels: &[&str]| {
            let family = IntCounterVec::new(Opts::new(name, help), labels).expect("valid");
            registry.register(Box::new(family.clone())).expect("the name is new");
            family
        };
        let histograms = |name: &str, help: &str, labels: &[&str]| {
            let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_S.to_vec());
            let family = HistogramVec::new(options, labels).expect("valid");
            registry.register(Box::new(family.clone())).expect("the name is new");
            family
        };
        let sends = IntCounter::new("firspindle_sends_total", "Requests sent to the upstream")
            .expect("valid");
        registry.register(Box::new(sends.clone())).expect("the name is new");
        let options = HistogramOpts::new("firspindle_timer_lag_seconds", "Lateness of a timer")
            .buckets(LATENCY_BUCKETS_S.to_vec());
        let timer_lag = Histogram::with_opts(options).expect("valid");
        registry.register(Box::new(timer_lag.clone())).expect("the name is new");
        let link_backlog = Gauge::new(
            "firspindle_link_backlog_seconds",
            "Time until the link has sent all that it is to carry",
        )
        .expect("valid");
        registry.register(Box::new(link_backlog.clone())).expect("the name is new");
        Self {
            answers: family(
                "firspindle_answers_total",
                "Answers to callers",
                &["route", "outcome", "status"],
            ),
            latency: histograms(
                "firspindle_answer_seconds",
                "Time from a request's arrival to its answer",
                &["route"],
            ),
            queue_time: histograms(
                "firspindle_queue_seconds",
                "Time that a request waits for a slot",
                &["service"],
            ),
            network_time: histograms(
                "firspindle_network_seconds",
                "Time between two nodes, there and back, until a response begins",
                &["service"],
            ),
            timer_lag,
            link_backlog,
            abandoned: family(
                "firspindle_abandoned_total",
                "Requests whose caller left before the response",
                &["role", "stage"],
            ),
            retries: family("firspindle_retries_total", "Sends beyond the first", &["service"]),
            connects: family("firspindle_connects_total", "Connections opened", &["to"]),
            sends,
            registry,
        }
    }
}

impl MeshMetrics {
    /// Returns all metrics as Prometheus text; empty if they cannot be encoded.
    pub fn render(&self) -> String {
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}
