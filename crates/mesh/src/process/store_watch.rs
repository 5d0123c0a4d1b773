//! Reads one topic of the store continuously.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use firspindle_core::version::LogPosition;
use firspindle_edge::{BootClock, StateStore, StateTopic, StoreError};
use tokio::sync::mpsc::UnboundedSender;

use super::ControlEvent;
use crate::request::SharedState;

/// Time before a failed call is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// How a topic is read whose newest records were not read yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ReadStart {
    /// A peer's state may arrive soon.
    #[default]
    Wait,
    /// The newest records are to be read.
    Newest,
    /// The newest records are known from a peer; those after them are to be read.
    Following,
}

/// How a topic is read: from where, how long, how often.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ReadSchedule {
    /// Position of the next read; state fetched from a peer may have advanced it.
    pub from: LogPosition,
    /// Time that the store may wait for new records before it answers.
    pub wait: Duration,
    /// Time between two reads.
    pub interval: Duration,
    /// Whether the topic is not to be read at present.
    pub paused: bool,
    /// How a reader starts that has not read the newest records.
    pub start: ReadStart,
}

/// When a call to the store last failed without an answer, shared by the readers of all topics.
/// Reads that began before that may hang for their whole wait, even once the store answers again,
/// and are restarted.
pub(crate) type UnansweredAt = Rc<Cell<Option<Instant>>>;

/// Reads a topic until the process ends; `schedule` gives the schedule before each read.
pub(crate) async fn watch_topic<S: StateStore>(
    store: S,
    topic: StateTopic,
    clock: BootClock,
    tx: UnboundedSender<ControlEvent>,
    schedule: impl Fn() -> ReadSchedule,
    unanswered_at: UnansweredAt,
    shared: Arc<SharedState>,
) {
    let mut has_snapshot = wait_start(&schedule).await;
    let mut epoch = schedule().from.epoch;
    loop {
        wait_unpaused(&schedule).await;
        if schedule().from.epoch != epoch {
            // A peer may have sent the newest records of the later epoch.
            epoch = schedule().from.epoch;
            has_snapshot &= schedule().from.offset > 0;
        }
        let at = clock.now();
        let failed = if has_snapshot {
            let ReadSchedule { from, wait, .. } = schedule();
            shared.metrics.count_store_call(topic, "read");
            let read = tokio::select! {
                // Of an answer and the end of its time, both noticed late by a busy thread, the answer counts.
                biased;
                read = store.read(topic, from.offset, wait) => read,
                () = tokio::time::sleep(wait + READ_SLACK) => Err(late_answer()),
                () = wait_outdated(&schedule, from) => continue,
                () = wait_unanswered(&unanswered_at, at) => continue,
            };
            match read {
                Ok(batch) => {
                    let replaced = batch.end.epoch != from.epoch;
                    let waited = if batch.records.is_empty() { wait } else { Duration::ZERO };
                    let at = shown_at(at, waited, clock.now());
                    let _ = tx.send(ControlEvent::Records(topic, from, batch, at));
                    if replaced {
                        tokio::time::sleep(RETRY_DELAY).await;
                        continue;
                    }
                    // Lets the control state apply the batch before its end is read again.
                    tokio::task::yield_now().await;
                    wait_interval(&schedule).await;
                    continue;
                }
                Err(error) => error,
            }
        } else {
            shared.metrics.count_store_call(topic, "newest");
            match store.newest(topic).await {
                Ok(snapshot) => {
                    has_snapshot = true;
                    epoch = epoch.max(snapshot.end.epoch);
                    let _ = tx.send(ControlEvent::Snapshot(topic, snapshot, at));
                    tokio::task::yield_now().await;
                    continue;
                }
                Err(error) => error,
            }
        };
        log::info!(topic:?, error:% = failed; "store call failed");
        if let StoreError::Expired { first } = failed {
            has_snapshot = false;
            let _ = tx.send(ControlEvent::EpochSeen(first.epoch));
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        }
        if matches!(failed, StoreError::NoAnswer { .. }) {
            unanswered_at.set(Some(clock.now()));
        }
        let _ = tx.send(ControlEvent::StoreFailed(topic));
        tokio::time::sleep(RETRY_DELAY).await;
        if schedule().interval > FREQUENT_INTERVAL {
            wait_interval(&schedule).await;
        }
    }
}

/// Interval up to which a read that failed is repeated at once: the reader is to notice the store's
/// return for the others.
const FREQUENT_INTERVAL: Duration = Duration::from_millis(900);

/// Waits while the topic is not to be read.
async fn wait_unpaused(schedule: &impl Fn() -> ReadSchedule) {
    while schedule().paused {
        tokio::time::sleep(UNANSWERED_POLL_INTERVAL).await;
    }
}

/// Time between checks whether the newest records are to be read.
const START_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Waits until the newest records are to be read; returns whether they are known from a peer instead.
async fn wait_start(schedule: &impl Fn() -> ReadSchedule) -> bool {
    loop {
        match schedule().start {
            ReadStart::Following => return true,
            ReadStart::Newest => return false,
            ReadStart::Wait => tokio::time::sleep(START_POLL_INTERVAL).await,
        }
    }
}

/// Returns the latest time that an answer certainly shows the store at, for a call that began at `began`, asked
/// the store to wait for records, and ended without any. One that waited to the end had none until
/// then; an answer that came earlier was given at an unknown time after the beginning.
pub fn shown_at(began: Instant, wait: Duration, ended: Instant) -> Instant {
    if ended >= began + wait { began + wait } else { began }
}

/// Time between checks whether the schedule has changed.
const SCHEDULE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Time between checks whether another call failed without an answer.
const UNANSWERED_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Time that a read may take beyond the time that it asked the store to wait. The store normally answers
/// within 4 ms; one that is 60 times slower is still read.
const READ_SLACK: Duration = Duration::from_millis(400);

fn late_answer() -> StoreError {
    StoreError::NoAnswer { reason: "no answer within the time for a read".into() }
}

/// Completes once the current read is outdated: it takes longer than the schedule now allows, though not
/// longer than it did when the read began, or the control state is already past the offset that it reads from.
async fn wait_outdated(schedule: &impl Fn() -> ReadSchedule, from: LogPosition) {
    let since = tokio::time::Instant::now();
    loop {
        tokio::time::sleep(SCHEDULE_POLL_INTERVAL).await;
        let current = schedule();
        if since.elapsed() > current.wait + READ_SLACK || current.from > from {
            return;
        }
    }
}

/// Completes once a call that ended after `begun` failed without an answer.
async fn wait_unanswered(unanswered_at: &UnansweredAt, begun: Instant) {
    while unanswered_at.get().is_none_or(|at| at <= begun) {
        tokio::time::sleep(UNANSWERED_POLL_INTERVAL).await;
    }
}

/// Waits for the interval between reads; the schedule may shorten it meanwhile.
async fn wait_interval(schedule: &impl Fn() -> ReadSchedule) {
    let since = tokio::time::Instant::now();
    loop {
        let interval = schedule().interval;
        let waited = since.elapsed();
        if waited >= interval {
            return;
        }
        tokio::time::sleep(interval.checked_sub(waited).unwrap().min(SCHEDULE_POLL_INTERVAL)).await;
    }
}
