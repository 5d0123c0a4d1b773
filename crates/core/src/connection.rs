//! Messages between nodes, and heartbeats between an upstream and the node on its host.
//!
//! Each [`PeerMessage`] is a hint or a promise between two incarnations of nodes; only the log
//! gives an order. An [`Envelope`] names the sending and receiving incarnation, so a message for an
//! earlier process at the same address is dropped.

mod body_claim;
mod demand_report;
mod gossip_message;
mod inbound_ledger;
mod link_estimate;
mod link_schedule;
mod load_report;
mod own_report;
mod peer_message;
mod relay_report;
mod sender_meter;
mod state_mark;
mod upstream_limit;
mod upstream_report;

pub use body_claim::{BodyClaim, BodyTicket, LedgerTurn, RoomRefusal, RoomShortage};
pub use demand_report::{DemandReport, HOT_CELLS, HotCell};
pub use gossip_message::{EchoRow, EndedFenceList, GossipMessage, UpstreamLoad};
pub use inbound_ledger::InboundLedger;
pub use link_estimate::LinkEstimate;
pub use link_schedule::{BodyOrder, LinkSchedule, PartTicket};
pub use load_report::LoadReport;
pub use own_report::{OwnReport, ReportRefusal};
pub use peer_message::{
    DedupState, Envelope, PeerMessage, PeerRecord, ReleaseNotice, ReleaseRequest, RenewReply,
    RenewRequest, RenewVerdict, RevokeReply, RevokeRequest, RevokeVerdict, RunState, SeenRequest,
    SuspectRow, SwitchReply, SwitchRequest, SwitchVerdict,
};
pub use relay_report::{
    AttestationRow, HostHash, RelayReport, RelayedLoad, cover_hosts, hash_host,
};
pub use sender_meter::SenderMeter;
pub use state_mark::StateMark;
pub use upstream_limit::{LimitError, UpstreamLimit};
pub use upstream_report::{FreedRow, GrantReply, GrantRow, HeldRow, UpstreamReport, add_granted};
