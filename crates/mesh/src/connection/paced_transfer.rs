//! A body that waits at the node for its turns on the host's link.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use firspindle_core::connection::BodyOrder;

use super::link_pacer::{LinkPacer, LinkReservation, PART_BYTES, PartTurn, UNPACED_BYTES};

/// A body that waits at the node for its turns on the host's link.
pub struct PacedTransfer {
    pacer: LinkPacer,
    order: BodyOrder,
    /// Bytes that are still handed over without a turn.
    unpaced: usize,
    /// Data that was received and not handed over.
    held: Bytes,
    turn: Option<PartTurn>,
    reservation: LinkReservation,
}

impl PacedTransfer {
    /// A body that begins now. The reservation is for the bytes that are expected.
    pub fn new(pacer: LinkPacer, reservation: LinkReservation) -> Self {
        let order = pacer.next_order();
        Self { pacer, order, unpaced: UNPACED_BYTES, held: Bytes::new(), turn: None, reservation }
    }

    /// Whether no received data is left.
    pub(super) fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Received bytes that were not handed over.
    pub(super) fn held_bytes(&self) -> u64 {
        u64::try_from(self.held.len()).unwrap_or(u64::MAX)
    }

    /// Adds received data; only while there is none.
    pub(super) fn hold(&mut self, data: Bytes) {
        self.held = data;
    }

    /// Returns the next part of the held data once its turn has come.
    pub(super) fn poll_part(&mut self, cx: &mut Context<'_>) -> Poll<Bytes> {
        let length = self.held.len();
        if self.unpaced > 0 {
            let part = self.held.split_to(length.min(self.unpaced));
            self.unpaced -= part.len();
            self.pacer.charge(part.len());
            return Poll::Ready(self.hand_over(part));
        }
        let length = length.min(PART_BYTES);
        if self.turn.is_none() {
            self.turn = self.pacer.queue(self.order, length);
        }
        if let Some(turn) = &mut self.turn
            && Pin::new(turn.granted()).poll(cx).is_pending()
        {
            return Poll::Pending;
        }
        self.turn = None;
        let part = self.held.split_to(length);
        Poll::Ready(self.hand_over(part))
    }

    fn hand_over(&mut self, part: Bytes) -> Bytes {
        self.reservation.handed_over(part.len());
        part
    }
}
