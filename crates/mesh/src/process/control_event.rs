//! Events that the control thread handles.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use firspindle_core::connection::{ReportRefusal, UpstreamReport};
use firspindle_core::version::{HostRecord, LogEpoch, LogPosition, RangePlan, UpstreamInstance};
use firspindle_edge::{ReadBatch, StateTopic, TopicSnapshot};
use tokio::sync::oneshot;

use crate::version::PeerState;

/// An event for the control thread, which handles it before any datagram. The time of a store call is
/// when it began, because the answer shows the store's state at some moment not before that.
#[derive(Debug)]
pub enum ControlEvent {
    /// Report that a heartbeat carried; answered with the body of the HTTP response, or why it is not of
    /// the host's upstream. One that says that the upstream drains is answered like [`Self::Leave`].
    Report(Box<UpstreamReport>, oneshot::Sender<Result<Bytes, ReportRefusal>>),
    /// The upstream with this id announces that it leaves; answered once the published view shows it as
    /// draining and the store has that. Without the store's word the sender is dropped.
    Leave(Box<str>, oneshot::Sender<()>),
    /// An answer of this instance of the upstream said so long ago that it leaves.
    UpstreamLeaving(UpstreamInstance, Duration),
    /// The upstream's address refused a connection that was meant for this instance.
    UpstreamRefused(UpstreamInstance),
    /// Upstream id in the response of the upstream's address to a health check; `None` without a
    /// usable response.
    UpstreamProbed(Option<Box<str>>),
    /// Newest record of each key of a topic, and when the call began.
    Snapshot(StateTopic, TopicSnapshot, Instant),
    /// Consecutive records of a topic from a position on, and when the call began.
    Records(StateTopic, LogPosition, ReadBatch, Instant),
    /// The store refused a call and named the epoch of its log.
    EpochSeen(LogEpoch),
    /// A call to the store for this topic failed.
    StoreFailed(StateTopic),
    /// State fetched from another node.
    PeerState(PeerState),
    /// The state of the node at this address could not be fetched.
    FetchFailed(SocketAddr),
    /// A write of this node's host record finished: the end of the log, if the store acknowledged it.
    HostWritten(Box<HostRecord>, Option<LogPosition>),
    /// An append of this node's plan finished: the end of the plans, if the store answered with it,
    /// and the plan and the time at which the call began, if it was appended.
    PlanAppended(Option<LogPosition>, Option<(Box<RangePlan>, Instant)>),
    /// An upstream crashed while it ran a request; answered once every node whose datagrams still
    /// arrive has acknowledged the crash, or after a timeout.
    Crash {
        /// Fingerprint of the request.
        fingerprint: u128,
        /// Hash of the crashed instance.
        instance: u64,
        /// Signalled when waiting ends.
        ack: oneshot::Sender<()>,
    },
    /// An instance of the upstream crashed shortly after it had answered the requests with these fingerprints.
    CrashAfter(UpstreamInstance, Vec<u128>),
    /// The requests with these fingerprints had ended within the last seconds before an instance of the upstream
    /// crashed, the last one first.
    EndedBeforeCrash(UpstreamInstance, Vec<u128>),
    /// An upstream lived on for seconds after the requests with these fingerprints, which had ended before a
    /// crash.
    EndedOutlived(Vec<u128>),
    /// An upstream outlived its answer to the suspected request with this fingerprint.
    SuspectOutlived(u128),
    /// The process shuts down.
    Shutdown,
}
