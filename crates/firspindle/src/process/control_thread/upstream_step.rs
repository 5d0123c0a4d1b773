//! The node's upstream: its announcements, its loss, its grant and the incarnation that serves it.

use std::sync::Arc;
use std::time::Instant;

use firspindle_core::PartitionId;
use firspindle_core::connection::UpstreamLimit;
use firspindle_core::process::{DrainReason, LifeCycle};

use super::{
    ControlThread, DEFAULT_QUEUE_LIMIT, HandoverHold, IoCommand, checkpoint_interval, member_info,
};
use crate::connection::UpstreamHandle;
use crate::process::AnnounceBody;

impl ControlThread {
    pub(super) fn handle_announcement(&mut self, body: AnnounceBody, now: Instant) {
        self.announced_at = now;
        if body.leaving || self.left.as_ref() == Some(&body.boot_id) {
            if self.announcement.take().is_some() {
                log::info!(address:% = body.address; "upstream is leaving");
                self.drain(DrainReason::UpstreamLeaves, now);
            }
            return;
        }
        let known = self.announcement.as_ref().is_some_and(|known| known.boot_id == body.boot_id);
        if known || self.stopping {
            return;
        }
        if self.machine.is_some() {
            // The incarnation that served the previous upstream process must end first.
            self.handle_lost_upstream("another upstream process announced itself", now);
            return;
        }
        log::info!(
            service = &*body.service, address:% = body.address, slots = body.slots,
            checks_grants = body.checks_grants;
            "upstream announced itself"
        );
        let upstream = UpstreamHandle::new(&body, DEFAULT_QUEUE_LIMIT);
        if let Some(limit) = self.known_limit(&body) {
            upstream.note_limit(Some(limit), now);
        }
        self.upstream = Some(Arc::new(upstream));
        let info = member_info(&self.parts.settings, self.process_id, Some(&body));
        let interval = checkpoint_interval(&self.parts.settings);
        self.machine = Some(self.standby.clone().next_incarnation(info, interval, now));
        self.announcement = Some(body);
    }

    /// Returns the limit that an upstream process announces, or named to an earlier incarnation.
    fn known_limit(&self, body: &AnnounceBody) -> Option<UpstreamLimit> {
        let announced = body.limit.as_deref().map(UpstreamLimit::parse);
        if let Some(Err(error)) = &announced {
            log::warn!(error:%; "invalid limit in an announcement ignored");
        }
        let named = self.named_limit.as_ref().filter(|named| named.0 == body.boot_id);
        announced.and_then(Result::ok).or(named.map(|named| named.1))
    }

    /// Drains the upstream whose answer said that it leaves; its later announcements do not end that.
    pub(super) fn handle_leaving(&mut self, boot_id: Box<str>, now: Instant) {
        let announced = self.announcement.take_if(|known| known.boot_id == boot_id);
        if announced.is_some() {
            log::info!(process = &*boot_id; "upstream says in an answer that it leaves");
            self.left = Some(boot_id);
            self.drain(DrainReason::UpstreamLeaves, now);
        }
    }

    /// Starts to drain because the upstream is lost: requests in flight fail, and successors take
    /// over the partitions.
    pub(super) fn handle_lost_upstream(&mut self, reason: &str, now: Instant) {
        if self.announcement.take().is_none() {
            return;
        }
        log::warn!(reason; "upstream lost");
        self.drain(DrainReason::UpstreamGone, now);
    }

    /// Drains an unresponsive upstream. If its process is paused, it may still run requests that it
    /// was sent once it resumes.
    ///
    /// If it checks grants, it refuses such requests after the end of its last grant, so its
    /// partitions are released at that time. If it does not, they are kept until its process is
    /// known to have ended.
    pub(super) fn handle_unresponsive_upstream(&mut self, now: Instant) {
        let Some(body) = &self.announcement else { return };
        let granted_until = self.granted_until.unwrap_or(now);
        self.handover_hold = Some(if body.checks_grants {
            HandoverHold::Until(granted_until)
        } else {
            HandoverHold::UntilGone
        });
        self.handle_lost_upstream("unresponsive", now);
        self.execute_actions();
        for row in &self.gates {
            row.gate.cancel_requests();
        }
    }

    pub(super) fn hand_over_idle(&mut self, now: Instant) {
        match self.handover_hold {
            Some(HandoverHold::UntilGone) => return,
            Some(HandoverHold::Until(until)) if now < until => return,
            _ => {}
        }
        while let Some(partition) = self.idle.pop_front() {
            self.hand_over(partition, now);
        }
    }

    fn hand_over(&mut self, partition: PartitionId, now: Instant) {
        let Ok(index) = self.find_gate(partition) else { return };
        let dedup_state = self.gates.remove(index).gate.dedup_table().export();
        self.current_machine().partition_idle(partition, dedup_state, now);
    }

    /// Hands over what ended incarnations saw, of the partitions that are idle.
    pub(super) fn hand_over_abandoned(&mut self, now: Instant) {
        let idle: Vec<_> = self.abandoned.extract_if(.., |row| row.gate.is_idle()).collect();
        for row in idle {
            let dedup_state = row.gate.dedup_table().export();
            self.current_machine().abandoned_idle(row.partition, dedup_state, now);
        }
    }

    pub(super) fn extend_grant(&mut self) {
        let Some(machine) = &self.machine else { return };
        if self.handover_hold.is_some() {
            return;
        }
        let deadline = machine.lease_deadline();
        if deadline == self.granted_until {
            return;
        }
        self.granted_until = deadline;
        let (Some(deadline), Some(upstream), Some(holder)) =
            (deadline, self.upstream.clone(), machine.life().id())
        else {
            return;
        };
        let boot = self.clock.boot_time_of(deadline).as_micros();
        let deadline = u64::try_from(boot).unwrap_or(u64::MAX);
        let _ = self.parts.io.send(IoCommand::ExtendGrant { upstream, holder, deadline });
    }

    /// Replaces an incarnation that has ended; the next one serves the upstream if it is still
    /// present.
    pub(super) fn restart_incarnation(&mut self, now: Instant) {
        let gone = self
            .machine
            .as_ref()
            .is_some_and(|machine| matches!(machine.life(), LifeCycle::Gone(_)));
        if !gone {
            return;
        }
        let Some(machine) = self.machine.take() else { return };
        let info = member_info(&self.parts.settings, self.process_id, None);
        self.standby =
            machine.next_incarnation(info, checkpoint_interval(&self.parts.settings), now);
        if let Some(upstream) = self.upstream.take() {
            self.named_limit = upstream.limit().map(|limit| (upstream.boot_id.clone(), limit));
        }
        self.handover_hold = None;
        self.idle.clear();
        for row in self.gates.drain(..) {
            row.gate.abandon();
        }
        self.finished |= self.stopping;
        if let Some(body) = self.announcement.take() {
            self.handle_announcement(body, now);
        }
    }
}
