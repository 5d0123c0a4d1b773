//! State that all requests of the traffic thread share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bytes::Bytes;
use firspindle_core::connection::StateMark;
use firspindle_core::request::{
    AnswerTimes, CallTracker, CallVerdict, NoticeTable, PatienceTable, RequestRank, RetryWindow,
};
use firspindle_core::version::{RequestKind, RouteId, RouteRow, route_id};
use firspindle_edge::{BootClock, HeaderNames, unix_ms};
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedSender;

use super::{CrashReporter, DemandMeter, SharedState};
use crate::connection::{ConnectionPool, InboundRoom, LinkPacer, UpstreamLimiter};
use crate::process::{ControlEvent, MeshSettings};
use crate::version::KnownState;

/// State that all requests of the traffic thread share.
pub struct TrafficContext {
    /// Settings of this node.
    pub settings: MeshSettings,
    /// Names of the platform's headers.
    pub headers: HeaderNames,
    /// State that is shared with the control thread.
    pub shared: Arc<SharedState>,
    /// Clock that advances while the machine is suspended.
    pub clock: BootClock,
    /// Sends events to the control thread.
    pub control_tx: UnboundedSender<ControlEvent>,
    /// Connections to other nodes.
    pub peers: ConnectionPool,
    /// Connections to the upstream.
    pub upstream: ConnectionPool,
    /// Concurrency limit and queue in front of the upstream.
    pub limiter: UpstreamLimiter,
    /// Hands large bodies to the host's link.
    pub link: LinkPacer,
    /// Notifies the task that sends health checks after broken connections.
    pub break_notify: Notify,
    /// Lets large request bodies in.
    pub room: InboundRoom,
    /// Notices crashes of the upstream.
    pub(super) crashes: Rc<CrashReporter>,
    /// Notifies pending requests that the process is about to exit.
    pub exit_notify: Notify,
    /// Whether the upstream was closed at the last look because its data centre is evacuated.
    pub(super) was_evacuated: Cell<bool>,
    /// Mean time from a download's arrival at this node to the upstream's response.
    download_time: Cell<Duration>,
    /// What upstreams of other hosts said.
    pub(super) notices: RefCell<NoticeTable>,
    calls: RefCell<CallTracker>,
    /// Times to the answers of requests that must not be repeated, by route.
    answer_times: RefCell<AnswerTimes>,
    meter: RefCell<DemandMeter>,
    /// How long callers wait in all, by route.
    patience: RefCell<PatienceTable>,
    /// Retry budgets, sorted by service.
    budgets: RefCell<Vec<(Box<str>, RetryWindow)>>,
    /// The last news for peers that was encoded, and for which known state and ends.
    news: RefCell<Option<EncodedNews>>,
    /// Requests from this node that are outstanding at each host, sorted by host.
    outstanding: RefCell<Vec<(Box<str>, u32)>>,
}

/// News for peers with a known state, from a state with this mark.
struct EncodedNews {
    known: KnownState,
    mark: StateMark,
    bytes: Bytes,
}

/// Counts a request as in flight until the guard is dropped.
pub struct InFlightGuard {
    shared: Arc<SharedState>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.shared.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl TrafficContext {
    /// Creates a context without connections.
    pub fn new(
        settings: MeshSettings,
        headers: HeaderNames,
        shared: Arc<SharedState>,
        clock: BootClock,
        control_tx: UnboundedSender<ControlEvent>,
    ) -> Self {
        let bounds = &settings.bounds;
        let link = LinkPacer::new(bounds.link_rate);
        let outcomes = shared.metrics.reservations.clone();
        let upstream = ConnectionPool::default();
        let crashes = CrashReporter::new(
            settings.upstream,
            shared.clone(),
            control_tx.clone(),
            upstream.remote_end(),
        );
        let room = InboundRoom::new(bounds.link_rate, bounds.memory, outcomes);
        Self {
            settings,
            headers,
            shared,
            clock,
            control_tx,
            peers: ConnectionPool::default(),
            upstream,
            limiter: UpstreamLimiter::default(),
            link,
            break_notify: Notify::new(),
            room,
            crashes: Rc::new(crashes),
            exit_notify: Notify::new(),
            was_evacuated: Cell::default(),
            download_time: Cell::default(),
            notices: RefCell::default(),
            calls: RefCell::default(),
            answer_times: RefCell::default(),
            meter: RefCell::default(),
            patience: RefCell::default(),
            budgets: RefCell::default(),
            news: RefCell::default(),
            outstanding: RefCell::default(),
        }
    }

    /// Whether new requests are refused because the process is about to exit.
    pub fn is_rejecting_requests(&self) -> bool {
        self.shared.rejects_requests.load(Ordering::Relaxed)
    }

    /// Whether the process may exit before it has answered a request that starts now. A download may take until
    /// its deadline, and a request that must not be repeated as long as others of its route took lately.
    pub fn shutdown_interrupts(
        &self,
        kind: RequestKind,
        route: RouteId,
        deadline: Instant,
    ) -> bool {
        let Some(exit) = self.shared.exit_deadline.get() else { return false };
        match kind {
            RequestKind::Download => *exit < deadline,
            kind if kind.repeatable() => false,
            _ => {
                let longest = self.answer_times.borrow().longest(route);
                let expected = longest.map_or(deadline, |time| deadline.min(Instant::now() + time));
                *exit < expected + FINAL_RESPONSE_TIME
            }
        }
    }

    /// Notes how long a request that must not be repeated took to its answer, or was waited for.
    pub(super) fn note_answer_time(&self, kind: RequestKind, route: RouteId, time: Duration) {
        if !kind.repeatable() {
            self.answer_times.borrow_mut().note(route, time);
        }
    }

    /// Makes pending requests respond, shortly before the process exits.
    pub fn end_pending_requests(&self, now: Instant) {
        if self.shared.exit_deadline.get().is_some_and(|at| now + FINAL_RESPONSE_TIME >= *at) {
            self.exit_notify.notify_waiters();
        }
    }

    /// Counts a request as in flight.
    pub fn track_request(&self) -> InFlightGuard {
        self.shared.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard { shared: self.shared.clone() }
    }

    /// Mean time from a download's arrival at this node to the upstream's response; zero before the
    /// first.
    pub fn download_time(&self) -> Duration {
        self.download_time.get()
    }

    /// Counts the time from a download's arrival to the upstream's response in the mean.
    pub fn count_download_time(&self, time: Duration) {
        let mean = self.download_time.get();
        let smoothed = (mean * (SMOOTHING_DIVISOR - 1) + time) / SMOOTHING_DIVISOR;
        self.download_time.set(if mean.is_zero() { time } else { smoothed });
    }

    /// Notes a request from this host, and returns its rank.
    pub fn rank_arrival(&self, route: &RouteRow, now: Instant) -> RequestRank {
        let running = self.limiter.running();
        let verdict = self.calls.borrow_mut().note_request(route_id(&route.name), running, now);
        let CallVerdict { carries_calls, changed } = verdict;
        if changed {
            log::info!(route = &*route.name, carries_calls; "belief about a route changed");
        }
        match carries_calls {
            true => RequestRank::CALL,
            false => RequestRank::of_priority(route.priority),
        }
    }

    /// Notes how many requests the own upstream runs.
    pub fn note_running(&self, now: Instant) {
        self.calls.borrow_mut().note_running(self.limiter.running(), now);
    }

    /// Counts requests for a cell in the demand measurement.
    pub fn count_demand(&self, cell: usize, requests: u32) {
        self.meter.borrow_mut().count(cell, requests);
    }

    /// Notes the time left that the caller of a request states; returns when it first tried if it returns.
    /// Calls state what is left of their parents' time, which tells nothing of earlier tries.
    pub(super) fn note_patience(
        &self,
        rank: RequestRank,
        route: &RouteRow,
        left: Duration,
        now: Instant,
    ) -> Option<Instant> {
        if rank == RequestRank::CALL {
            return None;
        }
        self.patience.borrow_mut().note(route_id(&route.name), left, now)
    }

    /// Counts a request that got no slot.
    pub(super) fn count_refusal(&self, rank: RequestRank, reason: &str) {
        let labels = [&*rank.number().to_string(), reason];
        self.shared.metrics.slots.refusals.with_label_values(&labels).inc();
    }

    /// Ends an interval of the demand measurement and publishes the result.
    pub fn finish_demand_interval(&self) {
        let report = self.meter.borrow_mut().finish_interval();
        self.shared.set_demand(report);
    }

    fn with_budget<T>(&self, service: &str, apply: impl FnOnce(&mut RetryWindow) -> T) -> T {
        let mut budgets = self.budgets.borrow_mut();
        let index = match budgets.binary_search_by(|row| (*row.0).cmp(service)) {
            Ok(index) => index,
            Err(index) => {
                let window = RetryWindow::new(self.settings.bounds.retry_window);
                budgets.insert(index, (service.into(), window));
                index
            }
        };
        apply(&mut budgets[index].1)
    }

    /// Counts the first send of a request, on which the retry budget is based.
    pub fn count_first_send(&self, service: &str) {
        self.with_budget(service, |window| window.count_first_send(Instant::now()));
    }

    /// Takes a retry from this node's share of the budget; false if none is left.
    pub fn take_retry(&self, service: &str) -> bool {
        let bounds = &self.settings.bounds;
        let nodes = self.shared.view.load().peers.len().max(1);
        #[allow(clippy::cast_precision_loss)]
        let allowance = bounds.retry_allowance * BUDGET_SHARE / nodes as f64;
        let ratio = bounds.retry_ratio * BUDGET_SHARE;
        let taken =
            self.with_budget(service, |window| window.take_retry(ratio, allowance, Instant::now()));
        if taken {
            self.shared.metrics.retries.with_label_values(&[service]).inc();
        }
        taken
    }

    /// Returns this node's state for a peer: the whole of it, or what is newer than a known one. The
    /// peers that a relay tells of a plan mostly know the same one before it.
    pub fn encoded_state(&self, known: Option<KnownState>) -> Bytes {
        let snapshot = self.shared.view.load().snapshot.clone();
        let Some(known) = known else { return snapshot.encode().into() };
        let mut cached = self.news.borrow_mut();
        match &*cached {
            Some(news) if (news.known, news.mark) == (known, snapshot.mark) => news.bytes.clone(),
            _ => {
                let bytes = Bytes::from(snapshot.news_since(known).encode());
                *cached = Some(EncodedNews { known, mark: snapshot.mark, bytes: bytes.clone() });
                bytes
            }
        }
    }

    /// Returns the requests from this node that are outstanding at a host.
    pub fn outstanding(&self, host: &str) -> u32 {
        let rows = self.outstanding.borrow();
        let index = rows.binary_search_by(|row| (*row.0).cmp(host));
        index.map_or(0, |index| rows[index].1)
    }

    /// Adds one to the requests outstanding at a host, or takes one off.
    pub fn adjust_outstanding(&self, host: &str, increase: bool) {
        let mut rows = self.outstanding.borrow_mut();
        let index = match rows.binary_search_by(|row| (*row.0).cmp(host)) {
            Ok(index) => index,
            Err(index) => {
                rows.insert(index, (host.into(), 0));
                index
            }
        };
        let count = &mut rows[index].1;
        *count = if increase { *count + 1 } else { count.saturating_sub(1) };
    }

    /// Writes a log line unless this second's limit is reached. `write` gets the number of lines
    /// that were left out before.
    pub fn log_rate_limited(&self, write: impl FnOnce(u64)) {
        if let Some(left_out) = self.shared.log_limiter.admit(unix_ms()) {
            write(left_out);
        }
    }
}

/// Divisor that gives the weight of the newest download in the mean time.
const SMOOTHING_DIVISOR: u32 = 16;

/// Time for the last responses before the process exits.
const FINAL_RESPONSE_TIME: Duration = Duration::from_millis(200);

/// Share of the platform's retry budget that the nodes use. The nodes count the calls that
/// upstreams make as requests, but the platform's base for the budget leaves them out, and the
/// calls that a retried run makes count as retries too.
const BUDGET_SHARE: f64 = 0.3;

/// Milliseconds since `since`, for logs.
pub(crate) fn elapsed_ms(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX)
}
