//! Where a record that a node applies came from, for its log.

use std::time::{Duration, Instant};

use firspindle_core::version::LogPosition;

/// Where a record that is applied came from.
#[derive(Debug, Clone, Copy)]
pub(super) enum RecordOrigin {
    /// Read from the store at a position, by a call that began at a time.
    Store {
        /// Position of the record.
        position: LogPosition,
        /// When the call began.
        read_at: Instant,
    },
    /// Fetched from a peer that has applied records up to a position.
    Peer {
        /// End of the log at the peer.
        end: LogPosition,
    },
    /// Appended by this node, by a call that began at a time.
    Append {
        /// End of the log after the record.
        end: LogPosition,
        /// When the call began.
        began_at: Instant,
    },
}

impl RecordOrigin {
    /// Returns the name for the log.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Store { .. } => "store",
            Self::Peer { .. } => "peer",
            Self::Append { .. } => "append",
        }
    }

    /// Returns the position of the record, or the end of the log after it.
    pub(super) const fn position(self) -> LogPosition {
        match self {
            Self::Store { position, .. } => position,
            Self::Peer { end } | Self::Append { end, .. } => end,
        }
    }

    /// Returns the time since the call began that brought the record; `None` from a peer.
    pub(super) fn age(self, now: Instant) -> Option<Duration> {
        match self {
            Self::Store { read_at: at, .. } | Self::Append { began_at: at, .. } => {
                Some(now.saturating_duration_since(at))
            }
            Self::Peer { .. } => None,
        }
    }
}
