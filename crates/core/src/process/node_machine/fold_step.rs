//! Takes records of the log.

use std::sync::Arc;
use std::time::Instant;

use super::{NodeMachine, OutstandingRow, WitnessRole};
use crate::LogOffset;
use crate::connection::PeerRecord;
use crate::process::{LifeCycle, NodeAction, WitnessTable};
use crate::version::{CheckpointBody, FoldOutcome, FoldState, LogRecord, ManifestSpec, RecordBody};

impl NodeMachine {
    /// Takes the record at `offset`, from the log or a peer; `None` for bytes that are none.
    ///
    /// An offset that was folded before changes nothing, and one beyond the next is left out:
    /// nothing is served across a gap.
    pub fn take_record(&mut self, offset: LogOffset, record: Option<&LogRecord>, now: Instant) {
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
        self.deliver_local(now);
        self.note_lease(now);
    }

    pub(super) fn take_records(&mut self, records: &[PeerRecord], now: Instant) {
        for row in records {
            self.take_record(row.offset, row.record.as_ref(), now);
        }
    }

    /// Starts over from a folded state, which only an incarnation that holds nothing may do.
    pub fn adopt(&mut self, state: FoldState, now: Instant) -> bool {
        let fresh = matches!(self.life, LifeCycle::Joining(_));
        if !fresh || state.next_offset <= self.state.next_offset {
            return false;
        }
        self.state = state;
        self.log = crate::process::PeerLog::default();
        self.refresh_spec();
        self.lapses.fold_departed(&self.state, now);
        self.desk.checkpoint_seen(self.state.next_offset, now);
        self.find_join();
        true
    }

    /// Records between the state and the log's first are gone; the incarnation ends.
    pub fn lose_log(&mut self) {
        self.end_instance("records expired before this node read them");
    }

    fn fold(&mut self, offset: LogOffset, record: &LogRecord, now: Instant) {
        if let RecordBody::Checkpoint(body) = &record.body {
            self.compare_checkpoint(body);
        }
        let outcome = self.state.fold(offset, record);
        self.outstanding.retain(|row: &OutstandingRow| row.record != record.id);
        log_outcome(offset, record, &outcome);
        if matches!(record.body, RecordBody::Checkpoint(_)) {
            self.desk.checkpoint_seen(offset, now);
        }
        if outcome != FoldOutcome::Applied {
            return;
        }
        match &record.body {
            RecordBody::Join(_) => self.find_join(),
            RecordBody::Manifest { .. } => self.refresh_spec(),
            RecordBody::Plan(plan) => {
                if !plan.is_empty() {
                    self.supersession = offset;
                }
                let changed: Vec<_> = plan.lines.iter().map(|line| line.partition).collect();
                self.update_involved(&changed);
            }
            _ => {}
        }
        self.after_fold(now);
    }

    fn after_fold(&mut self, now: Instant) {
        self.lapses.fold_departed(&self.state, now);
        self.retain_roles(now);
        self.desk.retain_members(&self.state);
        let Some(me) = self.life.id() else { return };
        if self.state.member(me).is_none() {
            if matches!(self.life, LifeCycle::Draining(_)) {
                self.actions.push(NodeAction::Finished);
            }
            self.end_instance("the log holds this incarnation ended");
            return;
        }
        if let Some(row) = self.state.witness_row(me) {
            self.lease.fold_sets(row);
        }
        self.settle(now);
    }

    fn find_join(&mut self) {
        let LifeCycle::Joining(life) = self.life else { return };
        let joined = |row: &&crate::version::MemberRow| row.info.boot_id == life.state.boot_id;
        if let Some(row) = self.state.members.iter().find(joined) {
            let id = row.id;
            self.life = LifeCycle::Serving(life.joined(id));
            let table = WitnessTable::new(self.timing, self.guards);
            self.roles.push(WitnessRole { id, table });
            log::info!(node = id, host = &*self.info.host; "joined");
        }
    }

    /// Drops what no member relies on any more.
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

    fn end_instance(&mut self, reason: &str) {
        let held = self.tenures.held.iter().map(|tenure| tenure.partition);
        let releasing = self.tenures.releasing.iter().map(|tenure| tenure.partition);
        let partitions: Vec<_> = held.chain(releasing).collect();
        for partition in partitions {
            self.actions.push(NodeAction::Abandon { partition });
        }
        let released = std::mem::take(&mut self.tenures.released);
        self.tenures = crate::process::TenureTable { released, ..Default::default() };
        self.involved.clear();
        self.lease.distrust();
        let life = match self.life {
            LifeCycle::Serving(life) => life.end(),
            LifeCycle::Draining(life) => life.end(),
            LifeCycle::Joining(_) | LifeCycle::Gone(_) => return,
        };
        log::warn!(node = life.state.id, reason; "incarnation ended");
        self.life = LifeCycle::Gone(life);
    }

    pub(super) fn refresh_spec(&mut self) {
        let version = self.state.manifest_version();
        if version == self.spec_version {
            return;
        }
        self.spec_version = version;
        let text = self.state.manifest.as_ref().map(|row| &*row.text);
        self.spec = text.and_then(|text| ManifestSpec::parse(text).ok()).map(Arc::new);
        log::info!(version; "manifest in force");
    }

    fn update_involved(&mut self, changed: &[crate::PartitionId]) {
        let Some(me) = self.life.id() else { return };
        for partition in changed {
            let named = self
                .state
                .partition(*partition)
                .is_some_and(|row| row.lines.iter().any(|line| line.nodes.contains(&me)));
            match (self.involved.binary_search(partition), named) {
                (Err(index), true) => self.involved.insert(index, *partition),
                (Ok(index), false) if !self.tenures.is_active(*partition) => {
                    self.involved.remove(index);
                }
                _ => {}
            }
        }
    }

    /// A checkpoint of the present state must be equal to it.
    ///
    /// Nothing is taken from one that differs: either this node or its writer folds wrongly.
    fn compare_checkpoint(&self, body: &CheckpointBody) {
        let same_offset = body.next_offset() == self.state.next_offset;
        if same_offset && body.state.digest() != self.state.digest() {
            log::error!(offset = self.state.next_offset; "a checkpoint differs from this node's state");
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
        RecordBody::Join(_) => "join",
        RecordBody::Drain { .. } => "drain",
        RecordBody::Left { .. } => "left",
        RecordBody::Retire { .. } => "retire",
        RecordBody::Lapse { .. } => "lapse",
        RecordBody::Settle { .. } => "settle",
        RecordBody::Manifest { .. } => "manifest",
        RecordBody::Claim { .. } => "claim",
        RecordBody::Plan(_) => "plan",
        RecordBody::Checkpoint(_) => "checkpoint",
    }
}
