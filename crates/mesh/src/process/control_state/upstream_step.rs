//! The node's upstream: its heartbeats, its leaves, and what is granted to it.

use std::time::{Duration, Instant};

use bytes::Bytes;
use firspindle_core::connection::{OwnReport, ReportRefusal, UpstreamLoad, UpstreamReport};
use firspindle_core::process::GrantPermit;
use firspindle_core::version::{UpstreamInstance, UpstreamRecord, UpstreamState};
use firspindle_edge::PlatformCodec;

use super::{ControlAction, ControlState};
use crate::version::ColdReport;

/// Silence of the upstream after which it counts as gone: three heartbeat intervals.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2_800);

/// Most instances that left, and most leaves of unknown ones, that are remembered.
const MAX_LEAVING: usize = 64;

/// Time between two probes of the upstream's address.
const PROBE_INTERVAL: Duration = Duration::from_millis(600);

impl<C: PlatformCodec> ControlState<C> {
    /// Handles the report that a heartbeat carries, and returns the body of the response to the
    /// heartbeat.
    ///
    /// # Errors
    ///
    /// A [`ReportRefusal`] if the report is not of this host's upstream; nothing has changed then.
    pub fn handle_report(
        &mut self,
        report: UpstreamReport,
        now: Instant,
    ) -> Result<Bytes, ReportRefusal> {
        let holds_keys = self.holds_keys(&self.settings.service);
        let report = OwnReport::check(report, &self.settings.service, holds_keys)?;
        let leaving = self.leaving.contains(&report.instance);
        let permit = self.grant_permit(now);
        let newest = self.grants.is_newest(&report);
        let reply = self.grants.apply_report(&report, permit, now);
        if newest {
            self.update_upstream(&report, leaving, now);
        } else {
            log::info!(
                life = &*report.instance.id, sequence = report.sequence;
                "late heartbeat ignored"
            );
        }
        let (cells, waiting) = self.grants.waiting_cells(now);
        let level = if waiting > 0 { log::Level::Info } else { log::Level::Debug };
        log::log!(
            level,
            life = &*report.instance.id, sequence = report.sequence, held = report.holds.len(),
            cells, waiting, confirmed_ms:? = self.confirmation.age(now).map(|age| age.as_millis()),
            granted = reply.as_ref().map_or(0, |reply| reply.rows.len());
            "heartbeat answered"
        );
        let sent_reply = reply.filter(|_| holds_keys);
        Ok(self.codec.encode_reply(sent_reply.as_ref()))
    }

    /// Returns until when this node may grant under the plan that it has applied: for a short time after
    /// the store confirmed the plan, and what is held already for a longer time while every other holder
    /// of the plan attests that nothing was granted under a later one.
    pub(super) fn grant_permit(&self, now: Instant) -> GrantPermit {
        let timing = self.grants.timing();
        let confirmed = self.confirmation.confirmed_at().filter(|_| self.plan_known);
        let short = confirmed.map(|at| at + timing.confirm);
        let guards = self.grants.guards();
        if !guards.confirm {
            let until = Some(now + timing.confirm);
            return GrantPermit { acquire_until: until, renew_until: until, trusts_reports: true };
        }
        if guards.epoch_plan && self.grants.epoch() < self.epoch() {
            let extended = short.filter(|_| self.earlier_epoch_ended(now));
            let renew_until = self.earlier_permit_until.max(extended);
            return GrantPermit { acquire_until: None, renew_until, trusts_reports: false };
        }
        let confirmed_now = short.is_some_and(|at| now < at);
        let renew_until = if confirmed_now { short } else { short.max(self.attested_until(now)) };
        let acquire_until = if guards.acquire_confirm { short } else { renew_until };
        GrantPermit { acquire_until, renew_until, trusts_reports: true }
    }

    /// Returns until when the attestations of the other holders extend the permission to grant.
    pub(super) fn attested_until(&self, now: Instant) -> Option<Instant> {
        let timing = self.grants.timing();
        let confirmed = self.confirmation.confirmed_at().filter(|_| self.plan_known)?;
        let ranges = self.plan.service(&self.settings.service)?;
        let attested = self.fleet_attested(ranges, now)?;
        Some((confirmed + timing.attested).min(attested + timing.confirm))
    }

    /// Whether every node of the earlier epoch has lost the permission to grant cells that are not held.
    pub(super) fn earlier_epoch_ended(&self, now: Instant) -> bool {
        let ends_at = self.epoch_entered_at.map(|at| at + self.grants.timing().confirm);
        !self.grants.guards().epoch_wait || ends_at.is_none_or(|at| now >= at)
    }

    fn update_upstream(&mut self, report: &OwnReport, leaving: bool, now: Instant) {
        self.last_heartbeat_at = Some(now);
        self.cold_report = Some(ColdReport { at: now, remaining: report.cold_remaining });
        let state = if leaving { UpstreamState::Draining } else { report.state };
        let same = self.own.upstream.as_ref().is_some_and(|row| row.instance == report.instance);
        if !same {
            self.closes_at = None;
            log::info!(
                life = &*report.instance.id, born_ms = report.instance.born_ms;
                "upstream registered"
            );
        }
        if state == UpstreamState::Draining && self.closes_at.is_none() {
            self.closes_at = Some(now + self.settings.bounds.close_delay());
            log::info!(life = &*report.instance.id; "upstream draining");
        }
        self.own.upstream = Some(UpstreamRecord {
            instance: report.instance.clone(),
            service: report.service.clone(),
            slots: report.slots,
            state,
        });
        self.apply_early_leave(now);
    }

    /// Returns the load of the upstream. The traffic thread learns later than this one that the upstream
    /// is cold.
    pub(super) fn own_load(&self, now: Instant) -> UpstreamLoad {
        let service = self.manifest.as_ref().and_then(|row| row.service(&self.settings.service));
        let is_bounded = service.is_some_and(|service| service.cold.is_some());
        let Some(report) = self.cold_report.filter(|_| is_bounded) else { return self.load };
        let age = now.saturating_duration_since(report.at);
        let left = report.remaining.saturating_sub(age);
        let left_ms = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
        UpstreamLoad { cold_ms: self.load.cold_ms.max(left_ms), ..self.load }
    }

    /// Whether upstreams of a service hold keys. One that the manifest has dropped is known by the plan.
    pub(super) fn holds_keys(&self, service: &str) -> bool {
        let Some(manifest) = &self.manifest else { return false };
        let planned = || self.plan.service(service).is_some();
        manifest.service(service).map_or_else(planned, |row| row.sharded)
    }

    /// Handles the announcement that the upstream with this id leaves.
    pub fn handle_leave(&mut self, id: &str, now: Instant) {
        log::info!(id; "upstream leave requested");
        let known = self.own.upstream.as_ref().map(|upstream| &upstream.instance);
        match known {
            Some(known) if &*known.id == id => self.close_upstream(known.clone(), Some(now)),
            // Its first report may still come, also while an earlier instance is known.
            _ => {
                self.early_leaves.push((id.into(), now));
                let surplus = self.early_leaves.len().saturating_sub(MAX_LEAVING);
                self.early_leaves.drain(..surplus);
            }
        }
    }

    /// Whether the store has the record of this host in which the upstream with this id leaves.
    pub fn is_leave_recorded(&self, id: &str) -> bool {
        let Some(upstream) = self.own.upstream.as_ref().filter(|row| *row.instance.id == *id)
        else {
            return false;
        };
        let written = self.own_written.as_ref().and_then(|record| record.upstream.as_ref());
        written.is_some_and(|row| {
            row.instance == upstream.instance && row.state == UpstreamState::Draining
        })
    }

    /// Closes the upstream if it announced that it leaves before this node knew it.
    pub(super) fn apply_early_leave(&mut self, now: Instant) {
        let Some(upstream) = &self.own.upstream else { return };
        let instance = upstream.instance.clone();
        let limit = self.settings.bounds.grace;
        self.early_leaves.retain(|row| now < row.1 + limit);
        if let Some(index) = self.early_leaves.iter().position(|row| row.0 == instance.id) {
            let (_, left_at) = self.early_leaves.remove(index);
            self.close_upstream(instance, Some(left_at));
        }
    }

    /// Notes that an answer of this instance of the upstream said at a time that it leaves.
    pub fn answer_said_leaving(&mut self, instance: UpstreamInstance, said_at: Instant) {
        let is_ready =
            self.own.upstream.as_ref().is_some_and(|known| {
                known.instance == instance && known.state == UpstreamState::Ready
            });
        if is_ready {
            log::info!(life = &*instance.id; "upstream says in an answer that it leaves");
            self.close_upstream(instance, Some(said_at));
        }
    }

    /// Drains the upstream, of which this is the instance, from `since` on, or from an unknown time before
    /// the start; its later heartbeats do not end that.
    pub(super) fn close_upstream(&mut self, instance: UpstreamInstance, since: Option<Instant>) {
        let Some(upstream) = &mut self.own.upstream else { return };
        upstream.state = UpstreamState::Draining;
        if !self.leaving.contains(&instance) {
            self.leaving.push(instance);
            let surplus = self.leaving.len().saturating_sub(MAX_LEAVING);
            self.leaving.drain(..surplus);
        }
        let closes_at =
            since.map_or(self.started_at, |since| since + self.settings.bounds.close_delay());
        self.closes_at = Some(self.closes_at.map_or(closes_at, |at| at.min(closes_at)));
    }

    /// Notes that nothing listens at the upstream's address, so this instance of it has ended. It says
    /// nothing of one that has registered since.
    pub fn upstream_refused(&mut self, instance: &UpstreamInstance) {
        let Some(upstream) = &mut self.own.upstream else { return };
        if upstream.instance == *instance && upstream.state != UpstreamState::Gone {
            log::info!(life = &*upstream.instance.id; "upstream refused a connection");
            upstream.state = UpstreamState::Gone;
            self.grants.end_instance();
        }
    }

    /// Probes the upstream's address if cells wait for the proof that an earlier instance has
    /// ended.
    pub(super) fn probe_step(&mut self, now: Instant) -> Option<ControlAction> {
        if now < self.next_probe_at || !self.grants.needs_address_check() {
            return None;
        }
        let manifest = self.manifest.as_ref()?;
        let path = &manifest.service(&self.settings.service)?.health_path;
        self.next_probe_at = now + PROBE_INTERVAL;
        Some(ControlAction::ProbeUpstream(path.clone()))
    }

    /// Handles the result of a probe: the id in the response of the upstream's address, if there
    /// was one.
    pub fn upstream_probed(&mut self, id: Option<&str>, now: Instant) {
        log::info!(id = id.unwrap_or("-"); "upstream probed");
        if let Some(id) = id {
            self.grants.confirm_address(id, now);
        }
    }

    pub(super) fn expire_upstream(&mut self, now: Instant) {
        let timed_out = self.last_heartbeat_at.is_some_and(|at| now > at + HEARTBEAT_TIMEOUT);
        let Some(upstream) = &mut self.own.upstream else { return };
        // That it leaves has been acknowledged, and is to be known to the next process.
        let leaves = upstream.state == UpstreamState::Draining;
        if timed_out && !leaves && upstream.state != UpstreamState::Gone {
            log::info!(life = &*upstream.instance.id; "upstream heartbeats timed out");
            upstream.state = UpstreamState::Gone;
        }
    }

    /// Applies the ended fences whose next holder is this node's own upstream.
    pub(super) fn apply_own_ended_fences(&mut self, now: Instant) {
        for (host, rows) in self.grants.ended_fences(now) {
            if host == self.settings.host {
                for row in &rows {
                    self.grants.apply_ended(row);
                }
                self.grants.remove_acknowledged(&rows);
            }
        }
    }
}
