//! What an upstream and the node beside it tell each other in heartbeats.

use std::time::Duration;

use crate::version::{UpstreamInstance, UpstreamState};

/// Keys that an upstream holds or still works on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldRow {
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
    /// Fence under which it holds them.
    pub fence: u64,
}

/// Keys that an upstream released since its last acknowledged heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FreedRow {
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
    /// Token that keeps the keys warm at their next holder.
    pub handover: Box<str>,
}

/// One heartbeat of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamReport {
    /// Life that sent it.
    pub instance: UpstreamInstance,
    /// Service that it offers.
    pub service: Box<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes work.
    pub state: UpstreamState,
    /// Time for which it stays slow after its start.
    pub cold: Duration,
    /// Number of the heartbeat within its life.
    pub sequence: u64,
    /// Keys that it holds.
    pub holds: Vec<HeldRow>,
    /// Keys that it released.
    pub freed: Vec<FreedRow>,
}

/// Keys that an upstream is to hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GrantRow {
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
    /// Fence.
    pub fence: u64,
    /// Token of the last holder, or empty.
    pub handover: Box<str>,
}

/// Answer to a heartbeat that renews a hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GrantReply {
    /// All that the upstream is to hold.
    pub rows: Vec<GrantRow>,
    /// Time for which it holds them, from when it sent the heartbeat.
    pub hold: Duration,
}
