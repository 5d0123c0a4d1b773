//! Publishes the view of the traffic threads and the status page.

use std::sync::Arc;

use firspindle_core::request::{RouteTable, SuspectTable};
use uuid::Uuid;

use super::{ControlThread, DEFAULT_QUEUE_LIMIT};
use crate::process::status_page::{MemberStatus, StatusPage};
use crate::version::TrafficView;

impl ControlThread {
    /// Publishes a new view and status page if anything in the view has changed.
    pub(super) fn publish(&mut self) {
        let machine = self.machine.as_ref().unwrap_or(&self.standby);
        let state = machine.state();
        let node = machine.life().id();
        let view = self.parts.context.view.load();
        let routes_outdated = self.routes_revision != Some(state.revision);
        let gates_unchanged = view.gates.len() == self.gates.len()
            && view.gates.iter().zip(&self.gates).all(|(a, b)| Arc::ptr_eq(&a.gate, &b.gate));
        let upstream_unchanged =
            view.upstream.as_ref().map(Arc::as_ptr) == self.upstream.as_ref().map(Arc::as_ptr);
        let suspects_unchanged = self.published_suspects == machine.suspects().len();
        let unchanged = !routes_outdated
            && gates_unchanged
            && upstream_unchanged
            && suspects_unchanged
            && self.published_node == node
            && view.stopping == self.stopping;
        if unchanged {
            return;
        }
        if routes_outdated {
            let spec = machine.spec();
            let mut routes = spec.map(|spec| RouteTable::build(state, spec)).unwrap_or_default();
            routes.version = machine.manifest().map_or(0, |row| row.version);
            self.routes = Arc::new(routes);
            self.routes_revision = Some(state.revision);
            self.resize_upstream();
        }
        let machine = self.machine.as_ref().unwrap_or(&self.standby);
        self.published_suspects = machine.suspects().len();
        self.published_node = node;
        let next = TrafficView {
            node,
            routes: self.routes.clone(),
            gates: if gates_unchanged { view.gates.clone() } else { Arc::new(self.gates.clone()) },
            suspects: Arc::new(SuspectTable::new(machine.suspects().to_vec())),
            upstream: self.upstream.clone(),
            stopping: self.stopping,
        };
        self.parts.context.view.store(Arc::new(next));
        self.publish_status();
    }

    fn resize_upstream(&self) {
        let (Some(upstream), Some(body)) = (&self.upstream, &self.announcement) else { return };
        let queue_limit = self.routes.service(&body.service).map(|route| route.spec.queue_limit);
        upstream.resize(body.slots as usize, queue_limit.unwrap_or(DEFAULT_QUEUE_LIMIT));
    }

    fn publish_status(&self) {
        let machine = self.machine.as_ref().unwrap_or(&self.standby);
        let state = machine.state();
        let metrics = &self.parts.context.metrics;
        metrics.partitions.set(gauge_value(self.gates.len()));
        metrics.members.set(gauge_value(state.members.len()));
        metrics.offset.set(i64::try_from(state.next_offset).unwrap_or(i64::MAX));
        let version = machine.manifest().map_or(0, |row| row.version);
        metrics.manifest.set(i64::try_from(version).unwrap_or(i64::MAX));
        let member = |row: &firspindle_core::version::MemberRow| MemberStatus {
            node: row.id,
            host: row.info.host.clone(),
            data_centre: row.info.data_centre.clone(),
            service: row.info.upstream.service.clone(),
            draining: row.draining,
        };
        let page = StatusPage {
            host: self.parts.settings.host.clone(),
            node: machine.life().id(),
            life: machine.life().name().into(),
            planner: state.term.planner,
            term: state.term.number,
            manifest_version: version,
            manifest_record: machine
                .manifest()
                .map_or_else(String::new, |row| Uuid::from_u128(row.record).to_string())
                .into(),
            next_offset: state.next_offset,
            lease_left_ms: 0,
            open_history: state.open_history(),
            partitions: machine.owned().iter().map(|row| row.partition).collect(),
            members: state.members.iter().map(member).collect(),
        };
        self.parts.status.store(Arc::new(page));
    }
}

fn gauge_value(value: usize) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
