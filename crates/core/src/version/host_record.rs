//! Record in which a node announces itself and its upstream to the other nodes.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::UpstreamInstance;

/// Latest time that an incarnation may state, some thousands of years ahead.
pub const MAX_INCARNATION: u64 = 1 << 48;

/// Whether an upstream accepts work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamState {
    /// It accepts work.
    Ready,
    /// It is shutting down and accepts no new work.
    Draining,
    /// It has ended, or has sent no heartbeat for longer than its grants last.
    Gone,
}

/// Local upstream of a node, as last announced.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamRecord {
    /// Instance that sent the heartbeats.
    pub instance: UpstreamInstance,
    /// Service that it offers.
    pub service: Box<str>,
    /// Requests that it can run at once.
    pub slots: u32,
    /// Whether it accepts work.
    pub state: UpstreamState,
}

/// A node and its local upstream. The newest record under the host's key is in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Name of the host, which is also the record's key.
    pub host: Box<str>,
    /// Data centre of the host.
    pub data_centre: Box<str>,
    /// Incarnation of the node's process: Unix time of its start in milliseconds.
    pub incarnation: u64,
    /// Sequence number of the record within the incarnation.
    pub revision: u64,
    /// Address at which the node accepts requests forwarded by other nodes.
    pub forward: SocketAddr,
    /// Address at which the node receives datagrams of other nodes.
    pub gossip: SocketAddr,
    /// Service of the local upstream, from the node's settings.
    pub service: Box<str>,
    /// Local upstream; `None` before its first heartbeat.
    pub upstream: Option<UpstreamRecord>,
}

impl HostRecord {
    /// Whether this record was written after `other`, a record of the same host.
    pub fn is_newer(&self, other: &Self) -> bool {
        (self.incarnation, self.revision) > (other.incarnation, other.revision)
    }

    /// Whether two records of one host differ at most in the process that wrote them.
    pub fn says_the_same(&self, other: &Self) -> bool {
        let own = (&self.forward, &self.gossip, &self.service, &self.data_centre, &self.upstream);
        own == (&other.forward, &other.gossip, &other.service, &other.data_centre, &other.upstream)
    }

    /// Encodes the record.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes a record; `None` if the bytes are malformed or contradict themselves.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok().filter(Self::is_consistent)
    }

    /// Whether a node can have written the record: its upstream is of the host's service, and its
    /// incarnation is a time.
    pub fn is_consistent(&self) -> bool {
        let same_service = |upstream: &UpstreamRecord| upstream.service == self.service;
        self.upstream.as_ref().is_none_or(same_service) && self.incarnation <= MAX_INCARNATION
    }
}
