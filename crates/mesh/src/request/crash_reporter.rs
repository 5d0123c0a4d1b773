//! Notices crashes of the upstream, and tells the control thread which requests are suspected of them.
//!
//! Requests in flight are suspected, and those that the crashed instance answered last or may still have worked on. The reporter is shared by
//! all requests and by the answers that are under way.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use firspindle_core::request::{EndedRuns, FinishedRuns, hash_instance};
use firspindle_core::version::UpstreamInstance;
use firspindle_edge::upstream_died;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

use super::SharedState;
use crate::connection::RemoteEnd;
use crate::process::ControlEvent;

/// Time limit of the check whether the upstream's process has died. If the process is alive and has
/// only closed the connection, the request's next send is delayed by this time.
const CRASH_PROBE_LIMIT: Duration = Duration::from_millis(60);

/// Notices crashes of this node's upstream.
pub(crate) struct CrashReporter {
    upstream: SocketAddr,
    shared: Arc<SharedState>,
    control_tx: UnboundedSender<ControlEvent>,
    /// When the upstream last ended a connection.
    remote_end: RemoteEnd,
    finished: RefCell<FinishedRuns>,
    ended: RefCell<EndedRuns>,
}

impl CrashReporter {
    pub(super) fn new(
        upstream: SocketAddr,
        shared: Arc<SharedState>,
        control_tx: UnboundedSender<ControlEvent>,
        remote_end: RemoteEnd,
    ) -> Self {
        Self {
            upstream,
            shared,
            control_tx,
            remote_end,
            finished: RefCell::default(),
            ended: RefCell::default(),
        }
    }

    fn send(&self, event: ControlEvent) -> bool {
        self.control_tx.send(event).is_ok()
    }

    /// Notes which instance of the upstream is known, and whether it leaves.
    pub(super) fn set_instance(&self, instance: &UpstreamInstance, leaving: bool) {
        let earlier = self.finished.borrow().instance().filter(|it| *it != instance).cloned();
        if let Some(earlier) = earlier {
            self.note_remote_end(&earlier);
            self.report_ended(&earlier);
        }
        if leaving {
            self.ended.borrow_mut().clear();
        }
        let crashed = self.finished.borrow_mut().set_instance(instance, leaving, Instant::now());
        if let Some((earlier, suspects)) = crashed {
            self.send(ControlEvent::CrashAfter(earlier, suspects));
        }
    }

    /// Notes that an instance answered a request whole.
    pub(super) fn note_answer(&self, instance: &UpstreamInstance, fingerprint: u128) {
        let now = Instant::now();
        self.finished.borrow_mut().note_answer(instance, fingerprint, now);
        self.note_ended(instance, fingerprint, now);
    }

    fn note_ended(&self, instance: &UpstreamInstance, fingerprint: u128, ended_at: Instant) {
        let finished = self.finished.borrow();
        if finished.instance() == Some(instance) && !finished.is_leaving() {
            self.ended.borrow_mut().note_ended(fingerprint, ended_at);
        }
    }

    /// Notes that a run was abandoned now, on which an instance may work until its deadline. The run's connection
    /// had not ended, so the instance lived.
    pub(super) fn note_abandoned(
        &self,
        instance: &UpstreamInstance,
        fingerprint: u128,
        deadline: Instant,
    ) {
        let now = Instant::now();
        self.note_connected(instance, now);
        let works_until = deadline.max(now);
        self.finished.borrow_mut().note_abandoned(instance, fingerprint, works_until);
        self.note_ended(instance, fingerprint, works_until);
    }

    /// Notes that an instance lived at a time, as it answered a request that was sent then, which clears those that
    /// it had outlived by then.
    pub(super) fn note_alive(&self, instance: &UpstreamInstance, lived_at: Instant) {
        self.note_connected(instance, lived_at);
        if self.finished.borrow().instance() != Some(instance) {
            return;
        }
        let mut outlived = self.ended.borrow_mut().note_alive(lived_at);
        if outlived.is_empty() {
            return;
        }
        let view = self.shared.view.load();
        outlived.retain(|fingerprint| view.crash_sets.suspects(*fingerprint));
        if !outlived.is_empty() {
            self.send(ControlEvent::EndedOutlived(outlived));
        }
    }

    /// Notes that a connection to an instance was open at a time, which clears the last requests of those that it
    /// had outlived by then.
    fn note_connected(&self, instance: &UpstreamInstance, lived_at: Instant) {
        let outlived = self.finished.borrow_mut().note_alive(instance, lived_at);
        if outlived.is_empty() {
            return;
        }
        let view = self.shared.view.load();
        for fingerprint in outlived.into_iter().filter(|it| view.suspects_request(*it)) {
            self.send(ControlEvent::SuspectOutlived(fingerprint));
        }
    }

    /// Drops what ended too long before the last connection of a crashed instance did.
    fn note_remote_end(&self, instance: &UpstreamInstance) {
        if let Some(seen_at) = self.remote_end.seen_at() {
            self.finished.borrow_mut().note_remote_end(instance, seen_at);
        }
    }

    /// Tells which requests ended within the last seconds before an instance crashed.
    fn report_ended(&self, instance: &UpstreamInstance) {
        if self.finished.borrow().instance() != Some(instance) {
            return;
        }
        let seen_at = self.remote_end.seen_at();
        let suspects = self.ended.borrow_mut().take_suspects(seen_at, Instant::now());
        if !suspects.is_empty() {
            self.send(ControlEvent::EndedBeforeCrash(instance.clone(), suspects));
        }
    }

    /// Notes that an instance has ended: nothing listens at its address.
    pub(super) fn note_refused(&self, instance: &UpstreamInstance) {
        self.note_remote_end(instance);
        self.report_ended(instance);
        self.send(ControlEvent::UpstreamRefused(instance.clone()));
        let suspects = self.finished.borrow_mut().take_suspects(instance, Instant::now());
        if !suspects.is_empty() {
            self.send(ControlEvent::CrashAfter(instance.clone(), suspects));
        }
    }

    /// Reports a request whose connection broke to all nodes if the instance that ran it has crashed, and
    /// waits until they know.
    pub(super) async fn report_broken(
        &self,
        instance: &UpstreamInstance,
        request: &str,
        fingerprint: u128,
    ) {
        if !upstream_died(self.upstream, CRASH_PROBE_LIMIT).await && !self.is_replaced(instance) {
            return;
        }
        self.note_refused(instance);
        let (life, born_ms) = (&*instance.id, instance.born_ms);
        log::warn!(request, life, born_ms; "request was in flight when the upstream crashed");
        let (ack, acknowledged) = oneshot::channel();
        let instance = hash_instance(instance);
        if self.send(ControlEvent::Crash { fingerprint, instance, ack }) {
            let _ = acknowledged.await;
        }
    }

    /// Whether this node knows another instance of the upstream by now.
    fn is_replaced(&self, instance: &UpstreamInstance) -> bool {
        let view = self.shared.view.load();
        view.upstream.as_ref().is_some_and(|known| known.instance != *instance)
    }
}
