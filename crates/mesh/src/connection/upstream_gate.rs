//! The one queue before the upstream: all of its load passes here.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use firspindle_core::connection::UpstreamLoad;
use firspindle_core::request::{Admission, AdmissionQueue, Completion};
use firspindle_core::version::PriorityClass;
use tokio::sync::oneshot;

/// Requests that may wait for each slot.
const WAITING_PER_SLOT: usize = 6;

/// Weight of the newest run in the mean that other nodes are told, as a divisor: some seconds
/// of a busy upstream.
const SMOOTHING: u32 = 48;

/// Why a request is not let through.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GateRefusal {
    /// When a place is likely.
    pub retry_after: Duration,
}

struct GateState {
    queue: AdmissionQueue,
    /// Tickets in rising order, and who waits for each.
    waiting: Vec<(u64, oneshot::Sender<bool>)>,
    slots: u32,
    service_time: Duration,
}

/// Admission to the upstream.
#[derive(Clone)]
pub struct UpstreamGate {
    state: Rc<RefCell<GateState>>,
}

/// A slot of the upstream.
pub struct GatePass {
    gate: UpstreamGate,
    started_at: Instant,
    finished: bool,
}

/// Gives the place up if its owner goes away while it waits.
struct WaitGuard<'a> {
    gate: &'a UpstreamGate,
    ticket: Option<u64>,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket else { return };
        let waits = self.gate.state.borrow_mut().queue.cancel(ticket);
        let row = self.gate.remove(ticket);
        if !waits && row.is_none() {
            // Its turn had come: the slot goes to the next.
            self.gate.finish(None);
        }
    }
}

impl Default for UpstreamGate {
    fn default() -> Self {
        let state = GateState {
            queue: AdmissionQueue::new(1, WAITING_PER_SLOT),
            waiting: Vec::new(),
            slots: 1,
            service_time: Duration::ZERO,
        };
        Self { state: Rc::new(RefCell::new(state)) }
    }
}

impl UpstreamGate {
    /// Sets the number of slots.
    pub fn resize(&self, slots: u32) {
        let mut state = self.state.borrow_mut();
        if state.slots != slots {
            state.slots = slots;
            state.queue.resize(slots as usize, slots as usize * WAITING_PER_SLOT);
        }
    }

    /// Present load.
    pub fn load(&self) -> UpstreamLoad {
        let state = self.state.borrow();
        let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        UpstreamLoad {
            running: count(state.queue.running()),
            waiting: count(state.queue.len()),
            slots: state.slots,
            service_ms: count(usize::try_from(state.service_time.as_millis()).unwrap_or(0)),
        }
    }

    /// Mean time of a run.
    pub fn service_time(&self) -> Duration {
        self.state.borrow().service_time
    }

    /// Waits for a slot; refused at once where the wait would pass the deadline.
    ///
    /// # Errors
    ///
    /// If the request is not let through; it has not run.
    pub async fn enter(
        &self,
        class: PriorityClass,
        deadline: Instant,
    ) -> Result<GatePass, GateRefusal> {
        let now = Instant::now();
        let admission = self.state.borrow_mut().queue.offer(class, deadline, now);
        match admission {
            Admission::Start => Ok(self.pass()),
            Admission::Shed { retry_after } => Err(GateRefusal { retry_after }),
            Admission::Wait { ticket, displaced } => {
                if let Some((_, waiter)) = displaced.and_then(|ticket| self.remove(ticket)) {
                    let _ = waiter.send(false);
                }
                self.wait(ticket).await
            }
        }
    }

    async fn wait(&self, ticket: u64) -> Result<GatePass, GateRefusal> {
        let (tx, rx) = oneshot::channel();
        self.state.borrow_mut().waiting.push((ticket, tx));
        let mut guard = WaitGuard { gate: self, ticket: Some(ticket) };
        let called = rx.await.unwrap_or(false);
        guard.ticket = None;
        if called {
            return Ok(self.pass());
        }
        Err(GateRefusal { retry_after: self.state.borrow().service_time })
    }

    fn pass(&self) -> GatePass {
        GatePass { gate: self.clone(), started_at: Instant::now(), finished: false }
    }

    fn remove(&self, ticket: u64) -> Option<(u64, oneshot::Sender<bool>)> {
        let mut state = self.state.borrow_mut();
        let index = state.waiting.binary_search_by_key(&ticket, |row| row.0).ok()?;
        Some(state.waiting.remove(index))
    }

    fn finish(&self, took: Option<Duration>) {
        let departure = {
            let mut state = self.state.borrow_mut();
            if let Some(took) = took {
                state.service_time = if state.service_time.is_zero() {
                    took
                } else {
                    (state.service_time * (SMOOTHING - 1) + took) / SMOOTHING
                };
            }
            state.queue.finish(took, Instant::now())
        };
        self.carry_out(&departure);
    }

    fn carry_out(&self, departure: &Completion) {
        for ticket in &departure.expired {
            if let Some((_, waiter)) = self.remove(*ticket) {
                let _ = waiter.send(false);
            }
        }
        let started = departure.start.and_then(|ticket| self.remove(ticket));
        if started.is_some_and(|(_, waiter)| waiter.send(true).is_err()) {
            self.finish(None);
        }
    }
}

impl GatePass {
    /// The upstream answered: its time counts.
    pub fn answered(mut self) {
        self.finished = true;
        self.gate.finish(Some(self.started_at.elapsed()));
    }
}

impl Drop for GatePass {
    fn drop(&mut self) {
        if !self.finished {
            self.gate.finish(None);
        }
    }
}
