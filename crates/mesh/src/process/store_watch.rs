//! Follows one topic of the store.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use firspindle_edge::{BootClock, StateStore, StateTopic, StoreError};
use tokio::sync::mpsc::UnboundedSender;

use super::ControlEvent;

/// Time before a failed call is made again.
const RETRY_GAP: Duration = Duration::from_millis(250);

/// How a topic is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ReadPace {
    /// Offset of the next read; a peer may have advanced it.
    pub from: u64,
    /// Time that a read waits for records.
    pub wait: Duration,
    /// Time between reads.
    pub gap: Duration,
}

/// When a call to the store last got no answer, shared by all that read. Calls that began before
/// may hang as long as they wait, though the store answers again.
pub(crate) type StoreSilence = Rc<Cell<Option<Instant>>>;

/// Follows a topic until the process ends, at the pace that `pace` gives before each read.
pub(crate) async fn watch_topic<S: StateStore>(
    store: S,
    topic: StateTopic,
    clock: BootClock,
    tx: UnboundedSender<ControlEvent>,
    pace: impl Fn() -> ReadPace,
    silence: StoreSilence,
) {
    let mut known = false;
    loop {
        let at = clock.now();
        let failed = if known {
            let ReadPace { from, wait, .. } = pace();
            let read = tokio::select! {
                read = store.read(topic, from, wait) => read,
                () = wait_too_long(&pace, from) => continue,
                () = wait_silence(&silence, at) => continue,
            };
            match read {
                Ok(batch) => {
                    let _ = tx.send(ControlEvent::Records(topic, batch, at));
                    // Lets the control state take the batch before its end is read again.
                    tokio::task::yield_now().await;
                    wait_gap(&pace).await;
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
        if matches!(failed, StoreError::NoAnswer { .. }) {
            silence.set(Some(clock.now()));
        }
        let _ = tx.send(ControlEvent::StoreFailed(topic));
        tokio::time::sleep(RETRY_GAP).await;
    }
}

/// Time between looks at whether the pace has changed.
const PACE_LOOK: Duration = Duration::from_millis(500);

/// Time between looks at whether another call got no answer.
const SILENCE_LOOK: Duration = Duration::from_millis(100);

/// Slack of a read over the time that it asked the store to wait.
const READ_SLACK: Duration = Duration::from_millis(900);

/// Ends once a read waits for longer than the pace allows by now, or reads what is known.
async fn wait_too_long(pace: &impl Fn() -> ReadPace, from: u64) {
    let since = tokio::time::Instant::now();
    loop {
        tokio::time::sleep(PACE_LOOK).await;
        let now = pace();
        if since.elapsed() > now.wait + READ_SLACK || now.from > from {
            return;
        }
    }
}

/// Ends once a call got no answer that ended after `begun`.
async fn wait_silence(silence: &StoreSilence, begun: Instant) {
    while silence.get().is_none_or(|at| at <= begun) {
        tokio::time::sleep(SILENCE_LOOK).await;
    }
}

/// Waits for the time between reads, which may become shorter meanwhile.
async fn wait_gap(pace: &impl Fn() -> ReadPace) {
    let since = tokio::time::Instant::now();
    loop {
        let gap = pace().gap;
        let waited = since.elapsed();
        if waited >= gap {
            return;
        }
        tokio::time::sleep(gap.checked_sub(waited).unwrap().min(PACE_LOOK)).await;
    }
}
