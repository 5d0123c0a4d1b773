//! Appends records for the control thread.
//!
//! An append can take effect although its answer is lost. Without an answer, the writer reads the
//! end of the log and waits until the control thread has folded up to it; only then does it report
//! the append as failed. A copy of the record that is still appended later is dropped by its id.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::Sender;
use std::time::Duration;

use firspindle_core::version::LogRecord;

use super::{ControlEvent, LogClient, LogError, MetricsSet};

/// Time between calls to the log, and between checks of the folded offset.
const LOG_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Appends a record; sends [`ControlEvent::AppendFailed`] if it is not on the log.
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
            log::warn!(status:%; "record append refused");
            tokio::time::sleep(LOG_POLL_INTERVAL).await;
        }
        Err(error) => {
            log::warn!(error:%; "record append got no answer; waiting until the log is folded");
            wait_until_folded(&log, &folded_end).await;
        }
    }
    let _ = tx.send(ControlEvent::AppendFailed(id));
}

/// Waits until the control thread has folded everything that is now on the log.
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
