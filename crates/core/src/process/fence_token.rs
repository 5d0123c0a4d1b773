//! Fences.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::LogOffset;

/// Fence of a grant: the offset of the line, then the place in it.
///
/// Fences of one partition rise from each holder to the next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FenceToken {
    /// Offset of the record that assigned the partition.
    pub offset: LogOffset,
    /// Place in the line, 0 for the owner.
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
