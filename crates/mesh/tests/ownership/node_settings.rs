//! Settings of nodes in memory.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use firspindle_mesh::process::{MeshBounds, MeshListen, MeshSettings};

use crate::codec::SERVICE;

/// Returns the settings of a node whose addresses all have this IP address.
pub fn node_settings(host: &str, data_centre: &str, ip: IpAddr) -> MeshSettings {
    let address = |port| SocketAddr::new(ip, port);
    MeshSettings {
        host: host.into(),
        data_centre: data_centre.into(),
        service: SERVICE.into(),
        upstream: address(1),
        store: "store".into(),
        bootstrap: false,
        listen: MeshListen {
            traffic: address(2),
            forward: address(3),
            readiness: address(4),
            heartbeats: address(5),
            gossip: address(6),
            admin: address(7),
        },
        bounds: MeshBounds {
            apply: Duration::from_secs(2),
            link_rate: None,
            drain: Duration::from_secs(2),
            grace: Duration::from_secs(6),
            hold_limit: Duration::from_secs(10),
            retry_ratio: 0.2,
            retry_window: Duration::from_secs(10),
            retry_allowance: 64.0,
            cold_factor: 1.5,
            cold_allowance: 8.0,
            evacuation: Duration::from_secs(5),
            memory: 160_000_000,
        },
        regions: Vec::new(),
    }
}
