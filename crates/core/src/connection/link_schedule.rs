//! Order and times in which a node hands data to its host's link.
//!
//! All connections of a host share one link. What is handed to it beyond its rate queues there, and
//! every later message of the host waits behind it. So bodies wait at the node instead, in parts
//! that are handed over as the link sends the earlier ones, the body that began first before the
//! others. Short messages are handed over at once, and are charged to the link.

use std::time::{Duration, Instant};

/// Time that the link may need for what it has been handed before more of a body follows. It covers
/// the lateness of timers.
const MAX_AHEAD: Duration = Duration::from_millis(50);

/// Number that identifies a part that waits.
pub type PartTicket = u64;

/// Number that orders bodies by their beginning.
pub type BodyOrder = u64;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct WaitingPart {
    order: BodyOrder,
    ticket: PartTicket,
    /// Bytes.
    length: usize,
}

/// Order and times in which a node hands data to its host's link.
#[derive(Debug, Clone)]
pub struct LinkSchedule {
    /// Bytes a second that bodies and messages may take together.
    rate: u64,
    /// Time at which the link has sent all that it was handed.
    free_at: Instant,
    /// Parts that wait, sorted.
    waiting: Vec<WaitingPart>,
    next_ticket: PartTicket,
    /// Bytes of bodies that are expected and not handed over yet.
    pending: u64,
}

impl LinkSchedule {
    /// An idle link of `rate` bytes a second, at least 1.
    pub fn new(rate: u64, now: Instant) -> Self {
        Self { rate: rate.max(1), free_at: now, waiting: Vec::new(), next_ticket: 0, pending: 0 }
    }

    /// Time that the link takes for a number of bytes.
    pub fn transfer_time(&self, bytes: u64) -> Duration {
        #[allow(clippy::cast_precision_loss)]
        Duration::from_secs_f64(bytes as f64 / self.rate as f64)
    }

    /// Charges a message that is handed to the link at once.
    pub fn charge(&mut self, bytes: usize, now: Instant) {
        let time = self.transfer_time(u64::try_from(bytes).unwrap_or(u64::MAX));
        self.free_at = self.free_at.max(now) + time;
    }

    /// Adds a part of a body to those that wait.
    pub fn add(&mut self, order: BodyOrder, length: usize) -> PartTicket {
        self.next_ticket += 1;
        let part = WaitingPart { order, ticket: self.next_ticket, length };
        let index = self.waiting.partition_point(|row| *row < part);
        self.waiting.insert(index, part);
        part.ticket
    }

    /// Removes a part that is no longer wanted.
    pub fn cancel(&mut self, ticket: PartTicket) {
        self.waiting.retain(|part| part.ticket != ticket);
    }

    /// Takes the next part that may be handed over now, and charges it.
    pub fn take(&mut self, now: Instant) -> Option<PartTicket> {
        if self.waiting.is_empty() || self.free_at > now + MAX_AHEAD {
            return None;
        }
        let part = self.waiting.remove(0);
        self.charge(part.length, now);
        Some(part.ticket)
    }

    /// Time at which the next part may be handed over; `None` if none waits.
    pub fn next_at(&self, now: Instant) -> Option<Instant> {
        let at = self.free_at.checked_sub(MAX_AHEAD).map_or(now, |at| at.max(now));
        (!self.waiting.is_empty()).then_some(at)
    }

    /// Adds bytes of bodies that are to be handed over later.
    pub fn expect(&mut self, bytes: u64) {
        self.pending += bytes;
    }

    /// Takes off bytes that were handed over or are no longer expected.
    pub fn settle(&mut self, bytes: u64) {
        self.pending = self.pending.saturating_sub(bytes);
    }

    /// Time until the link has sent all that it was handed and all bodies that are expected.
    pub fn backlog(&self, now: Instant) -> Duration {
        self.free_at.saturating_duration_since(now) + self.transfer_time(self.pending)
    }
}
