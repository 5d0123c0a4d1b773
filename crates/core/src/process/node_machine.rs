//! The control state of one incarnation.
//!
//! The machine takes folded records, messages and ticks, all with the present time, and gives
//! [`NodeAction`]s. It decides nothing from a hint alone: every partition that it opens rests on
//! the rules in `docs/design/ownership.md`.

mod fold_step;
mod message_step;
mod right_step;
mod tenure_step;
mod tick_step;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{
    DrainReason, FenceToken, LapseTable, LeaseTable, LeaseTiming, Life, LifeCycle, NodeAction,
    PeerLog, PlannerDesk, SafetyGuards, TenureTable, WitnessTable,
};
use crate::connection::{DedupState, Envelope, PeerMessage, SuspectRow};
use crate::version::{FoldState, LogRecord, ManifestSpec, MemberInfo, RecordBody};
use crate::{LogOffset, ManifestVersion, NodeId, PartitionId, RecordId};

/// Time for which a silence notice counts.
const SILENCE_MEMORY: Duration = Duration::from_millis(1600);

/// Time for which releases, sent or received, are kept.
const RELEASE_MEMORY: Duration = Duration::from_secs(600);

/// The control state machine of a node.
#[derive(Debug, Clone)]
pub struct NodeMachine {
    timing: LeaseTiming,
    guards: SafetyGuards,
    info: MemberInfo,
    life: LifeCycle,
    state: FoldState,
    spec: Option<Arc<ManifestSpec>>,
    spec_version: ManifestVersion,
    lease: LeaseTable,
    /// Earlier incarnations of this process.
    past: Vec<NodeId>,
    /// Witness roles of this incarnation and of earlier ones of the same process.
    roles: Vec<WitnessRole>,
    lapses: LapseTable,
    tenures: TenureTable,
    desk: PlannerDesk,
    log: PeerLog,
    /// Partitions whose lines name this node, sorted.
    involved: Vec<PartitionId>,
    releases: Vec<ReleaseRow>,
    /// What this node itself released, by partition.
    given: Vec<GivenRow>,
    silent: Vec<SilentRow>,
    suspects: Vec<SuspectRow>,
    outstanding: Vec<OutstandingRow>,
    record_count: u64,
    /// Offset that a peer is known to hold while this node lags.
    ahead: Option<AheadRow>,
    heartbeat_at: Instant,
    told_at: Instant,
    told_acked: LogOffset,
    /// Offset of the last plan, which the floor has to reach.
    supersession: LogOffset,
    /// Whether the lease held at the last event.
    lease_was_valid: bool,
    lost_since: Option<Instant>,
    drain_reason: Option<DrainReason>,
    /// Line offset for which a renewal was hurried.
    hurried: LogOffset,
    /// Revision whose plan is empty.
    planned: Option<LogOffset>,
    drain_step_at: Instant,
    drained_at: Option<Instant>,
    local: VecDeque<Envelope>,
    actions: Vec<NodeAction>,
}

/// Grants that one incarnation of this process gave.
#[derive(Debug, Clone)]
struct WitnessRole {
    id: NodeId,
    table: WitnessTable,
}

/// A release that another node sent here.
#[derive(Debug, Clone)]
struct ReleaseRow {
    partition: PartitionId,
    node: NodeId,
    before: LogOffset,
    served_fence: Option<FenceToken>,
    dedup_state: DedupState,
    until: Instant,
}

/// A release that this node gave: others may serve by lines below `before` without its lapse.
#[derive(Debug, Clone, Copy)]
struct GivenRow {
    partition: PartitionId,
    before: LogOffset,
}

#[derive(Debug, Clone, Copy)]
struct SilentRow {
    node: NodeId,
    until: Instant,
}

#[derive(Debug, Clone, Copy)]
struct OutstandingRow {
    record: RecordId,
    kind: AppendKind,
}

/// Kinds of appends, one outstanding of each.
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
}

#[derive(Debug, Clone)]
struct AheadRow {
    offset: LogOffset,
    fetch_at: Instant,
    address: Box<str>,
}

/// A partition that the node serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnedRow {
    /// Partition.
    pub partition: PartitionId,
    /// Fence of the grant.
    pub fence: FenceToken,
}

impl NodeMachine {
    /// Begins an incarnation over a folded state; it joins with the first tick.
    pub fn new(
        info: MemberInfo,
        state: FoldState,
        timing: LeaseTiming,
        checkpoint_gap: Duration,
        now: Instant,
    ) -> Self {
        let guards = SafetyGuards::all();
        let boot_id = info.boot_id;
        let mut machine = Self {
            timing,
            guards,
            info,
            life: LifeCycle::Joining(Life::begin(boot_id)),
            state,
            spec: None,
            spec_version: 0,
            lease: LeaseTable::new(timing, guards),
            past: Vec::new(),
            roles: Vec::new(),
            lapses: LapseTable::new(timing, guards),
            tenures: TenureTable::new(),
            desk: PlannerDesk::new(checkpoint_gap, now),
            log: PeerLog::default(),
            involved: Vec::new(),
            releases: Vec::new(),
            given: Vec::new(),
            silent: Vec::new(),
            suspects: Vec::new(),
            outstanding: Vec::new(),
            record_count: 0,
            ahead: None,
            heartbeat_at: now,
            told_at: now,
            told_acked: 0,
            supersession: 0,
            lease_was_valid: false,
            lost_since: None,
            drain_reason: None,
            hurried: 0,
            planned: None,
            drain_step_at: now,
            drained_at: None,
            local: VecDeque::new(),
            actions: Vec::new(),
        };
        machine.refresh_spec();
        machine.lapses.fold_departed(&machine.state, now);
        machine
    }

    /// The next incarnation of the same process, after this one ended.
    ///
    /// It holds nothing of the one before, and goes on as the witness that it was: sets that
    /// name an earlier incarnation would otherwise lose a living witness.
    #[must_use]
    pub fn succeed(self, info: MemberInfo, checkpoint_gap: Duration, now: Instant) -> Self {
        let ended = match self.life {
            LifeCycle::Gone(life) => Some(life.state.id),
            _ => None,
        };
        let mut next = Self::new(info, self.state, self.timing, checkpoint_gap, now);
        next.guards = self.guards;
        next.lease = LeaseTable::new(self.timing, self.guards);
        next.lapses = LapseTable::new(self.timing, self.guards);
        next.lapses.fold_departed(&next.state, now);
        next.past = self.past;
        next.past.extend(ended);
        // What was released can still be asked for.
        next.tenures.released = self.tenures.released;
        next.roles = self.roles;
        next.log = self.log;
        next.suspects = self.suspects;
        next
    }

    /// Takes guards out, for the proofs.
    #[doc(hidden)]
    #[must_use]
    pub fn with_guards(mut self, guards: SafetyGuards) -> Self {
        self.guards = guards;
        self.lease = LeaseTable::new(self.timing, guards);
        self.lapses = LapseTable::new(self.timing, guards);
        self
    }

    /// Takes the actions decided so far.
    pub fn take_actions(&mut self) -> Vec<NodeAction> {
        std::mem::take(&mut self.actions)
    }

    /// Folded state.
    pub const fn state(&self) -> &FoldState {
        &self.state
    }

    /// Manifest in force.
    pub const fn spec(&self) -> Option<&Arc<ManifestSpec>> {
        self.spec.as_ref()
    }

    /// Life of the incarnation.
    pub const fn life(&self) -> LifeCycle {
        self.life
    }

    /// Time until which the node may act.
    pub const fn lease_deadline(&self) -> Option<Instant> {
        self.lease.deadline()
    }

    /// Partitions served, sorted.
    pub fn owned(&self) -> Vec<OwnedRow> {
        let row = |tenure: &super::Tenure<super::HeldGrant>| OwnedRow {
            partition: tenure.partition,
            fence: tenure.state.fence,
        };
        self.tenures.held.iter().map(row).collect()
    }

    /// Whether a request of the partition may run at `now`, started earlier or not.
    pub fn may_run(&self, partition: PartitionId, now: Instant) -> bool {
        let lease =
            if self.guards.lease_recheck { self.lease.is_valid(now) } else { self.lease_was_valid };
        lease && self.tenures.is_active(partition)
    }

    /// Suspects to refuse, as heard and reported.
    pub fn suspects(&self) -> &[SuspectRow] {
        &self.suspects
    }

    /// Discards the lease after a clock that cannot be trusted.
    pub fn distrust_clock(&mut self) {
        self.lease.distrust();
        self.lease_was_valid = false;
    }

    /// Notes a request that was in flight when the upstream crashed.
    pub fn report_suspect(&mut self, row: &SuspectRow) {
        self.merge_suspects(std::slice::from_ref(row));
    }

    /// Drops suspicions that ended.
    pub fn expire_suspects(&mut self, unix_ms: u64) {
        self.suspects.retain(|row| row.until_ms > unix_ms);
    }

    fn merge_suspects(&mut self, rows: &[SuspectRow]) {
        let mut changed = Vec::new();
        for row in rows {
            if self.merge_suspect(row) {
                changed.push(row.clone());
            }
        }
        if !changed.is_empty() {
            self.actions.push(NodeAction::Suspects { rows: changed });
        }
    }

    fn merge_suspect(&mut self, row: &SuspectRow) -> bool {
        match self.suspects.binary_search_by_key(&row.fingerprint, |known| known.fingerprint) {
            Ok(index) => {
                let known = &mut self.suspects[index];
                let count = known.crashes.len();
                known.crashes.extend(&row.crashes);
                known.crashes.sort_unstable();
                known.crashes.dedup();
                known.until_ms = known.until_ms.max(row.until_ms);
                known.crashes.len() > count
            }
            Err(index) => {
                self.suspects.insert(index, row.clone());
                true
            }
        }
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

    /// A record is not on the log and will not be appended again by its writer.
    pub fn append_failed(&mut self, record: RecordId) {
        self.outstanding.retain(|row| row.record != record);
        self.desk.recheck();
    }

    fn send(&mut self, to: NodeId, message: PeerMessage) {
        self.send_as(self.life.id().unwrap_or(0), to, message);
    }

    /// Sends as an incarnation of this process.
    fn send_as(&mut self, from: NodeId, to: NodeId, message: PeerMessage) {
        let envelope = Envelope { from, to, next_offset: self.state.next_offset, message };
        if self.is_own(to) {
            self.local.push_back(envelope);
            return;
        }
        let member = self.state.member(to).map(|row| &row.info);
        let info = member.or_else(|| self.state.departed(to).map(|row| &row.info));
        if let Some(info) = info {
            let address = info.peer_address.clone();
            self.actions.push(NodeAction::Send { address, envelope });
        }
    }

    /// Whether an id is an incarnation of this process.
    fn is_own(&self, id: NodeId) -> bool {
        self.life.id() == Some(id)
            || self.past.contains(&id)
            || self.roles.iter().any(|role| role.id == id)
    }

    fn deliver_local(&mut self, now: Instant) {
        while let Some(envelope) = self.local.pop_front() {
            self.take_message(envelope, now);
        }
    }

    fn note_lease(&mut self, now: Instant) {
        self.lease_was_valid = self.lease.is_valid(now);
    }
}
