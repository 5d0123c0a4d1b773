//! Follows one topic of the store.

use std::time::Duration;

use firspindle_edge::{BootClock, StateStore, StateTopic, StoreError};
use tokio::sync::mpsc::UnboundedSender;

use super::ControlEvent;

/// Time that one read of the plans waits. Each answer confirms the plan, and a connection that
/// fell silent is noticed soon after.
const PLAN_WAIT: Duration = Duration::from_millis(1_000);

/// Time that other reads wait. Peers tell of newer records when a connection fell silent.
const RECORD_WAIT: Duration = Duration::from_millis(4_000);

/// Time before a failed call is made again.
const RETRY_GAP: Duration = Duration::from_millis(250);

/// Follows a topic until the process ends. `next` gives the offset to read from, which may have
/// been advanced by a peer.
pub(crate) async fn watch_topic<S: StateStore>(
    store: S,
    topic: StateTopic,
    clock: BootClock,
    tx: UnboundedSender<ControlEvent>,
    next: impl Fn() -> u64,
) {
    let mut known = false;
    loop {
        let at = clock.now();
        let failed = if known {
            let wait = if topic == StateTopic::Plans { PLAN_WAIT } else { RECORD_WAIT };
            match store.read(topic, next(), wait).await {
                Ok(batch) => {
                    let _ = tx.send(ControlEvent::Records(topic, batch, at));
                    // Lets the control state take the batch before its end is read again.
                    tokio::task::yield_now().await;
                    continue;
                }
                Err(error) => error,
            }
        } else {
            match store.newest(topic).await {
                Ok(snapshot) => {
                    known = true;
                    let _ = tx.send(ControlEvent::Snapshot(topic, snapshot, at));
                    tokio::task::yield_now().await;
                    continue;
                }
                Err(error) => error,
            }
        };
        log::info!(topic:?, error:% = failed; "store call failed");
        if matches!(failed, StoreError::Expired { .. }) {
            known = false;
            continue;
        }
        let _ = tx.send(ControlEvent::StoreFailed(topic));
        tokio::time::sleep(RETRY_GAP).await;
    }
}
