//! Offsets of a log that may come back from an older copy.
//!
//! A log that comes back from an older copy gives out offsets again. The platform counts such
//! restores, so a [`LogOffset`] holds that count (the epoch) in its upper 24 bits and the offset on
//! the log in its lower 40: whatever was decided in an older epoch comes before all of a newer one.

use crate::LogOffset;

/// Number of times that the log had come back from an older copy when a record was folded.
pub type FoldEpoch = u64;

const OFFSET_BITS: u32 = 40;

/// Highest epoch that a [`LogOffset`] can hold.
pub const MAX_EPOCH: FoldEpoch = (1 << (u64::BITS - OFFSET_BITS)) - 1;

/// Returns the position of an offset on the log in an epoch.
pub const fn epoch_offset(epoch: FoldEpoch, offset: u64) -> LogOffset {
    debug_assert!(epoch <= MAX_EPOCH && offset >> OFFSET_BITS == 0);
    (epoch << OFFSET_BITS) | offset
}

/// Returns the epoch of a position.
pub const fn epoch_of(offset: LogOffset) -> FoldEpoch {
    offset >> OFFSET_BITS
}

/// Returns the offset on the log of a position.
pub const fn offset_in_log(offset: LogOffset) -> u64 {
    offset & ((1 << OFFSET_BITS) - 1)
}
