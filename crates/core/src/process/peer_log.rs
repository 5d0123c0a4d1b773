//! The most recent records of the log, kept for peers that cannot reach the log.

use std::collections::VecDeque;

use crate::LogOffset;
use crate::connection::PeerRecord;
use crate::version::LogRecord;

/// Maximum number of records kept.
const MAX_RECORDS: usize = 2048;

/// Maximum total size of the records kept, in bytes of their encoding.
const MAX_BYTES: usize = 2 * 1024 * 1024;

/// Maximum number of records in one reply to a peer.
const MAX_REPLY_RECORDS: usize = 256;

/// The newest records of the log, oldest first, each with the size of its encoding in bytes.
#[derive(Debug, Clone, Default)]
pub struct PeerLog {
    records: VecDeque<(PeerRecord, usize)>,
    /// Sum of these sizes.
    bytes: usize,
}

impl PeerLog {
    /// Appends the record that was just folded, and drops the oldest ones beyond the limits.
    ///
    /// `None` stands for bytes that are not a record.
    pub fn push(&mut self, offset: LogOffset, record: Option<&LogRecord>) {
        let size = record.map_or(0, |record| record.encode().len());
        self.bytes += size;
        self.records.push_back((PeerRecord { offset, record: record.cloned() }, size));
        while self.records.len() > MAX_RECORDS || self.bytes > MAX_BYTES {
            let Some((_, size)) = self.records.pop_front() else { break };
            self.bytes -= size;
        }
    }

    /// Returns records starting at `from`, or `None` if the oldest record kept is newer or
    /// none is kept.
    pub fn read(&self, from: LogOffset) -> Option<Vec<PeerRecord>> {
        let first = self.records.front()?.0.offset;
        if from < first {
            return None;
        }
        let skip = usize::try_from(from - first).unwrap_or(usize::MAX);
        let records = self.records.iter().skip(skip).take(MAX_REPLY_RECORDS);
        Some(records.map(|(record, _)| record.clone()).collect())
    }
}
