//! Control state machine of one incarnation of a node.
//!
//! Inputs are log records, peer messages and ticks, each with the current time; outputs are
//! [`NodeAction`]s. An assignment names the owner of a partition, then its successors in order.
//! A notice that a holder is silent only prompts a node to look for proof that the holder's rights
//! have ended: a partition opens only under the rules in `docs/design/ownership.md`.

mod dedup_step;
mod epoch_step;
mod fold_step;
mod message_step;
mod ownership_step;
mod right_step;
mod suspect_step;
mod tick_step;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{
    DrainReason, FenceToken, Incarnation, LeaseTable, LeaseTiming, LifeCycle, NodeAction,
    OwnershipTable, PeerLog, PlannerSchedule, RevocationTable, SafetyGuards, WitnessTable,
};
use crate::connection::{DedupState, Envelope, PeerMessage, SuspectRow};
use crate::version::{
    EarlierMember, FoldState, LogRecord, ManifestRow, ManifestSpec, MemberInfo, RecordBody,
};
use crate::{LogOffset, NodeId, PartitionId, RecordId};

/// Time for which a notice that a holder is silent remains valid after its arrival.
const SILENCE_RETENTION: Duration = Duration::from_millis(1600);

/// Time for which sent and received releases are kept.
const RELEASE_RETENTION: Duration = Duration::from_secs(600);

/// Control state machine of a node.
#[derive(Debug, Clone)]
pub struct NodeMachine {
    timing: LeaseTiming,
    guards: SafetyGuards,
    info: MemberInfo,
    life: LifeCycle,
    state: FoldState,
    spec: Option<Arc<ManifestSpec>>,
    /// Record of the manifest that `spec` was parsed from.
    spec_record: Option<RecordId>,
    /// Newest manifest of older epochs of the log.
    kept_manifest: Option<ManifestRow>,
    /// Members of older epochs that this process knows.
    earlier: Vec<EarlierMember>,
    /// Floor of each older epoch that this process knows, sorted.
    earlier_floors: Vec<LogOffset>,
    /// Time before which no right of older epochs is certain to have ended.
    join_at: Option<Instant>,
    /// Time of the next notice to members of older epochs.
    notify_at: Instant,
    /// Time from which this node writes a manifest or a floor again that the log lost; the planner
    /// does so at once.
    restore_at: Option<Instant>,
    lease: LeaseTable,
    /// Ids of earlier incarnations of this process, oldest first.
    past_incarnations: Vec<NodeId>,
    /// Witness roles of this incarnation, and of earlier ones of the same process while a witness
    /// set names them.
    roles: Vec<WitnessRole>,
    revocations: RevocationTable,
    ownerships: OwnershipTable,
    schedule: PlannerSchedule,
    log: PeerLog,
    /// Partitions with an assignment that names this node, sorted.
    involved: Vec<PartitionId>,
    /// Releases received, sorted by partition and node.
    releases: Vec<ReleaseRow>,
    /// Releases by this node itself, sorted by partition.
    own_releases: Vec<OwnRelease>,
    /// Holders reported silent, sorted by id.
    silent: Vec<SilentRow>,
    /// Requests suspected of crashing upstreams, sorted by fingerprint.
    suspects: Vec<SuspectRow>,
    /// Appends whose outcome is not known yet, oldest first.
    outstanding: Vec<OutstandingRow>,
    /// Number of records written, from which record ids are derived.
    record_count: u64,
    /// The peer that is known to have folded furthest, while this node is behind it.
    ahead: Option<AheadRow>,
    heartbeat_at: Instant,
    /// Time of the last heartbeat, and the offset acknowledged in it.
    ack_sent_at: Instant,
    sent_ack: LogOffset,
    /// Offset of the last non-empty plan. The assignments and witness sets that it superseded can
    /// be dropped once every member has acknowledged this offset.
    last_plan_offset: LogOffset,
    /// Whether the lease was valid after the last event.
    lease_was_valid: bool,
    /// Time since which the node has a witness set but no valid lease.
    lease_lost_since: Option<Instant>,
    drain_reason: Option<DrainReason>,
    /// What a draining node acknowledges at most, as it has not served all that it was assigned.
    drain_ack_bound: Option<LogOffset>,
    /// Assignment offset for which a renewal was last sent early.
    early_renewal_offset: LogOffset,
    /// Revision for which the computed plan is empty.
    empty_plan_revision: Option<LogOffset>,
    /// Time from which a drain may close its next batch of partitions.
    drain_step_at: Instant,
    /// Time at which a drain had released everything.
    drained_at: Option<Instant>,
    /// Messages from this process to itself.
    local_messages: VecDeque<Envelope>,
    actions: Vec<NodeAction>,
}

/// Leases that one incarnation of this process granted as a witness.
#[derive(Debug, Clone)]
struct WitnessRole {
    id: NodeId,
    table: WitnessTable,
}

/// A release received from another node.
#[derive(Debug, Clone)]
struct ReleaseRow {
    partition: PartitionId,
    node: NodeId,
    /// First offset whose rights are not released.
    before: LogOffset,
    /// Fence up to which `dedup_state` is complete.
    served_fence: Option<FenceToken>,
    dedup_state: DedupState,
    until: Instant,
}

/// A release by this node: other nodes may serve under assignments below `before` without a
/// proof that this node's lease is revoked.
#[derive(Debug, Clone, Copy)]
struct OwnRelease {
    partition: PartitionId,
    before: LogOffset,
}

/// A holder that a witness reported silent.
#[derive(Debug, Clone, Copy)]
struct SilentRow {
    node: NodeId,
    until: Instant,
}

/// An append whose outcome is not known yet.
#[derive(Debug, Clone, Copy)]
struct OutstandingRow {
    record: RecordId,
    kind: AppendKind,
}

/// Kinds of appends; at most one append of each kind is outstanding.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AppendKind {
    Join,
    Drain,
    Left,
    Revoke(NodeId),
    Quiesce(NodeId),
    Claim,
    Plan,
    Checkpoint,
    Manifest,
    Floor,
}

/// A peer that has folded more of the log than this node.
#[derive(Debug, Clone)]
struct AheadRow {
    /// First offset that the peer has not folded.
    offset: LogOffset,
    /// Time at which records are requested from it.
    fetch_at: Instant,
    address: Box<str>,
}

/// A partition that the node serves, with its fence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnedRow {
    /// Id of the partition.
    pub partition: PartitionId,
    /// Fence of the grant under which it is served.
    pub fence: FenceToken,
}

impl NodeMachine {
    /// Creates an incarnation on a folded state; its first tick appends the join record.
    pub fn new(
        info: MemberInfo,
        state: FoldState,
        timing: LeaseTiming,
        checkpoint_interval: Duration,
        now: Instant,
    ) -> Self {
        let guards = SafetyGuards::all();
        let boot_id = info.boot_id;
        let mut machine = Self {
            timing,
            guards,
            info,
            life: LifeCycle::Joining(Incarnation::begin(boot_id)),
            state,
            spec: None,
            spec_record: None,
            kept_manifest: None,
            earlier: Vec::new(),
            earlier_floors: Vec::new(),
            join_at: None,
            notify_at: now,
            restore_at: None,
            lease: LeaseTable::new(timing, guards),
            past_incarnations: Vec::new(),
            roles: Vec::new(),
            revocations: RevocationTable::new(timing, guards),
            ownerships: OwnershipTable::new(),
            schedule: PlannerSchedule::new(checkpoint_interval, now),
            log: PeerLog::default(),
            involved: Vec::new(),
            releases: Vec::new(),
            own_releases: Vec::new(),
            silent: Vec::new(),
            suspects: Vec::new(),
            outstanding: Vec::new(),
            record_count: 0,
            ahead: None,
            heartbeat_at: now,
            ack_sent_at: now,
            sent_ack: 0,
            last_plan_offset: 0,
            lease_was_valid: false,
            lease_lost_since: None,
            drain_reason: None,
            drain_ack_bound: None,
            early_renewal_offset: 0,
            empty_plan_revision: None,
            drain_step_at: now,
            drained_at: None,
            local_messages: VecDeque::new(),
            actions: Vec::new(),
        };
        machine.refresh_spec();
        machine.revocations.fold_departed(&machine.state, now);
        machine
    }

    /// Returns the next incarnation of the same process, after this one ended.
    ///
    /// It inherits no lease and serves no partition, but keeps the witness roles of earlier
    /// incarnations: sets that name one of them would otherwise lose a live witness.
    #[must_use]
    pub fn next_incarnation(
        self,
        info: MemberInfo,
        checkpoint_interval: Duration,
        now: Instant,
    ) -> Self {
        let ended = match self.life {
            LifeCycle::Gone(incarnation) => Some(incarnation.state.id),
            _ => None,
        };
        let mut next = Self::new(info, self.state, self.timing, checkpoint_interval, now);
        next.guards = self.guards;
        next.lease = LeaseTable::new(self.timing, self.guards);
        next.revocations = RevocationTable::new(self.timing, self.guards);
        next.revocations.fold_departed(&next.state, now);
        next.past_incarnations = self.past_incarnations;
        next.past_incarnations.extend(ended);
        // Other nodes can still request a release notice and its deduplication state.
        next.ownerships.released = self.ownerships.released;
        next.ownerships.ended = self.ownerships.ended;
        next.roles = self.roles;
        next.log = self.log;
        next.suspects = self.suspects;
        next.kept_manifest = self.kept_manifest;
        next.earlier = self.earlier;
        next.earlier_floors = self.earlier_floors;
        next.join_at = self.join_at;
        next.refresh_spec();
        next
    }

    /// Replaces the safety guards, for tests that disable one of them.
    #[doc(hidden)]
    #[must_use]
    pub fn with_guards(mut self, guards: SafetyGuards) -> Self {
        self.guards = guards;
        self.lease = LeaseTable::new(self.timing, guards);
        self.revocations = RevocationTable::new(self.timing, guards);
        self
    }

    /// Removes and returns the actions decided so far.
    pub fn take_actions(&mut self) -> Vec<NodeAction> {
        std::mem::take(&mut self.actions)
    }

    /// State folded from the log.
    pub const fn state(&self) -> &FoldState {
        &self.state
    }

    /// Manifest in force.
    pub const fn spec(&self) -> Option<&Arc<ManifestSpec>> {
        self.spec.as_ref()
    }

    /// Life cycle of the incarnation.
    pub const fn life(&self) -> LifeCycle {
        self.life
    }

    /// Time until which the node may act under its lease.
    pub const fn lease_deadline(&self) -> Option<Instant> {
        self.lease.deadline()
    }

    /// Partitions served, sorted by id.
    pub fn owned(&self) -> Vec<OwnedRow> {
        let row = |ownership: &super::PartitionOwnership<super::HeldGrant>| OwnedRow {
            partition: ownership.partition,
            fence: ownership.state.fence,
        };
        self.ownerships.held.iter().map(row).collect()
    }

    /// Whether a request of the partition may run at `now`, whether it starts now or started
    /// earlier.
    pub fn may_run(&self, partition: PartitionId, now: Instant) -> bool {
        let lease =
            if self.guards.lease_recheck { self.lease.is_valid(now) } else { self.lease_was_valid };
        lease && self.ownerships.is_active(partition)
    }

    /// Discards the lease, because the clock that it was measured with cannot be trusted.
    pub fn discard_lease(&mut self) {
        self.lease.discard();
        self.lease_was_valid = false;
    }

    fn next_record(&mut self, body: RecordBody) -> LogRecord {
        self.record_count += 1;
        let id = self.info.boot_id.wrapping_add(u128::from(self.record_count));
        LogRecord { id, body }
    }

    fn append(&mut self, kind: AppendKind, body: RecordBody) {
        if self.outstanding.iter().any(|row| row.kind == kind) {
            return;
        }
        let record = self.next_record(body);
        self.outstanding.push(OutstandingRow { record: record.id, kind });
        self.actions.push(NodeAction::Append { record });
    }

    /// Notes that a record is not in the log and that its append will not be retried.
    pub fn append_failed(&mut self, record: RecordId) {
        self.outstanding.retain(|row| row.record != record);
        self.schedule.allow_recheck();
    }

    fn send(&mut self, to: NodeId, message: PeerMessage) {
        self.send_as(self.life.id().unwrap_or(0), to, message);
    }

    /// Sends a message in the name of a given incarnation of this process.
    fn send_as(&mut self, from: NodeId, to: NodeId, message: PeerMessage) {
        let envelope = Envelope { from, to, next_offset: self.state.next_offset, message };
        if self.is_own(to) {
            self.local_messages.push_back(envelope);
            return;
        }
        let member = self.state.member(to).map(|row| &row.info);
        let info = member.or_else(|| self.state.departed(to).map(|row| &row.info));
        if let Some(info) = info {
            let address = info.peer_address.clone();
            self.actions.push(NodeAction::Send { address, envelope });
        }
    }

    /// Whether `id` is an incarnation of this process.
    fn is_own(&self, id: NodeId) -> bool {
        self.life.id() == Some(id)
            || self.past_incarnations.contains(&id)
            || self.roles.iter().any(|role| role.id == id)
    }

    fn deliver_local_messages(&mut self, now: Instant) {
        while let Some(envelope) = self.local_messages.pop_front() {
            self.handle_message(envelope, now);
        }
    }

    fn note_lease_validity(&mut self, now: Instant) {
        self.lease_was_valid = self.lease.is_valid(now);
    }
}
