//! The view of the control state that the control thread publishes to the traffic threads. Each
//! change replaces the whole view.

mod traffic_view;

pub use traffic_view::{GateRow, TrafficView};
