//! What the control thread is told.

use std::time::Instant;

use bytes::Bytes;
use firspindle_core::connection::UpstreamReport;
use firspindle_edge::{ReadBatch, StateTopic, TopicSnapshot};
use tokio::sync::oneshot;

use crate::version::StateSnapshot;

/// What the control thread is told.
#[derive(Debug)]
pub enum ControlEvent {
    /// A heartbeat of the upstream; answered with the body of the reply.
    Report(Box<UpstreamReport>, oneshot::Sender<Bytes>),
    /// The upstream of an id leaves; answered once that is in force.
    Leave(Box<str>, oneshot::Sender<()>),
    /// Nothing listens at the upstream's address.
    UpstreamRefused,
    /// The upstream's address answered a health check as this id, if it did.
    UpstreamSeen(Option<Box<str>>),
    /// Newest records of a topic, by a call that began at the time.
    Snapshot(StateTopic, TopicSnapshot, Instant),
    /// Records of a topic, by a call that began at the time.
    Records(StateTopic, ReadBatch, Instant),
    /// A call to the store failed.
    StoreFailed(StateTopic),
    /// A datagram of another node.
    Datagram(Bytes),
    /// State that another node had.
    PeerState(StateSnapshot),
    /// A plan of this node was appended or lost a race; the end of the plans, if it is known.
    PlanAppended(Option<u64>),
    /// An upstream of a life crashed while it ran a request of a content; answered once all nodes
    /// that are heard know, or after a moment.
    Crash {
        /// Hash of the request's content.
        content: u128,
        /// Hash of the life's id.
        instance: u64,
        /// Answered once it was told.
        told: oneshot::Sender<()>,
    },
    /// An upstream answered a request that was suspected.
    SuspectAnswered(u128),
    /// The process is to end.
    Shutdown,
}
