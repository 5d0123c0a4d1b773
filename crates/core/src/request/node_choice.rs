//! Choice of the node that is to run a request of a service without keys.
//!
//! Load that this answers: many callers in each data centre, upstreams that all can run any of the
//! requests, and bytes between data centres that cost. A request stays in its data centre while an
//! upstream there has room; beyond that the least loaded one gets it, wherever it is.

use crate::connection::UpstreamLoad;
use crate::version::RequestKind;

/// Cost of a node in another data centre, as a fraction of its upstream's slots.
const REMOTE_DATA_CENTRE_COST: f64 = 0.3;

/// Part of an upstream's slots up to which a request stays in its data centre. Upstreams slow down
/// when they are nearly full.
const LOCAL_ROOM: f64 = 0.85;

/// Largest random part of a cost, so that nodes with the same knowledge do not all choose one
/// upstream.
const NOISE: f64 = 0.05;

/// Where a node is, as seen from the node that chooses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeDistance {
    /// It is the node that chooses.
    Own,
    /// Another host in the same data centre.
    SameDataCentre,
    /// A host in another data centre.
    OtherDataCentre,
}

/// A node that can run the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeOption {
    /// Load of its upstream, as last reported.
    pub load: UpstreamLoad,
    /// Requests that the choosing node has outstanding there.
    pub outstanding: u32,
    /// Where it is.
    pub distance: NodeDistance,
}

impl NodeOption {
    /// Utilization of the upstream with one more request, and for a download the time on the link of
    /// another host, in times of a run.
    fn load_cost(&self, kind: RequestKind) -> f64 {
        let active = (self.load.running + self.load.waiting).max(self.outstanding) + 1;
        let utilization = f64::from(active) / f64::from(self.load.slots.max(1));
        let crosses_link = kind == RequestKind::Download && self.distance != NodeDistance::Own;
        if !crosses_link {
            return utilization;
        }
        utilization + f64::from(self.load.link_ms) / f64::from(self.load.service_ms.max(1))
    }

    fn distance_cost(&self) -> f64 {
        match self.distance {
            NodeDistance::Own | NodeDistance::SameDataCentre => 0.0,
            NodeDistance::OtherDataCentre => REMOTE_DATA_CENTRE_COST,
        }
    }
}

/// Returns the index of the node that is to run a request; `None` without options. `random` gives
/// numbers from 0 to 1.
pub fn choose_node(
    options: &[NodeOption],
    kind: RequestKind,
    mut random: impl FnMut() -> f64,
) -> Option<usize> {
    let stays = |option: &NodeOption| {
        option.distance != NodeDistance::OtherDataCentre && option.load_cost(kind) <= LOCAL_ROOM
    };
    let any_stays = options.iter().any(stays);
    let costs = options.iter().enumerate().filter(|(_, option)| !any_stays || stays(option)).map(
        |(index, option)| {
            (index, option.load_cost(kind) + option.distance_cost() + random() * NOISE)
        },
    );
    costs.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(index, _)| index)
}
