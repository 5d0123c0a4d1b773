//! Work that becomes due with time.

use std::time::{Duration, Instant};

use super::{AppendKind, NodeMachine};
use crate::connection::{Envelope, PeerMessage, RenewRequest, SwitchRequest};
use crate::process::{DrainReason, LifeCycle, NodeAction, PlannerSchedule};
use crate::version::{CheckpointBody, PartitionRow, PlanBuilder, PlanRecord, RecordBody};
use crate::{LogOffset, NodeId};

/// Maximum time that a drained node stays until its releases are confirmed and, if its process
/// ends, until plans have replaced it in witness sets.
const DRAIN_GRACE: Duration = Duration::from_secs(2);

/// Number of lease durations without a valid lease after which a node starts over as a new
/// incarnation.
const LOST_AFTER_LEASES: u32 = 3;

/// Time without a valid lease after which a node starts over if it is also waiting to switch to a
/// newer witness set.
const SWITCH_TIMEOUT: Duration = Duration::from_millis(300);

/// Time without a valid lease after which a node gives up its partitions.
const GIVE_UP_DELAY: Duration = Duration::from_millis(400);

/// Range of the delay, beyond 100 ms, before a node other than the planner records a revocation
/// that it proved. The delays differ between nodes, so that one record is usually enough.
const REVOCATION_JITTER_MS: u64 = 600;

/// Maximum number of assignments of one plan that are logged one by one.
const MAX_LOGGED_ASSIGNMENTS: usize = 200;

/// Time between two requests to a peer for missing records.
const FETCH_INTERVAL: Duration = Duration::from_millis(200);

impl NodeMachine {
    /// Does the work that is due at `now`.
    pub fn tick(&mut self, now: Instant) {
        match self.life {
            LifeCycle::Joining(_) => self.join(now),
            LifeCycle::Serving(incarnation) => {
                self.tick_member(incarnation.state.id, now);
                self.tick_planner(incarnation.state.id, now);
                self.check_lease(now);
            }
            LifeCycle::Draining(incarnation) => {
                self.tick_member(incarnation.state.id, now);
                self.drain_step(now);
                self.finish_drain(incarnation.state.id, now);
            }
            LifeCycle::Gone(_) => {}
        }
        self.report_silences(now);
        self.fetch_missing(now);
        self.deliver_local_messages(now);
        self.note_lease_validity(now);
    }

    fn tick_member(&mut self, me: NodeId, now: Instant) {
        self.renew(now);
        self.silent.retain(|row| row.until > now);
        for target in self.revocations.targets() {
            if self.state.member(target).is_some() {
                self.advance_inquiry(target, now);
            } else {
                self.revocations.cancel_inquiry(target);
            }
        }
        self.update_pending(now);
        self.request_missing_dedup(now);
        self.send_releases(now);
        self.record_revocations(me, now);
        self.heartbeat(now);
    }

    fn update_pending(&mut self, now: Instant) {
        let waiting: Vec<_> =
            self.ownerships.pending.iter().map(|ownership| ownership.partition).collect();
        for partition in waiting {
            self.update_partition(partition, now);
        }
    }

    /// Highest offset of a current assignment among the partitions that involve this node.
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
        if assignment_offset > self.lease.majority_assignment_offset()
            && !self.ownerships.pending.is_empty()
        {
            self.renew_early(assignment_offset);
        }
        let Some(round) = self.lease.due_renewal(assignment_offset, now) else { return };
        for witness in round.witnesses {
            let request = RenewRequest {
                set: round.set,
                sequence: round.sequence,
                assignment_offset,
                suspects: self.suspects.clone(),
            };
            self.send(witness, PeerMessage::Renew(request));
        }
        if let Some((set, witnesses)) = round.switch {
            for witness in witnesses {
                self.send(witness, PeerMessage::SwitchSet(SwitchRequest { set }));
            }
        }
    }

    /// Makes a renewal due immediately, once per assignment, because a new assignment can be served
    /// only after the witnesses know of it.
    fn renew_early(&mut self, assignment_offset: LogOffset) {
        if self.early_renewal_offset < assignment_offset {
            self.early_renewal_offset = assignment_offset;
            self.lease.renew_now();
        }
    }

    /// Reports silent holders to the nodes behind them in their assignments, and to the planner.
    fn report_silences(&mut self, now: Instant) {
        // A witness without a lease is probably cut off itself, so it waits one lease duration.
        let since = self.lease_lost_since.unwrap_or(now);
        if !self.lease.is_valid(now) && now.duration_since(since) < self.timing.lease {
            return;
        }
        let mut silences = Vec::new();
        for role in &mut self.roles {
            silences
                .extend(role.table.due_silences(now).into_iter().map(|holder| (role.id, holder)));
        }
        for (me, holder) in silences {
            let newest = self.state.witness_row(holder).and_then(|row| row.newest());
            // A holder that switched to a newer set no longer renews with witnesses of an older
            // one.
            let in_newest_set = newest.is_some_and(|set| set.contains(me));
            if self.state.member(holder).is_none() || !in_newest_set {
                continue;
            }
            let mut recipients: Vec<NodeId> = Vec::new();
            for row in &self.state.partitions {
                let Some(assignment) = row.current() else { continue };
                if let Some(rank) = assignment.nodes.iter().position(|node| *node == holder) {
                    recipients.extend(&assignment.nodes[rank + 1..]);
                }
            }
            recipients.extend(self.state.term.planner);
            recipients.sort_unstable();
            recipients.dedup();
            log::info!(node = holder, recipients = recipients.len(); "holder's lease expired; notifying successors and planner");
            for recipient in recipients {
                self.send_as(me, recipient, PeerMessage::HolderSilent { node: holder });
            }
        }
    }

    /// Records proven revocations. The planner does so at once and other nodes after differing
    /// delays, so that one record is usually enough.
    fn record_revocations(&mut self, me: NodeId, now: Instant) {
        let planner = self.state.term.planner == Some(me);
        let due: Vec<_> = self
            .revocations
            .unrecorded(&self.state)
            .filter(|node| {
                let jitter = (me ^ node).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
                let delay = if planner { 0 } else { 100 + jitter % REVOCATION_JITTER_MS };
                let proven = self.revocations.proven_at(*node);
                proven.is_some_and(|at| now >= at + Duration::from_millis(delay))
            })
            .collect();
        for node in due {
            self.append(AppendKind::Revoke(node), RecordBody::Revoke { node, prover: me });
        }
    }

    /// Returns the acknowledged offset: this node no longer relies on any assignment or witness set
    /// that a record up to this offset superseded.
    pub(super) fn acked(&self) -> LogOffset {
        let folded = self.state.next_offset - 1;
        // A request in flight still relies on the assignment that its grant came from.
        let releasing = self.ownerships.releasing.iter().filter_map(|ownership| {
            let row = self.state.partition(ownership.partition)?;
            row.assignments
                .iter()
                .find(|assignment| assignment.offset > ownership.state.fence.offset)
        });
        let assignment_bound =
            releasing.map(|assignment| assignment.offset.saturating_sub(1)).min();
        // The earlier assignments show whose deduplication state a partition opens without.
        let waiting = self.ownerships.pending.iter().filter_map(|ownership| {
            self.state.partition(ownership.partition).and_then(PartitionRow::current)
        });
        let waiting_bound = waiting.map(|assignment| assignment.offset.saturating_sub(1)).min();
        let set_bound = self.lease.first_ungranted().map_or(folded, |set| set.saturating_sub(1));
        let bounds = [assignment_bound, waiting_bound, self.drain_ack_bound, Some(set_bound)];
        bounds.into_iter().flatten().fold(folded, LogOffset::min)
    }

    /// Sends the acknowledged offset to the planner: at each heartbeat interval, and sooner if it
    /// has risen and superseded assignments or witness sets wait to be dropped.
    fn heartbeat(&mut self, now: Instant) {
        let acked = self.acked();
        let ack_due_early = acked > self.sent_ack && self.state.floor < self.last_plan_offset;
        if now < self.heartbeat_at
            && (!ack_due_early || now < self.ack_sent_at + self.timing.resend)
        {
            return;
        }
        self.heartbeat_at = now + PlannerSchedule::heartbeat_interval(&self.timing);
        self.ack_sent_at = now;
        self.sent_ack = acked;
        if let Some(planner) = self.state.term.planner {
            self.send(planner, PeerMessage::Heartbeat { acked });
        }
    }

    fn tick_planner(&mut self, me: NodeId, now: Instant) {
        self.restore_manifest(me, now);
        self.restore_floor(me, now);
        if self.state.term.planner == Some(me) {
            self.notify_earlier(now);
            self.start_silent_inquiries(now);
            self.record_quiesced(now);
            self.write_checkpoint(now);
            if self.schedule.plan_due(now) {
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
        if self.schedule.claim_due(state, me, needed, now) {
            let term = self.state.term.number + 1;
            log::info!(term, node = me; "claiming the planner role");
            self.append(AppendKind::Claim, RecordBody::Claim { term, node: me });
        }
    }

    /// Starts inquiries about all silent holders. The planner proves revocations too, so that
    /// partitions are taken over even if all their successors are dead.
    fn start_silent_inquiries(&mut self, now: Instant) {
        let silent: Vec<_> = self.silent.iter().map(|row| row.node).collect();
        for node in silent {
            self.revocations.start_inquiry(node, now);
        }
    }

    /// Records that departed members have quiesced, if only elapsed time shows it and no record of
    /// the log does.
    fn record_quiesced(&mut self, now: Instant) {
        let unquiesced = self.state.departed.iter().filter(|row| !row.quiesced).map(|row| row.id);
        let ended: Vec<_> = unquiesced.filter(|node| self.has_ended(*node, now)).collect();
        for node in ended {
            self.append(AppendKind::Quiesce(node), RecordBody::Quiesce { node });
        }
    }

    fn write_checkpoint(&mut self, now: Instant) {
        if self.schedule.checkpoint_due(&self.state, now) {
            let body = CheckpointBody { state: self.state.clone() };
            self.append(AppendKind::Checkpoint, RecordBody::Checkpoint(Box::new(body)));
        }
    }

    fn write_plan(&mut self, now: Instant) {
        if self.outstanding.iter().any(|row| row.kind == AppendKind::Plan) {
            return;
        }
        let floor = self.schedule.floor(&self.state);
        let plan = if self.empty_plan_revision == Some(self.state.revision) {
            PlanRecord::floor_only(&self.state, floor)
        } else {
            self.compute_plan(floor)
        };
        if plan.is_empty() {
            let complete = self.state.unended_members().next().is_none();
            self.empty_plan_revision = complete.then_some(self.state.revision);
            if !self.schedule.floor_due(&self.state, floor, now) {
                return;
            }
        }
        log::info!(
            term = plan.term, base = plan.base, floor, assignments = plan.assignments.len(),
            sets = plan.sets.len();
            "plan written"
        );
        self.log_assignments(&plan);
        self.append(AppendKind::Plan, RecordBody::Plan(plan));
    }

    fn log_assignments(&self, plan: &PlanRecord) {
        for change in plan.assignments.iter().take(MAX_LOGGED_ASSIGNMENTS) {
            let assignment = self.state.partition(change.partition).and_then(|row| row.current());
            let before = assignment.and_then(|assignment| assignment.nodes.first().copied());
            let owner = change.nodes.first().copied();
            let reason = match before {
                None => "first assignment",
                before if before == owner => "new successors",
                Some(before) if self.state.member(before).is_none() => "previous owner ended",
                Some(_) => "load balancing",
            };
            let service = crate::version::partition_service(change.partition);
            let name = self.state.service(service).map_or("", |row| &*row.name);
            log::info!(
                service = name, partition = change.partition, node = owner.unwrap_or(0),
                successors:? = change.nodes.get(1..), reason;
                "partition assigned"
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

    /// Gives up partitions after a while without a lease, and starts over as a new incarnation when
    /// the lease cannot be renewed any more.
    fn check_lease(&mut self, now: Instant) {
        let has_set = self.lease.active_set().is_some();
        if self.lease.is_valid(now) || !has_set {
            self.lease_lost_since = None;
            return;
        }
        let since = *self.lease_lost_since.get_or_insert(now);
        if now.duration_since(since) >= GIVE_UP_DELAY && !self.ownerships.held.is_empty() {
            self.give_up_held();
        }
        // A holder whose active set has lost its majority can never switch away from that set.
        let timeout = match self.lease.is_switching() {
            true => SWITCH_TIMEOUT,
            false => self.timing.lease * LOST_AFTER_LEASES,
        };
        if self.lease.is_lost() || now.duration_since(since) >= timeout {
            log::warn!("lease cannot be renewed; starting a new incarnation");
            self.lease_lost_since = None;
            self.drain(DrainReason::LeaseLost, now);
        }
    }

    fn finish_drain(&mut self, me: NodeId, now: Instant) {
        if !self.ownerships.held.is_empty() || !self.ownerships.releasing.is_empty() {
            return;
        }
        let since = *self.drained_at.get_or_insert(now);
        let late = now.duration_since(since) >= DRAIN_GRACE;
        let confirmed =
            self.ownerships.released.iter().all(|ownership| ownership.state.unconfirmed.is_empty());
        let named = self
            .state
            .witnesses
            .iter()
            .any(|row| row.member != me && row.sets.iter().any(|set| set.contains(me)));
        let ends = self.drain_reason == Some(DrainReason::ProcessEnds);
        let lost = self.drain_reason == Some(DrainReason::LeaseLost);
        if !ends && (lost || late || confirmed) {
            // Retiring before the releases are confirmed would cost a successor the deduplication
            // state that they carry.
            self.append(AppendKind::Left, RecordBody::Retire { node: me });
        } else if ends && (late || (confirmed && !named)) {
            // Other nodes regard this node's grants as expired one lease duration after they read
            // this record, so it must not grant any more.
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
        ahead.fetch_at = now + FETCH_INTERVAL;
        let from = self.state.next_offset;
        let message = PeerMessage::Fetch { from, reply_to: self.info.peer_address.clone() };
        let me = self.life.id().unwrap_or(0);
        let envelope = Envelope { from: me, to: 0, next_offset: from, message };
        self.actions.push(NodeAction::Send { address: ahead.address.clone(), envelope });
    }
}
