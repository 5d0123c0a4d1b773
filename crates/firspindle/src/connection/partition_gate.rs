//! The way into a served partition.
//!
//! A request holds a pass while it may run. Closing the gate and counting passes are one atomic
//! word, so no request enters between "closed" and "idle".

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use firspindle_core::PartitionId;
use firspindle_core::process::FenceToken;
use firspindle_core::request::DedupTable;
use tokio::sync::watch;

use crate::process::ControlEvent;

/// Bit of the state that says the gate is closed; the rest counts passes.
const CLOSED: u64 = 1 << 63;

/// A served partition.
#[derive(Debug)]
pub struct PartitionGate {
    partition: PartitionId,
    state: AtomicU64,
    fence: Mutex<FenceToken>,
    dedup_state: Mutex<DedupTable>,
    /// Tells passes that the grant ended under them.
    cancelled: watch::Sender<bool>,
    tx: Sender<ControlEvent>,
}

impl PartitionGate {
    /// An open gate.
    pub fn new(
        partition: PartitionId,
        fence: FenceToken,
        dedup_state: DedupTable,
        tx: Sender<ControlEvent>,
    ) -> Self {
        Self {
            partition,
            state: AtomicU64::new(0),
            fence: Mutex::new(fence),
            dedup_state: Mutex::new(dedup_state),
            cancelled: watch::Sender::new(false),
            tx,
        }
    }

    /// Enters, unless the gate is closed.
    pub fn enter(self: &Arc<Self>) -> Option<GateGuard> {
        let previous = self.state.fetch_add(1, Ordering::AcqRel);
        let guard = GateGuard { gate: self.clone() };
        // A pass that is dropped here leaves as any other.
        (previous & CLOSED == 0).then_some(guard)
    }

    /// Closes the gate; the control thread hears when no pass is left.
    pub fn close(&self) {
        let previous = self.state.fetch_or(CLOSED, Ordering::AcqRel);
        if previous & CLOSED == 0 && previous == 0 {
            self.notify_idle();
        }
    }

    /// Closes the gate for good and makes its passes give up.
    pub fn abandon(&self) {
        self.state.fetch_or(CLOSED, Ordering::AcqRel);
        self.cancel_requests();
    }

    /// Makes passes give up what they wait for.
    pub fn cancel_requests(&self) {
        self.cancelled.send_replace(true);
    }

    fn leave(&self) {
        if self.state.fetch_sub(1, Ordering::AcqRel) == CLOSED + 1 {
            self.notify_idle();
        }
    }

    fn notify_idle(&self) {
        let _ = self.tx.send(ControlEvent::Idle(self.partition));
    }

    /// Fence of the grant.
    pub fn fence(&self) -> FenceToken {
        *self.fence.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Raises the fence.
    pub fn raise_fence(&self, fence: FenceToken) {
        *self.fence.lock().unwrap_or_else(PoisonError::into_inner) = fence;
    }

    /// Ids of requests.
    pub fn dedup_state(&self) -> MutexGuard<'_, DedupTable> {
        self.dedup_state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One request inside a gate.
#[derive(Debug)]
pub struct GateGuard {
    gate: Arc<PartitionGate>,
}

impl GateGuard {
    /// The gate.
    pub fn gate(&self) -> &Arc<PartitionGate> {
        &self.gate
    }

    /// Resolves when the grant ended under the pass.
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
