//! `firspindle publish`: appends a manifest to the log and waits for its verdict.

use std::time::{Duration, Instant};

use firspindle_core::version::{
    FoldOutcome, FoldState, LogRecord, ManifestSpec, RecordBody, epoch_of, epoch_offset,
    offset_in_log,
};
use uuid::Uuid;

use super::{LogClient, LogError};

/// Time after which the verdict counts as unknown.
const VERDICT_TIMEOUT: Duration = Duration::from_secs(15);

/// Time that the log may wait for a new record before it answers a read, and time before a failed
/// read is repeated.
const READ_WAIT: Duration = Duration::from_millis(500);

/// Outcome of publishing a manifest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublishVerdict {
    /// The manifest came into force as this version.
    Accepted(u64),
    /// The manifest did not come into force, with the reason.
    Refused(Box<str>),
    /// The manifest may or may not come into force, with the reason.
    Unknown(Box<str>),
}

/// Publishes a valid manifest, given parsed and as text.
pub async fn publish(log: LogClient, spec: &ManifestSpec, text: &str) -> PublishVerdict {
    let deadline = Instant::now() + VERDICT_TIMEOUT;
    let id = Uuid::new_v4().as_u128();
    let body = RecordBody::Manifest { replaces: spec.replaces, text: text.into() };
    let record = LogRecord { id, body };
    // Reading first refuses a manifest of an outdated version without appending a record.
    let mut fold = match FoldReader::open(&log).await {
        Ok(fold) => fold,
        Err(error) => return PublishVerdict::Unknown(error.to_string().into()),
    };
    let version = fold.state.manifest_version();
    if version != spec.replaces {
        let reason =
            format!("it replaces version {}, version {version} is in force", spec.replaces);
        return PublishVerdict::Refused(reason.into());
    }
    let mut unknown_reason: Box<str> = "the record did not appear on the log".into();
    match log.append(record.encode()).await {
        Ok(_) => {}
        Err(LogError::Refused { status }) => {
            return PublishVerdict::Unknown(format!("the log refused the append: {status}").into());
        }
        Err(error) => unknown_reason = error.to_string().into(),
    }
    while Instant::now() < deadline {
        match fold.find_outcome(&log, id).await {
            Ok(Some(FoldOutcome::Applied)) => {
                return PublishVerdict::Accepted(fold.state.manifest_version());
            }
            Ok(Some(FoldOutcome::Dropped(reason))) => return PublishVerdict::Refused(reason),
            Ok(None) => {}
            Err(error) => {
                unknown_reason = error.to_string().into();
                tokio::time::sleep(READ_WAIT).await;
            }
        }
    }
    PublishVerdict::Unknown(unknown_reason)
}

/// State folded from the log, which each read advances.
struct FoldReader {
    state: FoldState,
}

impl FoldReader {
    /// Folds the log up to its present end, from a checkpoint if earlier records have expired.
    async fn open(log: &LogClient) -> Result<Self, LogError> {
        let bounds = log.bounds().await?;
        let mut reader = Self { state: FoldState::in_epoch(epoch_of(bounds.next)) };
        if offset_in_log(bounds.first) > 1 {
            let found = super::log_reader::find_checkpoint(log, bounds).await?;
            reader.state = found.unwrap_or(reader.state);
        }
        while reader.state.next_offset < bounds.next {
            reader.find_outcome(log, 0).await?;
        }
        Ok(reader)
    }

    /// Folds new records up to the one with this id; returns its outcome if it is among them.
    async fn find_outcome(
        &mut self,
        log: &LogClient,
        id: u128,
    ) -> Result<Option<FoldOutcome>, LogError> {
        let reply = log.read(offset_in_log(self.state.next_offset), READ_WAIT).await?;
        if reply.epoch != self.state.epoch() {
            return Err(LogError::NoAnswer { reason: "its epoch changed".into() });
        }
        for stored in reply.records {
            let offset = epoch_offset(reply.epoch, stored.offset);
            let Ok(record) = LogRecord::decode(&stored.data) else {
                self.state.skip(offset);
                continue;
            };
            let outcome = self.state.fold(offset, &record);
            if record.id == id {
                return Ok(Some(outcome));
            }
        }
        Ok(None)
    }
}
