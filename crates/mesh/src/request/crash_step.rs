//! Stops requests that crash the upstreams that run them.
//!
//! The owner whose link broke asks whether the upstream is gone. If so it tells all nodes of the
//! request's content and the crashed life, and answers only once they know: who gets the answer,
//! be it the entry node or a caller that asks elsewhere, cannot overtake the word.

use std::time::{Duration, Instant};

use firspindle_core::request::content_hash;
use firspindle_edge::upstream_died;
use tokio::sync::oneshot;
use xxhash_rust::xxh3::xxh3_64;

use super::{AttemptOutcome, NotRunReason, RoutedRequest, TrafficContext};
use crate::process::ControlEvent;
use crate::version::UpstreamView;

/// Time for the question whether the upstream is gone: a request whose upstream lives, and only
/// closed its connection, waits that long for its next send.
const CRASH_PROBE_LIMIT: Duration = Duration::from_millis(60);

fn hash_request(request: &RoutedRequest) -> u128 {
    let path = request.uri.path_and_query().map_or("/", |path| path.as_str());
    content_hash(
        &request.service,
        request.caller_service.as_bytes(),
        request.method.as_str(),
        path,
        &request.body,
    )
}

/// Refusal of a request that crashed upstreams before.
pub(super) fn refuse_suspect(
    context: &TrafficContext,
    request: &RoutedRequest,
) -> Option<AttemptOutcome> {
    let suspects = context.shared.view.load().suspects.clone();
    if suspects.is_empty() {
        return None;
    }
    let left = suspects.refusal(hash_request(request), Instant::now())?;
    Some(AttemptOutcome::NotRun { reason: NotRunReason::CrashesUpstreams, retry_after: Some(left) })
}

/// Clears a request that an upstream answered.
pub(super) fn clear_suspect(context: &TrafficContext, request: &RoutedRequest) {
    let suspects = context.shared.view.load().suspects.clone();
    if !suspects.is_empty() && suspects.suspects(hash_request(request)) {
        let _ = context.control_tx.send(ControlEvent::SuspectAnswered(hash_request(request)));
    }
}

/// Tells all nodes of a request whose upstream crashed, if it did.
pub(super) async fn report_crash(
    context: &TrafficContext,
    request: &RoutedRequest,
    upstream: &UpstreamView,
) {
    if !upstream_died(context.settings.upstream, CRASH_PROBE_LIMIT).await
        && !is_replaced(context, upstream)
    {
        return;
    }
    let life = &*upstream.life.id;
    log::warn!(request = &*request.id, life; "request was in flight when the upstream crashed");
    let (told, acknowledged) = oneshot::channel();
    let content = hash_request(request);
    let event = ControlEvent::Crash { content, life: xxh3_64(life.as_bytes()), told };
    let _ = context.control_tx.send(ControlEvent::UpstreamRefused);
    if context.control_tx.send(event).is_ok() {
        let _ = acknowledged.await;
    }
}

/// Whether another life is known beside the node by now.
fn is_replaced(context: &TrafficContext, upstream: &UpstreamView) -> bool {
    let view = context.shared.view.load();
    view.upstream.as_ref().is_some_and(|known| known.life.id != upstream.life.id)
}
