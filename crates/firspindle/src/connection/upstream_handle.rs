//! This node's upstream: concurrency limit, rate limit and queue for its requests, and when it last
//! showed activity.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use firspindle_core::connection::UpstreamLimit;
use firspindle_core::request::{
    Admission, AdmissionQueue, Completion, LimitTracker, RequestFailure,
};
use firspindle_core::version::PriorityClass;
use tokio::sync::oneshot;

use crate::process::AnnounceBody;

/// One process of this node's upstream.
#[derive(Debug)]
pub struct UpstreamHandle {
    /// Address that the process listens on.
    pub address: SocketAddr,
    /// Random id of the process, in hexadecimal.
    pub boot_id: Box<str>,
    /// Whether it refuses requests that its grant does not cover.
    pub checks_grants: bool,
    queue: Mutex<SlotQueue>,
    in_flight: AtomicU64,
    epoch: Instant,
    /// Time at which the process last responded or announced itself, in milliseconds after `epoch`.
    last_active_ms: AtomicU64,
    /// Whether the process was seen to be gone.
    gone: AtomicBool,
    /// Whether an answer of the process said that it leaves.
    leaving: AtomicBool,
}

#[derive(Debug)]
struct SlotQueue {
    queue: AdmissionQueue,
    /// Limit that the process named.
    limit: LimitTracker,
    /// Waiting requests, sorted by ticket.
    requests: Vec<WaitingRequest>,
}

#[derive(Debug)]
struct WaitingRequest {
    ticket: u64,
    tx: oneshot::Sender<Result<(), RequestFailure>>,
}

/// `Retry-After` of a waiting request that a more urgent one displaced from the queue.
const DISPLACED_RETRY_AFTER: Duration = Duration::from_secs(1);

impl UpstreamHandle {
    /// Creates the handle of a process that announced itself; at most `queue_limit` requests wait for
    /// one of its slots.
    pub fn new(body: &AnnounceBody, queue_limit: usize) -> Self {
        let queue = SlotQueue {
            queue: AdmissionQueue::new(body.slots as usize, queue_limit),
            limit: LimitTracker::default(),
            requests: Vec::new(),
        };
        Self {
            address: body.address,
            boot_id: body.boot_id.clone(),
            checks_grants: body.checks_grants,
            queue: Mutex::new(queue),
            in_flight: AtomicU64::new(0),
            epoch: Instant::now(),
            last_active_ms: AtomicU64::new(0),
            gone: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
        }
    }

    /// Records that the process was seen to be gone.
    pub fn mark_gone(&self) {
        self.gone.store(true, Ordering::Release);
    }

    /// Whether the process was seen to be gone.
    pub fn is_gone(&self) -> bool {
        self.gone.load(Ordering::Acquire)
    }

    /// Records that an answer of the process says that it leaves; returns whether it is the first.
    pub fn mark_leaving(&self) -> bool {
        !self.leaving.swap(true, Ordering::AcqRel)
    }

    /// Changes the number of slots and of requests that may wait.
    pub fn resize(&self, slots: usize, queue_limit: usize) {
        self.lock().queue.resize(slots, queue_limit);
    }

    /// Notes the limit that the process names, or that it names none, in its answer to a request that
    /// was sent at `sent_at`; returns whether the limit in force changed.
    pub fn note_limit(&self, limit: Option<UpstreamLimit>, sent_at: Instant) -> bool {
        let now = Instant::now();
        let mut queue = self.lock();
        let changed = queue.limit.note(limit, sent_at, now);
        if changed {
            let limit = queue.limit.limit();
            queue.queue.limit_rate(limit, now);
            queue.refuse_lost(now);
            queue.start_ready(now);
        }
        changed
    }

    /// Returns the limit in force.
    pub fn limit(&self) -> Option<UpstreamLimit> {
        self.lock().limit.limit()
    }

    /// Waits for a slot, and under a limit for a turn.
    ///
    /// # Errors
    ///
    /// If the request gets no slot: it is shed at once or displaced by a more urgent one, or its
    /// deadline passes. It has not run.
    pub async fn acquire(
        &self,
        class: PriorityClass,
        deadline: Instant,
    ) -> Result<UpstreamPermit<'_>, RequestFailure> {
        let now = Instant::now();
        let (ticket, rx) = {
            let mut queue = self.lock();
            // One that starts later mostly fails at its deadline, and its turn is lost.
            let latest_start = deadline.checked_sub(queue.queue.service_time()).unwrap_or(now);
            match queue.queue.offer(class, latest_start, now) {
                Admission::Start => return Ok(UpstreamPermit::new(self)),
                Admission::Shed { retry_after } => {
                    return Err(RequestFailure::Overloaded { retry_after });
                }
                Admission::Wait { ticket, displaced } => {
                    if let Some(displaced) = displaced {
                        let retry_after = DISPLACED_RETRY_AFTER;
                        queue.resolve(displaced, Err(RequestFailure::Overloaded { retry_after }));
                    }
                    let (tx, rx) = oneshot::channel();
                    queue.requests.push(WaitingRequest { ticket, tx });
                    queue.refuse_lost(now);
                    (ticket, rx)
                }
            }
        };
        let mut guard = WaitGuard { upstream: self, ticket, rx, resolved: false };
        guard.wait(deadline).await
    }

    /// Number of requests that hold a slot.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Number of requests that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.lock().queue.len()
    }

    /// Records that the upstream responded or announced itself just now.
    pub fn record_activity(&self) {
        let elapsed_ms = u64::try_from(self.epoch.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.last_active_ms.store(elapsed_ms, Ordering::Relaxed);
    }

    /// Time since the upstream last responded or announced itself.
    pub fn silence(&self) -> Duration {
        let last_active = Duration::from_millis(self.last_active_ms.load(Ordering::Relaxed));
        self.epoch.elapsed().saturating_sub(last_active)
    }

    fn note_cut(&self, run_time: Duration) {
        self.lock().queue.note_cut(run_time);
    }

    fn release(&self, took: Option<Duration>) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
        let now = Instant::now();
        let mut queue = self.lock();
        let completion = queue.queue.finish(took, now);
        queue.apply(completion);
        queue.start_ready(now);
    }

    /// Starts the requests whose turn under the limit has come; returns when to look again for one of
    /// them.
    fn poll_turn(&self, ticket: u64) -> Option<Instant> {
        let now = Instant::now();
        let mut queue = self.lock();
        queue.start_ready(now);
        queue.queue.turn_of(ticket, now)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, SlotQueue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl SlotQueue {
    fn apply(&mut self, completion: Completion) {
        for ticket in completion.expired {
            let retry_after = self.queue.retry_after(Instant::now());
            self.resolve(ticket, Err(RequestFailure::Overloaded { retry_after }));
        }
        if let Some(ticket) = completion.start {
            self.resolve(ticket, Ok(()));
        }
    }

    /// Starts the waiting requests that have a slot and a turn.
    fn start_ready(&mut self, now: Instant) {
        loop {
            let completion = self.queue.start_next(now);
            if completion == Completion::default() {
                return;
            }
            self.apply(completion);
        }
    }

    /// Refuses the waiting requests for which the limit leaves no turn in time.
    fn refuse_lost(&mut self, now: Instant) {
        for ticket in self.queue.shed_lost(now) {
            let retry_after = self.queue.retry_after(now);
            self.resolve(ticket, Err(RequestFailure::Overloaded { retry_after }));
        }
    }

    fn resolve(&mut self, ticket: u64, result: Result<(), RequestFailure>) {
        if let Ok(index) = self.requests.binary_search_by_key(&ticket, |row| row.ticket) {
            // If the receiver is gone, its `WaitGuard` frees the slot.
            let _ = self.requests.remove(index).tx.send(result);
        }
    }
}

/// Removes a request from the queue if its future is dropped while it waits.
struct WaitGuard<'a> {
    upstream: &'a UpstreamHandle,
    ticket: u64,
    rx: oneshot::Receiver<Result<(), RequestFailure>>,
    resolved: bool,
}

impl<'a> WaitGuard<'a> {
    async fn wait(&mut self, deadline: Instant) -> Result<UpstreamPermit<'a>, RequestFailure> {
        loop {
            let turn = self.upstream.poll_turn(self.ticket);
            let until = turn.unwrap_or(deadline).min(deadline);
            match tokio::time::timeout_at(until.into(), &mut self.rx).await {
                Ok(Ok(Ok(()))) => {
                    self.resolved = true;
                    return Ok(UpstreamPermit::new(self.upstream));
                }
                Ok(Ok(Err(failure))) => {
                    self.resolved = true;
                    return Err(failure);
                }
                Err(_) if until < deadline => {}
                Ok(Err(_)) | Err(_) => return Err(RequestFailure::Expired),
            }
        }
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        if self.resolved {
            return;
        }
        let mut queue = self.upstream.lock();
        let was_waiting = queue.queue.cancel(self.ticket);
        queue.requests.retain(|row| row.ticket != self.ticket);
        drop(queue);
        // The request was given a slot after its last poll; dropping the permit passes the slot on.
        if !was_waiting && matches!(self.rx.try_recv(), Ok(Ok(()))) {
            drop(UpstreamPermit::new(self.upstream));
        }
    }
}

/// A slot of the upstream, freed on drop.
#[derive(Debug)]
pub struct UpstreamPermit<'a> {
    upstream: &'a UpstreamHandle,
    took: Option<Duration>,
}

impl<'a> UpstreamPermit<'a> {
    fn new(upstream: &'a UpstreamHandle) -> Self {
        upstream.in_flight.fetch_add(1, Ordering::Relaxed);
        Self { upstream, took: None }
    }

    /// Records that the run was given up at its deadline after `run_time`.
    pub fn cut(&self, run_time: Duration) {
        self.upstream.note_cut(run_time);
    }

    /// Records how long the upstream took for a complete response.
    pub fn answered(&mut self, took: Duration) {
        self.took = Some(took);
    }
}

impl Drop for UpstreamPermit<'_> {
    fn drop(&mut self) {
        self.upstream.release(self.took);
    }
}
