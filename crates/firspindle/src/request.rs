//! Handling of requests: checks, routing to a node that serves the partition, execution by that
//! node, and responses.

mod caller_request;
mod caller_response;
mod entry_step;
mod forward_step;
mod owner_step;
mod traffic_context;
mod traffic_service;

pub use caller_request::CallerRequest;
pub use caller_response::CallerResponse;
pub use traffic_context::TrafficContext;
pub use traffic_service::serve_requests;
