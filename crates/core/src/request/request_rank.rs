//! Rank of a request among those that wait for an upstream.

/// Highest number of a rank.
const MAX_RANK: u32 = 15;

/// Rank of a request; a lower one is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestRank(u8);

impl RequestRank {
    /// Rank of calls that upstreams make while they run a request: the request holds its slot until they
    /// are answered.
    pub const CALL: Self = Self(0);

    /// Number of ranks.
    pub const COUNT: usize = MAX_RANK as usize + 1;

    /// Returns the rank of a caller's request on a route with this priority.
    #[allow(clippy::cast_possible_truncation)]
    pub fn of_priority(priority: u32) -> Self {
        Self(priority.saturating_add(1).min(MAX_RANK) as u8)
    }

    /// Returns the rank with a number; higher numbers than there are ranks count as the last.
    #[allow(clippy::cast_possible_truncation)]
    pub fn from_number(number: u32) -> Self {
        Self(number.min(MAX_RANK) as u8)
    }

    /// The rank that is served before this one; the first has none before it.
    #[must_use]
    pub const fn next_urgent(self) -> Self {
        Self(self.0.saturating_sub(1))
    }

    /// Number of the rank, from 0 on.
    pub const fn number(self) -> usize {
        self.0 as usize
    }
}
