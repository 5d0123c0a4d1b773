//! Reads the log for the control thread.
//!
//! If the next record has expired, which is also the case when a process starts on an older log,
//! the reader continues from the newest checkpoint after which the log keeps all records.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::Sender;
use std::time::Duration;

use firspindle_core::LogOffset;
use firspindle_core::version::{CheckpointBody, LogRecord, RecordBody};

use super::{ControlEvent, LogClient, LogError, StoredRecord};

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
    loop {
        // The control thread may be ahead of this reader, through records or state from peers.
        next = next.max(folded_end.load(Ordering::Acquire));
        let records = match log.read(next, READ_WAIT).await {
            Ok(records) => records,
            Err(LogError::Expired) => {
                next = start_from_checkpoint(log, tx, next).await?;
                continue;
            }
            Err(error) => return Err(error),
        };
        for record in records {
            next = record.offset + 1;
            send_record(tx, &record);
        }
    }
}

fn send_record(tx: &Sender<ControlEvent>, stored: &StoredRecord) {
    let record = LogRecord::decode(&stored.data).ok().map(Box::new);
    if record.is_none() {
        log::warn!(offset = stored.offset; "record decoding failed");
    }
    let _ = tx.send(ControlEvent::Record(stored.offset, record));
}

/// Returns the offset to continue from. If `wanted` has expired, sends the control thread the state
/// of a checkpoint.
async fn start_from_checkpoint(
    log: &LogClient,
    tx: &Sender<ControlEvent>,
    wanted: LogOffset,
) -> Result<LogOffset, LogError> {
    let bounds = log.bounds().await?;
    if wanted >= bounds.first {
        return Ok(wanted);
    }
    let _ = tx.send(ControlEvent::RecordsExpired);
    let Some(body) = find_checkpoint(log, bounds.first, bounds.next).await? else {
        log::error!(first = bounds.first; "log has no usable checkpoint");
        tokio::time::sleep(RETRY_DELAY).await;
        return Ok(wanted);
    };
    let next = body.next_offset();
    log::info!(next; "continuing from a checkpoint");
    let _ = tx.send(ControlEvent::Checkpoint(Box::new(body.state)));
    Ok(next)
}

/// Returns the newest checkpoint on the log after which all records are kept, given the first kept
/// offset and the end of the log.
pub(super) async fn find_checkpoint(
    log: &LogClient,
    first: LogOffset,
    end: LogOffset,
) -> Result<Option<Box<CheckpointBody>>, LogError> {
    let mut newest = None;
    let mut next = first;
    while next < end {
        let records = log.read(next, Duration::ZERO).await?;
        let Some(last) = records.last() else { break };
        next = last.offset + 1;
        for stored in &records {
            let Ok(record) = LogRecord::decode(&stored.data) else { continue };
            if let RecordBody::Checkpoint(body) = record.body
                && body.next_offset() >= first
            {
                newest = Some(body);
            }
        }
    }
    Ok(newest)
}
