//! The platform's store, as the node uses it.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use snafu::Snafu;

/// What the node keeps or reads on the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StateTopic {
    /// Manifests, written by operators.
    Manifests,
    /// Nodes and the upstreams beside them.
    Hosts,
    /// Plans of the divided services.
    Plans,
}

/// Newest value of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TopicRecord {
    /// Key.
    pub key: Box<str>,
    /// Value; empty if the key was dropped.
    pub value: Bytes,
    /// Offset.
    pub offset: u64,
}

/// Records from an offset.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadBatch {
    /// Records in order.
    pub records: Vec<TopicRecord>,
    /// Offset after the last record of the topic.
    pub end: u64,
}

/// Newest records of a topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TopicSnapshot {
    /// One for each key.
    pub values: Vec<TopicRecord>,
    /// A read from here misses nothing that the values do not hold.
    pub end: u64,
}

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum StoreError {
    /// The records from the offset have expired.
    #[snafu(display("the records have expired; the first kept one is {first}"))]
    Expired {
        /// First kept offset.
        first: u64,
    },
    /// The condition failed; nothing was done.
    #[snafu(display("the topic ends at {end}"))]
    Conflict {
        /// End of the topic.
        end: u64,
    },
    /// The store refused; nothing was done.
    #[snafu(display("the store refused with status {status}"))]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// No usable answer; an append may have been done, or may yet be.
    #[snafu(display("no answer of the store: {reason}"))]
    NoAnswer {
        /// Reason.
        reason: Box<str>,
    },
}

/// Keeps the newest record of each key, and the order of records.
pub trait StateStore: Clone + 'static {
    /// Appends a record; with `at`, only if the topic ends there. Gives the new end.
    fn append(
        &self,
        topic: StateTopic,
        key: &str,
        value: Vec<u8>,
        at: Option<u64>,
    ) -> impl Future<Output = Result<u64, StoreError>>;

    /// Records from an offset; waits up to `wait` for the first.
    fn read(
        &self,
        topic: StateTopic,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<ReadBatch, StoreError>>;

    /// Newest record of each key.
    fn newest(&self, topic: StateTopic) -> impl Future<Output = Result<TopicSnapshot, StoreError>>;
}
