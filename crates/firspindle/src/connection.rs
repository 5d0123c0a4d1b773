//! What lives as long as a link to an upstream or another node.

mod http_pool;
mod partition_gate;
mod upstream_link;

pub use http_pool::{is_connection_header, plain_value, HttpPool, PoolFailure, PoolRequest, PoolResponse};
pub use partition_gate::{GatePass, PartitionGate};
pub use upstream_link::{SlotPass, UpstreamLink};
