//! An in-memory store for tests.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use firspindle_core::version::{LogEpoch, LogPosition};
use tokio::sync::Notify;

use super::{ReadBatch, StateStore, StateTopic, StoreError, TopicRecord, TopicSnapshot};

#[derive(Debug, Default)]
struct StoreState {
    topics: BTreeMap<StateTopic, Vec<TopicRecord>>,
    epoch: LogEpoch,
    /// While set, calls fail as if the store did not respond.
    down: bool,
}

/// In-memory store that can be made unavailable.
#[derive(Debug, Clone, Default)]
pub struct MemoryStore {
    state: Rc<RefCell<StoreState>>,
    appended: Rc<Notify>,
}

impl MemoryStore {
    /// Makes the store unavailable or available again.
    pub fn set_down(&self, down: bool) {
        self.state.borrow_mut().down = down;
    }

    /// Replaces the records with an older copy that has at most so many of each topic.
    pub fn restore(&self, lengths: &[(StateTopic, usize)]) {
        let mut state = self.state.borrow_mut();
        for (topic, length) in lengths {
            state.topics.entry(*topic).or_default().truncate(*length);
        }
        state.epoch += 1;
        self.appended.notify_waiters();
    }

    fn check_position(&self, topic: StateTopic, from: u64) -> Result<(), StoreError> {
        let state = self.state.borrow();
        let end = state.topics.get(&topic).map_or(0, Vec::len) as u64;
        if from > end {
            return Err(StoreError::Expired { first: LogPosition::new(state.epoch, 0) });
        }
        Ok(())
    }

    fn check_available(&self) -> Result<(), StoreError> {
        if self.state.borrow().down {
            return Err(StoreError::NoAnswer { reason: "the store is down".into() });
        }
        Ok(())
    }

    fn records(&self, topic: StateTopic, from: u64) -> ReadBatch {
        let state = self.state.borrow();
        let rows = state.topics.get(&topic).map_or(&[][..], Vec::as_slice);
        let records = rows.iter().filter(|row| row.offset >= from).cloned().collect();
        let end = LogPosition::new(state.epoch, rows.len() as u64);
        ReadBatch { records, end }
    }
}

impl StateStore for MemoryStore {
    async fn append(
        &self,
        topic: StateTopic,
        key: &str,
        value: Vec<u8>,
        expected_end: Option<u64>,
    ) -> Result<LogPosition, StoreError> {
        self.check_available()?;
        let mut state = self.state.borrow_mut();
        let epoch = state.epoch;
        let rows = state.topics.entry(topic).or_default();
        let end = rows.len() as u64;
        if expected_end.is_some_and(|expected_end| expected_end != end) {
            return Err(StoreError::Conflict { end: LogPosition::new(epoch, end) });
        }
        rows.push(TopicRecord { key: key.into(), value: value.into(), offset: end });
        self.appended.notify_waiters();
        Ok(LogPosition::new(epoch, end + 1))
    }

    async fn read(
        &self,
        topic: StateTopic,
        from: u64,
        wait: Duration,
    ) -> Result<ReadBatch, StoreError> {
        self.check_available()?;
        self.check_position(topic, from)?;
        let batch = self.records(topic, from);
        if !batch.records.is_empty() || wait.is_zero() {
            return Ok(batch);
        }
        let _ = tokio::time::timeout(wait, self.appended.notified()).await;
        self.check_available()?;
        self.check_position(topic, from)?;
        Ok(self.records(topic, from))
    }

    async fn newest(&self, topic: StateTopic) -> Result<TopicSnapshot, StoreError> {
        self.check_available()?;
        let batch = self.records(topic, 0);
        let mut newest: BTreeMap<Box<str>, TopicRecord> = BTreeMap::new();
        for record in batch.records {
            newest.insert(record.key.clone(), record);
        }
        let values = newest.into_values().filter(|row| !row.value.is_empty()).collect();
        Ok(TopicSnapshot { values, end: batch.end })
    }
}
