//! Position in a log whose store may be restored from an older copy.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Number of restores that a store has had. A restore drops the newest records of every log, and their
/// offsets are given out again.
pub type LogEpoch = u64;

/// Position in a log: later epochs first, then offsets within one epoch.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct LogPosition {
    /// Epoch in which the offset was read or written.
    pub epoch: LogEpoch,
    /// Number of records before the position.
    pub offset: u64,
}

impl LogPosition {
    /// Creates a position.
    pub const fn new(epoch: LogEpoch, offset: u64) -> Self {
        Self { epoch, offset }
    }
}

impl fmt::Display for LogPosition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.epoch, self.offset)
    }
}
