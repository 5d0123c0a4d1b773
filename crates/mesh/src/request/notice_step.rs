//! Takes note of what the upstream says about itself in its answers.

use std::time::Instant;

use firspindle_core::connection::UpstreamLimit;
use firspindle_core::version::UpstreamState;
use http::{HeaderMap, StatusCode};

use super::TrafficContext;
use super::upstream_notice::{LimitNotice, UpstreamNotice};
use crate::process::ControlEvent;
use crate::version::UpstreamView;

/// Takes note of the headers of an answer to a request that was sent at `sent_at`.
pub(super) fn note_answer(
    context: &TrafficContext,
    upstream: &UpstreamView,
    status: StatusCode,
    headers: &HeaderMap,
    sent_at: Instant,
) {
    let notice = UpstreamNotice::read(headers, &context.headers);
    if let Some(header) = notice.invalid {
        context.log_rate_limited(|left_out| {
            log::warn!(header, left_out; "invalid notice of the upstream ignored");
        });
    }
    // Another upstream, or another instance, may have refused a request that was not meant for it.
    let misdirected = status == StatusCode::MISDIRECTED_REQUEST;
    if notice.leaving && !misdirected {
        report_leaving(context, upstream);
    }
    let limit = match notice.limit {
        LimitNotice::Unknown => return,
        LimitNotice::Unlimited if misdirected => return,
        LimitNotice::Unlimited => None,
        LimitNotice::Limited(limit) => Some(limit),
    };
    if context.limiter.note_limit(&upstream.instance, limit, sent_at) {
        let per_second = limit.map(UpstreamLimit::per_second);
        context.shared.metrics.upstream_limit.set(per_second.unwrap_or(0.0));
        log::info!(life = &*upstream.instance.id, per_second:?; "limit of the upstream changed");
    }
}

/// Reports that the upstream leaves, unless the control thread knows that it drains.
fn report_leaving(context: &TrafficContext, upstream: &UpstreamView) {
    let view = context.shared.view.load();
    let is_ready = view.upstream.as_ref().is_some_and(|known| {
        known.instance == upstream.instance && known.state == UpstreamState::Ready
    });
    if is_ready {
        let event = ControlEvent::UpstreamLeaving(upstream.instance.clone());
        let _ = context.control_tx.send(event);
    }
}
