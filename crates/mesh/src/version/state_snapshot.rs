//! What a node that cannot read the store takes from a peer.

use serde::{Deserialize, Serialize};

/// Newest records of each kind, with the ends up to which they are the newest.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct StateSnapshot {
    /// End of the manifests.
    pub manifest_end: u64,
    /// Newest valid manifest as the operator wrote it, or empty.
    pub manifest: Vec<u8>,
    /// End of the plans.
    pub plan_end: u64,
    /// Newest plan, or empty.
    pub plan: Vec<u8>,
    /// End of the hosts' records.
    pub hosts_end: u64,
    /// Newest record of each host.
    pub hosts: Vec<Vec<u8>>,
}

impl StateSnapshot {
    /// Bytes of the snapshot.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Snapshot of some bytes; `None` if they are none.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
