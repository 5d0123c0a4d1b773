//! Reads the log for the control thread.
//!
//! If the next record has expired, which is also the case when a process starts on an older log,
//! the reader continues from the newest checkpoint after which the log keeps all records.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::Sender;
use std::time::Duration;

use firspindle_core::LogOffset;
use firspindle_core::version::{
    CheckpointBody, FoldEpoch, FoldState, LogRecord, RecordBody, epoch_of, epoch_offset,
    offset_in_log,
};

use super::{ControlEvent, LogBounds, LogClient, LogError, StoredRecord};

/// Time that the log may wait for a new record before it answers a read.
const READ_WAIT: Duration = Duration::from_secs(5);

/// Time before a failed call is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Reads the log until the process ends. `folded_end` is the first offset that the control thread
/// has not folded.
pub async fn read_log(log: LogClient, tx: Sender<ControlEvent>, folded_end: Arc<AtomicU64>) {
    loop {
        if let Err(error) = read_records(&log, &tx, &folded_end).await {
            log::warn!(error:%; "reading the log failed; retrying");
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

async fn read_records(
    log: &LogClient,
    tx: &Sender<ControlEvent>,
    folded_end: &AtomicU64,
) -> Result<(), LogError> {
    let mut next = folded_end.load(Ordering::Acquire);
    // A read would wait for the next record before its answer names the epoch.
    let epoch = epoch_of(log.bounds().await?.next);
    if epoch != epoch_of(next) {
        next = enter_epoch(tx, epoch, next)?;
    }
    loop {
        // The control thread may be ahead of this reader, through records or state from peers.
        next = next.max(folded_end.load(Ordering::Acquire));
        let reply = match log.read(offset_in_log(next), READ_WAIT).await {
            Ok(reply) => reply,
            Err(LogError::Expired) => {
                next = start_from_checkpoint(log, tx, next).await?;
                continue;
            }
            Err(error) => return Err(error),
        };
        if reply.epoch != epoch_of(next) {
            next = enter_epoch(tx, reply.epoch, next)?;
            continue;
        }
        for record in reply.records {
            let offset = epoch_offset(reply.epoch, record.offset);
            next = offset + 1;
            send_record(tx, offset, &record);
        }
    }
}

/// Returns the first offset of the epoch that the log is in, and passes the epoch on.
fn enter_epoch(
    tx: &Sender<ControlEvent>,
    epoch: FoldEpoch,
    wanted: LogOffset,
) -> Result<LogOffset, LogError> {
    if epoch < epoch_of(wanted) {
        let reason = "it is in an older epoch than this node".into();
        return Err(LogError::NoAnswer { reason });
    }
    let _ = tx.send(ControlEvent::LogEpoch(epoch));
    Ok(epoch_offset(epoch, 1))
}

fn send_record(tx: &Sender<ControlEvent>, offset: LogOffset, stored: &StoredRecord) {
    let record = LogRecord::decode(&stored.data).ok().map(Box::new);
    if record.is_none() {
        log::warn!(offset; "record decoding failed");
    }
    let _ = tx.send(ControlEvent::Record(offset, record));
}

/// Returns the offset to continue from. If `wanted` has expired, sends the control thread the state
/// of a checkpoint.
async fn start_from_checkpoint(
    log: &LogClient,
    tx: &Sender<ControlEvent>,
    wanted: LogOffset,
) -> Result<LogOffset, LogError> {
    let bounds = log.bounds().await?;
    let epoch = epoch_of(bounds.first);
    if epoch != epoch_of(wanted) {
        return enter_epoch(tx, epoch, wanted);
    }
    if wanted >= bounds.first {
        if wanted > bounds.next {
            log::error!(wanted, next = bounds.next; "the log ends before offsets that it gave out, in the same epoch");
        }
        tokio::time::sleep(RETRY_DELAY).await;
        return Ok(wanted);
    }
    let _ = tx.send(ControlEvent::RecordsExpired);
    let Some(state) = find_checkpoint(log, bounds).await? else {
        log::error!(first = bounds.first; "log has no usable checkpoint");
        tokio::time::sleep(RETRY_DELAY).await;
        return Ok(wanted);
    };
    let next = state.next_offset;
    log::info!(next; "continuing from a checkpoint");
    let _ = tx.send(ControlEvent::Checkpoint(Box::new(state)));
    Ok(next)
}

/// Returns the newest state of a checkpoint on the log after which all records are kept. One of an
/// older epoch is continued in that of the bounds.
pub(super) async fn find_checkpoint(
    log: &LogClient,
    bounds: LogBounds,
) -> Result<Option<FoldState>, LogError> {
    let epoch = epoch_of(bounds.next);
    let (first, end) = (offset_in_log(bounds.first), offset_in_log(bounds.next));
    let mut newest: Option<Box<CheckpointBody>> = None;
    let mut next = first;
    while next < end {
        let reply = log.read(next, Duration::ZERO).await?;
        if reply.epoch != epoch {
            return Err(LogError::NoAnswer { reason: "its epoch changed".into() });
        }
        let Some(last) = reply.records.last() else { break };
        next = last.offset + 1;
        for stored in &reply.records {
            let Ok(record) = LogRecord::decode(&stored.data) else { continue };
            let RecordBody::Checkpoint(body) = record.body else { continue };
            // A writer that did not know of a restore yet may write after those that did.
            let newest_epoch = newest.as_ref().map_or(0, |body| body.state.epoch());
            let kept = offset_in_log(body.next_offset()) >= first;
            if kept && (newest_epoch..=epoch).contains(&body.state.epoch()) {
                newest = Some(body);
            }
        }
    }
    Ok(newest.map(|body| match body.state.epoch() == epoch {
        true => body.state,
        false => body.state.continued_in(epoch),
    }))
}
