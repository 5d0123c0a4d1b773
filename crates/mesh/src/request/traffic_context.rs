//! What all requests of the traffic thread share.

use std::cell::RefCell;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use firspindle_core::request::RetryWindow;
use firspindle_core::version::RequestKind;
use firspindle_edge::{BootClock, HeaderSet, unix_ms};
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedSender;

use super::{DemandMeter, SharedState};
use crate::connection::{LinkPool, UpstreamGate};
use crate::process::{ControlEvent, MeshSettings};

/// What all requests of the traffic thread share.
pub struct TrafficContext {
    /// Settings.
    pub settings: MeshSettings,
    /// Names of headers.
    pub headers: HeaderSet,
    /// Shared with the control thread.
    pub shared: Arc<SharedState>,
    /// Time that goes on while the machine sleeps.
    pub clock: BootClock,
    /// The control thread.
    pub tx: UnboundedSender<ControlEvent>,
    /// Connections to other nodes.
    pub peers: LinkPool,
    /// Connections to the upstream.
    pub upstream: LinkPool,
    /// Queue before the upstream.
    pub gate: UpstreamGate,
    /// Tells requests under way that the process ends now.
    pub closing: Notify,
    meter: RefCell<DemandMeter>,
    budgets: RefCell<Vec<(Box<str>, RetryWindow)>>,
    /// Requests under way to each host from here, sorted by host.
    outstanding: RefCell<Vec<(Box<str>, u32)>>,
}

/// Counts a request as in flight until it is dropped.
pub struct InFlight {
    shared: Arc<SharedState>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.shared.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl TrafficContext {
    /// A context without connections.
    pub fn new(
        settings: MeshSettings,
        headers: HeaderSet,
        shared: Arc<SharedState>,
        clock: BootClock,
        tx: UnboundedSender<ControlEvent>,
    ) -> Self {
        Self {
            settings,
            headers,
            shared,
            clock,
            tx,
            peers: LinkPool::default(),
            upstream: LinkPool::default(),
            gate: UpstreamGate::default(),
            closing: Notify::new(),
            meter: RefCell::default(),
            budgets: RefCell::default(),
            outstanding: RefCell::default(),
        }
    }

    /// Whether new requests are refused, as the process is about to end.
    pub fn is_leaving(&self) -> bool {
        self.shared.leaving.load(Ordering::Relaxed)
    }

    /// Whether the process may end in the middle of a long answer that is begun now.
    pub fn ends_before(&self, kind: RequestKind, deadline: Instant) -> bool {
        kind == RequestKind::Download
            && self.shared.ends_at.get().is_some_and(|ends_at| *ends_at < deadline)
    }

    /// Has requests answered that wait still, shortly before the process ends.
    pub fn close_late(&self, now: Instant) {
        if self.shared.ends_at.get().is_some_and(|ends_at| now + ANSWER_TIME >= *ends_at) {
            self.closing.notify_waiters();
        }
    }

    /// Counts a request.
    pub fn begin(&self) -> InFlight {
        self.shared.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight { shared: self.shared.clone() }
    }

    /// Counts a request for a cell.
    pub fn count_demand(&self, cell: usize) {
        self.meter.borrow_mut().count(cell);
    }

    /// Ends a round of the demand's measurement.
    pub fn roll_demand(&self) {
        let report = self.meter.borrow_mut().roll();
        self.shared.set_demand(report);
    }

    fn with_budget<T>(&self, service: &str, use_it: impl FnOnce(&mut RetryWindow) -> T) -> T {
        let mut budgets = self.budgets.borrow_mut();
        let index = match budgets.binary_search_by(|row| (*row.0).cmp(service)) {
            Ok(index) => index,
            Err(index) => {
                let window = RetryWindow::new(self.settings.bounds.retry_window);
                budgets.insert(index, (service.into(), window));
                index
            }
        };
        use_it(&mut budgets[index].1)
    }

    /// Counts the first send of a request.
    pub fn count_first_send(&self, service: &str) {
        self.with_budget(service, |window| window.count_first_send(Instant::now()));
    }

    /// Takes a retry from this node's part of the budget.
    pub fn take_retry(&self, service: &str) -> bool {
        let bounds = &self.settings.bounds;
        let nodes = self.shared.view.load().peers.len().max(1);
        #[allow(clippy::cast_precision_loss)]
        let allowance = bounds.retry_allowance * BUDGET_PART / nodes as f64;
        let ratio = bounds.retry_ratio * BUDGET_PART;
        let taken =
            self.with_budget(service, |window| window.take_retry(ratio, allowance, Instant::now()));
        if taken {
            self.shared.metrics.retries.with_label_values(&[service]).inc();
        }
        taken
    }

    /// Requests under way from here to a host.
    pub fn outstanding(&self, host: &str) -> u32 {
        let rows = self.outstanding.borrow();
        let index = rows.binary_search_by(|row| (*row.0).cmp(host));
        index.map_or(0, |index| rows[index].1)
    }

    /// Adds to the requests under way to a host.
    pub fn add_outstanding(&self, host: &str, more: bool) {
        let mut rows = self.outstanding.borrow_mut();
        let index = match rows.binary_search_by(|row| (*row.0).cmp(host)) {
            Ok(index) => index,
            Err(index) => {
                rows.insert(index, (host.into(), 0));
                index
            }
        };
        let count = &mut rows[index].1;
        *count = if more { *count + 1 } else { count.saturating_sub(1) };
    }

    /// Writes a line for a decision, unless there were too many this second.
    pub fn log_decision(&self, write: impl FnOnce(u64)) {
        if let Some(left_out) = self.shared.decisions.admit(unix_ms()) {
            write(left_out);
        }
    }
}

/// Time for the last answers before the process ends.
const ANSWER_TIME: Duration = Duration::from_millis(200);

/// Part of the budget of all nodes that is used. Calls of upstreams count as requests here, which
/// the budget's base leaves out, and calls of repeated runs count as repeats too.
const BUDGET_PART: f64 = 0.3;

/// Milliseconds since a time, for logs.
pub(super) fn elapsed_ms(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX)
}
