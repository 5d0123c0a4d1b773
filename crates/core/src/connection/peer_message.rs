//! Messages between two nodes, with their requests and replies.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::process::FenceToken;
use crate::version::{FoldState, LogRecord};
use crate::{LogOffset, NodeId, PartitionId, RequestId};

/// A message with the incarnations that send and receive it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Sender; 0 for a node that has not joined.
    pub from: NodeId,
    /// Receiver; 0 for any incarnation at the address.
    pub to: NodeId,
    /// First offset that the sender has not folded yet.
    pub next_offset: LogOffset,
    /// What the sender requests, replies or reports.
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

/// A message from one node to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A lease holder requests a renewal of its lease from a witness.
    Renew(RenewRequest),
    /// A witness answers a renewal.
    Renewed(RenewReply),
    /// A holder requests the consent of a witness of its older set to switch to a newer set.
    SwitchSet(SwitchRequest),
    /// A witness answers a request to switch sets.
    SetSwitched(SwitchReply),
    /// A node requests a witness's promise never to grant a holder a lease again.
    Revoke(RevokeRequest),
    /// A witness answers a revocation request.
    Revoked(RevokeReply),
    /// A witness notifies a holder's successors and the planner that the holder stopped renewing.
    HolderSilent {
        /// Holder whose grants at the witness expired.
        node: NodeId,
    },
    /// A node that is about to serve a partition requests its release from an earlier holder.
    RequestRelease(ReleaseRequest),
    /// A holder releases a partition.
    Release(ReleaseNotice),
    /// A node acknowledges a release notice.
    ReleaseAck {
        /// Partition that was released.
        partition: PartitionId,
        /// Bound of the release, as in the notice.
        before: LogOffset,
    },
    /// A member reports its acknowledged offset to the planner.
    Heartbeat {
        /// Offset up to which superseded assignments and witness sets no longer matter to the
        /// member.
        acked: LogOffset,
    },
    /// A node requests the records from an offset on.
    Fetch {
        /// First offset wanted.
        from: LogOffset,
        /// Address to send the records to.
        reply_to: Box<str>,
    },
    /// Consecutive records by rising offset.
    Records(Vec<PeerRecord>),
    /// The whole state, for a node whose next records the sender no longer keeps.
    Snapshot(Box<FoldState>),
    /// A node in an older epoch of the log is behind: `next_offset` has the newer one.
    EpochNotice,
}

/// One record of the log, copied from a peer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerRecord {
    /// Offset on the log.
    pub offset: LogOffset,
    /// Record; `None` if the bytes at the offset do not decode as one.
    pub record: Option<LogRecord>,
}

/// Asks a witness for a lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RenewRequest {
    /// Offset of the witness set that the holder uses.
    pub set: LogOffset,
    /// Number by which the holder finds the time at which it sent the request.
    pub sequence: u64,
    /// Highest assignment offset under which the holder may act.
    pub assignment_offset: LogOffset,
    /// Requests suspected of crashing upstreams.
    pub suspects: Vec<SuspectRow>,
}

/// Reply to a renewal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RenewReply {
    /// Witness set offset of the request.
    pub set: LogOffset,
    /// Sequence number of the request.
    pub sequence: u64,
    /// Whether the lease is granted.
    pub verdict: RenewVerdict,
    /// Requests suspected of crashing upstreams.
    pub suspects: Vec<SuspectRow>,
}

/// A witness's decision on a renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RenewVerdict {
    /// Granted for one lease time from when the witness replied.
    Granted,
    /// Refused: the witness folded a newer set of the holder, or is not in the set.
    Superseded,
    /// Refused: the witness has not folded the holder's set yet.
    Behind,
    /// Refused for good: the witness promised never to grant the holder again, or the holder
    /// departed.
    Promised,
}

/// Asks a witness of an older set whether the holder may switch to a newer one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SwitchRequest {
    /// Offset of the newer set.
    pub set: LogOffset,
}

/// Reply to a request to switch sets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SwitchReply {
    /// Offset of the newer set.
    pub set: LogOffset,
    /// Whether the holder may switch.
    pub verdict: SwitchVerdict,
}

/// A witness's decision on a switch to a newer set.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SwitchVerdict {
    /// Allowed: the witness folded the newer set and has not promised a revocation.
    Allowed,
    /// Refused: the witness has not folded the newer set yet.
    Behind,
    /// Refused for good: the witness promised never to grant the holder again.
    Promised,
}

/// Asks a witness to promise never to grant a holder again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevokeRequest {
    /// Holder whose lease is to be revoked.
    pub target: NodeId,
    /// Offset of the holder's newest witness set that the requester knows.
    pub newest_set: LogOffset,
}

/// Reply to a revocation request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevokeReply {
    /// Holder whose lease is to be revoked.
    pub target: NodeId,
    /// Newest set named in the request.
    pub newest_set: LogOffset,
    /// Whether the witness promised.
    pub verdict: RevokeVerdict,
    /// Highest assignment offset under which the witness granted the holder a lease.
    pub assignment_offset: LogOffset,
}

/// A witness's decision on a revocation request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RevokeVerdict {
    /// The witness will never grant the holder again under any set, and its last grant expired.
    Promised,
    /// The witness is not in the holder's newest set, refuses older sets, and its last grant
    /// expired.
    Superseded,
    /// The witness's last grant has not expired yet.
    NotYet {
        /// Time until the grant expires.
        remaining: Duration,
    },
    /// The witness knows a newer set of the holder than the requester does.
    RequesterBehind,
}

/// Asks an earlier holder to release a partition.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseRequest {
    /// Partition to release.
    pub partition: PartitionId,
    /// Offset of the assignment under which the requester will serve; the holder is to release
    /// its rights by earlier ones.
    pub before: LogOffset,
}

/// States that the sender has no right to the partition by any assignment below `before`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReleaseNotice {
    /// Partition that the sender released.
    pub partition: PartitionId,
    /// First offset whose rights are not released.
    pub before: LogOffset,
    /// Highest fence under which a node is known to have served; the deduplication state is
    /// complete up to it. `None` if no node is known to have served.
    pub served_fence: Option<FenceToken>,
    /// Deduplication state of the sender and of holders that released to it.
    pub dedup_state: DedupState,
    /// Requests suspected of crashing upstreams.
    pub suspects: Vec<SuspectRow>,
}

/// Non-idempotent requests that an owner saw, handed over to the next owner.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct DedupState {
    /// Requests that were seen.
    pub requests: Vec<SeenRequest>,
    /// Unix time in milliseconds: a request whose id is older may have run without being listed.
    pub unknown_before_ms: u64,
}

impl DedupState {
    /// Adds the state of another holder.
    pub fn extend(&mut self, other: &Self) {
        self.requests.extend_from_slice(&other.requests);
        self.unknown_before_ms = self.unknown_before_ms.max(other.unknown_before_ms);
    }
}

/// A request that was seen, with its state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SeenRequest {
    /// Id by which a repetition of the request is recognized.
    pub id: RequestId,
    /// Whether it ran.
    pub state: RunState,
}

/// Whether a request that was seen ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunState {
    /// It was sent to the upstream, which has not responded yet.
    Running,
    /// It ran, with this response.
    Ran {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: Box<str>,
        /// Body; `None` if it is too large to keep.
        body: Option<Vec<u8>>,
    },
    /// Whether it ran is unknown.
    Unknown,
}

/// A request suspected of crashing upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRow {
    /// Fingerprint of the request: a hash of its service, key, method, path and body.
    pub fingerprint: u128,
    /// Random ids of the crashes during which it was in flight, sorted.
    pub crashes: Vec<u128>,
    /// Unix time in milliseconds at which the suspicion ends.
    pub until_ms: u64,
}
