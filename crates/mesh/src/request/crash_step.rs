//! Refuses requests that crash the upstreams that run them.
//!
//! When the connection to the upstream breaks, the owner checks whether the upstream's process has
//! died. If so, it sends all nodes the request's fingerprint and a hash of the crashed
//! instance, and responds only once they have acknowledged it or a time limit has passed, so that a
//! retry, by the entry node or by the caller at another node, does not overtake the report.
//!
//! A request may also crash the upstream shortly after its whole answer, or after its caller has left. The last
//! requests that were answered, and those that were abandoned, are suspected then, of which more crashes are needed
//! than of those in flight.

use std::rc::Rc;
use std::time::Instant;

use firspindle_core::request::request_fingerprint;
use firspindle_core::version::{UpstreamInstance, UpstreamState};

use super::crash_reporter::CrashReporter;
use super::{AttemptOutcome, NotRunReason, RoutedRequest, TrafficContext};
use crate::version::UpstreamView;

/// Returns the fingerprint of a request: a hash of its service, its caller's service, its method,
/// path and body. The entry does not know it while the body is still at its sender; the owner does.
fn fingerprint_of(request: &RoutedRequest) -> Option<u128> {
    let path = request.uri.path_and_query().map_or("/", |path| path.as_str());
    let body = request.body.whole()?;
    Some(request_fingerprint(
        &request.service,
        request.caller_service.as_bytes(),
        request.method.as_str(),
        path,
        &body,
    ))
}

/// Returns a refusal if the request has crashed upstreams and is refused for now.
pub(super) fn refuse_suspect(
    context: &TrafficContext,
    request: &RoutedRequest,
) -> Option<AttemptOutcome> {
    let view = context.shared.view.load();
    if view.suspects_none() {
        return None;
    }
    let left = view.refusal_of(fingerprint_of(request)?, Instant::now())?;
    Some(AttemptOutcome::NotRun { reason: NotRunReason::CrashesUpstreams, retry_after: Some(left) })
}

/// Watches a request that is sent to the upstream until its answer begins. It is abandoned if this is dropped
/// before, as the caller leaves or the deadline passes.
pub(super) struct SendWatch<'a> {
    context: &'a TrafficContext,
    request: &'a RoutedRequest,
    upstream: &'a UpstreamView,
    settled: bool,
}

impl<'a> SendWatch<'a> {
    /// Watches a request that is about to be sent.
    pub(super) const fn new(
        context: &'a TrafficContext,
        request: &'a RoutedRequest,
        upstream: &'a UpstreamView,
    ) -> Self {
        Self { context, request, upstream, settled: false }
    }

    /// Notes that the upstream does not work on the request, or that its answer is watched from now on.
    pub(super) fn settle(mut self) {
        self.settled = true;
    }
}

impl Drop for SendWatch<'_> {
    fn drop(&mut self) {
        if self.settled {
            return;
        }
        if let Some(fingerprint) = fingerprint_of(self.request) {
            let (instance, deadline) = (&self.upstream.instance, self.request.deadline);
            self.context.crashes.note_abandoned(instance, fingerprint, deadline);
        }
    }
}

/// Watches an answer of the upstream until its end. One that breaks off as the upstream crashes counts as a crash,
/// like a connection that breaks before an answer; the upstream has to outlive a whole one. One that is dropped
/// before its end is abandoned.
pub(crate) struct AnswerWatch {
    watched: Option<WatchedAnswer>,
}

struct WatchedAnswer {
    crashes: Rc<CrashReporter>,
    request: Box<str>,
    fingerprint: u128,
    instance: UpstreamInstance,
    /// Until then the upstream may work on it.
    deadline: Instant,
}

impl AnswerWatch {
    /// Watches the answer to a request; `None` if the request has no fingerprint.
    pub(super) fn new(
        context: &TrafficContext,
        request: &RoutedRequest,
        upstream: &UpstreamView,
    ) -> Option<Self> {
        let watched = WatchedAnswer {
            crashes: context.crashes.clone(),
            request: request.id.clone(),
            fingerprint: fingerprint_of(request)?,
            instance: upstream.instance.clone(),
            deadline: request.deadline,
        };
        Some(Self { watched: Some(watched) })
    }

    /// Notes that the answer is whole.
    pub(crate) fn complete(mut self) {
        if let Some(answer) = self.watched.take() {
            answer.crashes.note_answer(&answer.instance, answer.fingerprint);
        }
    }

    /// Notes that the answer broke off.
    pub(crate) fn broken(mut self) {
        let Some(answer) = self.watched.take() else { return };
        tokio::task::spawn_local(async move {
            let WatchedAnswer { crashes, request, fingerprint, instance, .. } = answer;
            crashes.report_broken(&instance, &request, fingerprint).await;
        });
    }
}

impl Drop for AnswerWatch {
    fn drop(&mut self) {
        if let Some(answer) = self.watched.take() {
            answer.crashes.note_abandoned(&answer.instance, answer.fingerprint, answer.deadline);
        }
    }
}

/// Reports the request to all nodes if the upstream crashed, and waits until they know.
pub(super) async fn report_crash(
    context: &TrafficContext,
    request: &RoutedRequest,
    upstream: &UpstreamView,
) {
    if let Some(fingerprint) = fingerprint_of(request) {
        context.crashes.report_broken(&upstream.instance, &request.id, fingerprint).await;
    }
}

/// Follows the instance of the upstream; an earlier one that did not leave has crashed.
pub(super) fn follow_instance(context: &TrafficContext, upstream: &UpstreamView) {
    let leaving = upstream.state == UpstreamState::Draining
        || upstream.closes_at.is_some()
        || context.limiter.is_leaving(&upstream.instance);
    context.crashes.set_instance(&upstream.instance, leaving);
}
