//! Metrics of evacuations and of refusals by place.

use prometheus::{IntCounterVec, IntGauge, Opts, Registry};

use super::EvacuationFaults;
use crate::request::NotRunReason;

/// Metrics of evacuations and of refusals by place.
#[derive(Debug)]
pub struct EvacuationMetrics {
    /// Evacuated data centres that have hosts.
    evacuated: IntGauge,
    /// Records of evacuations without effect, by cause.
    faults: IntCounterVec,
    /// Requests refused because of an evacuation or a home region, by reason.
    refusals: IntCounterVec,
}

impl EvacuationMetrics {
    /// Creates the metrics and registers them.
    ///
    /// # Panics
    ///
    /// If the registry has metrics of these names.
    pub fn new(registry: &Registry) -> Self {
        let evacuated =
            IntGauge::new("firspindle_evacuated", "Evacuated data centres that have hosts")
                .expect("valid");
        registry.register(Box::new(evacuated.clone())).expect("the name is new");
        let family = |name: &str, help: &str, label: &str| {
            let family = IntCounterVec::new(Opts::new(name, help), &[label]).expect("valid");
            registry.register(Box::new(family.clone())).expect("the name is new");
            family
        };
        Self {
            evacuated,
            faults: family(
                "firspindle_evacuation_faults_total",
                "Records of evacuations without effect",
                "cause",
            ),
            refusals: family(
                "firspindle_place_refusals_total",
                "Requests refused because of an evacuation or a home region",
                "reason",
            ),
        }
    }

    /// Counts a refusal because of an evacuation or a home region.
    pub fn count_refusal(&self, reason: NotRunReason) {
        self.refusals.with_label_values(&[reason.as_str()]).inc();
    }

    /// Shows how many data centres are evacuated and how many records of evacuations had no effect.
    pub fn show(&self, count: i64, faults: EvacuationFaults) {
        self.evacuated.set(count);
        let EvacuationFaults { unknown, unreadable, absent } = faults;
        for (cause, number) in
            [("unknown", unknown), ("unreadable", unreadable), ("absent", absent)]
        {
            let counter = self.faults.with_label_values(&[cause]);
            counter.inc_by(number.saturating_sub(counter.get()));
        }
    }
}
