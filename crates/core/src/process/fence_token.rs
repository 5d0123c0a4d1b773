//! Fencing tokens of partition grants.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::LogOffset;

/// Fencing token of a grant: the offset of the assignment and the holder's rank in it.
///
/// Tokens are ordered by offset first, then by rank. Within one partition, each holder's token is
/// higher than that of the holder before it. The text form is `OFFSET.RANK`; parsing takes a
/// missing rank as 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FenceToken {
    /// Offset of the record that assigned the partition.
    pub offset: LogOffset,
    /// Rank in the assignment: 0 for the owner, 1 for its first successor, and so on.
    pub rank: u16,
}

impl fmt::Display for FenceToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.offset, self.rank)
    }
}

impl FromStr for FenceToken {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (offset, rank) = text.split_once('.').unwrap_or((text, "0"));
        Ok(Self { offset: offset.parse()?, rank: rank.parse()? })
    }
}
