//! Handling of requests: routing, attempts within the retry budget, execution by the owner and
//! responses.

mod attempt_outcome;
mod attempt_step;
mod body_step;
mod caller_entry;
mod cold_step;
mod crash_reporter;
mod crash_step;
mod demand_meter;
mod forward_step;
mod notice_header;
mod notice_step;
mod owner_step;
mod request_body;
mod request_progress;
mod reserve_step;
mod response_step;
mod route_step;
mod routed_request;
mod send_step;
mod shared_state;
mod traffic_context;

/// Bytes that the head of a request or response takes on the link, about.
const HEAD_BYTES: usize = 600;

pub use attempt_outcome::{AttemptOutcome, NotRunReason};
pub use caller_entry::handle_caller_request;
pub use owner_step::handle_peer_request;
pub use shared_state::{ExitStage, SharedState};
pub use traffic_context::{InFlightGuard, TrafficContext};

pub(crate) use cold_step::{check_after_breaks, sync_upstream};
pub(crate) use crash_reporter::CrashReporter;
pub(crate) use crash_step::AnswerWatch;
pub(crate) use demand_meter::{DemandMeter, METER_INTERVAL};
pub(crate) use notice_step::check_limit;
pub(crate) use request_body::RequestBody;
pub(crate) use request_progress::{RequestProgress, RequestStage};
pub(crate) use routed_request::RoutedRequest;
pub(crate) use traffic_context::elapsed_ms;
