//! What a node tells the others about itself on the store.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::UpstreamInstance;

/// Whether an upstream takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamState {
    /// It takes work.
    Ready,
    /// It leaves and takes no new work.
    Draining,
    /// It is gone, or nothing was heard of it for longer than its grants last.
    Gone,
}

/// The upstream beside a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamRecord {
    /// Life.
    pub instance: UpstreamInstance,
    /// Service.
    pub service: Box<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes work.
    pub state: UpstreamState,
}

/// A node and the upstream beside it, as the newest record of the host's key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Host; the record's key.
    pub host: Box<str>,
    /// Data centre.
    pub data_centre: Box<str>,
    /// Number of the process: Unix time of its start in milliseconds.
    pub incarnation: u64,
    /// Number of the record within the incarnation.
    pub revision: u64,
    /// Address for requests of other nodes.
    pub forward: SocketAddr,
    /// Address for datagrams of other nodes.
    pub gossip: SocketAddr,
    /// Service of the upstream beside it, from the settings.
    pub service: Box<str>,
    /// The upstream, once it was heard.
    pub upstream: Option<UpstreamRecord>,
}

impl HostRecord {
    /// Whether this record was made after another of the same host.
    pub fn is_newer(&self, other: &Self) -> bool {
        (self.incarnation, self.revision) > (other.incarnation, other.revision)
    }

    /// Bytes of the record.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Record of some bytes; `None` if they are none.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
