//! Records of the log stand-in.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::Serialize;

/// Most records in one answer.
const MAX_READ: usize = 512;

/// One record with its offset, as readers get it.
#[derive(Debug, Clone, Serialize)]
pub struct StoredRecord {
    /// Offset, from 1.
    pub offset: u64,
    /// Bytes as appended.
    pub data: Vec<u8>,
}

/// Records with their times.
#[derive(Debug)]
pub struct LogStore {
    records: VecDeque<(Instant, StoredRecord)>,
    next: u64,
    retention: Option<Duration>,
    per_second: Option<u32>,
    allowance: f64,
    refilled: Instant,
}

impl LogStore {
    /// An empty log.
    pub fn new(retention: Option<Duration>, per_second: Option<u32>) -> Self {
        Self {
            records: VecDeque::new(),
            next: 1,
            retention,
            per_second,
            allowance: f64::from(per_second.unwrap_or(0)),
            refilled: Instant::now(),
        }
    }

    /// Takes one append from the rate's allowance.
    pub fn admit(&mut self) -> bool {
        let Some(rate) = self.per_second else { return true };
        let now = Instant::now();
        let gained = now.duration_since(self.refilled).as_secs_f64() * f64::from(rate);
        self.refilled = now;
        self.allowance = (self.allowance + gained).min(f64::from(rate));
        if self.allowance < 1.0 {
            return false;
        }
        self.allowance -= 1.0;
        true
    }

    /// Appends a record and gives its offset.
    pub fn append(&mut self, data: Vec<u8>) -> u64 {
        let offset = self.next;
        self.next += 1;
        self.records.push_back((Instant::now(), StoredRecord { offset, data }));
        offset
    }

    /// First kept and next offset.
    pub fn bounds(&mut self) -> (u64, u64) {
        self.expire();
        (self.records.front().map_or(self.next, |(_, record)| record.offset), self.next)
    }

    /// Records from an offset; `None` where it has expired.
    pub fn read(&mut self, from: u64) -> Option<Vec<StoredRecord>> {
        let (first, _) = self.bounds();
        if from < first {
            return None;
        }
        let skip = usize::try_from(from - first).ok()?;
        let rows = self.records.iter().skip(skip).take(MAX_READ);
        Some(rows.map(|(_, record)| record.clone()).collect())
    }

    fn expire(&mut self) {
        let Some(retention) = self.retention else { return };
        while self.records.front().is_some_and(|(at, _)| at.elapsed() > retention) {
            self.records.pop_front();
        }
    }
}
