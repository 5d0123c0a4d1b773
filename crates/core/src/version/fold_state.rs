//! The replicated state, and how each record of the log changes it.

mod epoch_step;
mod manifest_step;
mod plan_step;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::{
    DepartReason, DepartedRow, LogRecord, MemberInfo, MemberRow, PartitionRow, RecordBody,
    WitnessRow, epoch_of,
};
use crate::{LogOffset, ManifestVersion, NodeId, PartitionId, RecordId, ServiceId, TermNumber};

/// Record ids remembered for dropping repeated appends; older repeats fail their preconditions.
const MAX_RECENT_IDS: usize = 1024;

/// State after folding the log up to an offset.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FoldState {
    /// First offset that is not folded yet.
    pub next_offset: LogOffset,
    /// Offset of the last record that changed the input of plans.
    pub revision: LogOffset,
    /// Manifest in force.
    pub manifest: Option<ManifestRow>,
    /// Services, sorted by id.
    pub services: Vec<ServiceRow>,
    /// Id for the next new service.
    pub next_service_id: ServiceId,
    /// Members, sorted by id.
    pub members: Vec<MemberRow>,
    /// Departed members that an assignment or witness set still names, sorted by id.
    pub departed: Vec<DepartedRow>,
    /// Current term and its planner.
    pub term: TermRow,
    /// Partitions, sorted by id.
    pub partitions: Vec<PartitionRow>,
    /// Witness sets, sorted by member.
    pub witnesses: Vec<WitnessRow>,
    /// Offset that every member acknowledged; what is superseded up to here is dropped.
    pub floor: LogOffset,
    /// Ids of the newest records, oldest first.
    pub recent_ids: Vec<RecordId>,
}

/// The manifest in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ManifestRow {
    /// Version; the first is 1.
    pub version: ManifestVersion,
    /// Offset of its record.
    pub offset: LogOffset,
    /// Id of its record.
    pub record: RecordId,
    /// TOML text as the operator published it.
    pub text: Box<str>,
}

/// A service of the manifest in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRow {
    /// Id, never reused.
    pub id: ServiceId,
    /// Name in the manifest.
    pub name: Box<str>,
    /// Number of partitions.
    pub partitions: u16,
}

/// The current term of the planner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermRow {
    /// Number of the term; 0 before the first claim.
    pub number: TermNumber,
    /// Node that claimed the term and writes plans.
    pub planner: Option<NodeId>,
}

/// Effect of folding a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FoldOutcome {
    /// The record was applied.
    Applied,
    /// The record's precondition failed, for the given reason; it changed nothing.
    Dropped(Box<str>),
}

impl Default for FoldState {
    fn default() -> Self {
        Self {
            next_offset: 1,
            revision: 0,
            manifest: None,
            services: Vec::new(),
            next_service_id: 0,
            members: Vec::new(),
            departed: Vec::new(),
            term: TermRow { number: 0, planner: None },
            partitions: Vec::new(),
            witnesses: Vec::new(),
            floor: 0,
            recent_ids: Vec::new(),
        }
    }
}

impl FoldState {
    /// Folds the record at `offset`.
    ///
    /// # Panics
    ///
    /// If `offset` is not [`FoldState::next_offset`]: after a gap the state would be wrong, and
    /// partitions would be served under it.
    pub fn fold(&mut self, offset: LogOffset, record: &LogRecord) -> FoldOutcome {
        assert_eq!(offset, self.next_offset, "records are folded without a gap");
        self.next_offset += 1;
        if self.recent_ids.contains(&record.id) {
            return dropped("a record with this id was folded before");
        }
        if self.recent_ids.len() == MAX_RECENT_IDS {
            self.recent_ids.remove(0);
        }
        self.recent_ids.push(record.id);
        let outcome = self.apply(offset, record);
        let changes_plans = !matches!(record.body, RecordBody::Checkpoint(_));
        if outcome == FoldOutcome::Applied && changes_plans {
            self.revision = offset;
        }
        outcome
    }

    /// Skips an offset whose bytes do not decode as a record.
    ///
    /// # Panics
    ///
    /// If `offset` is not [`FoldState::next_offset`].
    pub fn skip(&mut self, offset: LogOffset) {
        assert_eq!(offset, self.next_offset, "records are folded without a gap");
        self.next_offset += 1;
    }

    fn apply(&mut self, offset: LogOffset, record: &LogRecord) -> FoldOutcome {
        match &record.body {
            RecordBody::Join(info) if self.epoch() > 0 => {
                self.note_earlier_join(0, offset, info, &[])
            }
            RecordBody::Join(info) => self.join(offset, info),
            RecordBody::EpochJoin(join) => self.join_epoch(offset, join),
            RecordBody::Drain { node } => self.drain(*node),
            RecordBody::Left { node } => self.depart(*node, DepartReason::Left, offset),
            RecordBody::Retire { node } => self.depart(*node, DepartReason::Retired, offset),
            RecordBody::Revoke { node, .. } => self.depart(*node, DepartReason::Revoked, offset),
            RecordBody::Quiesce { node } => self.quiesce(*node),
            RecordBody::Manifest { replaces, text } => {
                self.accept_manifest(offset, record.id, *replaces, text)
            }
            RecordBody::RestoredManifest(manifest) => self.restore_manifest(offset, manifest),
            RecordBody::Claim { term, node } => self.claim(*term, *node),
            RecordBody::Plan(plan) if epoch_of(plan.base) < self.epoch() => {
                self.note_earlier_plan(offset, plan)
            }
            RecordBody::Plan(plan) => self.apply_plan(offset, plan),
            // A reader that has a state keeps it; checkpoints are for readers that start.
            RecordBody::Checkpoint(_) => FoldOutcome::Applied,
        }
    }

    fn join(&mut self, offset: LogOffset, info: &MemberInfo) -> FoldOutcome {
        if self.members.iter().any(|row| row.info.boot_id == info.boot_id) {
            return dropped("this incarnation joined before");
        }
        self.depart_replaced(offset, info);
        self.members.push(MemberRow { id: offset, info: info.clone(), draining: false });
        FoldOutcome::Applied
    }

    /// Ends earlier incarnations of other processes at the address of a new one: two processes
    /// cannot hold one address.
    fn depart_replaced(&mut self, offset: LogOffset, info: &MemberInfo) {
        let replaced = |old: &MemberInfo| {
            let upstream_ended = old.upstream.boot_id != info.upstream.boot_id;
            DepartReason::Replaced { upstream_ended }
        };
        let same_address = |old: &MemberInfo| {
            old.peer_address == info.peer_address && old.process_id != info.process_id
        };
        let at_address = |row: &&MemberRow| same_address(&row.info);
        let rows: Vec<_> = self.members.iter().filter(at_address).cloned().collect();
        for row in rows {
            self.depart(row.id, replaced(&row.info), offset);
        }
        for row in &mut self.departed {
            if same_address(&row.info) && !row.reason.process_ended() {
                row.reason = replaced(&row.info);
            }
        }
    }

    fn drain(&mut self, node: NodeId) -> FoldOutcome {
        match self.members.binary_search_by_key(&node, |row| row.id) {
            Ok(index) if !self.members[index].draining => {
                self.members[index].draining = true;
                FoldOutcome::Applied
            }
            _ => dropped("no such member, or it is draining already"),
        }
    }

    fn depart(&mut self, node: NodeId, reason: DepartReason, offset: LogOffset) -> FoldOutcome {
        let Ok(index) = self.members.binary_search_by_key(&node, |row| row.id) else {
            return self.depart_earlier(node, reason);
        };
        let row = self.members.remove(index);
        // A revocation is complete only after the last grant expired, so an upstream that checks
        // grants has stopped by then.
        let quiesced = match reason {
            DepartReason::Left | DepartReason::Retired => true,
            DepartReason::Revoked => row.info.upstream.checks_grants,
            DepartReason::Replaced { .. } | DepartReason::Lost | DepartReason::Restored => false,
        };
        let departed = DepartedRow { id: node, reason, offset, quiesced, info: row.info };
        let index = self.departed.partition_point(|other| other.id < node);
        self.departed.insert(index, departed);
        FoldOutcome::Applied
    }

    fn quiesce(&mut self, node: NodeId) -> FoldOutcome {
        match self.departed.binary_search_by_key(&node, |row| row.id) {
            Ok(index) if !self.departed[index].quiesced => {
                self.departed[index].quiesced = true;
                if epoch_of(node) < self.epoch() {
                    return dropped("member of an older epoch");
                }
                self.compact();
                FoldOutcome::Applied
            }
            _ => dropped("no such departed member, or it is quiesced already"),
        }
    }

    fn claim(&mut self, term: TermNumber, node: NodeId) -> FoldOutcome {
        if term != self.term.number + 1 {
            return dropped("not the next term; another node claimed it first");
        }
        if self.member(node).is_none() {
            return dropped("no such member");
        }
        self.term = TermRow { number: term, planner: Some(node) };
        FoldOutcome::Applied
    }

    /// Manifest version in force; 0 before the first manifest.
    pub fn manifest_version(&self) -> ManifestVersion {
        self.manifest.as_ref().map_or(0, |row| row.version)
    }

    /// Current member by id.
    pub fn member(&self, node: NodeId) -> Option<&MemberRow> {
        let index = self.members.binary_search_by_key(&node, |row| row.id).ok()?;
        Some(&self.members[index])
    }

    /// Departed member by id, while an assignment or witness set names it.
    pub fn departed(&self, node: NodeId) -> Option<&DepartedRow> {
        let index = self.departed.binary_search_by_key(&node, |row| row.id).ok()?;
        Some(&self.departed[index])
    }

    /// Partition by id, if its service is in force.
    pub fn partition(&self, partition: PartitionId) -> Option<&PartitionRow> {
        Some(&self.partitions[self.partition_index(partition)?])
    }

    fn partition_index(&self, partition: PartitionId) -> Option<usize> {
        self.partitions.binary_search_by_key(&partition, |row| row.id).ok()
    }

    /// Witness sets of a member.
    pub fn witness_row(&self, node: NodeId) -> Option<&WitnessRow> {
        let index = self.witnesses.binary_search_by_key(&node, |row| row.member).ok()?;
        Some(&self.witnesses[index])
    }

    /// Service by name.
    pub fn service_named(&self, name: &str) -> Option<&ServiceRow> {
        self.services.iter().find(|row| &*row.name == name)
    }

    /// Service by id.
    pub fn service(&self, id: ServiceId) -> Option<&ServiceRow> {
        let index = self.services.binary_search_by_key(&id, |row| row.id).ok()?;
        Some(&self.services[index])
    }

    /// Number of superseded assignments and witness sets that are still kept.
    pub fn open_history(&self) -> usize {
        let assignments = self.partitions.iter().map(|row| row.assignments.len().saturating_sub(1));
        let rows = self.witnesses.iter().filter(|row| epoch_of(row.member) == self.epoch());
        let sets = rows.map(|row| row.sets.len().saturating_sub(1));
        assignments.sum::<usize>() + sets.sum::<usize>()
    }

    /// Hash of the whole state; equal on all nodes at the same offset.
    ///
    /// # Panics
    ///
    /// Never: every state has an encoding.
    pub fn digest(&self) -> u64 {
        xxh3_64(&postcard::to_stdvec(self).expect("states always encode"))
    }
}

fn dropped(reason: &str) -> FoldOutcome {
    FoldOutcome::Dropped(reason.into())
}
