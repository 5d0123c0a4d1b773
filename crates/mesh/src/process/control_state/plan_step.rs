//! Who plans, who counts as alive, and the next plan.

use std::time::{Duration, Instant};

use firspindle_core::connection::UpstreamLoad;
use firspindle_core::process::{RangeCandidate, ServiceCandidates, plan_ranges};
use firspindle_core::version::{
    HostRecord, RangePlan, ServiceRanges, UpstreamRecord, UpstreamState,
};
use firspindle_edge::PlatformCodec;

use super::{ControlOrder, ControlState, OTHER_PLAN_GAP, PEER_SILENCE, PLANNERS};

/// Silence after which others count as lost while more than half of them are silent: then the
/// fault may lie here, or all restart at once.
const MAJORITY_SILENCE: Duration = Duration::from_secs(8);

/// Time after the start before a node plans, so that it has heard the others: two datagrams.
const PLANNER_DELAY: Duration = Duration::from_millis(700);

/// The same before any plan, when the upstreams are still to be heard: two heartbeats.
const FIRST_PLAN_DELAY: Duration = Duration::from_millis(2_500);

/// Time after the start until which the first plan waits for all upstreams.
const FIRST_PLAN_LIMIT: Duration = Duration::from_millis(4_500);

/// Time between two plans that level the demand: a handover and a new measurement.
const LEVEL_GAP: Duration = Duration::from_millis(2_500);

/// Time between two appends of settled plan versions that nothing else changes.
const SETTLE_GAP: Duration = Duration::from_secs(3);

impl<C: PlatformCodec> ControlState<C> {
    /// A plan of this node was appended, or failed.
    pub fn plan_appended(&mut self, end: Option<u64>) {
        self.planning = false;
        self.planned_end = end.unwrap_or(0);
    }

    /// Silence after which another node counts as lost now.
    pub(super) fn silence_limit(&self, now: Instant) -> Duration {
        let others = self.others().count();
        let heard = self
            .others()
            .filter(|row| self.peers.heard_within(&row.host, PEER_SILENCE, now))
            .count();
        if heard * 2 >= others { PEER_SILENCE } else { MAJORITY_SILENCE }
    }

    /// Whether a node that this one never heard may live: it was not lost when the plan was made.
    pub(super) fn may_live(&self, host: &str) -> bool {
        let unheard = self.peers.get(host).is_none();
        let planned = |row: &&ServiceRanges| row.holder_on(host).is_some();
        unheard && (self.plan.version == 0 || self.plan.services.iter().any(|row| planned(&row)))
    }

    /// Whether a node counts as alive.
    pub(super) fn is_alive(&self, host: &str, limit: Duration, now: Instant) -> bool {
        host == &*self.settings.host
            || self.peers.heard_within(host, limit, now)
            || (now < self.started_at + limit && self.may_live(host))
    }

    pub(super) const fn reaches_store(&self) -> bool {
        self.store_answers
    }

    /// Whether this node is the first in order of those that live and reach the store.
    pub(super) fn is_planner(&self, now: Instant) -> bool {
        let first = self.others().find(|row| {
            self.peers.heard_within(&row.host, PEER_SILENCE, now)
                && self.peers.get(&row.host).is_some_and(|peer| peer.reaches_store)
        });
        self.reaches_store() && first.is_none_or(|first| first.host > self.settings.host)
    }

    /// Whether a host is among the first in order of those that live.
    pub(super) fn may_plan(&self, host: &str) -> bool {
        let heard = |row: &&HostRecord| self.peers.get(&row.host).is_some();
        self.others().filter(heard).take(PLANNERS).any(|row| &*row.host == host)
    }

    pub(super) fn plan_step(&mut self, now: Instant) -> Option<ControlOrder> {
        let delay = if self.plan.version == 0 { FIRST_PLAN_DELAY } else { PLANNER_DELAY };
        let early = now < self.started_at + delay || now < self.other_plan_at + OTHER_PLAN_GAP;
        let behind = self.clock.end() < self.planned_end;
        if self.planning || self.stopping || !self.plan_known || early || behind {
            return None;
        }
        if !self.is_planner(now) {
            return None;
        }
        let mut services = self.candidates(now)?;
        if now < self.other_plan_at + LEVEL_GAP || now < self.planned_at + LEVEL_GAP {
            // What the last plan moved is not seen in the demand yet.
            services.iter_mut().flat_map(|row| &mut row.candidates).for_each(forget_demand);
        }
        let mut plan = plan_ranges(&self.plan, &services);
        if plan.is_none() && now > self.planned_at + SETTLE_GAP {
            plan = self.settled_plan(&services);
        }
        let plan = plan?;
        self.planning = true;
        self.planned_at = now;
        log_plan(&plan, self.clock.end());
        Some(ControlOrder::AppendPlan(plan, self.clock.end()))
    }

    /// The plan in force with newer settled versions, if some holder advanced past its fences.
    pub(super) fn settled_plan(&self, services: &[ServiceCandidates]) -> Option<RangePlan> {
        let mut plan = self.plan.clone();
        let mut changed = false;
        for ranges in &mut plan.services {
            let newest = ranges.cells().iter().map(|cell| cell.fence).max().unwrap_or(0);
            let row = services.iter().find(|row| row.service == ranges.service);
            for holder in &mut ranges.holders {
                let known = row.and_then(|row| {
                    row.candidates.iter().find(|candidate| candidate.instance == holder.instance)
                });
                let settled_version = known.map_or(0, |known| known.settled_version);
                if holder.settled_version < newest && settled_version >= newest {
                    holder.settled_version = settled_version;
                    changed = true;
                }
            }
        }
        plan.version += 1;
        changed.then_some(plan)
    }

    /// Upstreams of the divided services that take work; `None` while it is too early.
    pub(super) fn candidates(&self, now: Instant) -> Option<Vec<ServiceCandidates>> {
        let manifest = self.manifest.as_ref()?;
        let limit = self.silence_limit(now);
        let mut services = Vec::new();
        for service in manifest.services().iter().filter(|row| row.divided) {
            let mut candidates = Vec::new();
            let mut missing = false;
            for record in self.hosts.iter().filter(|row| row.service == service.name) {
                if !self.is_alive(&record.host, limit, now) {
                    continue;
                }
                match &record.upstream {
                    Some(upstream) if upstream.state == UpstreamState::Ready => {
                        candidates.push(self.candidate(record, upstream, now));
                    }
                    Some(_) => {}
                    None => missing = true,
                }
            }
            let first = self.plan.service(&service.name).is_none();
            if first && missing && now < self.started_at + FIRST_PLAN_LIMIT {
                return None;
            }
            services.push(ServiceCandidates { service: service.name.clone(), candidates });
        }
        Some(services)
    }

    pub(super) fn candidate(
        &self,
        record: &HostRecord,
        upstream: &UpstreamRecord,
        now: Instant,
    ) -> RangeCandidate {
        let own = record.host == self.settings.host;
        let peer = self.peers.get(&record.host);
        let (settled_version, load, demand) = if own {
            (self.book.settled_version(now), self.load, self.demand.clone())
        } else {
            peer.map_or_else(Default::default, |peer| {
                (peer.settled_version, peer.load, peer.demand.clone())
            })
        };
        RangeCandidate {
            host: record.host.clone(),
            instance: upstream.instance.clone(),
            weight: upstream.slots.max(1),
            warm: true,
            settled_version,
            capacity: capacity_of(load),
            demand,
        }
    }
}

/// Requests a second that an upstream can run; 0 if that is not known.
fn capacity_of(load: UpstreamLoad) -> f64 {
    if load.service_ms == 0 {
        return 0.0;
    }
    f64::from(load.slots) * 1000.0 / f64::from(load.service_ms)
}

/// Leaves the load of a candidate out of the next plan.
fn forget_demand(candidate: &mut RangeCandidate) {
    candidate.capacity = 0.0;
}

/// Tells the cells of each holder.
fn log_plan(plan: &RangePlan, end: u64) {
    for ranges in &plan.services {
        let held = ranges.holders.iter().zip(ranges.cells_held());
        let held: Vec<_> = held.map(|(row, cells)| format!("{}:{cells}", row.host)).collect();
        log::info!(
            version = plan.version, end, service = &*ranges.service, held = &*held.join(",");
            "plan computed"
        );
    }
}
