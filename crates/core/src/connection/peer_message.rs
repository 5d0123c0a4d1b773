//! Typed messages between two nodes.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::process::FenceToken;
use crate::version::{FoldState, LogRecord};
use crate::{LogOffset, NodeId, PartitionId, RequestId};

/// A message with the incarnations at both ends.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Sender; 0 for a node that has not joined.
    pub from: NodeId,
    /// Receiver; 0 for whoever holds the address.
    pub to: NodeId,
    /// First offset that the sender has not folded.
    pub next_offset: LogOffset,
    /// Message.
    pub message: PeerMessage,
}

impl Envelope {
    /// Encoded length, in bytes.
    ///
    /// # Panics
    ///
    /// Never: every message has an encoding.
    pub fn encoded_len(&self) -> usize {
        postcard::to_stdvec(self).expect("messages always encode").len()
    }
}

/// What nodes say to each other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A holder asks a witness to renew its lease.
    Renew(RenewRequest),
    /// A witness answers a renewal.
    Renewed(RenewReply),
    /// A holder asks a witness of its older set to let it move to a newer set.
    SwitchSet(SwitchRequest),
    /// A witness answers a move.
    SetSwitched(SwitchReply),
    /// A taker asks a witness to promise a holder's lapse.
    Revoke(RevokeRequest),
    /// A witness answers a lapse query.
    Revoked(RevokeReply),
    /// A witness tells a possible taker that a holder is silent.
    HolderSilent {
        /// Holder whose grants ran out.
        node: NodeId,
    },
    /// A node that would serve asks an earlier holder to release.
    RequestRelease(ReleaseRequest),
    /// A holder releases a partition.
    Release(ReleaseNotice),
    /// A release arrived.
    ReleaseAck {
        /// Partition.
        partition: PartitionId,
        /// Bound of the release, as in the notice.
        before: LogOffset,
    },
    /// A member tells the planner what it acknowledged.
    Heartbeat {
        /// Offset below which it relies on no superseded record.
        acked: LogOffset,
    },
    /// A node asks for records from an offset.
    Fetch {
        /// First offset wanted.
        from: LogOffset,
        /// Address to answer to.
        reply_to: Box<str>,
    },
    /// Records by offset, without a gap.
    Records(Vec<PeerRecord>),
    /// The folded state, for a node too far behind for records.
    Snapshot(Box<FoldState>),
}

/// One record of the log as a peer holds it; `None` for bytes that are no record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerRecord {
    /// Offset on the log.
    pub offset: LogOffset,
    /// Record.
    pub record: Option<LogRecord>,
}

/// Asks for a lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RenewRequest {
    /// Offset of the witness set that the holder uses.
    pub set: LogOffset,
    /// Number that ties the reply to the time of sending.
    pub sequence: u64,
    /// Highest line offset that the holder may act under.
    pub assignment_offset: LogOffset,
    /// Requests suspected of crashing upstreams.
    pub suspects: Vec<SuspectRow>,
}

/// Answers a renewal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RenewReply {
    /// Set of the request.
    pub set: LogOffset,
    /// Sequence of the request.
    pub sequence: u64,
    /// Answer.
    pub verdict: RenewVerdict,
    /// Requests suspected of crashing upstreams.
    pub suspects: Vec<SuspectRow>,
}

/// A witness's answer to a renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RenewVerdict {
    /// Granted for one lease time from the reply.
    Granted,
    /// The witness folded a newer set for the holder.
    Superseded,
    /// The witness has not folded the holder's set.
    Behind,
    /// The witness promised the holder's lapse.
    Promised,
}

/// Asks a witness of an older set whether the holder may move on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SwitchRequest {
    /// Offset of the newer set.
    pub set: LogOffset,
}

/// Answers a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SwitchReply {
    /// Offset of the newer set.
    pub set: LogOffset,
    /// Answer.
    pub verdict: SwitchVerdict,
}

/// A witness's answer to a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SwitchVerdict {
    /// It folded the newer set and has not promised the holder's lapse.
    Allowed,
    /// It has not folded the newer set.
    Behind,
    /// It promised the holder's lapse.
    Promised,
}

/// Asks for the promise never to grant a holder again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevokeRequest {
    /// Holder.
    pub target: NodeId,
    /// Newest set of the holder that the taker knows.
    pub newest_set: LogOffset,
}

/// Answers a lapse query.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevokeReply {
    /// Holder.
    pub target: NodeId,
    /// Newest set named in the query.
    pub newest_set: LogOffset,
    /// Answer.
    pub answer: RevokeAnswer,
    /// Highest line offset under which the witness granted the holder.
    pub assignment_offset: LogOffset,
}

/// A witness's answer to a lapse query.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RevokeAnswer {
    /// It will never grant the holder again, under any set, and its last grant ran out.
    Promised,
    /// It is in no current set of the holder, refuses older ones, and its last grant ran out.
    Superseded,
    /// Its last grant still runs.
    NotYet {
        /// Time until the grant runs out.
        remaining: Duration,
    },
    /// The taker does not know the holder's newest set.
    RequesterBehind,
}

/// Asks for releases.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseRequest {
    /// Partition.
    pub partition: PartitionId,
    /// The asker serves under the line of this offset.
    pub before: LogOffset,
}

/// The sender has no right to the partition by any record below `before`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReleaseNotice {
    /// Partition.
    pub partition: PartitionId,
    /// First offset whose rights are not released.
    pub before: LogOffset,
    /// Fence up to which the memory is complete, if anyone is known to have served.
    pub served_fence: Option<FenceToken>,
    /// What is remembered of requests, by the sender or by holders that released to it.
    pub dedup_state: DedupState,
    /// Requests suspected of crashing upstreams.
    pub suspects: Vec<SuspectRow>,
}

/// What an owner hands to the next one.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct DedupState {
    /// Requests by id.
    pub requests: Vec<SeenRequest>,
    /// Requests whose id is older, in milliseconds of Unix time, may have run unremembered.
    pub unknown_before_ms: u64,
}

impl DedupState {
    /// Adds what another holder remembers.
    pub fn extend(&mut self, other: &Self) {
        self.requests.extend_from_slice(&other.requests);
        self.unknown_before_ms = self.unknown_before_ms.max(other.unknown_before_ms);
    }
}

/// One remembered request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SeenRequest {
    /// Request id.
    pub id: RequestId,
    /// What became of it.
    pub state: RunState,
}

/// What became of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunState {
    /// It is with the upstream.
    Running,
    /// It ran, and this was the answer.
    Ran {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: Box<str>,
        /// Body, if small enough to keep.
        body: Option<Vec<u8>>,
    },
    /// Whether it ran is unknown.
    Unknown,
}

/// A request suspected of crashing upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRow {
    /// Hash of the request's content.
    pub fingerprint: u128,
    /// Crashes that it was in flight for, as random ids, sorted.
    pub crashes: Vec<u128>,
    /// Unix time in milliseconds at which the suspicion ends.
    pub until_ms: u64,
}
