//! Builds the view of the control state that the traffic thread reads.

use std::sync::Arc;
use std::time::Instant;

use firspindle_core::request::PEER_REPORT_LIFETIME;
use firspindle_core::version::{HostRecord, UpstreamState};
use firspindle_edge::PlatformCodec;

use super::{ControlState, PEER_TIMEOUT};
use crate::version::{MeshView, PeerView, UpstreamView};

impl<C: PlatformCodec> ControlState<C> {
    /// Returns the view of this state that the traffic thread reads.
    pub fn view(&self, now: Instant) -> MeshView {
        let peers: Vec<_> = self.hosts.iter().map(|record| self.peer_view(record, now)).collect();
        let upstream = self.own.upstream.as_ref().map(|row| UpstreamView {
            instance: row.instance.clone(),
            service: row.service.clone(),
            slots: row.slots,
            state: row.state,
            closes_at: self.closes_at,
            cold_report: self.cold_report,
            evacuation_closes_at: self.evacuation_closes_at(),
        });
        let known = self.manifest.is_some() && !self.hosts.is_empty();
        MeshView {
            manifest: self.manifest.clone(),
            manifest_current_until: self.manifest_current_until(),
            ranges: self.ranges.clone(),
            peers,
            upstream,
            granted: Arc::new(self.grants.granted_cells(now)),
            stopping: self.stopping,
            ready: known && !self.stopping,
            suspects: self.suspects.clone(),
            answered_suspects: self.answered_suspects.clone(),
            crash_sets: self.crash_sets.clone(),
            snapshot: self.snapshot.clone(),
        }
    }

    fn manifest_current_until(&self) -> Option<Instant> {
        let known_at = self.manifests_known_at.filter(|_| self.heard.manifests_since().is_none());
        known_at.map(|at| at + self.settings.bounds.apply)
    }

    fn peer_view(&self, record: &HostRecord, now: Instant) -> PeerView {
        let own = record.host == self.settings.host;
        let reported = self.newest_load(&record.host).filter(|_| !own);
        let load =
            if own { self.load } else { reported.map_or_else(Default::default, |row| row.0) };
        let is_told = own || reported.is_some_and(|row| now < row.1 + PEER_REPORT_LIFETIME);
        let load = if is_told { load } else { load.without_told() };
        let ready = record.upstream.as_ref().is_some_and(|row| row.state == UpstreamState::Ready);
        let recent = reported.is_some_and(|row| now < row.1 + PEER_TIMEOUT);
        let available = if own { self.is_open(now) } else { ready && recent && load.slots > 0 };
        PeerView {
            host: record.host.clone(),
            data_centre: record.data_centre.clone(),
            forward: record.forward,
            service: record.service.clone(),
            available,
            evacuated: self.is_evacuated(&record.data_centre),
            load,
        }
    }
}
