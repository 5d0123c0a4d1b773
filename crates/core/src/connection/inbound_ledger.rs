//! Room of a host for the bodies of large requests to its upstream: on its link, in memory, and at
//! the upstream by the time a body has arrived.
//!
//! Whoever sends a body first asks for room. Bodies that fill the link would delay every small
//! message to the host, so only some bytes are let in at once, and other bodies wait where they are,
//! ordered by rank and then by the latest time at which they may start. A body that could not
//! arrive and run in time is refused before it is moved.

use std::time::{Duration, Instant};

use super::body_claim::{BodyClaim, BodyTicket, LedgerTurn, RoomRefusal, RoomShortage};
use super::link_estimate::LinkEstimate;
use crate::request::RequestRank;

/// Bytes that may be in transit on any link.
const MIN_WINDOW: u64 = 64 * 1024;

/// Time of the link for which bytes may be in transit, in milliseconds.
const WINDOW_MS: u64 = 60;

/// Part of the window that may still be in transit when the next body starts: it covers the time
/// until the first byte of that body arrives.
const HANDOFF_DIVISOR: u64 = 4;

/// Time within which a ticket must be used.
const USE_LIMIT: Duration = Duration::from_millis(500);

/// Time from the start of a body to its first byte.
const START_DELAY: Duration = Duration::from_millis(50);

/// A body that takes this many times as long as the link needs for it does not fill the link; others
/// may start beside it.
const SLOW_FACTOR: u32 = 2;

/// Assumed length of a body of unknown length before one has arrived, in bytes.
const INITIAL_LENGTH: u64 = 64 * 1024;

/// Divisor that gives the weight of the newest body in the mean length.
const SMOOTHING_DIVISOR: u64 = 16;

/// Part of a body's time on the link that is added to it: small messages delay the body.
const MARGIN_DIVISOR: u32 = 4;

/// Shortest time over which the rate of the link is measured.
const MIN_MEASURED_TIME: Duration = Duration::from_millis(10);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyStage {
    /// It may not start yet.
    Waiting,
    /// It may start; its ticket is to be used by this time.
    Granted { use_by: Instant },
    /// It arrives.
    Arriving,
    /// It has arrived; the node or the upstream holds it.
    Held,
}

#[derive(Debug, Clone, Copy)]
struct BodyRow {
    ticket: BodyTicket,
    stage: BodyStage,
    rank: RequestRank,
    /// Latest time at which the body may start.
    latest_start: Instant,
    /// Bytes for which memory is reserved.
    length: u64,
    /// Bytes that are still to arrive.
    left: u64,
    /// Time after which the body no longer counts as filling the link.
    slow_at: Instant,
    /// When the first byte arrived, and the bytes of all bodies that had arrived before.
    first_byte: Option<(Instant, u64)>,
}

impl BodyRow {
    /// Order among those that wait.
    const fn order(&self) -> (RequestRank, Instant, BodyTicket) {
        (self.rank, self.latest_start, self.ticket)
    }

    /// Bytes that may be on the link.
    fn in_transit(&self, now: Instant) -> u64 {
        let started = matches!(self.stage, BodyStage::Granted { .. } | BodyStage::Arriving);
        if started && now < self.slow_at { self.left } else { 0 }
    }
}

/// Room of a host for the bodies of large requests to its upstream.
#[derive(Debug, Clone)]
pub struct InboundLedger {
    /// `None` if the link's rate is not known; then bodies do not wait for it.
    link: Option<LinkEstimate>,
    /// Bytes of bodies that the node and its upstream may hold.
    memory: u64,
    /// Bodies in ascending order of tickets.
    rows: Vec<BodyRow>,
    next_ticket: BodyTicket,
    /// Bytes of bodies that have arrived since the start.
    arrived: u64,
    /// Mean length of bodies; 0 before the first.
    mean_length: u64,
}

impl InboundLedger {
    /// An idle link on which bodies may take `rate` bytes a second, and memory for `memory` bytes.
    /// Tickets begin at `first_ticket`, which tells those of another process apart.
    pub fn new(rate: Option<u64>, memory: u64, first_ticket: BodyTicket) -> Self {
        Self {
            link: rate.map(LinkEstimate::new),
            memory,
            rows: Vec::new(),
            next_ticket: first_ticket,
            arrived: 0,
            mean_length: 0,
        }
    }

    /// Asks for room for a body. It waits from now on; [`Self::advance`] tells when it may start.
    ///
    /// # Errors
    ///
    /// If the body could not arrive and run by the caller's deadline, or by its objective while there
    /// are others, or if there is no memory for it.
    pub fn offer(&mut self, claim: &BodyClaim, now: Instant) -> Result<BodyTicket, RoomRefusal> {
        let length = claim.length.unwrap_or_else(|| self.usual_length());
        let refuse = |shortage, retry_after| Err(RoomRefusal { shortage, retry_after });
        if self.reserved_bytes() + self.held_bytes() + length > self.memory {
            let retry_after = self.transfer_time(self.pending_bytes(now)) + claim.run_time;
            return refuse(RoomShortage::Memory, retry_after);
        }
        let transfer_time = self.transfer_time(length);
        let needed = transfer_time + transfer_time / MARGIN_DIVISOR + claim.run_time;
        let is_alone = self.rows.iter().all(|row| row.stage == BodyStage::Held);
        let end = if is_alone {
            claim.deadline
        } else {
            // A request that is late in any case may still wait for half of a run.
            claim.objective_at.max(now + needed + claim.run_time / 2).min(claim.deadline)
        };
        let latest_start = end.checked_sub(needed).unwrap_or(now);
        let row = BodyRow {
            ticket: self.next_ticket + 1,
            stage: BodyStage::Waiting,
            rank: claim.rank,
            latest_start,
            length,
            left: length,
            slow_at: now,
            first_byte: None,
        };
        let ahead = self.waiting().filter(|other| other.order() < row.order());
        let (count, bytes) =
            ahead.fold((0, 0), |(count, bytes), row| (count + 1, bytes + row.left));
        let start = now + self.start_delay(self.in_transit(now) + bytes);
        if start > latest_start {
            return refuse(RoomShortage::Link, start - latest_start);
        }
        if self.displaces(&row, now) {
            return refuse(RoomShortage::Link, transfer_time);
        }
        let started = self.rows.iter().filter(|row| row.in_transit(now) > 0).count();
        let before = count + u32::try_from(started).unwrap_or(u32::MAX);
        let slot_at = claim.slot_at + claim.slot_delay.saturating_mul(before);
        let late_by = (slot_at + claim.run_time).saturating_duration_since(end);
        if !late_by.is_zero() {
            return refuse(RoomShortage::Slot, late_by);
        }
        self.next_ticket = row.ticket;
        self.rows.push(row);
        Ok(row.ticket)
    }

    /// Starts bodies whose turn has come, and ends the waiting of those that are too late. To be called
    /// after each change and at [`Self::next_at`].
    pub fn advance(&mut self, now: Instant) -> LedgerTurn {
        let mut turn = LedgerTurn::default();
        self.rows.retain(|row| {
            let expired = matches!(row.stage, BodyStage::Granted { use_by } if use_by <= now);
            if expired {
                turn.expired.push(row.ticket);
            }
            !expired
        });
        let mut waiting: Vec<_> = self.waiting().copied().collect();
        waiting.sort_unstable_by_key(BodyRow::order);
        let mut ahead = self.in_transit(now);
        let mut none_waits = true;
        for row in waiting {
            let start = now + self.start_delay(ahead);
            if start > row.latest_start {
                let retry_after = self.start_delay(ahead).max(start - row.latest_start);
                let refusal = RoomRefusal { shortage: RoomShortage::Link, retry_after };
                turn.refused.push((row.ticket, refusal));
                self.release(row.ticket);
                continue;
            }
            none_waits = none_waits && self.fits(ahead, row.left);
            ahead += row.left;
            if none_waits {
                self.start(row.ticket, now);
                turn.started.push(row.ticket);
            }
        }
        turn
    }

    /// Returns when [`Self::advance`] is to be called if nothing changes before.
    pub fn next_at(&self, now: Instant) -> Option<Instant> {
        let any_waits = self.waiting().next().is_some();
        let times = self.rows.iter().filter_map(|row| match row.stage {
            BodyStage::Granted { use_by } => {
                Some(if any_waits && row.slow_at > now { use_by.min(row.slow_at) } else { use_by })
            }
            BodyStage::Arriving => Some(row.slow_at).filter(|at| any_waits && *at > now),
            // Just after the latest start, when the body is refused.
            BodyStage::Waiting => Some(row.latest_start + Duration::from_millis(1)),
            BodyStage::Held => None,
        });
        times.min()
    }

    /// Notes that a body begins to arrive; returns whether its ticket is valid.
    pub fn begin(&mut self, ticket: BodyTicket, now: Instant) -> bool {
        let Some(index) = self.index(ticket) else { return false };
        let valid = matches!(self.rows[index].stage, BodyStage::Granted { use_by } if use_by > now);
        if valid {
            self.rows[index].stage = BodyStage::Arriving;
        }
        valid
    }

    /// Notes that bytes of a body arrived; returns whether there is memory for them.
    pub fn note_arrival(&mut self, ticket: BodyTicket, bytes: u64, now: Instant) -> bool {
        let Some(index) = self.index(ticket) else { return false };
        let others = self.reserved_bytes() + self.held_bytes();
        let row = &mut self.rows[index];
        self.arrived += bytes;
        if row.stage == BodyStage::Held {
            // Its memory was taken at once.
            return true;
        }
        row.first_byte.get_or_insert((now, self.arrived));
        let unreserved = bytes.saturating_sub(row.left);
        row.left = row.left.saturating_sub(bytes);
        row.length += unreserved;
        unreserved == 0 || others + unreserved <= self.memory
    }

    /// Notes that a body has arrived to its end. It counts as held until it is released.
    pub fn complete(&mut self, ticket: BodyTicket, now: Instant) {
        let Some(index) = self.index(ticket) else { return };
        let row = &mut self.rows[index];
        if row.stage == BodyStage::Held {
            return;
        }
        row.length = row.length.saturating_sub(row.left);
        row.left = 0;
        row.stage = BodyStage::Held;
        let length = row.length;
        if let (Some(link), Some((first_at, before))) = (&mut self.link, row.first_byte) {
            let time = now.saturating_duration_since(first_at);
            if time >= MIN_MEASURED_TIME {
                let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
                link.note((self.arrived - before).saturating_mul(1_000_000) / micros);
            } else if length > MIN_WINDOW {
                link.note(u64::MAX);
            }
        }
        self.mean_length = if self.mean_length == 0 {
            length
        } else {
            (self.mean_length * (SMOOTHING_DIVISOR - 1) + length) / SMOOTHING_DIVISOR
        };
    }

    /// Takes memory for bytes that do not count for the link.
    ///
    /// # Errors
    ///
    /// If there is no memory for them.
    pub fn hold(&mut self, bytes: u64, now: Instant) -> Result<BodyTicket, RoomRefusal> {
        if self.reserved_bytes() + self.held_bytes() + bytes > self.memory {
            let retry_after = self.transfer_time(self.pending_bytes(now));
            return Err(RoomRefusal { shortage: RoomShortage::Memory, retry_after });
        }
        self.next_ticket += 1;
        self.rows.push(BodyRow {
            ticket: self.next_ticket,
            stage: BodyStage::Held,
            rank: RequestRank::CALL,
            latest_start: now,
            length: bytes,
            left: 0,
            slow_at: now,
            first_byte: None,
        });
        Ok(self.next_ticket)
    }

    /// Gives the room of a body back, in any stage.
    pub fn release(&mut self, ticket: BodyTicket) {
        if let Some(index) = self.index(ticket) {
            self.rows.remove(index);
        }
    }

    /// Bytes of bodies that are expected to arrive.
    pub fn reserved_bytes(&self) -> u64 {
        self.rows.iter().map(|row| row.left).sum()
    }

    /// Bytes of bodies that have arrived and that the node or its upstream holds.
    pub fn held_bytes(&self) -> u64 {
        self.rows.iter().map(|row| row.length - row.left).sum()
    }

    /// Rate at which a body that starts now may be sent, in bytes a second; `None` if the link's rate
    /// is not known.
    pub fn send_rate(&self) -> Option<u64> {
        self.link.as_ref().map(LinkEstimate::send_rate)
    }

    /// Time that the link takes for one more body of usual length, behind those that are expected; zero
    /// before the first body.
    pub fn expected_wait(&self, now: Instant) -> Duration {
        self.transfer_time(self.pending_bytes(now) + self.mean_length)
    }

    /// Whether a body would make one of its own rank late that waits already and comes after it, as it
    /// is longer.
    fn displaces(&self, body: &BodyRow, now: Instant) -> bool {
        let mut waiting: Vec<_> = self.waiting().chain([body]).collect();
        waiting.sort_unstable_by_key(|row| row.order());
        let mut ahead = self.in_transit(now);
        waiting.into_iter().any(|row| {
            let start = now + self.start_delay(ahead);
            ahead += row.left;
            row.order() > body.order() && row.rank == body.rank && start > row.latest_start
        })
    }

    fn usual_length(&self) -> u64 {
        if self.mean_length == 0 { INITIAL_LENGTH } else { self.mean_length }
    }

    fn index(&self, ticket: BodyTicket) -> Option<usize> {
        self.rows.binary_search_by_key(&ticket, |row| row.ticket).ok()
    }

    fn waiting(&self) -> impl Iterator<Item = &BodyRow> {
        self.rows.iter().filter(|row| row.stage == BodyStage::Waiting)
    }

    fn start(&mut self, ticket: BodyTicket, now: Instant) {
        let Some(index) = self.index(ticket) else { return };
        let time = self.transfer_time(self.rows[index].left);
        let row = &mut self.rows[index];
        row.stage = BodyStage::Granted { use_by: now + USE_LIMIT };
        row.slow_at = now + START_DELAY + time * SLOW_FACTOR;
    }

    /// Bytes that may be on the link.
    fn in_transit(&self, now: Instant) -> u64 {
        self.rows.iter().map(|row| row.in_transit(now)).sum()
    }

    /// Bytes that may be on the link or wait for it.
    fn pending_bytes(&self, now: Instant) -> u64 {
        self.in_transit(now) + self.waiting().map(|row| row.left).sum::<u64>()
    }

    fn rate(&self) -> Option<u64> {
        self.link.as_ref().map(LinkEstimate::rate)
    }

    fn window(&self) -> u64 {
        self.rate().map_or(u64::MAX, |rate| (rate * WINDOW_MS / 1_000).max(MIN_WINDOW))
    }

    /// Whether a body may start beside the bytes in transit.
    fn fits(&self, in_transit: u64, length: u64) -> bool {
        let window = self.window();
        in_transit <= window / HANDOFF_DIVISOR || in_transit.saturating_add(length) <= window
    }

    /// Time until a body may start behind a number of bytes.
    fn start_delay(&self, bytes: u64) -> Duration {
        self.transfer_time(bytes.saturating_sub(self.window() / HANDOFF_DIVISOR))
    }

    fn transfer_time(&self, bytes: u64) -> Duration {
        #[allow(clippy::cast_precision_loss)]
        self.rate()
            .map_or(Duration::ZERO, |rate| Duration::from_secs_f64(bytes as f64 / rate as f64))
    }
}
