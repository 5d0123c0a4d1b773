//! State that a node fetches from a peer when it cannot read the store.

use firspindle_core::connection::StateMark;
use firspindle_core::version::{EvacuationSet, LogPosition, PlanChanges, PlanVersion, RangePlan};
use serde::{Deserialize, Serialize};

/// Newest records of each topic of the store, each with the end of the log up to which they are the
/// newest.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct StateSnapshot {
    /// Which records the node has applied.
    pub mark: StateMark,
    /// Log end of the manifests.
    pub manifest_end: LogPosition,
    /// Newest valid manifest as the operator wrote it, or empty.
    pub manifest: Vec<u8>,
    /// Newest plan, or empty.
    pub plan: Vec<u8>,
    /// Log end of the host records.
    pub hosts_end: LogPosition,
    /// Newest record of each host.
    pub hosts: Vec<Vec<u8>>,
    /// Evacuated data centres. They follow the other fields, where earlier versions do not read them.
    #[serde(skip)]
    pub evacuations: EvacuationSet,
}

/// What a node knows that asks a peer for newer records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownState {
    /// Version of its plan; 0 if it has none.
    pub plan: PlanVersion,
    /// Version of its manifest.
    pub manifest: u64,
    /// Position up to which it knows the evacuations.
    pub evacuations: Option<LogPosition>,
}

/// What a node lacks of a peer's state: the changes of the plan, and the manifest and the evacuations if
/// they are newer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateNews {
    /// Which records the peer has applied.
    pub mark: StateMark,
    /// Log end of the manifests.
    pub manifest_end: LogPosition,
    /// Newest valid manifest as the operator wrote it; `None` if it is known.
    pub manifest: Option<Vec<u8>>,
    /// Changes from the known plan to the newest; `None` without a newer one.
    pub changes: Option<PlanChanges>,
    /// Evacuated data centres; without a position if they are known. They follow the other fields, where
    /// earlier versions do not read them.
    #[serde(skip)]
    pub evacuations: EvacuationSet,
}

/// Encodes a state and the evacuations after it.
fn encode_with(state: &impl Serialize, evacuations: &EvacuationSet) -> Vec<u8> {
    let mut bytes = postcard::to_allocvec(state).unwrap_or_default();
    bytes.extend(postcard::to_allocvec(evacuations).unwrap_or_default());
    bytes
}

impl StateNews {
    /// Encodes the news.
    pub fn encode(&self) -> Vec<u8> {
        encode_with(self, &self.evacuations)
    }

    /// Decodes news; `None` if the bytes are malformed.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (mut news, rest) = postcard::take_from_bytes::<Self>(bytes).ok()?;
        news.evacuations = postcard::from_bytes(rest).unwrap_or_default();
        Some(news)
    }
}

/// State fetched from a peer.
#[derive(Debug, Clone)]
pub enum PeerState {
    /// The whole state.
    Whole(StateSnapshot),
    /// What is newer than the state that this node knew when it asked.
    News(StateNews),
}

impl StateSnapshot {
    /// Returns what a node lacks that knows an earlier state.
    pub fn news_since(&self, known: KnownState) -> StateNews {
        let newer_manifest = self.mark.manifest > known.manifest;
        let plan = RangePlan::decode(&self.plan).filter(|plan| plan.version > known.plan);
        let newer_evacuations = self.evacuations.position() > known.evacuations;
        let evacuations = newer_evacuations.then(|| self.evacuations.clone());
        StateNews {
            mark: self.mark,
            manifest_end: self.manifest_end,
            manifest: newer_manifest.then(|| self.manifest.clone()),
            changes: plan.map(|plan| PlanChanges::new(known.plan, &plan)),
            evacuations: evacuations.unwrap_or_default(),
        }
    }

    /// Encodes the snapshot.
    pub fn encode(&self) -> Vec<u8> {
        encode_with(self, &self.evacuations)
    }

    /// Decodes a snapshot; `None` if the bytes are not a valid one.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (mut snapshot, rest) = postcard::take_from_bytes::<Self>(bytes).ok()?;
        snapshot.evacuations = postcard::from_bytes(rest).unwrap_or_default();
        snapshot.mark.evacuations = snapshot.evacuations.position();
        Some(snapshot)
    }
}
