//! The upstream beside: announcements, loss, its grant, and the incarnation that serves it.

use std::sync::Arc;
use std::time::Instant;

use firspindle_core::PartitionId;
use firspindle_core::process::{DrainReason, LifeCycle};

use super::{ControlThread, DEFAULT_PLACES, HoldIdle, IoOrder, checkpoint_gap, member_info};
use crate::connection::UpstreamLink;
use crate::process::AnnounceBody;

impl ControlThread {
    pub(super) fn take_announcement(&mut self, body: AnnounceBody, now: Instant) {
        self.announced_at = now;
        if body.leaving {
            if self.announced.take().is_some() {
                log::info!(address:% = body.address; "upstream is leaving");
                self.drain(DrainReason::UpstreamLeaves, now);
            }
            return;
        }
        let known = self.announced.as_ref().is_some_and(|known| known.boot_id == body.boot_id);
        if known || self.stopping {
            return;
        }
        if self.machine.is_some() {
            // The incarnation of the process before ends first.
            self.lose_upstream("another process announced itself", now);
            return;
        }
        log::info!(
            service = &*body.service, address:% = body.address, slots = body.slots,
            checks_grants = body.checks_grants;
            "upstream announced itself"
        );
        let slots = body.slots as usize;
        let link = UpstreamLink::new(body.address, body.boot_id.clone(), slots, DEFAULT_PLACES);
        self.upstream = Some(Arc::new(link));
        let info = member_info(&self.parts.settings, self.process_id, Some(&body));
        let gap = checkpoint_gap(&self.parts.settings);
        self.machine = Some(self.reader.clone().next_incarnation(info, gap, now));
        self.announced = Some(body);
    }

    /// The upstream is gone: requests in flight fail, partitions go to their successors.
    pub(super) fn lose_upstream(&mut self, reason: &str, now: Instant) {
        if self.announced.take().is_none() {
            return;
        }
        log::warn!(reason; "upstream lost");
        self.drain(DrainReason::UpstreamGone, now);
    }

    /// A frozen upstream may run what it was sent once it goes on.
    ///
    /// One that checks grants refuses that after the last grant that it was given; partitions
    /// are released then. One that does not check keeps them until its process is seen gone.
    pub(super) fn freeze_upstream(&mut self, now: Instant) {
        let Some(body) = &self.announced else { return };
        let granted = self.granted.unwrap_or(now);
        self.hold_idle =
            Some(if body.checks_grants { HoldIdle::Until(granted) } else { HoldIdle::Gone });
        self.lose_upstream("it is frozen", now);
        self.carry_out();
        for row in &self.gates {
            row.gate.give_up();
        }
    }

    pub(super) fn hand_over_idle(&mut self, now: Instant) {
        match self.hold_idle {
            Some(HoldIdle::Gone) => return,
            Some(HoldIdle::Until(until)) if now < until => return,
            _ => {}
        }
        while let Some(partition) = self.idle.pop_front() {
            self.hand_over(partition, now);
        }
    }

    fn hand_over(&mut self, partition: PartitionId, now: Instant) {
        let Ok(index) = self.find_gate(partition) else { return };
        let dedup_state = self.gates.remove(index).gate.dedup_state().export();
        self.current().partition_idle(partition, dedup_state, now);
    }

    pub(super) fn extend_grant(&mut self) {
        let Some(machine) = &self.machine else { return };
        if self.hold_idle.is_some() {
            return;
        }
        let deadline = machine.lease_deadline();
        if deadline == self.granted {
            return;
        }
        self.granted = deadline;
        let (Some(deadline), Some(upstream), Some(holder)) =
            (deadline, self.upstream.clone(), machine.life().id())
        else {
            return;
        };
        let boot = self.clock.boot_time_of(deadline).as_micros();
        let deadline = u64::try_from(boot).unwrap_or(u64::MAX);
        let _ = self.parts.io.send(IoOrder::ExtendGrant { upstream, holder, deadline });
    }

    /// After an incarnation ended, the next one begins if the upstream is still there.
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
        self.reader = machine.next_incarnation(info, checkpoint_gap(&self.parts.settings), now);
        self.upstream = None;
        self.hold_idle = None;
        self.idle.clear();
        for row in self.gates.drain(..) {
            row.gate.abandon();
        }
        self.finished |= self.stopping;
        if let Some(body) = self.announced.take() {
            self.take_announcement(body, now);
        }
    }
}
