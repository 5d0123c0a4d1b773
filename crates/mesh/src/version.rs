//! Immutable state that the control thread publishes: the view for the traffic thread and the
//! snapshot for peers.

mod mesh_view;
mod state_snapshot;

pub use mesh_view::{ColdReport, MeshView, PeerView, RangeView, UpstreamView};
pub use state_snapshot::{KnownState, PeerState, StateNews, StateSnapshot};
