//! The upstream beside: heartbeats, leaves, what is granted to it.

use std::time::{Duration, Instant};

use bytes::Bytes;
use firspindle_core::connection::UpstreamReport;
use firspindle_core::version::{UpstreamRecord, UpstreamState};
use firspindle_edge::PlatformCodec;

use super::{ControlOrder, ControlState};

/// Silence of the upstream after which it counts as gone: three heartbeats.
const UPSTREAM_SILENCE: Duration = Duration::from_millis(2_800);

/// Part of the drain time that is kept as a margin for requests on their way.
const DRAIN_MARGIN: Duration = Duration::from_millis(400);

/// Time between two questions who listens at the upstream's address.
const ASK_GAP: Duration = Duration::from_millis(600);

impl<C: PlatformCodec> ControlState<C> {
    /// Takes a heartbeat and gives the reply's body.
    pub fn take_report(&mut self, report: &UpstreamReport, now: Instant) -> Bytes {
        let left = self.left.contains(&report.instance);
        let right = self.grant_right(now);
        let reply = self.book.take_report(report, right, now);
        if self.book.instance() == Some(&report.instance) {
            self.note_upstream(report, left, now);
        }
        if report.service != self.settings.service {
            log::warn!(service = &*report.service, life = &*report.instance.id; "heartbeat of another service");
            return self.codec.encode_reply(None);
        }
        let (cells, waiting) = self.book.waiting_cells(now);
        let level = if waiting > 0 { log::Level::Info } else { log::Level::Debug };
        log::log!(
            level,
            life = &*report.instance.id, sequence = report.sequence, held = report.holds.len(),
            cells, waiting, confirmed_ms:? = self.clock.age(now).map(|age| age.as_millis()),
            granted = reply.as_ref().map_or(0, |reply| reply.rows.len());
            "heartbeat answered"
        );
        let shown = reply.filter(|_| self.is_divided(&report.service));
        self.codec.encode_reply(shown.as_ref())
    }

    /// Time until which this node may grant under the plan that it folded: for a short time
    /// after the store confirmed it, and on for a long time while every other holder of the plan
    /// vouches that it has not folded a later one.
    pub(super) fn grant_right(&self, now: Instant) -> Option<Instant> {
        let confirmed = self.clock.confirmed_at().filter(|_| self.plan_known)?;
        let timing = self.book.timing();
        let short = confirmed + timing.confirm;
        if !self.book.guards().confirm {
            return Some(now + timing.confirm);
        }
        if now < short {
            return Some(short);
        }
        let end = self.clock.end();
        let ranges = self.plan.service(&self.settings.service)?;
        let mut until = confirmed + timing.attested;
        for holder in ranges.holders.iter().filter(|row| row.host != self.settings.host) {
            let (known, at) = self.peers.get(&holder.host)?.attested?;
            if known != end {
                return Some(short);
            }
            until = until.min(at + timing.confirm);
        }
        Some(until.max(short))
    }

    pub(super) fn note_upstream(&mut self, report: &UpstreamReport, left: bool, now: Instant) {
        self.heard_upstream = Some(now);
        let state = if left { UpstreamState::Draining } else { report.state };
        let same = self.own.upstream.as_ref().is_some_and(|row| row.instance == report.instance);
        if !same {
            self.closes_at = None;
            log::info!(life = &*report.instance.id, born_ms = report.instance.born_ms; "upstream heard");
        }
        if state == UpstreamState::Draining && self.closes_at.is_none() {
            self.closes_at = Some(now + self.settings.bounds.drain.saturating_sub(DRAIN_MARGIN));
            log::info!(life = &*report.instance.id; "upstream drains");
        }
        self.own.upstream = Some(UpstreamRecord {
            instance: report.instance.clone(),
            service: report.service.clone(),
            slots: report.slots,
            state,
        });
    }

    pub(super) fn is_divided(&self, service: &str) -> bool {
        let manifest = self.manifest.as_ref();
        manifest.and_then(|manifest| manifest.service(service)).is_some_and(|row| row.divided)
    }

    /// The upstream of an id leaves.
    pub fn take_leave(&mut self, id: &str, now: Instant) {
        log::info!(id; "upstream leaves");
        let Some(upstream) = &mut self.own.upstream else { return };
        if &*upstream.instance.id != id {
            return;
        }
        self.left.push(upstream.instance.clone());
        upstream.state = UpstreamState::Draining;
        if self.closes_at.is_none() {
            self.closes_at = Some(now + self.settings.bounds.drain.saturating_sub(DRAIN_MARGIN));
        }
    }

    /// Nothing listens at the upstream's address: its life has ended.
    pub fn upstream_refused(&mut self) {
        let Some(upstream) = &mut self.own.upstream else { return };
        if upstream.state != UpstreamState::Gone {
            log::info!(life = &*upstream.instance.id; "upstream refuses connections");
            upstream.state = UpstreamState::Gone;
            self.book.end_instance();
        }
    }

    /// Asks who listens at the upstream's address, where keys wait for that.
    pub(super) fn ask_step(&mut self, now: Instant) -> Option<ControlOrder> {
        if now < self.ask_at || !self.book.needs_address_check() {
            return None;
        }
        let manifest = self.manifest.as_ref()?;
        let path = &manifest.service(&self.settings.service)?.health_path;
        self.ask_at = now + ASK_GAP;
        Some(ControlOrder::AskUpstream(path.clone()))
    }

    /// The upstream's address answered a health check as this id, if it did.
    pub fn upstream_seen(&mut self, id: Option<&str>, now: Instant) {
        log::info!(id = id.unwrap_or("-"); "upstream asked who it is");
        if let Some(id) = id {
            self.book.confirm_address(id, now);
        }
    }

    pub(super) fn watch_upstream(&mut self, now: Instant) {
        let silent = self.heard_upstream.is_some_and(|at| now > at + UPSTREAM_SILENCE);
        let Some(upstream) = &mut self.own.upstream else { return };
        if silent && upstream.state != UpstreamState::Gone {
            log::info!(life = &*upstream.instance.id; "upstream silent");
            upstream.state = UpstreamState::Gone;
        }
    }

    /// Ends of fences whose next holder is the upstream beside this node itself.
    pub(super) fn settle_own_ends(&mut self, now: Instant) {
        for (host, rows) in self.book.ended_fences(now) {
            if host == self.settings.host {
                for row in &rows {
                    self.book.apply_ended(row);
                }
                self.book.remove_acknowledged(&rows);
            }
        }
    }
}
