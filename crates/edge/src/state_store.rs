//! Interface of the platform's store, as far as the node uses it.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use firspindle_core::version::LogPosition;
use snafu::Snafu;

/// Topic of the store that the node reads or writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StateTopic {
    /// Manifests, written by operators.
    Manifests,
    /// Nodes and their upstreams; each node writes the record of its host.
    Hosts,
    /// Plans, which assign the keys of the sharded services to upstreams.
    Plans,
}

/// One record of a topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TopicRecord {
    /// Key; a record replaces the earlier ones with the same key.
    pub key: Box<str>,
    /// Value; empty if the record deletes the key.
    pub value: Bytes,
    /// Position in the topic, counted from 0.
    pub offset: u64,
}

/// Consecutive records of a topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadBatch {
    /// Records in the order of their offsets.
    pub records: Vec<TopicRecord>,
    /// Position that the topic's next record will get.
    pub end: LogPosition,
}

/// Newest record of each key of a topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TopicSnapshot {
    /// One record for each key that has not been deleted.
    pub values: Vec<TopicRecord>,
    /// Position to continue reading from; every change that `values` lacks is there or later.
    pub end: LogPosition,
}

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum StoreError {
    /// The topic has no records at the offset: they have expired, or the store was restored.
    #[snafu(display("the records have expired; the oldest one left is at {first}"))]
    Expired {
        /// Position of the oldest record that has not expired.
        first: LogPosition,
    },
    /// The topic does not end where the append expected it to; nothing was appended.
    #[snafu(display("the topic ends at another offset than expected: {end}"))]
    Conflict {
        /// Position at which the topic ends.
        end: LogPosition,
    },
    /// The store refused the call; nothing was done.
    #[snafu(display("the store refused the call with status {status}"))]
    Refused {
        /// HTTP status of the response.
        status: u16,
    },
    /// The store sent no usable response in time. An append may have taken effect, or may still
    /// take effect.
    #[snafu(display("no usable response from the store: {reason}"))]
    NoAnswer {
        /// What failed, such as the connection, the timeout or decoding the response.
        reason: Box<str>,
    },
}

/// Store of ordered topics, each of which keeps at least the newest record of each key. Positions that
/// it returns are in the epoch in which it answered.
pub trait StateStore: Clone + 'static {
    /// Appends a record and returns the topic's new end, in the epoch that the store answers in. With `expected_end`, the record is only
    /// appended if the topic ends there (compare-and-set).
    fn append(
        &self,
        topic: StateTopic,
        key: &str,
        value: Vec<u8>,
        expected_end: Option<u64>,
    ) -> impl Future<Output = Result<LogPosition, StoreError>>;

    /// Reads the records from an offset on; if there are none, waits up to `wait` for the first.
    fn read(
        &self,
        topic: StateTopic,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<ReadBatch, StoreError>>;

    /// Reads the newest record of each key.
    fn newest(&self, topic: StateTopic) -> impl Future<Output = Result<TopicSnapshot, StoreError>>;
}
