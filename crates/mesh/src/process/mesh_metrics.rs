//! Metrics in the Prometheus text format.

use firspindle_edge::StateTopic;
use prometheus::{
    Gauge, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry, TextEncoder,
};

use super::{ControlMetrics, EvacuationMetrics, PeerPlace, SlotMetrics, UpstreamMetrics};

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
    /// Queue before the upstream, by rank.
    pub slots: SlotMetrics,
    /// Seconds between two nodes, there and back, until a response begins, by service.
    pub network_time: HistogramVec,
    /// Seconds by which a timer of the traffic thread fires late.
    pub timer_lag: Histogram,
    /// Requests whose caller left before the response, by role of the node and stage.
    pub abandoned: IntCounterVec,
    /// Seconds until the host's link has sent all that it is to carry.
    pub link_backlog: Gauge,
    /// Requests per second that the upstream gets at most, as it named them or while it is cold; 0
    /// without a limit.
    pub upstream_limit: Gauge,
    /// What the upstream reports of itself.
    pub upstream: UpstreamMetrics,
    /// Sends of a request beyond its first, by service.
    pub retries: IntCounterVec,
    /// Connections opened, by destination: peer or upstream.
    pub connects: IntCounterVec,
    /// Bytes exchanged with other nodes, by where the other node is and by purpose; counted by the node
    /// that sent the request or the datagram, without the headers of TCP and IP.
    peer_bytes: [[IntCounter; 4]; 2],
    /// Calls to the store, by topic and kind: newest, read or append.
    pub store_calls: IntCounterVec,
    /// Restores of the store that this node has noticed.
    pub restores: IntGauge,
    /// Routes of the manifest in force whose kind is not known.
    pub unknown_kinds: IntGauge,
    /// Control thread: datagrams, fetches of the state of peers, delays.
    pub control: ControlMetrics,
    /// Evacuations and refusals by place.
    pub evacuations: EvacuationMetrics,
    /// Requests sent to the upstream.
    pub sends: IntCounter,
    /// Bytes of request bodies that are expected.
    pub body_reserved: IntGauge,
    /// Bytes of request bodies that the node and its upstream hold.
    pub body_held: IntGauge,
    /// Reservations of room for request bodies, by outcome.
    pub reservations: IntCounterVec,
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
        let float_gauge = |name, help| register_gauge(&registry, name, help);
        let gauge = |name, help| register_int_gauge(&registry, name, help);
        let peer_bytes = family(
            "firspindle_peer_bytes_total",
            "Bytes exchanged with other nodes",
            &["purpose", "data_centre"],
        );
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
            slots: SlotMetrics::register(&registry),
            network_time: histograms(
                "firspindle_network_seconds",
                "Time between two nodes, there and back, until a response begins",
                &["service"],
            ),
            timer_lag,
            control: ControlMetrics::register(&registry),
            evacuations: EvacuationMetrics::new(&registry),
            restores: gauge(
                "firspindle_store_restores",
                "Restores of the store from an older copy that this node has noticed",
            ),
            unknown_kinds: gauge(
                "firspindle_unknown_kinds",
                "Routes of the manifest in force whose kind is not known",
            ),
            link_backlog: float_gauge(
                "firspindle_link_backlog_seconds",
                "Time until the link has sent all that it is to carry",
            ),
            upstream_limit: float_gauge(
                "firspindle_upstream_limit",
                "Requests a second that the upstream gets at most; 0 without a limit",
            ),
            abandoned: family(
                "firspindle_abandoned_total",
                "Requests whose caller left before the response",
                &["role", "stage"],
            ),
            retries: family("firspindle_retries_total", "Sends beyond the first", &["service"]),
            peer_bytes: ["own", "other"].map(|place| {
                PeerTraffic::ALL
                    .map(|purpose| peer_bytes.with_label_values(&[purpose.as_str(), place]))
            }),
            store_calls: family(
                "firspindle_store_calls_total",
                "Calls to the store",
                &["topic", "kind"],
            ),
            connects: family("firspindle_connects_total", "Connections opened", &["to"]),
            sends,
            upstream: UpstreamMetrics::new(&registry),
            body_reserved: gauge(
                "firspindle_body_reserved_bytes",
                "Bytes of large request bodies that are expected",
            ),
            body_held: gauge(
                "firspindle_body_held_bytes",
                "Bytes of large request bodies that the node and its upstream hold",
            ),
            reservations: family(
                "firspindle_reservations_total",
                "Reservations of room for large request bodies",
                &["outcome"],
            ),
            registry,
        }
    }
}

fn register_gauge(registry: &Registry, name: &str, help: &str) -> Gauge {
    let gauge = Gauge::new(name, help).expect("valid");
    registry.register(Box::new(gauge.clone())).expect("the name is new");
    gauge
}

fn register_int_gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let gauge = IntGauge::new(name, help).expect("valid");
    registry.register(Box::new(gauge.clone())).expect("the name is new");
    gauge
}

const fn topic_name(topic: StateTopic) -> &'static str {
    match topic {
        StateTopic::Manifests => "manifests",
        StateTopic::Hosts => "hosts",
        StateTopic::Plans => "plans",
    }
}

/// What bytes between two nodes are for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerTraffic {
    /// Forwarded request: head and body.
    Request,
    /// Response to a forwarded request: head and body.
    Response,
    /// Datagram of the control thread.
    Datagram,
    /// State that a node fetched from another.
    State,
}

impl PeerTraffic {
    /// All purposes, in their order.
    const ALL: [Self; 4] = [Self::Request, Self::Response, Self::Datagram, Self::State];

    const fn as_str(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Response => "response",
            Self::Datagram => "datagram",
            Self::State => "state",
        }
    }
}

impl MeshMetrics {
    /// Returns the counter of bytes for a purpose, exchanged with nodes at a place.
    pub fn peer_bytes(&self, purpose: PeerTraffic, place: PeerPlace) -> &IntCounter {
        &self.peer_bytes[place as usize][purpose as usize]
    }

    /// Counts a call to the store.
    pub fn count_store_call(&self, topic: StateTopic, kind: &str) {
        self.store_calls.with_label_values(&[topic_name(topic), kind]).inc();
    }

    /// Returns the calls to the store as text: topic, kind and number, separated by commas.
    pub fn store_calls_text(&self) -> String {
        let topics = [StateTopic::Manifests, StateTopic::Hosts, StateTopic::Plans].map(topic_name);
        let kinds = ["newest", "read", "append"];
        let rows = topics.iter().flat_map(|topic| kinds.map(|kind| (*topic, kind)));
        let counted = rows.map(|(topic, kind)| {
            let calls = self.store_calls.with_label_values(&[topic, kind]).get();
            format!("{topic}-{kind}:{calls}")
        });
        counted.collect::<Vec<_>>().join(",")
    }

    /// Returns the bytes exchanged with nodes at a place as text: purpose and bytes, separated by
    /// commas.
    pub fn peer_bytes_text(&self, place: PeerPlace) -> String {
        let bytes = PeerTraffic::ALL.map(|purpose| {
            format!("{}:{}", purpose.as_str(), self.peer_bytes(purpose, place).get())
        });
        bytes.join(",")
    }

    /// Returns all metrics as Prometheus text; empty if they cannot be encoded.
    pub fn render(&self) -> String {
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}
