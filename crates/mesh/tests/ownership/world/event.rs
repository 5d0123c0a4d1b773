//! Events of the simulation and their order.

use std::time::Instant;

use bytes::Bytes;
use firspindle_core::connection::{GrantReply, UpstreamReport};
use firspindle_core::version::{HostRecord, LogEpoch, LogPosition, RangePlan, UpstreamInstance};
use firspindle_edge::{StateTopic, TopicRecord};
use firspindle_mesh::version::PeerState;

use super::LostPlan;

/// A write to the store.
#[derive(Debug, Clone)]
pub(super) struct AppendCall {
    pub(super) topic: StateTopic,
    pub(super) key: String,
    pub(super) value: Vec<u8>,
    /// End of the topic that the write is conditional on.
    pub(super) at: Option<u64>,
    pub(super) began: Instant,
}

/// A read of a topic of a store that may be restored.
#[derive(Debug, Clone)]
pub(super) struct ReadCall {
    /// Index of the topic.
    pub(super) index: usize,
    /// Whether the newest records are read, and not those from a position on.
    pub(super) snapshot: bool,
    pub(super) from: LogPosition,
    pub(super) began: Instant,
    /// Time until which the store waits for records, in milliseconds.
    pub(super) until: u64,
    /// Incarnation of the node that reads.
    pub(super) incarnation: u64,
}

#[derive(Debug, Clone)]
pub(super) enum Event {
    Tick,
    Gossip,
    Read(usize),
    ReadDone {
        topic: StateTopic,
        snapshot: bool,
        /// Position that the read began from.
        from: LogPosition,
        values: Vec<TopicRecord>,
        end: LogPosition,
        at: Instant,
    },
    ReadFailed,
    /// A read reaches the store.
    StoreRead(ReadCall),
    /// The store does not have the position that a read of this topic began from.
    ReadExpired {
        index: usize,
        epoch: LogEpoch,
    },
    /// What a peer sent of its state.
    PeerState(Box<PeerState>),
    HostWritten {
        record: Box<HostRecord>,
        done: bool,
    },
    /// A plan of this node was appended by a call that began at `began`.
    PlanStored {
        plan: Box<RangePlan>,
        end: LogPosition,
        began: Instant,
    },
    /// The operator writes a manifest.
    WriteManifest(u64),
    /// The store is restored from an older copy after it was away for some time, in milliseconds.
    Restore {
        away: u64,
    },
    /// The host that is to read a lost plan is cut off once it has.
    CutOffReader(LostPlan),
    /// The store is restored from the newest copy without a plan.
    LosePlan(LostPlan),
    Datagram(Bytes),
    Append {
        call: AppendCall,
        /// Whether the answer reaches the node.
        answers: bool,
    },
    PlanAppended(Option<LogPosition>),
    /// A heartbeat of the instance with this number, and the next one some time later.
    SendHeartbeat(u64),
    /// A heartbeat soon after a reply that left out keys.
    SendEarlyHeartbeat,
    Report {
        report: Box<UpstreamReport>,
        sent_at: Instant,
    },
    Reply {
        instance: UpstreamInstance,
        /// `None` if it grants nothing.
        reply: Option<GrantReply>,
        sent_at: Instant,
    },
    Probe,
    Start,
    StartUpstream,
    /// Appends a plan that gives the cells of one host to another and is read by some hosts only.
    Script(PlanScript),
    /// Kills the node's process; it starts again, cut off from the store.
    Restart {
        /// Time until it starts, in milliseconds.
        down: u64,
    },
}

pub(super) struct Scheduled {
    pub(super) due: u64,
    pub(super) order: u64,
    pub(super) host: usize,
    /// Incarnation of the node that the event is for; 0 for events outside the node.
    pub(super) incarnation: u64,
    pub(super) event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.due, self.order) == (other.due, other.order)
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.due, self.order).cmp(&(other.due, other.order))
    }
}

/// A plan that gives one host's cells to another and is read by the receiving host alone.
#[derive(Debug, Clone)]
pub struct PlanScript {
    /// When the plan is appended, in milliseconds.
    pub at: u64,
    /// Host that loses its cells.
    pub from: usize,
    /// Host that gets them; if it holds cells already, the two hosts swap theirs.
    pub to: usize,
    /// Whether all datagrams to and from the receiving host are lost from then on.
    pub isolated: bool,
    /// Host that starts late, and when, in milliseconds.
    pub late_host: Option<(usize, u64)>,
    /// Host whose process is killed, when, and for how long, in milliseconds.
    pub restart: Option<(usize, u64, u64)>,
}
