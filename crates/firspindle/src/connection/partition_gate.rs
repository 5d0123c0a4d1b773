//! Gate of a partition: admits its requests while this node serves it, and counts those in flight.
//!
//! A request holds a guard while it may run. The closed flag and the number of guards share one
//! atomic word, so no request can enter between closing the gate and finding it idle.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use firspindle_core::PartitionId;
use firspindle_core::process::FenceToken;
use firspindle_core::request::DedupTable;
use tokio::sync::watch;

use crate::process::ControlEvent;

/// Bit of the state that is set when the gate is closed; the other bits count guards.
const CLOSED: u64 = 1 << 63;

/// Gate of a partition that this node serves, with its fencing token and deduplication table.
#[derive(Debug)]
pub struct PartitionGate {
    partition: PartitionId,
    state: AtomicU64,
    fence: Mutex<FenceToken>,
    dedup_table: Mutex<DedupTable>,
    /// Notifies the guards when their requests are cancelled.
    cancelled: watch::Sender<bool>,
    control_tx: Sender<ControlEvent>,
}

impl PartitionGate {
    /// Creates an open gate, which sends to `control_tx` when it is closed and idle.
    pub fn new(
        partition: PartitionId,
        fence: FenceToken,
        dedup_table: DedupTable,
        control_tx: Sender<ControlEvent>,
    ) -> Self {
        Self {
            partition,
            state: AtomicU64::new(0),
            fence: Mutex::new(fence),
            dedup_table: Mutex::new(dedup_table),
            cancelled: watch::Sender::new(false),
            control_tx,
        }
    }

    /// Admits a request and counts it until the guard is dropped; `None` if the gate is closed.
    pub fn enter(self: &Arc<Self>) -> Option<GateGuard> {
        let previous = self.state.fetch_add(1, Ordering::AcqRel);
        let guard = GateGuard { gate: self.clone() };
        // If the gate is closed, dropping the guard takes the count back as usual.
        (previous & CLOSED == 0).then_some(guard)
    }

    /// Closes the gate; the control thread is notified once no request is in flight.
    pub fn close(&self) {
        let previous = self.state.fetch_or(CLOSED, Ordering::AcqRel);
        if previous & CLOSED == 0 && previous == 0 {
            self.notify_idle();
        }
    }

    /// Closes the gate for good and cancels its requests in flight, as the grant has ended.
    pub fn abandon(&self) {
        self.state.fetch_or(CLOSED, Ordering::AcqRel);
        self.cancel_requests();
    }

    /// Whether the gate is closed and no request is in flight.
    pub fn is_idle(&self) -> bool {
        self.state.load(Ordering::Acquire) == CLOSED
    }

    /// Makes the requests in flight stop waiting for a response; whether they ran is unknown.
    pub fn cancel_requests(&self) {
        self.cancelled.send_replace(true);
    }

    fn leave(&self) {
        if self.state.fetch_sub(1, Ordering::AcqRel) == CLOSED + 1 {
            self.notify_idle();
        }
    }

    fn notify_idle(&self) {
        let _ = self.control_tx.send(ControlEvent::PartitionIdle(self.partition));
    }

    /// Fencing token of the current grant.
    pub fn fence(&self) -> FenceToken {
        *self.fence.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the fencing token by a higher one.
    pub fn raise_fence(&self, fence: FenceToken) {
        *self.fence.lock().unwrap_or_else(PoisonError::into_inner) = fence;
    }

    /// Locks the deduplication table.
    pub fn dedup_table(&self) -> MutexGuard<'_, DedupTable> {
        self.dedup_table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts a request as in flight at a gate until the guard is dropped.
#[derive(Debug)]
pub struct GateGuard {
    gate: Arc<PartitionGate>,
}

impl GateGuard {
    /// Gate that admitted the request.
    pub fn gate(&self) -> &Arc<PartitionGate> {
        &self.gate
    }

    /// Resolves when the gate's requests are cancelled.
    pub async fn cancelled(&self) {
        let mut rx = self.gate.cancelled.subscribe();
        let _ = rx.wait_for(|cancelled| *cancelled).await;
    }
}

impl Drop for GateGuard {
    fn drop(&mut self) {
        self.gate.leave();
    }
}
