//! What a large request body needs at the host of its upstream, and the answer to it.

use std::time::{Duration, Instant};

use crate::request::RequestRank;

/// Number that identifies the room that a body was given.
pub type BodyTicket = u64;

/// What a large request body needs at the host of its upstream.
#[derive(Debug, Clone, Copy)]
pub struct BodyClaim {
    /// Rank of the request.
    pub rank: RequestRank,
    /// Length in bytes; `None` if it is not known.
    pub length: Option<u64>,
    /// Time after which the caller no longer needs the response.
    pub deadline: Instant,
    /// Time by which the response meets the latency objective.
    pub objective_at: Instant,
    /// Time that the run is expected to take.
    pub run_time: Duration,
    /// Time at which the upstream is expected to have a slot, if no other body arrives before.
    pub slot_at: Instant,
    /// Time by which each body that arrives before delays the slot.
    pub slot_delay: Duration,
}

/// What a host lacks for a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoomShortage {
    /// The link could not carry the body in time.
    Link,
    /// The upstream could not run the request in time once its body has arrived.
    Slot,
    /// The node and the upstream together would hold too many bytes of bodies.
    Memory,
}

impl RoomShortage {
    /// Text in logs, in metrics and between nodes.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Link => "link-full",
            Self::Slot => "full",
            Self::Memory => "no-memory",
        }
    }
}

/// Refusal of room for a body; its request has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoomRefusal {
    /// What the host lacks.
    pub shortage: RoomShortage,
    /// Time after which there may be room.
    pub retry_after: Duration,
}

/// Bodies whose waiting ended.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LedgerTurn {
    /// Bodies that may start.
    pub started: Vec<BodyTicket>,
    /// Bodies that can no longer arrive in time.
    pub refused: Vec<(BodyTicket, RoomRefusal)>,
    /// Tickets that were not used in time and are no longer valid.
    pub expired: Vec<BodyTicket>,
}
