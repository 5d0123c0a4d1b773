//! Hands large bodies to the host's link no faster than it carries them.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use firspindle_core::connection::{BodyOrder, LinkSchedule, PartTicket};
use tokio::sync::{Notify, oneshot};

/// Share of the link's rate that the traffic thread uses. The rest is for packet headers and for
/// the control thread's messages.
pub(super) const LINK_SHARE: f64 = 0.9;

/// Bytes of a body's beginning that do not wait. Bodies that are not longer never wait.
pub(super) const UNPACED_BYTES: usize = 8 * 1024;

/// Divisor that gives the weight of the newest body in the mean length.
const SMOOTHING_DIVISOR: u64 = 16;

/// Most bytes of a body that are handed over at once.
pub(super) const PART_BYTES: usize = 16 * 1024;

struct PacerState {
    schedule: LinkSchedule,
    /// Parts that wait, by ticket in ascending order.
    waiting: Vec<(PartTicket, oneshot::Sender<()>)>,
    next_order: BodyOrder,
    /// Mean length of downloads that do not go at once, in bytes.
    mean_length: u64,
}

/// Hands large bodies to the host's link no faster than it carries them. Without a known rate,
/// nothing waits.
#[derive(Clone, Default)]
pub struct LinkPacer {
    state: Option<Rc<RefCell<PacerState>>>,
    added: Rc<Notify>,
}

/// The turn of a part of a body; complete once the part may be handed over. Dropping it gives the
/// turn up.
pub(super) struct PartTurn {
    pacer: LinkPacer,
    ticket: PartTicket,
    granted: oneshot::Receiver<()>,
}

impl PartTurn {
    /// Completes once the part may be handed over.
    pub(super) fn granted(&mut self) -> &mut oneshot::Receiver<()> {
        &mut self.granted
    }
}

impl Drop for PartTurn {
    fn drop(&mut self) {
        if let Some(state) = &self.pacer.state {
            let mut state = state.borrow_mut();
            state.schedule.cancel(self.ticket);
            if let Ok(index) = state.waiting.binary_search_by_key(&self.ticket, |row| row.0) {
                state.waiting.remove(index);
            }
        }
    }
}

/// Bytes of a body that its node is to hand to the link; withdrawn on drop.
pub struct LinkReservation {
    pacer: LinkPacer,
    bytes: u64,
}

impl LinkReservation {
    /// Corrects the number of bytes.
    pub fn resize(&mut self, bytes: u64) {
        if let Some(state) = &self.pacer.state {
            let mut state = state.borrow_mut();
            state.schedule.settle(self.bytes);
            state.schedule.expect(bytes);
        }
        self.bytes = bytes;
    }

    /// Takes off bytes that were handed over.
    pub(super) fn handed_over(&mut self, bytes: usize) {
        self.resize(self.bytes.saturating_sub(u64::try_from(bytes).unwrap_or(u64::MAX)));
    }
}

impl Drop for LinkReservation {
    fn drop(&mut self) {
        self.resize(0);
    }
}

impl LinkPacer {
    /// A pacer for a link of `rate` bytes a second; `None` if the rate is not known.
    pub fn new(rate: Option<u64>) -> Self {
        #[allow(clippy::cast_precision_loss, clippy::cast_possible_truncation)]
        #[allow(clippy::cast_sign_loss)]
        let state = rate.map(|rate| PacerState {
            schedule: LinkSchedule::new((rate as f64 * LINK_SHARE) as u64, Instant::now()),
            waiting: Vec::new(),
            next_order: 0,
            mean_length: 0,
        });
        Self { state: state.map(|state| Rc::new(RefCell::new(state))), added: Rc::default() }
    }

    /// Grants parts their turns until the process exits.
    pub async fn run(self) {
        let Some(state) = &self.state else { return };
        loop {
            let now = Instant::now();
            let next_at = {
                let mut state = state.borrow_mut();
                while let Some(ticket) = state.schedule.take(now) {
                    if let Ok(index) = state.waiting.binary_search_by_key(&ticket, |row| row.0) {
                        let _ = state.waiting.remove(index).1.send(());
                    }
                }
                state.schedule.next_at(now)
            };
            match next_at {
                Some(at) => tokio::time::sleep_until(at.into()).await,
                None => self.added.notified().await,
            }
        }
    }

    /// Charges a message that is handed to the link at once.
    pub fn charge(&self, bytes: usize) {
        if let Some(state) = &self.state {
            state.borrow_mut().schedule.charge(bytes, Instant::now());
        }
    }

    /// Reserves room for a body.
    pub fn reserve(&self, bytes: u64) -> LinkReservation {
        let mut reservation = LinkReservation { pacer: self.clone(), bytes: 0 };
        reservation.resize(bytes);
        reservation
    }

    /// Time until the link has sent all that it was handed and all bodies that are expected.
    pub fn backlog(&self) -> Duration {
        let now = Instant::now();
        self.state.as_ref().map_or(Duration::ZERO, |state| state.borrow().schedule.backlog(now))
    }

    /// Mean length of downloads that do not go at once, in bytes; 0 before the first.
    pub fn mean_length(&self) -> u64 {
        self.state.as_ref().map_or(0, |state| state.borrow().mean_length)
    }

    /// Time that the link takes for a download of mean length after all that it is to carry already.
    pub fn expected_wait(&self) -> Duration {
        let now = Instant::now();
        self.state.as_ref().map_or(Duration::ZERO, |state| {
            let state = state.borrow();
            state.schedule.backlog(now) + state.schedule.transfer_time(state.mean_length)
        })
    }

    /// Counts the length of a download in the mean, unless it goes at once.
    pub fn count_length(&self, bytes: u64) {
        let Some(state) = self.state.as_ref().filter(|_| bytes > UNPACED_BYTES as u64) else {
            return;
        };
        let mut state = state.borrow_mut();
        state.mean_length = if state.mean_length == 0 {
            bytes
        } else {
            (state.mean_length * (SMOOTHING_DIVISOR - 1) + bytes) / SMOOTHING_DIVISOR
        };
    }

    /// Returns the order of a body that begins now.
    pub(super) fn next_order(&self) -> BodyOrder {
        let Some(state) = &self.state else { return 0 };
        let mut state = state.borrow_mut();
        state.next_order += 1;
        state.next_order
    }

    /// Queues a part of a body; `None` if it need not wait.
    pub(super) fn queue(&self, order: BodyOrder, length: usize) -> Option<PartTurn> {
        let state = self.state.as_ref()?;
        let (tx, granted) = oneshot::channel();
        let ticket = {
            let mut state = state.borrow_mut();
            let ticket = state.schedule.add(order, length);
            state.waiting.push((ticket, tx));
            ticket
        };
        self.added.notify_one();
        Some(PartTurn { pacer: self.clone(), ticket, granted })
    }
}
