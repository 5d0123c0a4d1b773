//! Handles log records and snapshots.

use std::sync::Arc;
use std::time::Instant;

use super::{NodeMachine, OutstandingRow, WitnessRole};
use crate::LogOffset;
use crate::connection::PeerRecord;
use crate::process::{LifeCycle, NodeAction, WitnessTable};
use crate::version::{CheckpointBody, FoldOutcome, FoldState, LogRecord, ManifestSpec, RecordBody};

impl NodeMachine {
    /// Handles the record at `offset`, read from the log or received from a peer; `None` stands for
    /// bytes that are not a record.
    ///
    /// An offset that was folded before is ignored. So is one beyond the next offset, because a
    /// node must not serve from a state with a gap.
    pub fn handle_record(&mut self, offset: LogOffset, record: Option<&LogRecord>, now: Instant) {
        if offset != self.state.next_offset {
            return;
        }
        match record {
            Some(record) => self.fold(offset, record, now),
            None => self.state.skip(offset),
        }
        self.log.push(offset, record);
        if self.ahead.as_ref().is_some_and(|row| row.offset <= self.state.next_offset) {
            self.ahead = None;
        }
        self.deliver_local_messages(now);
        self.note_lease_validity(now);
    }

    pub(super) fn handle_records(&mut self, records: &[PeerRecord], now: Instant) {
        for row in records {
            self.handle_record(row.offset, row.record.as_ref(), now);
        }
    }

    /// Replaces the state by a newer folded one; returns whether it did.
    ///
    /// Only an incarnation that has not joined, and so owns nothing, may do this.
    pub fn install_snapshot(&mut self, state: FoldState, now: Instant) -> bool {
        self.enter_epoch(state.epoch(), now);
        let fresh = matches!(self.life, LifeCycle::Joining(_));
        if !fresh
            || state.epoch() != self.state.epoch()
            || state.next_offset <= self.state.next_offset
        {
            return false;
        }
        self.state = state;
        self.log = crate::process::PeerLog::default();
        self.refresh_spec();
        self.revocations.fold_departed(&self.state, now);
        self.schedule.note_checkpoint(self.state.next_offset, now);
        self.handle_join();
        true
    }

    /// Ends the incarnation, because records after its state have expired from the log.
    pub fn end_at_log_gap(&mut self) {
        self.end_incarnation("records expired before this node read them");
    }

    fn fold(&mut self, offset: LogOffset, record: &LogRecord, now: Instant) {
        if let RecordBody::Checkpoint(body) = &record.body {
            self.verify_checkpoint(body);
        }
        let outcome = self.state.fold(offset, record);
        if !self.guards.earlier_epochs {
            self.state.drop_earlier();
        }
        self.outstanding.retain(|row: &OutstandingRow| row.record != record.id);
        log_outcome(offset, record, &outcome);
        if matches!(record.body, RecordBody::Checkpoint(_)) {
            self.schedule.note_checkpoint(offset, now);
        }
        if outcome != FoldOutcome::Applied {
            return;
        }
        match &record.body {
            RecordBody::Join(_) | RecordBody::EpochJoin(_) => self.handle_join(),
            RecordBody::Manifest { .. } | RecordBody::RestoredManifest(_) => self.refresh_spec(),
            RecordBody::Plan(plan) => {
                if !plan.is_empty() {
                    self.last_plan_offset = offset;
                }
                let changed: Vec<_> =
                    plan.assignments.iter().map(|assignment| assignment.partition).collect();
                self.update_involved(&changed);
            }
            _ => {}
        }
        self.after_fold(now);
    }

    fn after_fold(&mut self, now: Instant) {
        self.revocations.fold_departed(&self.state, now);
        self.retain_roles(now);
        self.schedule.retain_members(&self.state);
        let Some(me) = self.life.id() else { return };
        if self.state.member(me).is_none() {
            if matches!(self.life, LifeCycle::Draining(_)) {
                self.actions.push(NodeAction::Finished);
            }
            self.end_incarnation("the log records the end of this incarnation");
            return;
        }
        if let Some(row) = self.state.witness_row(me) {
            self.lease.fold_sets(row);
        }
        self.update_partitions(now);
    }

    /// Starts to serve, if this incarnation's join record was folded.
    fn handle_join(&mut self) {
        let LifeCycle::Joining(incarnation) = self.life else { return };
        let joined =
            |row: &&crate::version::MemberRow| row.info.boot_id == incarnation.state.boot_id;
        if let Some(row) = self.state.members.iter().find(joined) {
            let id = row.id;
            self.life = LifeCycle::Serving(incarnation.joined(id));
            let table = WitnessTable::new(self.timing, self.guards);
            self.roles.push(WitnessRole { id, table });
            log::info!(node = id, host = &*self.info.host; "node joined");
        }
    }

    /// Drops witness roles of earlier incarnations that no set names any more, and within the
    /// others the rows of holders that ended.
    fn retain_roles(&mut self, now: Instant) {
        let me = self.life.id();
        let state = &self.state;
        let named =
            |id| state.witnesses.iter().any(|row| row.sets.iter().any(|set| set.contains(id)));
        self.roles.retain(|role| Some(role.id) == me || named(role.id));
        for role in &mut self.roles {
            role.table.retain_members(state, now);
        }
    }

    /// Abandons all partitions and the lease, and ends the incarnation.
    pub(super) fn end_incarnation(&mut self, reason: &str) {
        for partition in self.ownerships.end() {
            self.actions.push(NodeAction::Abandon { partition });
        }
        self.involved.clear();
        self.lease.discard();
        let incarnation = match self.life {
            LifeCycle::Serving(incarnation) => incarnation.end(),
            LifeCycle::Draining(incarnation) => incarnation.end(),
            LifeCycle::Joining(_) | LifeCycle::Gone(_) => return,
        };
        log::warn!(node = incarnation.state.id, reason; "incarnation ended");
        self.life = LifeCycle::Gone(incarnation);
    }

    pub(super) fn refresh_spec(&mut self) {
        let row = self.manifest();
        let record = row.map(|row| row.record);
        if record == self.spec_record {
            return;
        }
        let spec = row.and_then(|row| ManifestSpec::parse(&row.text).ok()).map(Arc::new);
        let version = row.map_or(0, |row| row.version);
        self.spec_record = record;
        self.spec = spec;
        log::info!(version, epoch = self.state.epoch(); "manifest in force");
    }

    /// Updates the list of partitions with an assignment that names this node.
    ///
    /// A partition that may still have requests in flight stays listed.
    fn update_involved(&mut self, changed: &[crate::PartitionId]) {
        let Some(me) = self.life.id() else { return };
        for partition in changed {
            let named = self.state.partition(*partition).is_some_and(|row| {
                row.assignments.iter().any(|assignment| assignment.nodes.contains(&me))
            });
            match (self.involved.binary_search(partition), named) {
                (Err(index), true) => self.involved.insert(index, *partition),
                (Ok(index), false) if !self.ownerships.is_active(*partition) => {
                    self.involved.remove(index);
                }
                _ => {}
            }
        }
    }

    /// Compares a checkpoint at the current offset with this node's state.
    ///
    /// Nothing is taken over from a checkpoint that differs: either this node or the writer of the
    /// checkpoint folds incorrectly, and which one is unknown.
    fn verify_checkpoint(&self, body: &CheckpointBody) {
        let same_offset = body.next_offset() == self.state.next_offset;
        if same_offset && body.state.digest() != self.state.digest() {
            log::error!(offset = self.state.next_offset; "checkpoint differs from this node's state");
        }
    }
}

fn log_outcome(offset: LogOffset, record: &LogRecord, outcome: &FoldOutcome) {
    let kind = record_kind(&record.body);
    match outcome {
        FoldOutcome::Applied => log::debug!(offset, kind; "record folded"),
        FoldOutcome::Dropped(reason) if matches!(record.body, RecordBody::Manifest { .. }) => {
            log::warn!(offset, kind, reason = &**reason; "manifest refused");
        }
        FoldOutcome::Dropped(reason) => {
            log::info!(offset, kind, reason = &**reason; "record dropped");
        }
    }
}

fn record_kind(body: &RecordBody) -> &'static str {
    match body {
        RecordBody::Join(_) | RecordBody::EpochJoin(_) => "join",
        RecordBody::Drain { .. } => "drain",
        RecordBody::Left { .. } => "left",
        RecordBody::Retire { .. } => "retire",
        RecordBody::Revoke { .. } => "lapse",
        RecordBody::Quiesce { .. } => "settle",
        RecordBody::Manifest { .. } => "manifest",
        RecordBody::Claim { .. } => "claim",
        RecordBody::Plan(_) => "plan",
        RecordBody::Checkpoint(_) => "checkpoint",
        RecordBody::RestoredManifest(_) => "restored manifest",
    }
}
