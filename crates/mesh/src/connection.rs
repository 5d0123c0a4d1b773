//! What lives as long as a connection: pools of links, the gate before the upstream, servers.

mod answer_body;
mod http_server;
mod link_pool;
mod state_fetch;
mod upstream_gate;

pub use answer_body::{AnswerBody, AnswerResponse, LinkBody};
pub use http_server::{ServerKind, serve_connections};
pub use link_pool::{LinkPool, LinkRequest, LinkResponse, SendError};
pub use state_fetch::{STATE_PATH, fetch_state, fetch_upstream_id};
pub use upstream_gate::{GatePass, GateRefusal, UpstreamGate};
