//! HTTP connections: servers, pools of outgoing connections, and the concurrency limit and queue in
//! front of the upstream.

mod body_fault;
mod connection_pool;
mod http_server;
mod inbound_room;
mod instance_notice;
mod link_pacer;
mod outbound_body;
mod outbound_stream;
mod paced_transfer;
mod proxy_body;
mod send_pace;
mod state_fetch;
mod upload_body;
mod upstream_limiter;

pub use body_fault::BodyFault;
pub use connection_pool::{ConnectionPool, OutboundRequest, OutboundResponse, SendError};
pub use http_server::{ServerKind, serve_connections};
pub use inbound_room::{InboundRoom, RoomGuard};
pub use link_pacer::{LinkPacer, LinkReservation};
pub use outbound_body::OutboundBody;
pub(crate) use outbound_stream::RemoteEnd;
pub use paced_transfer::PacedTransfer;
pub use proxy_body::{ProxyBody, ProxyResponse, StreamedBody};
pub use state_fetch::{FetchError, STATE_PATH, fetch_state, fetch_upstream_id, parse_known_state};
pub use upload_body::UploadBody;
pub use upstream_limiter::{UpstreamLimiter, UpstreamPermit};
