//! Epochs of the log: what a node gives up once the log came back from an older copy.
//!
//! The node acts no more under rights of the older epoch and grants none. It joins the newer one
//! once all that it held or granted has expired, and says in its join which members of older
//! epochs it knows of.

use std::time::{Duration, Instant};

use super::{AppendKind, NodeMachine, RevocationTable};
use crate::connection::{Envelope, PeerMessage};
use crate::process::{LeaseTable, NodeAction, OwnershipTable, PeerLog};
use crate::version::{
    DepartReason, EarlierMember, EpochJoin, FoldEpoch, FoldState, ManifestRow, PlanRecord,
    RecordBody, RestoredManifest, epoch_of,
};
use crate::{LogOffset, NodeId};

/// Time between two notices to members of older epochs.
const NOTICE_INTERVAL: Duration = Duration::from_millis(500);

/// Range of the delay after which a node other than the planner writes a manifest or a floor again.
const RESTORE_JITTER_MS: u64 = 600;

impl NodeMachine {
    /// Enters an epoch of the log, if it is newer than the one that this node is in.
    ///
    /// The incarnation ends, and the log is read from its start.
    pub fn enter_epoch(&mut self, epoch: FoldEpoch, now: Instant) {
        if epoch <= self.state.epoch() {
            return;
        }
        log::warn!(epoch, before = self.state.epoch(); "the log came back from an older copy");
        self.end_incarnation("the log came back from an older copy");
        let bound = self.run_bound();
        let before = std::mem::replace(&mut self.state, FoldState::in_epoch(epoch));
        self.remember(before);
        self.lease = LeaseTable::new(self.timing, self.guards);
        self.past_incarnations.clear();
        self.roles.clear();
        self.revocations = RevocationTable::new(self.timing, self.guards);
        self.ownerships = OwnershipTable::new();
        self.schedule.restart(now);
        self.log = PeerLog::default();
        self.involved.clear();
        self.releases.clear();
        self.own_releases.clear();
        self.silent.clear();
        self.outstanding.clear();
        self.ahead = None;
        self.last_plan_offset = 0;
        self.early_renewal_offset = 0;
        self.empty_plan_revision = None;
        self.local_messages.clear();
        self.join_at = Some(now + self.timing.full_lease() + bound);
        self.note_lease_validity(now);
    }

    /// Time for which an upstream that does not check grants may go on with a request.
    fn run_bound(&self) -> Duration {
        let upstream = &self.info.upstream;
        let service = self.spec.as_ref().and_then(|spec| spec.service(&upstream.service));
        let bound = service.and_then(|service| service.run_bound);
        bound.filter(|_| !upstream.checks_grants).unwrap_or_default()
    }

    /// Keeps the manifest and the members of a state whose epoch ended.
    fn remember(&mut self, before: FoldState) {
        for member in before.earlier_members() {
            match self.earlier.binary_search_by_key(&member.id, |known| known.id) {
                Ok(index) => merge(&mut self.earlier[index], member),
                Err(index) => self.earlier.insert(index, member),
            }
        }
        let floor = before.floor;
        if floor > 0
            && epoch_of(floor) == before.epoch()
            && let Err(index) = self.earlier_floors.binary_search(&floor)
        {
            self.earlier_floors.insert(index, floor);
        }
        let kept = self.kept_manifest.as_ref().map_or(0, |row| row.version);
        if before.manifest_version() >= kept {
            self.kept_manifest = before.manifest;
        }
    }

    /// Manifest in force: that of the log, unless this node knows a newer version that the log
    /// lost.
    pub fn manifest(&self) -> Option<&ManifestRow> {
        let kept = self.kept_manifest.as_ref();
        let is_newer = |row: &&ManifestRow| row.version > self.state.manifest_version();
        kept.filter(is_newer).or(self.state.manifest.as_ref())
    }

    /// Appends the join record, once nothing that this process held or granted in older epochs can
    /// be in force.
    pub(super) fn join(&mut self, now: Instant) {
        if self.guards.epoch_wait && self.join_at.is_some_and(|at| now < at) {
            return;
        }
        let join = EpochJoin {
            epoch: self.state.epoch(),
            info: self.info.clone(),
            earlier: self.unlogged_members(),
        };
        self.append(AppendKind::Join, RecordBody::EpochJoin(Box::new(join)));
    }

    /// Members of older epochs of which the log does not tell all that this process knows.
    fn unlogged_members(&self) -> Vec<EarlierMember> {
        let is_logged = |member: &&EarlierMember| {
            let Some(row) = self.state.departed(member.id) else { return false };
            let sets = self.state.witness_row(member.id).map_or(&[][..], |row| &row.sets);
            row.info.boot_id == member.info.boot_id
                && row.quiesced >= member.ended
                && member.sets.iter().all(|set| sets.contains(set))
        };
        let members = self.earlier.iter().filter(|member| !is_logged(member));
        members.filter(|_| self.guards.epoch_members).cloned().collect()
    }

    /// Writes a newer manifest again that the log lost, for nodes that start.
    pub(super) fn restore_manifest(&mut self, me: NodeId, now: Instant) {
        let Some(row) = &self.kept_manifest else { return };
        if row.version <= self.state.manifest_version() {
            return;
        }
        let (version, record, text) = (row.version, row.record, row.text.clone());
        if !self.restore_due(me, now) {
            return;
        }
        let manifest = RestoredManifest { version, record, text };
        self.append(AppendKind::Manifest, RecordBody::RestoredManifest(manifest));
    }

    /// Writes the floor of an older epoch again if the log has witness sets that a member left by
    /// it: the restore lost the floor, and a set of a lost host alone would count for good.
    pub(super) fn restore_floor(&mut self, me: NodeId, now: Instant) {
        let is_missing = |floor: &&LogOffset| self.state.keeps_sets_left_by(**floor);
        let Some(floor) = self.earlier_floors.iter().find(is_missing).copied() else { return };
        if !self.restore_due(me, now) {
            return;
        }
        self.append(AppendKind::Floor, RecordBody::Plan(PlanRecord::earlier_floor(floor)));
    }

    /// Whether this node may write again what the log lost. The planner does so at once, others
    /// after differing delays, so that one record is usually enough.
    fn restore_due(&mut self, me: NodeId, now: Instant) -> bool {
        let jitter = me.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
        let delay = Duration::from_millis(100 + jitter % RESTORE_JITTER_MS);
        let at = *self.restore_at.get_or_insert(now + delay);
        now >= at || self.state.term.planner == Some(me)
    }

    /// Whether a message is of this node's epoch. The sender of an older one is told of the newer;
    /// a newer one shows this node that it is behind.
    pub(super) fn check_epoch(&mut self, envelope: &Envelope, now: Instant) -> bool {
        let epoch = epoch_of(envelope.next_offset);
        if epoch > self.state.epoch() {
            self.enter_epoch(epoch, now);
            return false;
        }
        if epoch == self.state.epoch() {
            return true;
        }
        let address = match &envelope.message {
            PeerMessage::Fetch { reply_to, .. } => Some(reply_to.clone()),
            _ => self.address_of_earlier(envelope.from),
        };
        if let Some(address) = address {
            self.send_notice(address);
        }
        false
    }

    fn address_of_earlier(&self, node: NodeId) -> Option<Box<str>> {
        if let Some(row) = self.state.departed(node) {
            return Some(row.info.peer_address.clone());
        }
        let index = self.earlier.binary_search_by_key(&node, |known| known.id).ok()?;
        Some(self.earlier[index].info.peer_address.clone())
    }

    /// Tells members of older epochs that have not joined this one that there is a newer one.
    pub(super) fn notify_earlier(&mut self, now: Instant) {
        if now < self.notify_at {
            return;
        }
        self.notify_at = now + NOTICE_INTERVAL;
        let state = &self.state;
        let unjoined = state.departed.iter().filter(|row| row.reason == DepartReason::Restored);
        let mut addresses: Vec<_> = unjoined.map(|row| row.info.peer_address.clone()).collect();
        addresses.sort_unstable();
        addresses.dedup();
        for address in addresses {
            self.send_notice(address);
        }
    }

    fn send_notice(&mut self, address: Box<str>) {
        let from = self.life.id().unwrap_or(0);
        let next_offset = self.state.next_offset;
        let envelope = Envelope { from, to: 0, next_offset, message: PeerMessage::EpochNotice };
        self.actions.push(NodeAction::Send { address, envelope });
    }
}

/// Adds what another epoch's state says of a member. If that state has a late join at the member's
/// offset instead, it says nothing of the member.
fn merge(known: &mut EarlierMember, member: EarlierMember) {
    if known.info.boot_id != member.info.boot_id {
        return;
    }
    known.ended |= member.ended;
    for set in member.sets {
        if let Err(index) = known.sets.binary_search_by_key(&set.offset, |other| other.offset) {
            known.sets.insert(index, set);
        }
    }
}
