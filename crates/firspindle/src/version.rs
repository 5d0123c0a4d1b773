//! What the control thread publishes to traffic threads, replaced whole with each version.

mod traffic_view;

pub use traffic_view::{GateRow, TrafficView};
