//! What falls due with time.

use std::time::{Duration, Instant};

use super::{AppendKind, NodeMachine};
use crate::connection::{Envelope, PeerMessage, RenewRequest, SwitchRequest};
use crate::process::{DrainReason, LifeCycle, NodeAction, PlannerDesk};
use crate::version::{CheckpointBody, PlanBuilder, PlanRecord, RecordBody};
use crate::{LogOffset, NodeId};

/// Time that a drained node stays as a witness while plans replace it.
const DRAIN_GRACE: Duration = Duration::from_secs(2);

/// Lease times without a lease after which a node starts over as a new incarnation.
const RETIRE_LEASES: u32 = 3;

/// Time without a lease after which a node starts over if it cannot move to a newer witness set.
const STUCK_PATIENCE: Duration = Duration::from_millis(300);

/// Time without a lease after which a node gives its partitions up.
const YIELD_PATIENCE: Duration = Duration::from_millis(400);

/// Greatest delay before a proven lapse is written, which spares repeated records.
const LAPSE_SPREAD_MS: u64 = 600;

/// Lines of one plan that are logged one by one.
const PLACEMENT_LINES: usize = 200;

/// Time between two requests for records.
const FETCH_GAP: Duration = Duration::from_millis(200);

impl NodeMachine {
    /// Does what is due at `now`.
    pub fn tick(&mut self, now: Instant) {
        match self.life {
            LifeCycle::Joining(_) => {
                let info = self.info.clone();
                self.append(AppendKind::Join, RecordBody::Join(info));
            }
            LifeCycle::Serving(life) => {
                self.tick_member(life.state.id, now);
                self.tick_planner(life.state.id, now);
                self.watch_lease(now);
            }
            LifeCycle::Draining(life) => {
                self.tick_member(life.state.id, now);
                self.drain_step(now);
                self.finish_drain(life.state.id, now);
            }
            LifeCycle::Gone(_) => {}
        }
        self.tell_silences(now);
        self.fetch_missing(now);
        self.deliver_local(now);
        self.note_lease(now);
    }

    fn tick_member(&mut self, me: NodeId, now: Instant) {
        self.renew(now);
        self.silent.retain(|row| row.until > now);
        for target in self.lapses.targets() {
            if self.state.member(target).is_some() {
                self.advance_pursuit(target, now);
            } else {
                self.lapses.give_up(target);
            }
        }
        self.settle_pending(now);
        self.send_releases(now);
        self.record_lapses(me, now);
        self.heartbeat(now);
    }

    fn settle_pending(&mut self, now: Instant) {
        let waiting: Vec<_> = self.tenures.pending.iter().map(|tenure| tenure.partition).collect();
        for partition in waiting {
            self.settle_partition(partition, now);
        }
    }

    /// Highest offset of a line that names this node.
    fn assignment_offset(&self) -> LogOffset {
        let offset = |partition: &crate::PartitionId| {
            self.state
                .partition(*partition)
                .and_then(|row| row.current())
                .map(|assignment| assignment.offset)
        };
        self.involved.iter().filter_map(offset).max().unwrap_or(0)
    }

    fn renew(&mut self, now: Instant) {
        let assignment_offset = self.assignment_offset();
        if assignment_offset > self.lease.line_majority() && !self.tenures.pending.is_empty() {
            self.hurry_once(assignment_offset);
        }
        let Some(round) = self.lease.round(assignment_offset, now) else { return };
        for witness in round.witnesses {
            let request = RenewRequest {
                set: round.set,
                sequence: round.sequence,
                assignment_offset,
                suspects: self.suspects.clone(),
            };
            self.send(witness, PeerMessage::Renew(request));
        }
        if let Some((set, witnesses)) = round.moves {
            for witness in witnesses {
                self.send(witness, PeerMessage::SwitchSet(SwitchRequest { set }));
            }
        }
    }

    /// Renews at once when a new line waits for the witnesses to know it.
    fn hurry_once(&mut self, assignment_offset: LogOffset) {
        if self.hurried < assignment_offset {
            self.hurried = assignment_offset;
            self.lease.hurry();
        }
    }

    /// Tells those who stand behind a silent holder, and the planner.
    fn tell_silences(&mut self, now: Instant) {
        // A witness without a lease is likely the one that is cut off; it waits a while.
        let since = self.lost_since.unwrap_or(now);
        if !self.lease.is_valid(now) && now.duration_since(since) < self.timing.lease {
            return;
        }
        let mut silences = Vec::new();
        for role in &mut self.roles {
            silences.extend(role.table.silent(now).into_iter().map(|holder| (role.id, holder)));
        }
        for (me, holder) in silences {
            let newest = self.state.witness_row(holder).and_then(|row| row.newest());
            // A witness of an older set hears nothing from a holder that moved on.
            let hears = newest.is_some_and(|set| set.contains(me));
            if self.state.member(holder).is_none() || !hears {
                continue;
            }
            let mut takers: Vec<NodeId> = Vec::new();
            for row in &self.state.partitions {
                let Some(assignment) = row.current() else { continue };
                if let Some(place) = assignment.nodes.iter().position(|node| *node == holder) {
                    takers.extend(&assignment.nodes[place + 1..]);
                }
            }
            takers.extend(self.state.term.planner);
            takers.sort_unstable();
            takers.dedup();
            log::info!(node = holder, takers = takers.len(); "lease ran out; telling takers");
            for taker in takers {
                self.send_as(me, taker, PeerMessage::HolderSilent { node: holder });
            }
        }
    }

    /// Writes proven lapses; nodes wait differently long, so that one record is enough.
    fn record_lapses(&mut self, me: NodeId, now: Instant) {
        let planner = self.state.term.planner == Some(me);
        let due: Vec<_> = self
            .lapses
            .unrecorded(&self.state)
            .filter(|node| {
                let spread = (me ^ node).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
                let delay = if planner { 0 } else { 100 + spread % LAPSE_SPREAD_MS };
                let proven = self.lapses.proven_at(*node);
                proven.is_some_and(|at| now >= at + Duration::from_millis(delay))
            })
            .collect();
        for node in due {
            self.append(AppendKind::Revoke(node), RecordBody::Revoke { node, prover: me });
        }
    }

    /// Offset below which this node relies on no superseded record.
    pub(super) fn acked(&self) -> LogOffset {
        let folded = self.state.next_offset - 1;
        // A request in flight still relies on the line that its grant came from.
        let releasing = self.tenures.releasing.iter().filter_map(|tenure| {
            let row = self.state.partition(tenure.partition)?;
            row.assignments.iter().find(|assignment| assignment.offset > tenure.state.fence.offset)
        });
        let held_back = releasing.map(|assignment| assignment.offset.saturating_sub(1)).min();
        let set_back = self.lease.first_unsettled().map_or(folded, |set| set.saturating_sub(1));
        folded.min(held_back.unwrap_or(folded)).min(set_back)
    }

    /// Tells the planner what was acknowledged, sooner while that lets it drop lines or sets.
    fn heartbeat(&mut self, now: Instant) {
        let acked = self.acked();
        let news = acked > self.told_acked && self.state.floor < self.supersession;
        if now < self.heartbeat_at && (!news || now < self.told_at + self.timing.resend) {
            return;
        }
        self.heartbeat_at = now + PlannerDesk::heartbeat_gap(&self.timing);
        self.told_at = now;
        self.told_acked = acked;
        if let Some(planner) = self.state.term.planner {
            self.send(planner, PeerMessage::Heartbeat { acked });
        }
    }

    fn tick_planner(&mut self, me: NodeId, now: Instant) {
        if self.state.term.planner == Some(me) {
            self.pursue_silent(now);
            self.settle_departed(now);
            self.write_checkpoint(now);
            if self.desk.plan_due(now) {
                self.write_plan(now);
            }
            return;
        }
        let state = &self.state;
        let spec = self.spec.as_deref();
        let needed = || {
            spec.is_some_and(|spec| !PlanBuilder::new(state, spec).build().is_empty())
                || spec.is_none()
                    && state.members.iter().any(|row| state.witness_row(row.id).is_none())
        };
        if self.desk.claim_due(state, me, needed, now) {
            let term = self.state.term.number + 1;
            log::info!(term, node = me; "claiming the planner's term");
            self.append(AppendKind::Claim, RecordBody::Claim { term, node: me });
        }
    }

    /// The planner proves lapses as well, so that lines without a living successor are found.
    fn pursue_silent(&mut self, now: Instant) {
        let silent: Vec<_> = self.silent.iter().map(|row| row.node).collect();
        for node in silent {
            self.lapses.pursue(node, now);
        }
    }

    /// Writes that an ended member's rights are over, where only time could show it.
    fn settle_departed(&mut self, now: Instant) {
        let open = self.state.departed.iter().filter(|row| !row.quiesced).map(|row| row.id);
        let over: Vec<_> = open.filter(|node| self.has_ended(*node, now)).collect();
        for node in over {
            self.append(AppendKind::Quiesce(node), RecordBody::Quiesce { node });
        }
    }

    fn write_checkpoint(&mut self, now: Instant) {
        if self.desk.checkpoint_due(&self.state, now) {
            let body = CheckpointBody { state: self.state.clone() };
            self.append(AppendKind::Checkpoint, RecordBody::Checkpoint(Box::new(body)));
        }
    }

    fn write_plan(&mut self, now: Instant) {
        if self.outstanding.iter().any(|row| row.kind == AppendKind::Plan) {
            return;
        }
        let floor = self.desk.floor(&self.state);
        let plan = if self.planned == Some(self.state.revision) {
            PlanRecord::floor_only(&self.state, floor)
        } else {
            self.compute_plan(floor)
        };
        if plan.is_empty() {
            self.planned = Some(self.state.revision);
            if !self.desk.floor_due(&self.state, floor, now) {
                return;
            }
        }
        log::info!(
            term = plan.term, base = plan.base, floor, assignments = plan.assignments.len(),
            sets = plan.sets.len();
            "plan written"
        );
        self.log_placements(&plan);
        self.append(AppendKind::Plan, RecordBody::Plan(plan));
    }

    fn log_placements(&self, plan: &PlanRecord) {
        for change in plan.assignments.iter().take(PLACEMENT_LINES) {
            let assignment = self.state.partition(change.partition).and_then(|row| row.current());
            let before = assignment.and_then(|assignment| assignment.nodes.first().copied());
            let owner = change.nodes.first().copied();
            let reason = match before {
                None => "first assignment",
                before if before == owner => "new successors",
                Some(before) if self.state.member(before).is_none() => "the owner ended",
                Some(_) => "evens out",
            };
            let service = crate::version::partition_service(change.partition);
            let name = self.state.service(service).map_or("", |row| &*row.name);
            log::info!(
                service = name, partition = change.partition, node = owner.unwrap_or(0),
                successors:? = change.nodes.get(1..), reason;
                "placed"
            );
        }
    }

    fn compute_plan(&self, floor: LogOffset) -> PlanRecord {
        let empty = crate::version::ManifestSpec {
            replaces: 0,
            lost_hosts: Vec::new(),
            services: Vec::new(),
        };
        let spec = self.spec.as_deref().unwrap_or(&empty);
        PlanBuilder::new(&self.state, spec).floor(floor).build()
    }

    /// A node that cannot win its lease back starts over as a new incarnation.
    fn watch_lease(&mut self, now: Instant) {
        let has_set = self.lease.active_set().is_some();
        if self.lease.is_valid(now) || !has_set {
            self.lost_since = None;
            return;
        }
        let since = *self.lost_since.get_or_insert(now);
        if now.duration_since(since) >= YIELD_PATIENCE && !self.tenures.held.is_empty() {
            self.yield_held();
        }
        // A holder that cannot leave a set of which a majority is gone never will.
        let patience = match self.lease.is_moving() {
            true => STUCK_PATIENCE,
            false => self.timing.lease * RETIRE_LEASES,
        };
        if self.lease.is_lost() || now.duration_since(since) >= patience {
            log::warn!("lease lost for good; starting over");
            self.lost_since = None;
            self.drain(DrainReason::LeaseLost, now);
        }
    }

    fn finish_drain(&mut self, me: NodeId, now: Instant) {
        if !self.tenures.held.is_empty() || !self.tenures.releasing.is_empty() {
            return;
        }
        let since = *self.drained_at.get_or_insert(now);
        let late = now.duration_since(since) >= DRAIN_GRACE;
        let seen = self.tenures.released.iter().all(|tenure| tenure.state.unseen.is_empty());
        let named = self
            .state
            .witnesses
            .iter()
            .any(|row| row.member != me && row.sets.iter().any(|set| set.contains(me)));
        let ends = self.drain_reason == Some(DrainReason::ProcessEnds);
        let lost = self.drain_reason == Some(DrainReason::LeaseLost);
        if !ends && (lost || late || seen) {
            // Before the releases were seen, a successor would miss the memory that they carry.
            self.append(AppendKind::Left, RecordBody::Retire { node: me });
        } else if ends && (late || (seen && !named)) {
            // Others count this node's grants as run out one lease time after they read this.
            self.roles.clear();
            self.append(AppendKind::Left, RecordBody::Left { node: me });
        }
        if now.duration_since(since) >= DRAIN_GRACE * 2 {
            self.actions.push(NodeAction::Finished);
        }
    }

    fn fetch_missing(&mut self, now: Instant) {
        let Some(ahead) = &mut self.ahead else { return };
        if now < ahead.fetch_at {
            return;
        }
        ahead.fetch_at = now + FETCH_GAP;
        let from = self.state.next_offset;
        let message = PeerMessage::Fetch { from, reply_to: self.info.peer_address.clone() };
        let me = self.life.id().unwrap_or(0);
        let envelope = Envelope { from: me, to: 0, next_offset: from, message };
        self.actions.push(NodeAction::Send { address: ahead.address.clone(), envelope });
    }
}
