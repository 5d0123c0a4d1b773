//! State that the control thread and the traffic thread share.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

use arc_swap::ArcSwap;
use firspindle_core::connection::{DemandReport, UpstreamLoad};
use firspindle_edge::{LogLimiter, OpenConnections};
use tokio::sync::watch;

use crate::process::MeshMetrics;
use crate::version::MeshView;

/// What the servers for callers and other nodes do while the process exits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum ExitStage {
    /// They serve.
    #[default]
    Serving,
    /// They accept no more connections.
    ListenersClosed,
    /// They close each connection once the answers that were begun on it are written.
    ConnectionsClose,
}

/// State that the control thread and the traffic thread share.
#[derive(Debug, Default)]
pub struct SharedState {
    /// Newest view that the control thread published.
    pub view: ArcSwap<MeshView>,
    /// Metrics of this node.
    pub metrics: MeshMetrics,
    /// Limits the rate of log lines about single requests.
    pub log_limiter: LogLimiter,
    /// Whether new requests are refused because the process is about to exit.
    pub rejects_requests: AtomicBool,
    /// Latest time at which the process exits; set once it shuts down.
    pub exit_deadline: OnceLock<Instant>,
    /// What the servers do while the process exits.
    pub exit_stage: watch::Sender<ExitStage>,
    /// Connections of callers and other nodes that are open.
    pub connections: OpenConnections,
    /// Requests of callers and other nodes whose responses are not yet complete.
    pub in_flight: AtomicU64,
    demand: Mutex<DemandReport>,
    running: AtomicU32,
    waiting: AtomicU32,
    slots: AtomicU32,
    service_ms: AtomicU32,
    link_ms: AtomicU32,
    limit_milli: AtomicU32,
    told_running: AtomicU32,
    told_waiting: AtomicU32,
    pace_percent: AtomicU32,
    cold_ms: AtomicU32,
}

impl SharedState {
    /// Returns the load of this node's upstream.
    pub fn load(&self) -> UpstreamLoad {
        UpstreamLoad {
            running: self.running.load(Ordering::Relaxed),
            waiting: self.waiting.load(Ordering::Relaxed),
            slots: self.slots.load(Ordering::Relaxed),
            service_ms: self.service_ms.load(Ordering::Relaxed),
            link_ms: self.link_ms.load(Ordering::Relaxed),
            limit_milli: self.limit_milli.load(Ordering::Relaxed),
            told_running: self.told_running.load(Ordering::Relaxed),
            told_waiting: self.told_waiting.load(Ordering::Relaxed),
            pace_percent: self.pace_percent.load(Ordering::Relaxed),
            cold_ms: self.cold_ms.load(Ordering::Relaxed),
        }
    }

    /// Returns the demand for the keys of this node's upstream.
    pub fn demand(&self) -> DemandReport {
        self.demand.lock().map(|demand| demand.clone()).unwrap_or_default()
    }

    /// Sets the demand for the keys of this node's upstream.
    pub fn set_demand(&self, demand: DemandReport) {
        if let Ok(mut guard) = self.demand.lock() {
            *guard = demand;
        }
    }

    /// Sets the load of this node's upstream.
    pub fn set_load(&self, load: UpstreamLoad) {
        self.running.store(load.running, Ordering::Relaxed);
        self.waiting.store(load.waiting, Ordering::Relaxed);
        self.slots.store(load.slots, Ordering::Relaxed);
        self.service_ms.store(load.service_ms, Ordering::Relaxed);
        self.link_ms.store(load.link_ms, Ordering::Relaxed);
        self.limit_milli.store(load.limit_milli, Ordering::Relaxed);
        self.told_running.store(load.told_running, Ordering::Relaxed);
        self.told_waiting.store(load.told_waiting, Ordering::Relaxed);
        self.pace_percent.store(load.pace_percent, Ordering::Relaxed);
        self.cold_ms.store(load.cold_ms, Ordering::Relaxed);
    }
}
