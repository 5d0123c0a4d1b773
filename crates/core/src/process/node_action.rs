//! What the machine asks its surroundings to do.

use crate::PartitionId;
use crate::connection::{DedupState, Envelope};
use crate::version::LogRecord;

use super::FenceToken;

/// An effect for the surroundings to carry out, in order.
#[derive(Debug, Clone, PartialEq)]
pub enum NodeAction {
    /// Sends a message; it may be lost, repeated or late.
    Send {
        /// Peer address.
        address: Box<str>,
        /// Message.
        envelope: Envelope,
    },
    /// Appends a record; the machine hears of it by folding it, or by
    /// [`append_failed`](super::NodeMachine::append_failed).
    Append {
        /// Record.
        record: LogRecord,
    },
    /// Opens a partition for requests.
    Open {
        /// Partition.
        partition: PartitionId,
        /// Fence of the grant.
        fence: FenceToken,
        /// Memories of earlier holders.
        dedup_state: Vec<DedupState>,
        /// Whether every earlier holder handed its memory over.
        clean: bool,
    },
    /// Raises the fence of an open partition.
    Refence {
        /// Partition.
        partition: PartitionId,
        /// New fence.
        fence: FenceToken,
    },
    /// Closes a partition for new requests; the surroundings report when none is in flight.
    Close {
        /// Partition.
        partition: PartitionId,
    },
    /// Drops a partition at once: the incarnation ended.
    Abandon {
        /// Partition.
        partition: PartitionId,
    },
    /// Passes suspects heard from a peer to the traffic side.
    Suspects {
        /// Rows heard.
        rows: Vec<crate::connection::SuspectRow>,
    },
    /// Everything is released and recorded; the process may end.
    Finished,
}
