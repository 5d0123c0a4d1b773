//! This node's upstream: concurrency limit and queue for its requests, and when it last showed
//! activity.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use firspindle_core::request::{Admission, AdmissionQueue, RequestFailure};
use firspindle_core::version::PriorityClass;
use tokio::sync::oneshot;

/// One process of this node's upstream.
#[derive(Debug)]
pub struct UpstreamHandle {
    /// Address that the process listens on.
    pub address: SocketAddr,
    /// Random id of the process, in hexadecimal.
    pub boot_id: Box<str>,
    queue: Mutex<SlotQueue>,
    in_flight: AtomicU64,
    epoch: Instant,
    /// Time at which the process last responded or announced itself, in milliseconds after `epoch`.
    last_active_ms: AtomicU64,
    /// Whether the process was seen to be gone.
    gone: AtomicBool,
}

#[derive(Debug)]
struct SlotQueue {
    queue: AdmissionQueue,
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
    /// Creates the handle of a process that runs `slots` requests at once; at most `queue_limit`
    /// others wait.
    pub fn new(address: SocketAddr, boot_id: Box<str>, slots: usize, queue_limit: usize) -> Self {
        let queue =
            SlotQueue { queue: AdmissionQueue::new(slots, queue_limit), requests: Vec::new() };
        Self {
            address,
            boot_id,
            queue: Mutex::new(queue),
            in_flight: AtomicU64::new(0),
            epoch: Instant::now(),
            last_active_ms: AtomicU64::new(0),
            gone: AtomicBool::new(false),
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

    /// Changes the number of slots and of requests that may wait.
    pub fn resize(&self, slots: usize, queue_limit: usize) {
        self.lock().queue.resize(slots, queue_limit);
    }

    /// Waits for a slot.
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
            match queue.queue.offer(class, deadline, now) {
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

    fn release(&self, took: Option<Duration>) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
        let mut queue = self.lock();
        let completion = queue.queue.finish(took, Instant::now());
        for ticket in completion.expired {
            queue.resolve(ticket, Err(RequestFailure::Expired));
        }
        if let Some(ticket) = completion.start {
            queue.resolve(ticket, Ok(()));
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, SlotQueue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl SlotQueue {
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
        let left = deadline.saturating_duration_since(Instant::now());
        match tokio::time::timeout(left, &mut self.rx).await {
            Ok(Ok(Ok(()))) => {
                self.resolved = true;
                Ok(UpstreamPermit::new(self.upstream))
            }
            Ok(Ok(Err(failure))) => {
                self.resolved = true;
                Err(failure)
            }
            Ok(Err(_)) | Err(_) => Err(RequestFailure::Expired),
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
