//! Decides which node plans and which nodes count as alive, and computes the next plan.

use std::time::{Duration, Instant};

use firspindle_core::connection::UpstreamLoad;
use firspindle_core::process::{
    RangeCandidate, ServiceCandidates, ShareFilling, defer_moves, plan_ranges,
};
use firspindle_core::version::{
    ColdTerms, HostRecord, LogPosition, PlanVersion, RangePlan, RouteManifest, ServiceRanges,
    UpstreamRecord, UpstreamState, plan_version_at,
};
use firspindle_edge::PlatformCodec;

use super::{ControlAction, ControlState, OTHER_PLAN_DELAY, PEER_TIMEOUT};

/// Time without a datagram after which other nodes count as lost while more than half of them are
/// silent: then the fault may lie with this node, or all nodes are restarting at once.
const MAJORITY_TIMEOUT: Duration = Duration::from_secs(8);

/// Time after its start for which a node does not plan, so that datagrams of the others arrive
/// first: two rounds of them.
const PLANNER_DELAY: Duration = Duration::from_millis(700);

/// The same while there is no plan yet and the upstreams' first heartbeats are still to arrive: two
/// heartbeat intervals.
const FIRST_PLAN_DELAY: Duration = Duration::from_millis(2_500);

/// Time after the start for which the first plan waits until all upstreams have sent a heartbeat.
const FIRST_PLAN_TIMEOUT: Duration = Duration::from_millis(4_500);

/// Least time between two plans that rebalance the demand: a handover and a new measurement.
const REBALANCE_INTERVAL: Duration = Duration::from_millis(2_500);

/// Least time between two steps in which an upstream that was cold receives cells: a cell is not served
/// for about a second while it moves.
const FILLING_INTERVAL: Duration = Duration::from_millis(1_500);

/// Least time between a plan of this node and its next that changes only settled versions.
const SETTLED_PLAN_INTERVAL: Duration = Duration::from_secs(3);

impl<C: PlatformCodec> ControlState<C> {
    /// Notes that an append of this node's plan finished; `end` is the end of the plans, if the
    /// store answered with it.
    pub fn plan_appended(&mut self, end: Option<LogPosition>, now: Instant) {
        self.plan_pending = false;
        self.enter_epoch(end.map_or(0, |end| end.epoch), now);
        self.planned_end = end.unwrap_or_default();
    }

    /// Returns the time without a datagram after which another node counts as lost at present.
    pub(super) fn peer_timeout(&self, now: Instant) -> Duration {
        let others = self.others().count();
        let senders = self
            .others()
            .filter(|row| self.peers.received_within(&row.host, PEER_TIMEOUT, now))
            .count();
        if senders * 2 >= others { PEER_TIMEOUT } else { MAJORITY_TIMEOUT }
    }

    /// Whether a node from which no datagram arrived since this node may plan may be alive: there is
    /// no plan yet, or the plan names it, so it was not lost when the plan was computed.
    pub(super) fn may_be_alive(&self, host: &str) -> bool {
        let since = self.leading_since.unwrap_or(self.started_at);
        let never_received = self.peers.get(host).is_none_or(|peer| peer.received_at < since);
        let planned = |row: &&ServiceRanges| row.holder_on(host).is_some();
        never_received
            && (self.plan.version == 0 || self.plan.services.iter().any(|row| planned(&row)))
    }

    /// Whether a node counts as alive: this node itself, a node that sent a datagram within
    /// `limit`, or for that long after this node may plan a node for which [`Self::may_be_alive`]
    /// holds.
    pub(super) fn is_alive(&self, host: &str, limit: Duration, now: Instant) -> bool {
        host == &*self.settings.host
            || self.peers.received_within(host, limit, now)
            || (now < self.leading_since.unwrap_or(now) + limit && self.may_be_alive(host))
    }

    pub(super) const fn reaches_store(&self) -> bool {
        self.reaches_store
    }

    /// Returns the number of relays before this one in the order of duties that reach the store and
    /// whose datagrams arrive here; `None` if this node is no relay.
    pub(super) fn duty_rank(&self, now: Instant) -> Option<usize> {
        let leaders = &self.duties.leaders;
        let own = leaders.iter().position(|host| *host == self.settings.host)?;
        let reaches = |host: &&str| {
            self.peers.received_within(host, PEER_TIMEOUT, now)
                && self.peers.get(host).is_some_and(|peer| peer.reaches_store)
        };
        Some(leaders[..own].iter().map(|host| &**host).filter(reaches).count())
    }

    /// Whether this node is the planner: the first of the relays that reach the store and whose
    /// datagrams arrive here.
    pub(super) fn is_planner(&self, now: Instant) -> bool {
        self.reaches_store() && self.duty_rank(now) == Some(0)
    }

    /// Whether a host may plan next.
    pub(super) fn may_plan(&self, host: &str) -> bool {
        self.planner_hosts().any(|row| &**row == host)
    }

    pub(super) fn plan_step(&mut self, now: Instant) -> Option<ControlAction> {
        let delay = if self.plan.version == 0 { FIRST_PLAN_DELAY } else { PLANNER_DELAY };
        let early = now < self.started_at + delay || now < self.other_plan_at + OTHER_PLAN_DELAY;
        let position = self.confirmation.position();
        let behind = position < self.planned_end;
        // Without the records of the other hosts, this one would seem to be the only one alive.
        let uninformed = !self.plan_known || !self.hosts_known;
        if self.plan_pending || self.stopping || uninformed || early || behind {
            return None;
        }
        if !self.is_planner(now) {
            return None;
        }
        let first_of_epoch = self.plan.epoch() < position.epoch;
        if first_of_epoch && !self.earlier_epoch_ended(now) {
            return None;
        }
        let mut services = self.candidates(now)?;
        if now < self.other_plan_at + REBALANCE_INTERVAL
            || now < self.planned_at + REBALANCE_INTERVAL
        {
            // The measured demand does not show yet what the last plan moved.
            services.iter_mut().flat_map(|row| &mut row.candidates).for_each(clear_capacity);
        }
        let settled_at = self.refenced_at.map(|at| self.grants.timing().replaced_end(false, at));
        if settled_at.is_some_and(|at| now < at) {
            // A new holder would wait until then.
            services.iter_mut().flat_map(|row| &mut row.candidates).for_each(keep_cells);
        }
        let version = self.next_version();
        let mut plan = plan_ranges(&self.plan, version, &services);
        let keeping = self.keeping_upstreams(now);
        if !keeping.is_empty() && !first_of_epoch {
            plan = plan.and_then(|plan| defer_moves(&self.plan, plan, &keeping));
        }
        if plan.is_none() && now > self.planned_at + SETTLED_PLAN_INTERVAL {
            plan = self.settled_plan(&services);
        }
        let plan = plan?;
        self.plan_pending = true;
        self.planned_at = now;
        log_plan(&plan, position);
        Some(ControlAction::AppendPlan(plan, position.offset))
    }

    /// Returns the version of a plan that replaces the one in force.
    fn next_version(&self) -> PlanVersion {
        let next = self.plan.version + 1;
        match self.grants.guards().epoch_fences {
            true => next.max(plan_version_at(self.confirmation.position())),
            false => next,
        }
    }

    /// Returns the plan in force with newer settled versions, if a holder reports for the first
    /// time a settled version that covers the newest fence of its service.
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
        plan.version = self.next_version();
        changed.then_some(plan)
    }

    /// Returns the upstreams of the sharded services that accept work and whose data centres are not
    /// evacuated; `None` while the first plan
    /// of a service still waits for upstreams that have not sent a heartbeat.
    pub(super) fn candidates(&self, now: Instant) -> Option<Vec<ServiceCandidates>> {
        let manifest = self.manifest.as_ref()?;
        let limit = self.peer_timeout(now);
        let mut services = Vec::new();
        for (service, cold) in self.planned_services(manifest) {
            let usual_ms = self.usual_service_ms(service);
            let mut candidates = Vec::new();
            let mut missing = false;
            for record in self.hosts.iter().filter(|row| &*row.service == service) {
                let evacuated = self.is_evacuated(&record.data_centre);
                if evacuated || !self.is_alive(&record.host, limit, now) {
                    continue;
                }
                match &record.upstream {
                    Some(upstream) if upstream.state == UpstreamState::Ready => {
                        candidates.push(self.candidate(record, upstream, usual_ms, now));
                    }
                    Some(_) => {}
                    None => missing = true,
                }
            }
            let first = self.plan.service(service).is_none();
            if first && missing && now < self.started_at + FIRST_PLAN_TIMEOUT {
                return None;
            }
            let filling = match cold {
                None => ShareFilling::Whole,
                Some(_) if self.moved_recently(now) => ShareFilling::Paused,
                Some(_) => ShareFilling::Steps,
            };
            services.push(ServiceCandidates { service: service.into(), candidates, filling });
        }
        Some(services)
    }

    /// Returns the services whose upstreams hold keys, sorted by name: the sharded ones of the manifest, and
    /// those of the plan that it has dropped, as requests for them may still run.
    fn planned_services<'a>(
        &'a self,
        manifest: &'a RouteManifest,
    ) -> Vec<(&'a str, Option<ColdTerms>)> {
        let sharded = manifest.services().iter().filter(|row| row.sharded);
        let mut services: Vec<_> = sharded.map(|row| (&*row.name, row.cold)).collect();
        let planned = self.plan.services.iter().map(|ranges| &*ranges.service);
        let dropped = planned.filter(|name| manifest.service(name).is_none());
        services.extend(dropped.map(|name| (name, None)));
        services.sort_unstable_by_key(|row| row.0);
        services
    }

    /// Whether cells that a plan moved may not be served yet.
    fn moved_recently(&self, now: Instant) -> bool {
        let last = self.planned_at.max(self.other_plan_at);
        self.plan_applied_at.map_or(last, |at| at.max(last)) + FILLING_INTERVAL > now
    }

    /// Mean time of a run at the upstreams of a service that have answered, in milliseconds; 0 if none
    /// has.
    fn usual_service_ms(&self, service: &str) -> u32 {
        let hosts = self.hosts.iter().filter(|row| &*row.service == service);
        let times = hosts.map(|row| match row.host == self.settings.host {
            true => self.load.service_ms,
            false => self.peers.get(&row.host).map_or(0, |peer| peer.load.service_ms),
        });
        let known: Vec<u32> = times.filter(|ms| *ms > 0).collect();
        let count = u32::try_from(known.len()).unwrap_or(u32::MAX);
        known.iter().sum::<u32>().checked_div(count).unwrap_or(0)
    }

    /// Returns an upstream as a candidate. One that has not answered yet counts as fast as is usual, so
    /// that it can take cells of a slow or limited one.
    pub(super) fn candidate(
        &self,
        record: &HostRecord,
        upstream: &UpstreamRecord,
        usual_ms: u32,
        now: Instant,
    ) -> RangeCandidate {
        let own = record.host == self.settings.host;
        let peer = self.peers.get(&record.host);
        let (settled_version, load, demand) = if own {
            (self.grants.settled_version(now), self.own_load(now), self.demand.clone())
        } else {
            peer.map_or_else(Default::default, |peer| {
                (peer.settled_version, peer.load, peer.demand.clone())
            })
        };
        let service_ms = if load.service_ms == 0 { usual_ms } else { load.service_ms };
        // What a cold upstream takes now says nothing about its capacity when cells have moved.
        let limit_milli = if load.cold_ms > 0 { 0 } else { load.limit_milli };
        let capacity = UpstreamLoad { service_ms, limit_milli, ..load }.capacity();
        RangeCandidate {
            host: record.host.clone(),
            instance: upstream.instance.clone(),
            weight: upstream.slots.max(1),
            warm: load.cold_ms == 0,
            settled_version,
            capacity,
            demand,
        }
    }
}

/// Marks a candidate as one that takes no cells that others hold.
fn keep_cells(candidate: &mut RangeCandidate) {
    candidate.warm = false;
    clear_capacity(candidate);
}

/// Marks a candidate's capacity as unknown, so that the next plan does not rebalance its demand.
fn clear_capacity(candidate: &mut RangeCandidate) {
    candidate.capacity = 0.0;
}

/// Logs how many cells each holder of a plan gets.
fn log_plan(plan: &RangePlan, end: LogPosition) {
    for ranges in &plan.services {
        let held = ranges.holders.iter().zip(ranges.cells_held());
        let held: Vec<_> = held.map(|(row, cells)| format!("{}:{cells}", row.host)).collect();
        log::info!(
            version = plan.version, end:%, service = &*ranges.service, held = &*held.join(",");
            "plan computed"
        );
    }
}
