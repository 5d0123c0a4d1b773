//! A request that claims a slot of an upstream, and what is decided on it.

use std::time::{Duration, Instant};

use super::RequestRank;
use crate::version::RouteId;

/// Divisor of the time that a caller has left that gives the longest time to tell it to wait.
const RETURN_DIVISOR: u32 = 3;

/// Number that identifies a claim at one queue.
pub type ClaimTicket = u64;

/// A request that claims a slot of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotClaim {
    /// Rank of the request.
    pub rank: RequestRank,
    /// Route of the request.
    pub route: RouteId,
    /// Arrival at the upstream's node.
    pub arrived: Instant,
    /// First try of the caller if this is a later one.
    pub returned_from: Option<Instant>,
    /// Time by which the response meets the objective.
    pub objective_at: Instant,
    /// Time after which the caller no longer needs the response.
    pub deadline: Instant,
}

impl SlotClaim {
    /// Longest time after which its caller is told to return.
    pub fn longest_return(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now) / RETURN_DIVISOR
    }

    /// Latest start with which a run of `high` meets the objective.
    pub fn timely_start(&self, high: Duration) -> Instant {
        self.objective_at.checked_sub(high).unwrap_or(self.arrived)
    }

    /// Time until which the request may wait for a slot, for runs with this mean and high percentile.
    ///
    /// A call may use all of its time, because its parent is lost with it. A caller's request that can
    /// only be late waits for half of the time that a run leaves it: then a refusal comes soon enough
    /// for the caller to return.
    pub fn latest_start(&self, mean: Duration, high: Duration) -> Instant {
        let last = self.deadline.checked_sub(mean).unwrap_or(self.arrived);
        if self.rank == RequestRank::CALL {
            return last;
        }
        let half = self.arrived + last.saturating_duration_since(self.arrived) / 2;
        self.timely_start(high).max(half).min(last)
    }
}

/// Why a claim gets no slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimReason {
    /// Its expected start was after its latest start when it arrived.
    NoRoom,
    /// It waited, and can no longer start in time.
    Lost,
    /// The queue was full, and this was the last in it.
    Displaced,
}

impl ClaimReason {
    /// Text of the reason in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoRoom => "no-room",
            Self::Lost => "lost",
            Self::Displaced => "displaced",
        }
    }
}

/// What was expected of a claim when it was decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimForecast {
    /// When it was expected to start.
    pub expected_start: Instant,
    /// Time until which it may wait.
    pub latest_start: Instant,
    /// Claims that go before it.
    pub ahead: usize,
}

/// Refusal of a claim; the request has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimRefusal {
    /// Time after which the caller may return.
    pub retry_after: Duration,
    /// Why it is refused.
    pub reason: ClaimReason,
}

/// Decision on an arriving claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimDecision {
    /// It starts at once.
    Start,
    /// It waits until it is settled.
    Wait,
    /// It is refused.
    Refuse(ClaimRefusal),
}

/// Decision on a waiting claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SettledClaim {
    /// The claim.
    pub ticket: ClaimTicket,
    /// `None` if it starts now.
    pub refusal: Option<ClaimRefusal>,
}
