//! Everything that lives as long as the process: settings, threads and the control state.

mod admin_server;
mod asked_table;
mod change_log;
mod control_event;
mod control_metrics;
mod control_state;
mod control_thread;
mod datagram_inbox;
mod evacuation_metrics;
mod fetch_table;
mod heard_mark;
mod mesh_metrics;
mod mesh_node;
mod mesh_settings;
mod peer_table;
mod slot_metrics;
mod store_watch;
mod upstream_metrics;

pub use control_event::ControlEvent;
pub use control_metrics::{ControlMetrics, DatagramOutcome};
pub use control_state::{ControlAction, ControlState, EvacuationFaults, PeerPlace};
pub use evacuation_metrics::EvacuationMetrics;
pub use mesh_metrics::{MeshMetrics, PeerTraffic};
pub use mesh_node::{NodeError, run_mesh_node};
pub use mesh_settings::{MeshBounds, MeshListen, MeshSettings};
pub use slot_metrics::SlotMetrics;
pub use store_watch::{ReadSchedule, ReadStart, shown_at};
pub use upstream_metrics::UpstreamMetrics;
