//! Messages between nodes.
//!
//! Each message is a hint or a promise between two incarnations; none of them orders anything.
//! An [`Envelope`] names the incarnations at both ends, so a message meant for an earlier
//! process in the same slot is dropped.

mod demand_report;
mod gossip_message;
mod peer_message;
mod upstream_report;

pub use demand_report::{DemandReport, HOT_CELLS, HotCell};
pub use gossip_message::{EchoRow, EndedFenceList, GossipMessage, UpstreamLoad};
pub use peer_message::{
    Envelope, HandoverMemory, HeldRequest, LapseAnswer, LapseQuery, LapseReply, MoveReply,
    MoveRequest, MoveVerdict, PeerMessage, PeerRecord, ReleaseAsk, ReleaseNotice, RenewReply,
    RenewRequest, RenewVerdict, RunState, SuspectRow,
};
pub use upstream_report::{FreedRow, GrantReply, GrantRow, HeldRow, UpstreamReport};
