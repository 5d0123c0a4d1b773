//! State that a node fetches from a peer when it cannot read the store.

use serde::{Deserialize, Serialize};

/// Newest records of each topic of the store, each with the end of the log up to which they are the
/// newest.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct StateSnapshot {
    /// Log end of the manifests.
    pub manifest_end: u64,
    /// Newest valid manifest as the operator wrote it, or empty.
    pub manifest: Vec<u8>,
    /// Log end of the plans.
    pub plan_end: u64,
    /// Newest plan, or empty.
    pub plan: Vec<u8>,
    /// Log end of the host records.
    pub hosts_end: u64,
    /// Newest record of each host.
    pub hosts: Vec<Vec<u8>>,
}

impl StateSnapshot {
    /// Encodes the snapshot.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes a snapshot; `None` if the bytes are not a valid one.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
