//! The last records of the log, kept for peers that cannot reach it.

use std::collections::VecDeque;

use crate::LogOffset;
use crate::connection::PeerRecord;
use crate::version::LogRecord;

/// Records kept.
const MAX_RECORDS: usize = 2048;

/// Bytes of records kept, by their encoded length.
const MAX_BYTES: usize = 2 * 1024 * 1024;

/// Records in one answer.
const MAX_ANSWER: usize = 256;

/// A window over the end of the log.
#[derive(Debug, Clone, Default)]
pub struct PeerLog {
    records: VecDeque<(PeerRecord, usize)>,
    bytes: usize,
}

impl PeerLog {
    /// Keeps a record that was just folded; checkpoints are kept as empty places.
    pub fn push(&mut self, offset: LogOffset, record: Option<&LogRecord>) {
        let size = record.map_or(0, |record| record.encode().len());
        self.bytes += size;
        self.records.push_back((PeerRecord { offset, record: record.cloned() }, size));
        while self.records.len() > MAX_RECORDS || self.bytes > MAX_BYTES {
            let Some((_, size)) = self.records.pop_front() else { break };
            self.bytes -= size;
        }
    }

    /// Records from `from` on, or `None` where the window begins later.
    pub fn read(&self, from: LogOffset) -> Option<Vec<PeerRecord>> {
        let first = self.records.front()?.0.offset;
        if from < first {
            return None;
        }
        let skip = usize::try_from(from - first).unwrap_or(usize::MAX);
        let records = self.records.iter().skip(skip).take(MAX_ANSWER);
        Some(records.map(|(record, _)| record.clone()).collect())
    }
}
