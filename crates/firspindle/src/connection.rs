//! State that outlives single requests: pooled HTTP connections, the gates of partitions, and the
//! concurrency limit and queue in front of the upstream.

mod connection_pool;
mod http_server;
mod partition_gate;
mod upstream_handle;

pub use connection_pool::{
    ConnectionPool, OutboundRequest, OutboundResponse, SendError, end_to_end_headers, header_value,
    is_hop_by_hop_header,
};
pub use http_server::{StopServer, serve};
pub use partition_gate::{GateGuard, PartitionGate};
pub use upstream_handle::{UpstreamHandle, UpstreamPermit};
