//! Events that the control thread handles.

use std::net::SocketAddr;

use firspindle_core::connection::{Envelope, SuspectRow};
use firspindle_core::version::{FoldEpoch, FoldState, LogRecord};
use firspindle_core::{LogOffset, PartitionId, RecordId};
use serde::{Deserialize, Serialize};

/// An event for the control thread.
#[derive(Debug)]
pub enum ControlEvent {
    /// A record of the log at its offset; `None` if its bytes cannot be decoded.
    Record(LogOffset, Option<Box<LogRecord>>),
    /// State of a checkpoint from which to start.
    Checkpoint(Box<FoldState>),
    /// Epoch of the log: it came back from an older copy.
    LogEpoch(FoldEpoch),
    /// Records expired from the log before this node read them.
    RecordsExpired,
    /// A message from another node.
    Peer(Box<Envelope>),
    /// The upstream announced itself, or that it leaves.
    Announce(AnnounceBody),
    /// An answer of the upstream's process with this boot id says that it leaves.
    UpstreamLeaving(Box<str>),
    /// The upstream refuses connections.
    UpstreamGone,
    /// The upstream has requests in flight but neither responds nor announces itself.
    UpstreamUnresponsive,
    /// No request of this closed partition is in flight any more.
    PartitionIdle(PartitionId),
    /// An append failed: the record with this id is not on the log.
    AppendFailed(RecordId),
    /// A request that was in flight when the upstream crashed.
    Suspect(SuspectRow),
    /// The process shuts down.
    Shutdown,
}

/// Body of `POST /announce`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnounceBody {
    /// Name of the service that the upstream offers.
    pub service: Box<str>,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// Number of connections that it accepts.
    pub connections: u32,
    /// Whether it refuses requests that its grant does not cover.
    pub checks_grants: bool,
    /// Random id of its process, in hexadecimal.
    pub boot_id: Box<str>,
    /// Number of requests that it reports as running; a hint only.
    pub running: u32,
    /// Whether it wants to stop.
    pub leaving: bool,
    /// Requests per second that it takes, as a decimal number; `None` without a limit.
    #[serde(default)]
    pub limit: Option<Box<str>>,
}
