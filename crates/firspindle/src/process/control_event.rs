//! What the control thread hears of.

use std::net::SocketAddr;

use firspindle_core::connection::{Envelope, SuspectRow};
use firspindle_core::version::{FoldState, LogRecord};
use firspindle_core::{LogOffset, PartitionId, RecordId};
use serde::{Deserialize, Serialize};

/// An event for the control thread.
#[derive(Debug)]
pub enum ControlEvent {
    /// A record of the log; `None` for bytes that are none.
    Record(LogOffset, Option<Box<LogRecord>>),
    /// A checkpoint to start from.
    Checkpoint(Box<FoldState>),
    /// Records expired before they were read.
    RecordsExpired,
    /// A message of another node.
    Peer(Box<Envelope>),
    /// The upstream announced itself.
    Announce(AnnounceBody),
    /// The upstream refuses connections.
    UpstreamGone,
    /// The upstream neither answers nor announces itself.
    UpstreamFrozen,
    /// No request of a closed partition is in flight.
    PartitionIdle(PartitionId),
    /// A record is not on the log.
    AppendFailed(RecordId),
    /// A request was in flight when the upstream crashed.
    Suspect(SuspectRow),
    /// The process shall end.
    Shutdown,
}

/// Body of `POST /announce`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnounceBody {
    /// Service that the upstream runs.
    pub service: Box<str>,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Whether it refuses work outside its grant.
    pub checks_grants: bool,
    /// Random id of its process, in hexadecimal.
    pub boot_id: Box<str>,
    /// Requests that it says it runs; a hint.
    pub running: u32,
    /// Whether it wants to stop.
    pub leaving: bool,
}
