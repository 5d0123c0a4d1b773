//! Effects that the runtime carries out for the machine.

use crate::PartitionId;
use crate::connection::{DedupState, Envelope};
use crate::version::LogRecord;

use super::FenceToken;

/// One effect; the runtime carries effects out in the order given.
#[derive(Debug, Clone, PartialEq)]
pub enum NodeAction {
    /// Sends a message, which may be lost, duplicated or delayed.
    Send {
        /// Address of the receiver's peer listener.
        address: Box<str>,
        /// Message with the incarnations at both ends.
        envelope: Envelope,
    },
    /// Appends a record to the log. The machine learns the outcome when it folds the record or
    /// when [`append_failed`](super::NodeMachine::append_failed) is called.
    Append {
        /// Record to append.
        record: LogRecord,
    },
    /// Opens a partition for requests.
    Open {
        /// Partition to open.
        partition: PartitionId,
        /// Fence of the grant under which it is served.
        fence: FenceToken,
        /// Deduplication state that earlier holders handed over.
        dedup_state: Vec<DedupState>,
        /// Whether that state covers all requests that may have run under earlier holders.
        dedup_complete: bool,
    },
    /// Adds deduplication state of earlier holders that arrived after the partition was opened.
    CompleteDedup {
        /// Partition that is open.
        partition: PartitionId,
        /// State of all earlier holders whose state was missing.
        dedup_state: Vec<DedupState>,
    },
    /// Raises the fence of an open partition.
    RaiseFence {
        /// Partition that stays open.
        partition: PartitionId,
        /// New fence.
        fence: FenceToken,
    },
    /// Closes a partition to new requests; the runtime calls
    /// [`partition_idle`](super::NodeMachine::partition_idle) once none is in flight.
    Close {
        /// Partition to close.
        partition: PartitionId,
    },
    /// Drops a partition at once because the incarnation ended.
    Abandon {
        /// Partition to drop.
        partition: PartitionId,
    },
    /// Passes new or changed suspects on to request handling.
    Suspects {
        /// Requests suspected of crashing upstreams.
        rows: Vec<crate::connection::SuspectRow>,
    },
    /// The drain is over; the process may end.
    Finished,
}
