//! What lives for one request.

mod answer_step;
mod attempt_step;
mod caller_entry;
mod crash_step;
mod demand_meter;
mod forward_step;
mod owner_step;
mod place_step;
mod placed_request;
mod shared_state;
mod step_outcome;
mod traffic_context;

pub use caller_entry::answer_caller;
pub use owner_step::answer_peer;
pub use shared_state::SharedState;
pub use step_outcome::{NotRunReason, StepOutcome};
pub use traffic_context::{InFlight, TrafficContext};

pub(crate) use demand_meter::{DemandMeter, METER_INTERVAL};
pub(crate) use placed_request::PlacedRequest;
