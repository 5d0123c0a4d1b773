//! Metrics of the control thread: what it receives, how late it handles it, what it fetches.

use std::time::Duration;

use prometheus::{Histogram, HistogramOpts, IntCounterVec, IntGauge, Opts, Registry};

/// Upper bounds of the buckets of delays in seconds.
const DELAY_BUCKETS_S: [f64; 9] = [0.001, 0.005, 0.02, 0.05, 0.1, 0.3, 1.0, 2.0, 4.0];

/// What became of a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DatagramOutcome {
    /// Received and handled.
    Received,
    /// Received, and dropped as too many waited.
    Dropped,
    /// Not sent, as the socket did not take it.
    Unsent,
}

impl DatagramOutcome {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Received => "received",
            Self::Dropped => "dropped",
            Self::Unsent => "unsent",
        }
    }
}

/// Metrics of the control thread.
#[derive(Debug)]
pub struct ControlMetrics {
    /// Received datagrams that could not be decoded.
    pub malformed: IntGauge,
    datagrams: IntCounterVec,
    waiting: IntGauge,
    datagram_wait: Histogram,
    fetches: IntCounterVec,
    manifest_lag: Histogram,
}

impl ControlMetrics {
    /// Adds the metrics to a registry that does not have them yet.
    ///
    /// # Panics
    ///
    /// If the registry has them already.
    pub(super) fn register(registry: &Registry) -> Self {
        let counters = |name: &str, help: &str| {
            let family = IntCounterVec::new(Opts::new(name, help), &["outcome"]).expect("valid");
            registry.register(Box::new(family.clone())).expect("the name is new");
            family
        };
        let histogram = |name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).buckets(DELAY_BUCKETS_S.to_vec());
            let histogram = Histogram::with_opts(options).expect("valid");
            registry.register(Box::new(histogram.clone())).expect("the name is new");
            histogram
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("valid");
            registry.register(Box::new(gauge.clone())).expect("the name is new");
            gauge
        };
        Self {
            malformed: gauge(
                "firspindle_datagrams_malformed",
                "Received datagrams that could not be decoded",
            ),
            waiting: gauge(
                "firspindle_datagrams_waiting",
                "Datagrams that wait for the control thread",
            ),
            datagrams: counters("firspindle_datagrams_total", "Datagrams between nodes"),
            datagram_wait: histogram(
                "firspindle_datagram_wait_seconds",
                "Time from a datagram's arrival until it is handled",
            ),
            fetches: counters("firspindle_state_fetches_total", "Fetches of the state of a peer"),
            manifest_lag: histogram(
                "firspindle_manifest_lag_seconds",
                "Time from when a peer is known to have a newer manifest until it is in force",
            ),
        }
    }

    /// Returns what was counted since the start as text: datagrams, those that could not be decoded or
    /// sent or were dropped, their mean wait in milliseconds, and how many wait now.
    pub fn text(&self) -> String {
        let count =
            |outcome: DatagramOutcome| self.datagrams.with_label_values(&[outcome.as_str()]).get();
        #[allow(clippy::cast_precision_loss)]
        let handled = self.datagram_wait.get_sample_count().max(1) as f64;
        let wait_ms = self.datagram_wait.get_sample_sum() * 1000.0 / handled;
        format!(
            "datagrams:{},malformed:{},unsent:{},dropped:{},mean-wait-ms:{wait_ms:.1},waiting:{}",
            count(DatagramOutcome::Received),
            self.malformed.get(),
            count(DatagramOutcome::Unsent),
            count(DatagramOutcome::Dropped),
            self.waiting.get(),
        )
    }

    /// Counts a datagram.
    pub fn count_datagram(&self, outcome: DatagramOutcome) {
        self.datagrams.with_label_values(&[outcome.as_str()]).inc();
    }

    /// Counts datagrams that were dropped as too many waited.
    pub fn count_dropped(&self, count: u64) {
        let outcome = DatagramOutcome::Dropped.as_str();
        self.datagrams.with_label_values(&[outcome]).inc_by(count);
    }

    /// Notes how many datagrams wait.
    pub fn note_waiting(&self, count: usize) {
        self.waiting.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Notes how long a datagram waited until it was handled.
    pub fn note_datagram_wait(&self, wait: Duration) {
        self.datagram_wait.observe(wait.as_secs_f64());
    }

    /// Counts a fetch of a peer's state; `fetched`, or the cause of its failure.
    pub fn count_fetch(&self, outcome: &str) {
        self.fetches.with_label_values(&[outcome]).inc();
    }

    /// Notes how long a peer was known to have a newer manifest until it was in force.
    pub fn note_manifest_lag(&self, lag: Duration) {
        self.manifest_lag.observe(lag.as_secs_f64());
    }
}
