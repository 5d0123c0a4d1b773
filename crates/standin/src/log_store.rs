//! In-memory store of the log stand-in.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::Serialize;

/// Maximum number of records that one read returns.
const MAX_READ_RECORDS: usize = 512;

/// One record with its offset, as it is sent to readers.
#[derive(Debug, Clone, Serialize)]
pub struct StoredRecord {
    /// Offset of the record; the first is 1.
    pub offset: u64,
    /// Content as it was appended.
    pub data: Vec<u8>,
}

/// Records with the times of their appends, and a token bucket that limits appends.
#[derive(Debug)]
pub struct LogStore {
    records: VecDeque<(Instant, StoredRecord)>,
    next_offset: u64,
    /// Number of times that the log came back from an older copy.
    epoch: u64,
    retention: Option<Duration>,
    append_rate: Option<u32>,
    tokens: f64,
    refilled_at: Instant,
}

impl LogStore {
    /// Returns an empty log; without `append_rate`, in appends per second, appends are unlimited.
    pub fn new(retention: Option<Duration>, append_rate: Option<u32>) -> Self {
        Self {
            records: VecDeque::new(),
            next_offset: 1,
            epoch: 0,
            retention,
            append_rate,
            tokens: f64::from(append_rate.unwrap_or(0)),
            refilled_at: Instant::now(),
        }
    }

    /// Takes a token for one append; false if the rate limit is exceeded.
    pub fn take_token(&mut self) -> bool {
        let Some(rate) = self.append_rate else { return true };
        let now = Instant::now();
        let added = now.duration_since(self.refilled_at).as_secs_f64() * f64::from(rate);
        self.refilled_at = now;
        self.tokens = (self.tokens + added).min(f64::from(rate));
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Appends a record and returns its offset.
    pub fn append(&mut self, data: Vec<u8>) -> u64 {
        let offset = self.next_offset;
        self.next_offset += 1;
        self.records.push_back((Instant::now(), StoredRecord { offset, data }));
        offset
    }

    /// Returns the first retained offset and the offset of the next append.
    pub fn bounds(&mut self) -> (u64, u64) {
        self.remove_expired();
        (
            self.records.front().map_or(self.next_offset, |(_, record)| record.offset),
            self.next_offset,
        )
    }

    /// Returns the records from an offset on, at most 512; `None` if the offset has expired or is
    /// beyond that of the next append.
    pub fn read(&mut self, from: u64) -> Option<Vec<StoredRecord>> {
        let (first, next) = self.bounds();
        if from < first || from > next {
            return None;
        }
        let skip = usize::try_from(from - first).ok()?;
        let rows = self.records.iter().skip(skip).take(MAX_READ_RECORDS);
        Some(rows.map(|(_, record)| record.clone()).collect())
    }

    /// Returns the number of the log's history, which rises with each restore.
    pub const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Drops the records at `end` and beyond and those appended within `lost_time`; their offsets
    /// are given out again. Returns the new end.
    pub fn restore(&mut self, end: u64, lost_time: Duration) -> u64 {
        let is_lost = |row: &(Instant, StoredRecord)| {
            row.1.offset >= end || (!lost_time.is_zero() && row.0.elapsed() < lost_time)
        };
        while let Some((_, record)) = self.records.pop_back_if(|row| is_lost(row)) {
            self.next_offset = record.offset;
        }
        self.epoch += 1;
        self.next_offset
    }

    fn remove_expired(&mut self) {
        let Some(retention) = self.retention else { return };
        while self.records.front().is_some_and(|(at, _)| at.elapsed() > retention) {
            self.records.pop_front();
        }
    }
}
