//! What lives for one request.

mod caller_answer;
mod caller_request;
mod entry_step;
mod forward_step;
mod owner_step;
mod traffic_context;
mod traffic_service;

pub use caller_answer::CallerAnswer;
pub use caller_request::CallerRequest;
pub use traffic_context::TrafficContext;
pub(crate) use traffic_service::run_server;
pub use traffic_service::{StopServer, serve_requests};
