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

use super::{NotRunReason, PlacedRequest, StepOutcome, TrafficContext};
use crate::process::ControlEvent;
use crate::version::UpstreamView;

/// Time for the question whether the upstream is gone: a request whose upstream lives, and only
/// closed its connection, waits that long for its next send.
const PROBE_LIMIT: Duration = Duration::from_millis(60);

fn content_of(request: &PlacedRequest) -> u128 {
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
    request: &PlacedRequest,
) -> Option<StepOutcome> {
    let suspects = context.shared.view.load().suspects.clone();
    if suspects.is_empty() {
        return None;
    }
    let left = suspects.refusal(content_of(request), Instant::now())?;
    Some(StepOutcome::NotRun { reason: NotRunReason::Crashes, retry_after: Some(left) })
}

/// Clears a request that an upstream answered.
pub(super) fn clear_suspect(context: &TrafficContext, request: &PlacedRequest) {
    let suspects = context.shared.view.load().suspects.clone();
    if !suspects.is_empty() && suspects.suspects(content_of(request)) {
        let _ = context.tx.send(ControlEvent::SuspectAnswered(content_of(request)));
    }
}

/// Tells all nodes of a request whose upstream crashed, if it did.
pub(super) async fn report_crash(
    context: &TrafficContext,
    request: &PlacedRequest,
    upstream: &UpstreamView,
) {
    if !upstream_died(context.settings.upstream, PROBE_LIMIT).await
        && !is_followed(context, upstream)
    {
        return;
    }
    let life = &*upstream.instance.id;
    log::warn!(request = &*request.id, life; "request was in flight when the upstream crashed");
    let (told, knows) = oneshot::channel();
    let content = content_of(request);
    let event = ControlEvent::Crash { content, instance: xxh3_64(life.as_bytes()), told };
    let _ = context.tx.send(ControlEvent::UpstreamRefused);
    if context.tx.send(event).is_ok() {
        let _ = knows.await;
    }
}

/// Whether another life is known beside the node by now.
fn is_followed(context: &TrafficContext, upstream: &UpstreamView) -> bool {
    let view = context.shared.view.load();
    view.upstream.as_ref().is_some_and(|known| known.instance.id != upstream.instance.id)
}
