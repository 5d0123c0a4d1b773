//! What the control thread publishes for traffic.

mod mesh_view;
mod state_snapshot;

pub use mesh_view::{MeshView, PeerView, RangeView, UpstreamView};
pub use state_snapshot::StateSnapshot;
