//! Appends records for the control thread.
//!
//! An append can take effect while its answer is lost. After no answer the writer finds the
//! log's end and waits until the control thread has folded that far: only then does it tell
//! that the record is not there. A copy that still comes is dropped by its id.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::Sender;
use std::time::Duration;

use firspindle_core::version::LogRecord;

use super::{ControlEvent, LogClient, LogError, MetricsSet};

/// Time between two looks at the log or at the folded offset.
const LOG_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Appends one record and reports if it is not on the log.
pub async fn append_record(
    log: LogClient,
    record: LogRecord,
    tx: Sender<ControlEvent>,
    folded_end: Arc<AtomicU64>,
    metrics: Arc<MetricsSet>,
) {
    metrics.appends.inc();
    let id = record.id;
    match log.append(record.encode()).await {
        Ok(offset) => {
            log::debug!(offset; "record appended");
            return;
        }
        Err(LogError::Refused { status }) => {
            log::warn!(status:%; "append refused");
            tokio::time::sleep(LOG_POLL_INTERVAL).await;
        }
        Err(error) => {
            log::warn!(error:%; "append without an answer; reading before writing again");
            wait_until_folded(&log, &folded_end).await;
        }
    }
    let _ = tx.send(ControlEvent::AppendFailed(id));
}

/// Waits until everything that is now on the log was folded.
async fn wait_until_folded(log: &LogClient, folded_end: &AtomicU64) {
    let end = loop {
        match log.bounds().await {
            Ok(bounds) => break bounds.next,
            Err(_) => tokio::time::sleep(LOG_POLL_INTERVAL).await,
        }
    };
    while folded_end.load(Ordering::Acquire) < end {
        tokio::time::sleep(LOG_POLL_INTERVAL).await;
    }
}
