//! Metrics of what the upstream reports of itself.

use prometheus::{Gauge, IntCounterVec, IntGauge, Opts, Registry};

/// Metrics of what the upstream reports of itself.
#[derive(Debug)]
pub struct UpstreamMetrics {
    /// Whether the upstream counts as cold: 1 or 0.
    pub cold: IntGauge,
    /// Time that work takes at the upstream, as it reported, in percent of the usual; 0 if unknown.
    pub pace: Gauge,
    /// Seconds since the last load report of the upstream; 0 before the first.
    pub report_age: Gauge,
    /// Reports of the upstream that were ignored as malformed, by header.
    pub invalid_reports: IntCounterVec,
}

impl UpstreamMetrics {
    /// Registers the metrics.
    pub(super) fn new(registry: &Registry) -> Self {
        let cold = IntGauge::new(
            "firspindle_upstream_cold",
            "Whether the upstream counts as cold: 1 or 0",
        );
        let pace = Gauge::new(
            "firspindle_upstream_pace",
            "Time that work takes at the upstream, as it reported, in percent of the usual; 0 if unknown",
        );
        let report_age = Gauge::new(
            "firspindle_load_report_age_seconds",
            "Time since the last load report of the upstream; 0 before the first",
        );
        let options = Opts::new(
            "firspindle_invalid_reports_total",
            "Reports of the upstream that were ignored as malformed",
        );
        let metrics = Self {
            cold: cold.expect("valid"),
            pace: pace.expect("valid"),
            report_age: report_age.expect("valid"),
            invalid_reports: IntCounterVec::new(options, &["header"]).expect("valid"),
        };
        registry.register(Box::new(metrics.cold.clone())).expect("the name is new");
        registry.register(Box::new(metrics.pace.clone())).expect("the name is new");
        registry.register(Box::new(metrics.report_age.clone())).expect("the name is new");
        registry.register(Box::new(metrics.invalid_reports.clone())).expect("the name is new");
        metrics
    }
}
