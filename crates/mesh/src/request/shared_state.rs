//! What the control thread and the traffic thread share.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

use arc_swap::ArcSwap;
use firspindle_core::connection::{DemandReport, UpstreamLoad};
use firspindle_edge::DecisionLog;

use crate::process::MeshMetrics;
use crate::version::MeshView;

/// What the threads share.
#[derive(Debug, Default)]
pub struct SharedState {
    /// State that traffic reads.
    pub view: ArcSwap<MeshView>,
    /// Metrics.
    pub metrics: MeshMetrics,
    /// Bounds the lines of decisions.
    pub decisions: DecisionLog,
    /// Whether new requests are refused, as the process is about to end.
    pub rejects_requests: AtomicBool,
    /// When the process ends, at the latest, once it was told to.
    pub exit_deadline: OnceLock<Instant>,
    /// Requests of callers and other nodes that are not answered whole.
    pub in_flight: AtomicU64,
    demand: Mutex<DemandReport>,
    running: AtomicU32,
    waiting: AtomicU32,
    slots: AtomicU32,
    service_ms: AtomicU32,
}

impl SharedState {
    /// Load of the upstream beside the node.
    pub fn load(&self) -> UpstreamLoad {
        UpstreamLoad {
            running: self.running.load(Ordering::Relaxed),
            waiting: self.waiting.load(Ordering::Relaxed),
            slots: self.slots.load(Ordering::Relaxed),
            service_ms: self.service_ms.load(Ordering::Relaxed),
        }
    }

    /// Demand for the keys of the upstream beside the node.
    pub fn demand(&self) -> DemandReport {
        self.demand.lock().map(|demand| demand.clone()).unwrap_or_default()
    }

    /// Sets the demand for the keys of the upstream beside the node.
    pub fn set_demand(&self, demand: DemandReport) {
        if let Ok(mut row) = self.demand.lock() {
            *row = demand;
        }
    }

    /// Sets the load of the upstream beside the node.
    pub fn set_load(&self, load: UpstreamLoad) {
        self.running.store(load.running, Ordering::Relaxed);
        self.waiting.store(load.waiting, Ordering::Relaxed);
        self.slots.store(load.slots, Ordering::Relaxed);
        self.service_ms.store(load.service_ms, Ordering::Relaxed);
    }
}
