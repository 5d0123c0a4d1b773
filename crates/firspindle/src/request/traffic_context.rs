//! What every request needs of the process.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::ArcSwap;
use firspindle_core::NodeId;
use firspindle_core::request::RetryBudget;

use crate::process::{ControlEvent, LeaseCell, LogLimiter, MetricsSet};
use crate::version::TrafficView;

/// Shared by all traffic threads.
#[derive(Debug)]
pub struct TrafficContext {
    /// Control state, replaced whole.
    pub view: ArcSwap<TrafficView>,
    /// Lease of the node.
    pub lease: LeaseCell,
    /// Metrics.
    pub metrics: Arc<MetricsSet>,
    /// Bound of routing lines.
    pub decisions: LogLimiter,
    /// The control thread.
    pub tx: Sender<ControlEvent>,
    budget: Mutex<RetryBudget>,
    in_flight: AtomicU64,
    /// Nodes that said that they are about to end, sorted.
    stopping: ArcSwap<Vec<NodeId>>,
}

impl TrafficContext {
    /// A context with an empty view.
    pub fn new(metrics: Arc<MetricsSet>, tx: Sender<ControlEvent>) -> Self {
        Self {
            view: ArcSwap::from_pointee(TrafficView::default()),
            lease: LeaseCell::default(),
            metrics,
            decisions: LogLimiter::default(),
            tx,
            budget: Mutex::default(),
            in_flight: AtomicU64::new(0),
            stopping: ArcSwap::default(),
        }
    }

    /// Sends no more requests to an incarnation that is about to end.
    ///
    /// Its server may close a connection just as a request goes out on it, and then nobody
    /// could tell whether the request ran.
    pub fn avoid(&self, node: NodeId) {
        self.stopping.rcu(|nodes| {
            let mut nodes = Vec::clone(nodes);
            if let Err(index) = nodes.binary_search(&node) {
                nodes.insert(index, node);
            }
            nodes
        });
    }

    /// Whether an incarnation said that it is about to end.
    pub fn is_avoided(&self, node: NodeId) -> bool {
        self.stopping.load().binary_search(&node).is_ok()
    }

    /// Counts a request for the retry budget.
    pub fn deposit(&self) {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner).deposit();
    }

    /// Takes a retry from the budget.
    pub fn withdraw(&self) -> bool {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner).withdraw()
    }

    /// Counts a caller's request until the guard is dropped.
    pub fn begin(&self) -> InFlight<'_> {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlight { context: self }
    }

    /// Callers' requests in flight.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::Acquire)
    }
}

/// A caller's request in flight.
#[derive(Debug)]
pub struct InFlight<'a> {
    context: &'a TrafficContext,
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.context.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}
