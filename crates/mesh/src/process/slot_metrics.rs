//! Metrics of the queue before the upstream, by rank.

use prometheus::{HistogramOpts, HistogramVec, IntCounterVec, Opts, Registry};

/// Upper bounds of the buckets of waits in seconds.
const WAIT_BUCKETS_S: [f64; 8] = [0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6];

/// Metrics of the queue before the upstream, by rank.
#[derive(Debug)]
pub struct SlotMetrics {
    /// Seconds that a request waits in the queue for the upstream.
    pub wait: HistogramVec,
    /// Requests that got no slot, by rank and reason.
    pub refusals: IntCounterVec,
}

impl SlotMetrics {
    /// Adds the metrics to a registry that does not have them yet.
    ///
    /// # Panics
    ///
    /// If the registry has them already.
    pub(super) fn register(registry: &Registry) -> Self {
        let help = "Time that a request waits for a slot, by rank";
        let options = HistogramOpts::new("firspindle_rank_wait_seconds", help);
        let options = options.buckets(WAIT_BUCKETS_S.to_vec());
        let wait = HistogramVec::new(options, &["rank"]).expect("valid");
        registry.register(Box::new(wait.clone())).expect("the name is new");
        let help = "Requests that got no slot of an upstream";
        let options = Opts::new("firspindle_refusals_total", help);
        let refusals = IntCounterVec::new(options, &["rank", "reason"]).expect("valid");
        registry.register(Box::new(refusals.clone())).expect("the name is new");
        Self { wait, refusals }
    }
}
