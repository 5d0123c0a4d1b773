//! What a heartbeat of an upstream carries to the node on its host, and what the node replies.
//!
//! Keys are numbers from 0 to 65535. A row covers its first key, its last key and all between them.

use std::time::Duration;

use crate::version::{UpstreamInstance, UpstreamState};

/// Keys that an upstream holds or still runs requests for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldRow {
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
    /// Fence under which it holds them: the version of a plan.
    pub fence: u64,
}

/// Keys that an upstream released since its last acknowledged heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FreedRow {
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
    /// Handover token with which the next holder starts warm for these keys.
    pub handover: Box<str>,
}

/// Report that one heartbeat of an upstream carries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamReport {
    /// Instance that sent the heartbeat.
    pub instance: UpstreamInstance,
    /// Service that the upstream offers.
    pub service: Box<str>,
    /// Requests that the upstream can run at once.
    pub slots: u32,
    /// Whether the upstream accepts work.
    pub state: UpstreamState,
    /// Time for which the upstream will still be slow after its start.
    pub cold_remaining: Duration,
    /// Sequence number of the heartbeat within the instance; it rises with each one.
    pub sequence: u64,
    /// Whether it lists keys. Of a service that is sharded, one that does not is no upstream's.
    pub lists_keys: bool,
    /// Keys that the upstream holds.
    pub holds: Vec<HeldRow>,
    /// Keys that the upstream released since its last acknowledged heartbeat.
    pub freed: Vec<FreedRow>,
}

/// Keys that a node grants to its upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GrantRow {
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
    /// Fence under which the upstream is to hold them: the version of a plan.
    pub fence: u64,
    /// Handover token of the previous holder; empty if there is none.
    pub handover: Box<str>,
}

/// Reply to a heartbeat, which renews the upstream's holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GrantReply {
    /// All keys that the upstream is to hold.
    pub rows: Vec<GrantRow>,
    /// Time for which the upstream holds them, counted from when it sent the heartbeat.
    pub hold: Duration,
}

impl GrantReply {
    /// Returns the reply without handover tokens, in the fewest rows.
    #[must_use]
    pub fn without_handovers(&self) -> Self {
        let mut rows = Vec::with_capacity(self.rows.len());
        for row in &self.rows {
            add_granted(&mut rows, GrantRow { handover: "".into(), ..row.clone() });
        }
        Self { rows, hold: self.hold }
    }
}

/// Adds a row that follows the others, joined with the last one where it can be.
pub fn add_granted(rows: &mut Vec<GrantRow>, added: GrantRow) {
    match rows.last_mut() {
        Some(row)
            if u32::from(row.last) + 1 == u32::from(added.first)
                && row.fence == added.fence
                && row.handover == added.handover =>
        {
            row.last = added.last;
        }
        _ => rows.push(added),
    }
}
