//! Choice of the node that is to run a request of a service without keys.
//!
//! Load that this answers: many callers in each data centre, upstreams that all can run any of the
//! requests, and bytes between data centres that cost. A request stays in its data centre while an
//! upstream there has room; beyond that the least loaded one gets it, wherever it is. An upstream that
//! limits the requests that it takes counts as one with as few slots as it then needs.

use crate::connection::{UpstreamLimit, UpstreamLoad};
use crate::version::RequestKind;

/// Cost of a node in another data centre, as a fraction of its upstream's slots.
const REMOTE_DATA_CENTRE_COST: f64 = 0.3;

/// Part of an upstream's slots up to which a request stays in its data centre. Upstreams slow down
/// when they are nearly full.
const LOCAL_ROOM: f64 = 0.85;

/// Nodes, drawn at random, whose costs are compared where the data centre has no room: the costs of
/// other data centres must have a chance to be seen.
const COMPARED_ANYWHERE: usize = 4;

/// Part that a limited upstream gets of what its limit and the rate of the others leave for it. Requests come
/// at random and the loads are up to a second old: with 0.5, requests waited for longer than a run.
const LIMITED_PART: f64 = 0.3;

/// Slots as which an upstream with a low limit counts at least.
const MIN_SLOTS: f64 = 0.01;

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
    /// Utilization of the upstream with one more request, and for a download or an upload the time on the
    /// link of another host, in times of a run.
    fn load_cost(&self, kind: RequestKind) -> f64 {
        let utilization = f64::from(self.active() + 1) / self.usable_slots();
        utilization * self.load.pace_factor() + self.link_cost(kind)
    }

    /// Part of the upstream that is free, with one more request. That one is left out if the limit
    /// leaves less than a few slots: it would never have room for one more.
    fn room(&self, kind: RequestKind) -> f64 {
        let own = u32::from(self.load.limit().is_none());
        1.0 - f64::from(self.active() + own) / self.usable_slots() - self.link_cost(kind)
    }

    /// Room in times of a run: the faster the upstream is, the sooner its slots are free again.
    fn room_weight(&self, kind: RequestKind) -> f64 {
        self.room(kind) / self.load.run_ms().max(1.0)
    }

    /// Requests per second that end at the upstream while as many as now run there.
    fn run_rate(&self) -> f64 {
        f64::from(self.active()) * 1000.0 / self.load.run_ms().max(1.0)
    }

    /// Requests that run at the upstream or wait for it, as far as this node knows.
    fn active(&self) -> u32 {
        (self.load.running + self.load.waiting).max(self.outstanding)
    }

    /// Slots that the upstream can use: under a limit, those that run at once at that rate. Requests that
    /// others sent to it take slots away.
    fn usable_slots(&self) -> f64 {
        let slots = self.free_slots();
        let run_time = self.load.run_ms() / 1000.0;
        let limited = self.load.limit().filter(|_| run_time > 0.0);
        limited.map_or(slots, |limit| (limit.per_second() * run_time).clamp(MIN_SLOTS, slots))
    }

    /// Slots that are left by requests that others sent to the upstream.
    fn free_slots(&self) -> f64 {
        f64::from(self.load.slots.saturating_sub(self.load.others()).max(1))
    }

    fn link_cost(&self, kind: RequestKind) -> f64 {
        let is_large = matches!(kind, RequestKind::Download | RequestKind::Upload);
        if !is_large || self.distance == NodeDistance::Own {
            return 0.0;
        }
        f64::from(self.load.link_ms) / self.load.run_ms().max(1.0)
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
        option.distance != NodeDistance::OtherDataCentre && option.room(kind) >= 1.0 - LOCAL_ROOM
    };
    let near: Vec<usize> = (0..options.len()).filter(|index| stays(&options[*index])).collect();
    // Limited ones alone would get all requests for as long as they are known as idle.
    if near.iter().all(|index| options[*index].load.limit().is_some()) {
        return cheapest_of_few(options, kind, random);
    }
    draw_by_room(options, kind, &near, random())
}

/// Draws one of the nodes that have room, the more likely the more room it has and the faster its
/// upstream is. All nodes of a data centre know about the same loads, up to a second old: if each chose
/// the least loaded, all would choose the same upstream until the next loads arrive. A limited upstream
/// with room counts as loaded as the others: with a slot or less it is mostly idle or full, and while it
/// is known as idle it must not get more than its part. While the others use little of their slots, its
/// part follows from the rate of their requests: an upstream that gets no requests cannot say that its
/// limit has ended.
#[allow(clippy::cast_precision_loss)]
fn draw_by_room(
    options: &[NodeOption],
    kind: RequestKind,
    near: &[usize],
    random: f64,
) -> Option<usize> {
    let mean = |values: Vec<f64>| values.iter().sum::<f64>() / values.len().max(1) as f64;
    let unlimited = |option: &&NodeOption| option.load.limit().is_none();
    let roomy = near.iter().map(|index| &options[*index]).filter(unlimited);
    let usual_room = mean(roomy.clone().map(|option| option.room(kind)).collect());
    let usual_weight = mean(roomy.map(|option| option.room_weight(kind)).collect());
    // Those without room count too: without them the rate would seem lower than it is.
    let rates = options.iter().filter(unlimited).map(NodeOption::run_rate);
    let usual_rate = mean(rates.collect());
    let weight = |index: &usize| {
        let option = &options[*index];
        let Some(limit) = option.load.limit().map(UpstreamLimit::per_second) else {
            return option.room_weight(kind);
        };
        let by_slots = usual_room * option.usable_slots() / option.free_slots();
        let by_rate = usual_weight * LIMITED_PART * limit / (limit + usual_rate);
        by_rate.max(by_slots / option.load.run_ms().max(1.0))
    };
    let total: f64 = near.iter().map(weight).sum();
    let mut left = random * total;
    let drawn = near.iter().find(|index| {
        left -= weight(index);
        left < 0.0
    });
    drawn.or(near.last()).copied()
}

/// Returns the nodes among which the cheapest is sought: those of the own data centre, and others that have
/// room. A request that waits in another data centre gains nothing, and its bytes cost. Limits are no room
/// that ends, so a limited node elsewhere is compared as well.
fn worth_comparing(options: &[NodeOption], kind: RequestKind) -> Vec<usize> {
    let is_near = |option: &NodeOption| option.distance != NodeDistance::OtherDataCentre;
    let none_near = !options.iter().any(is_near);
    let is_worth = |option: &NodeOption| {
        none_near
            || is_near(option)
            || option.load.limit().is_some()
            || option.room(kind) >= 1.0 - LOCAL_ROOM
    };
    (0..options.len()).filter(|index| is_worth(&options[*index])).collect()
}

/// Compares a few nodes drawn at random and returns the one with the least cost.
fn cheapest_of_few(
    options: &[NodeOption],
    kind: RequestKind,
    mut random: impl FnMut() -> f64,
) -> Option<usize> {
    let mut left = worth_comparing(options, kind);
    let mut cheapest: Option<(usize, f64)> = None;
    for _ in 0..COMPARED_ANYWHERE.min(left.len()) {
        let index = left.swap_remove(pick(left.len(), random()));
        let option = &options[index];
        let cost = option.load_cost(kind) + option.distance_cost();
        if cheapest.is_none_or(|(_, least)| cost < least) {
            cheapest = Some((index, cost));
        }
    }
    cheapest.map(|(index, _)| index)
}

/// Returns an index below `count` for a random number from 0 to 1.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, clippy::cast_precision_loss)]
fn pick(count: usize, random: f64) -> usize {
    ((random * count as f64) as usize).min(count - 1)
}
