//! Lets bodies of large requests in as the host has room for them.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use firspindle_core::connection::{BodyClaim, BodyTicket, InboundLedger, RoomRefusal};
use prometheus::IntCounterVec;
use tokio::sync::{Notify, oneshot};

use super::link_pacer::LINK_SHARE;

/// Part of the process's memory that bodies may take.
const MEMORY_DIVISOR: u64 = 4;

/// Bits of a ticket that count up within a process.
const TICKET_BITS: u32 = 32;

struct RoomState {
    ledger: InboundLedger,
    /// Bodies that wait, by ticket in ascending order.
    waiting: Vec<(BodyTicket, oneshot::Sender<Result<(), RoomRefusal>>)>,
}

/// Lets bodies of large requests in as the host has room for them.
#[derive(Clone)]
pub struct InboundRoom {
    state: Rc<RefCell<RoomState>>,
    changed: Rc<Notify>,
    outcomes: IntCounterVec,
}

/// Room for one body, given back on drop.
pub struct RoomGuard {
    room: InboundRoom,
    ticket: BodyTicket,
    parked: bool,
}

impl Drop for RoomGuard {
    fn drop(&mut self) {
        if !self.parked {
            self.room.state.borrow_mut().ledger.release(self.ticket);
            self.room.advance();
        }
    }
}

impl RoomGuard {
    /// Leaves the room to whoever brings the ticket, for as long as the ticket is valid.
    pub fn park(mut self) -> BodyTicket {
        self.parked = true;
        self.ticket
    }

    /// Notes that the body begins to arrive; returns whether its room is still reserved.
    pub fn begin(&self) -> bool {
        self.room.state.borrow_mut().ledger.begin(self.ticket, Instant::now())
    }

    /// Notes that bytes of the body arrived; returns whether there is memory for them.
    pub(super) fn arrived(&self, bytes: usize) -> bool {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        let now = Instant::now();
        let fits = self.room.state.borrow_mut().ledger.note_arrival(self.ticket, bytes, now);
        self.room.advance();
        fits
    }

    /// Notes that the body has arrived to its end.
    pub(super) fn complete(&self) {
        self.room.state.borrow_mut().ledger.complete(self.ticket, Instant::now());
        self.room.advance();
    }
}

impl InboundRoom {
    /// Room on a link of `link_rate` bytes a second, `None` if that is not known, and in a process that
    /// may use `memory` bytes. Counts reservations by outcome.
    pub fn new(link_rate: Option<u64>, memory: u64, outcomes: IntCounterVec) -> Self {
        #[allow(clippy::cast_precision_loss, clippy::cast_possible_truncation)]
        #[allow(clippy::cast_sign_loss)]
        let rate = link_rate.map(|rate| (rate as f64 * LINK_SHARE) as u64);
        // Tickets of an earlier process at this address are not valid.
        let first_ticket = u64::from(rand::random::<u16>()) << TICKET_BITS;
        let ledger = InboundLedger::new(rate, memory / MEMORY_DIVISOR, first_ticket);
        let state = RoomState { ledger, waiting: Vec::new() };
        Self { state: Rc::new(RefCell::new(state)), changed: Rc::default(), outcomes }
    }

    /// Starts bodies and ends reservations when their times have come, until the process exits.
    pub async fn run(self) {
        loop {
            self.advance();
            let next_at = self.state.borrow().ledger.next_at(Instant::now());
            let changed = self.changed.notified();
            match next_at {
                Some(at) => {
                    let _ = tokio::time::timeout_at(at.into(), changed).await;
                }
                None => changed.await,
            }
        }
    }

    /// Waits until a body may start.
    ///
    /// # Errors
    ///
    /// If there is no room for it in time. Its request has not run.
    pub async fn reserve(&self, claim: &BodyClaim) -> Result<RoomGuard, RoomRefusal> {
        let (tx, rx) = oneshot::channel();
        let guard = {
            let mut state = self.state.borrow_mut();
            let ticket = state.ledger.offer(claim, Instant::now()).inspect_err(|refusal| {
                self.count(refusal.shortage.as_str());
            })?;
            state.waiting.push((ticket, tx));
            RoomGuard { room: self.clone(), ticket, parked: false }
        };
        self.advance();
        self.changed.notify_one();
        match rx.await {
            Ok(Ok(())) => {
                self.count("granted");
                Ok(guard)
            }
            Ok(Err(refusal)) => {
                self.count(refusal.shortage.as_str());
                Err(refusal)
            }
            Err(_) => unreachable!("the sender is kept until it is used"),
        }
    }

    /// Takes memory for the buffers of a body that this node passes on.
    ///
    /// # Errors
    ///
    /// If there is none.
    pub fn hold(&self, bytes: u64) -> Result<RoomGuard, RoomRefusal> {
        let held = self.state.borrow_mut().ledger.hold(bytes, Instant::now());
        let ticket = held.inspect_err(|refusal| self.count(refusal.shortage.as_str()))?;
        Ok(RoomGuard { room: self.clone(), ticket, parked: false })
    }

    /// Takes the room that a ticket stands for; `None` if the ticket is not valid, or not any more.
    pub fn claim(&self, ticket: BodyTicket) -> Option<RoomGuard> {
        let begun = self.state.borrow_mut().ledger.begin(ticket, Instant::now());
        begun.then(|| RoomGuard { room: self.clone(), ticket, parked: false })
    }

    /// Rate at which a body that starts now may be sent, in bytes a second.
    pub fn send_rate(&self) -> Option<u64> {
        self.state.borrow().ledger.send_rate()
    }

    /// Bytes of bodies that are expected, and bytes that the node or its upstream holds.
    pub fn bytes(&self) -> (u64, u64) {
        let state = self.state.borrow();
        (state.ledger.reserved_bytes(), state.ledger.held_bytes())
    }

    /// Time that the link takes for one more body.
    pub fn expected_wait(&self) -> Duration {
        self.state.borrow().ledger.expected_wait(Instant::now())
    }

    fn count(&self, outcome: &str) {
        self.outcomes.with_label_values(&[outcome]).inc();
    }

    fn advance(&self) {
        let mut ended = Vec::new();
        {
            let mut state = self.state.borrow_mut();
            let turn = state.ledger.advance(Instant::now());
            self.outcomes.with_label_values(&["expired"]).inc_by(turn.expired.len() as u64);
            let started = turn.started.iter().map(|ticket| (*ticket, Ok(())));
            let refused = turn.refused.iter().map(|(ticket, refusal)| (*ticket, Err(*refusal)));
            for (ticket, result) in started.chain(refused) {
                if let Ok(index) = state.waiting.binary_search_by_key(&ticket, |row| row.0) {
                    ended.push((state.waiting.remove(index).1, result));
                }
            }
            // Those whose receivers were dropped.
            state.waiting.retain(|row| !row.1.is_closed());
            if ended.is_empty() && turn.expired.is_empty() {
                return;
            }
        }
        self.changed.notify_one();
        for (waiter, result) in ended {
            let _ = waiter.send(result);
        }
    }
}
