//! Datagrams between nodes: freshness of the store's records, load, ended fences.
//!
//! A lost datagram is made good by the next. None of them is an order; the end of a fence is a
//! fact that stays true however late it arrives.

use serde::{Deserialize, Serialize};

use super::DemandReport;
use crate::process::EndedFence;
use crate::request::SuspectHint;
use crate::version::HostRecord;

/// Ends of fences.
pub type EndedFenceList = Vec<EndedFence>;

/// Load of the upstream beside a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait at the node.
    pub waiting: u32,
    /// Requests that it runs at once; 0 while it takes no work.
    pub slots: u32,
    /// Mean time of a run in milliseconds.
    pub service_ms: u32,
}

/// Answer to the stamp of an earlier datagram of the receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EchoRow {
    /// Stamp of that datagram, on the receiver's clock, in milliseconds.
    pub stamp_ms: u64,
    /// End of the plans that the sender folded.
    pub plan_end: u64,
    /// Age of the sender's confirmation of that end when this was sent, if it has one.
    pub age_ms: Option<u64>,
    /// Whether the sender vouches that nothing was granted beside it under a later plan.
    pub attests: bool,
}

/// One datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// Record of the sender, as it will lie on the store.
    pub sender: HostRecord,
    /// Time on the sender's clock, in milliseconds.
    pub stamp_ms: u64,
    /// Echo of the receiver's newest stamp, if the sender's plan is confirmed.
    pub echo: Option<EchoRow>,
    /// Ends of the plans, hosts and manifests that the sender folded.
    pub ends: [u64; 3],
    /// Whether the store answered the sender lately.
    pub reaches_store: bool,
    /// Plan version up to which nothing earlier can run on the sender's cells.
    pub settled_version: u64,
    /// Load of the upstream beside the sender.
    pub load: UpstreamLoad,
    /// Demand for the keys of that upstream, where the receiver may plan.
    pub demand: Option<DemandReport>,
    /// Ended fences for the receiver.
    pub ended: EndedFenceList,
    /// Ended fences of the receiver that the sender took.
    pub acknowledged: EndedFenceList,
    /// Requests that the sender suspects of crashing upstreams.
    pub suspects: Vec<SuspectHint>,
}

impl GossipMessage {
    /// Bytes of the datagram.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Datagram of some bytes; `None` if they are none.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
