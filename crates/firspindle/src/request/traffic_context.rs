//! State that all requests of the process share.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::ArcSwap;
use firspindle_core::NodeId;
use firspindle_core::request::RetryBudget;
use firspindle_edge::OpenConnections;

use crate::process::{ControlEvent, LeaseCell, LogLimiter, MetricsSet};
use crate::version::TrafficView;

/// State that is shared by all traffic threads.
#[derive(Debug)]
pub struct TrafficContext {
    /// View of the control state; each change replaces it whole.
    pub view: ArcSwap<TrafficView>,
    /// This node's lease, which is checked before each run.
    pub lease: LeaseCell,
    /// Metrics of the process.
    pub metrics: Arc<MetricsSet>,
    /// Limits the rate of log lines about single requests.
    pub log_limiter: LogLimiter,
    /// Sends events to the control thread.
    pub control_tx: Sender<ControlEvent>,
    /// Open connections of all servers but the administration's.
    pub connections: OpenConnections,
    budget: Mutex<RetryBudget>,
    in_flight: AtomicU64,
    /// Nodes that reported that they are shutting down, sorted.
    stopping_nodes: ArcSwap<Vec<NodeId>>,
}

impl TrafficContext {
    /// Creates a context with an empty view.
    pub fn new(
        metrics: Arc<MetricsSet>,
        control_tx: Sender<ControlEvent>,
        connections: OpenConnections,
    ) -> Self {
        Self {
            view: ArcSwap::from_pointee(TrafficView::default()),
            lease: LeaseCell::default(),
            metrics,
            log_limiter: LogLimiter::default(),
            control_tx,
            connections,
            budget: Mutex::default(),
            in_flight: AtomicU64::new(0),
            stopping_nodes: ArcSwap::default(),
        }
    }

    /// Records that an incarnation is shutting down, so that it is sent no more requests.
    ///
    /// Its server may close a connection just as a request is sent on it, and then it would be
    /// unknown whether the request ran.
    pub fn mark_stopping(&self, node: NodeId) {
        self.stopping_nodes.rcu(|nodes| {
            let mut nodes = Vec::clone(nodes);
            if let Err(index) = nodes.binary_search(&node) {
                nodes.insert(index, node);
            }
            nodes
        });
    }

    /// Whether an incarnation reported that it is shutting down.
    pub fn is_stopping(&self, node: NodeId) -> bool {
        self.stopping_nodes.load().binary_search(&node).is_ok()
    }

    /// Counts a request, on which the retry budget is based.
    pub fn count_request(&self) {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner).deposit();
    }

    /// Takes a retry from the budget; returns false if none is left.
    pub fn take_retry(&self) -> bool {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner).withdraw()
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn track_request(&self) -> InFlightGuard<'_> {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlightGuard { context: self }
    }

    /// Number of requests in flight, from callers and from other nodes.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::Acquire)
    }
}

/// Counts a request as in flight until the guard is dropped.
#[derive(Debug)]
pub struct InFlightGuard<'a> {
    context: &'a TrafficContext,
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.context.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}
