//! What lives as long as a link to an upstream or another node.

mod http_pool;
mod partition_gate;
mod upstream_handle;

pub use http_pool::{
    HttpPool, PoolFailure, PoolRequest, PoolResponse, is_connection_header, passed_headers,
    plain_value,
};
pub use partition_gate::{GatePass, PartitionGate};
pub use upstream_handle::{SlotPass, UpstreamHandle};
