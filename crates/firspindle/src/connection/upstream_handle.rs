//! The upstream beside a node: its slots, queue and signs of life.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use firspindle_core::request::{Admission, AdmissionQueue, RequestFailure};
use firspindle_core::version::PriorityClass;
use tokio::sync::oneshot;

/// One process of an upstream.
#[derive(Debug)]
pub struct UpstreamHandle {
    /// Address.
    pub address: SocketAddr,
    /// Random id of its process, in hexadecimal.
    pub boot_id: Box<str>,
    queue: Mutex<SlotQueue>,
    in_flight: AtomicU64,
    epoch: Instant,
    /// Milliseconds after `epoch` at which it last answered or announced itself.
    last_active_ms: AtomicU64,
    /// Whether its process was seen gone.
    gone: AtomicBool,
}

#[derive(Debug)]
struct SlotQueue {
    queue: AdmissionQueue,
    /// Waiting requests by rising ticket.
    requests: Vec<WaitingRequest>,
}

#[derive(Debug)]
struct WaitingRequest {
    ticket: u64,
    tx: oneshot::Sender<Result<(), RequestFailure>>,
}

/// When a caller whose request was given up may come back.
const DISPLACED_RETRY_AFTER: Duration = Duration::from_secs(1);

impl UpstreamHandle {
    /// A link to an upstream of some slots, with some places to wait.
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

    /// Its process was seen gone.
    pub fn mark_gone(&self) {
        self.gone.store(true, Ordering::Release);
    }

    /// Whether its process was seen gone.
    pub fn is_gone(&self) -> bool {
        self.gone.load(Ordering::Acquire)
    }

    /// Changes slots and places.
    pub fn resize(&self, slots: usize, queue_limit: usize) {
        self.lock().queue.resize(slots, queue_limit);
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// If the request is given up: at once when there is no room, or when its deadline passes.
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

    /// Requests at the upstream.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Requests that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.lock().queue.len()
    }

    /// Notes that the upstream answered or announced itself.
    pub fn record_activity(&self) {
        let elapsed_ms = u64::try_from(self.epoch.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.last_active_ms.store(elapsed_ms, Ordering::Relaxed);
    }

    /// Time since the upstream last gave a sign of life.
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
    fn resolve(&mut self, ticket: u64, answer: Result<(), RequestFailure>) {
        if let Ok(index) = self.requests.binary_search_by_key(&ticket, |row| row.ticket) {
            // A receiver that is gone gives its slot back itself.
            let _ = self.requests.remove(index).tx.send(answer);
        }
    }
}

/// A place in the queue, given back if its request goes away.
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
        // Called between its last look and now: the slot is its own and goes to the next.
        if !was_waiting && matches!(self.rx.try_recv(), Ok(Ok(()))) {
            drop(UpstreamPermit::new(self.upstream));
        }
    }
}

/// A slot of the upstream, given back on drop.
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

    /// Notes how long the upstream took for a whole answer.
    pub fn answered(&mut self, took: Duration) {
        self.took = Some(took);
    }
}

impl Drop for UpstreamPermit<'_> {
    fn drop(&mut self) {
        self.upstream.release(self.took);
    }
}
