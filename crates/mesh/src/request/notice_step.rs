//! Takes note of what the upstream says about itself in its answers, and of what other nodes know of
//! it.

use std::time::{Duration, Instant};

use firspindle_core::connection::UpstreamLimit;
use firspindle_core::request::{ToldNotice, hash_instance};
use firspindle_core::version::{UpstreamInstance, UpstreamState};
use firspindle_edge::{LimitNotice, UpstreamNotice};
use http::{HeaderMap, Request, StatusCode};

use super::cold_step::{note_cold_time, note_load};
use super::owner_step::HANDOVER_RETRY_AFTER;
use super::{AttemptOutcome, NotRunReason, RoutedRequest, TrafficContext};
use crate::connection::{OutboundBody, OutboundResponse};
use crate::process::ControlEvent;
use crate::version::UpstreamView;

/// Time limit of a check whether the upstream still limits.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// What an answer says, and about which request.
pub(super) struct AnswerHead<'a> {
    status: StatusCode,
    headers: &'a HeaderMap,
    /// Whether it is a valid answer of an upstream that ran the request.
    ran: bool,
    /// When the request was sent.
    sent_at: Instant,
}

impl<'a> AnswerHead<'a> {
    /// The head of an answer to a request that was sent at `sent_at`.
    pub(super) fn new(response: &'a OutboundResponse, ran: bool, sent_at: Instant) -> Self {
        Self { status: response.status(), headers: response.headers(), ran, sent_at }
    }
}

/// Takes note of what an answer says about its upstream, and returns what it says about a limit. Only
/// one to a request that ran ends a limit by naming none.
pub(super) fn note_answer(
    context: &TrafficContext,
    upstream: &UpstreamView,
    answer: &AnswerHead<'_>,
) -> LimitNotice {
    let names = &context.headers;
    let notice = UpstreamNotice::read(answer.headers, &names.limit, &names.leaving);
    if let Some(header) = notice.invalid {
        context.log_rate_limited(|left_out| {
            log::warn!(header, left_out; "invalid notice of the upstream ignored");
        });
    }
    // Another upstream, or another instance, may have refused a request that was not meant for it.
    let misdirected = answer.status == StatusCode::MISDIRECTED_REQUEST;
    if notice.leaving && !misdirected {
        // The response to this request is to tell it, before the control thread publishes it.
        context.limiter.note_leaving(&upstream.instance);
        report_leaving(context, &upstream.instance, Duration::ZERO);
    }
    if !misdirected {
        note_load(context, &upstream.instance, answer.headers);
    }
    let limit = match notice.limit {
        LimitNotice::Unknown => return notice.limit,
        LimitNotice::Unlimited if !answer.ran => return notice.limit,
        LimitNotice::Unlimited => None,
        LimitNotice::Limited(limit) => Some(limit),
    };
    if context.limiter.note_limit(&upstream.instance, limit, answer.sent_at) {
        let per_second = limit.map(UpstreamLimit::per_second);
        let life = &*upstream.instance.id;
        context.log_rate_limited(|left_out| {
            log::info!(life, per_second:?, left_out; "limit of the upstream changed");
        });
    }
    notice.limit
}

/// Reports that the upstream has been leaving for `time`, unless the control thread knows that it
/// drains.
fn report_leaving(context: &TrafficContext, instance: &UpstreamInstance, time: Duration) {
    let view = context.shared.view.load();
    let is_ready = view
        .upstream
        .as_ref()
        .is_some_and(|known| known.instance == *instance && known.state == UpstreamState::Ready);
    if is_ready {
        let _ = context.control_tx.send(ControlEvent::UpstreamLeaving(instance.clone(), time));
    }
}

/// Asks the upstream by a health check whether it still limits the requests that it takes.
pub(crate) async fn check_limit(context: &TrafficContext) {
    let view = context.shared.view.load_full();
    let (Some(upstream), Some(manifest)) = (&view.upstream, &view.manifest) else { return };
    let Some(service) = manifest.service(&upstream.service) else { return };
    let request = Request::get(&*service.health_path).body(OutboundBody::default());
    let Ok(request) = request else { return };
    let sent_at = Instant::now();
    let sending = context.upstream.send(context.settings.upstream, request, Duration::ZERO);
    let sent = tokio::time::timeout(CHECK_TIMEOUT, sending).await;
    let Ok(Ok((response, _, _))) = sent else {
        log::info!(life = &*upstream.instance.id; "upstream did not say whether it still limits");
        return;
    };
    let id = response.headers().get(&context.headers.upstream_id);
    if id.is_none_or(|id| id.as_bytes() != upstream.instance.id.as_bytes()) {
        return;
    }
    note_cold_time(context, response.headers(), sent_at);
    let said = note_answer(context, upstream, &AnswerHead::new(&response, false, sent_at));
    if said == LimitNotice::Unlimited && response.status().is_success() {
        context.limiter.confirm_end(&upstream.instance);
    }
}

/// Takes note of what the node that forwarded a request knows of the upstream; returns a refusal if
/// the upstream is to get no more requests.
pub(super) fn apply_told(
    context: &TrafficContext,
    request: &RoutedRequest,
) -> Option<AttemptOutcome> {
    let told = request.told.as_ref()?;
    let view = context.shared.view.load();
    let upstream = view.upstream.as_ref()?;
    if told.instance != hash_instance(&upstream.instance) {
        return None;
    }
    for (cell, count) in &told.refused {
        context.count_demand(*cell, *count);
    }
    if let Some(limit) = told.limit {
        context.limiter.adopt_limit(&upstream.instance, limit);
    }
    let leaving_for = told.leaving_for?;
    report_leaving(context, &upstream.instance, leaving_for);
    let closed = leaving_for >= context.settings.bounds.close_delay();
    closed.then_some(AttemptOutcome::NotRun {
        reason: NotRunReason::Leaving,
        retry_after: Some(HANDOVER_RETRY_AFTER),
    })
}

/// Returns what to tell other nodes of this node's upstream; `None` if it neither names a limit, nor
/// leaves, nor is full.
pub(super) fn own_notice(context: &TrafficContext) -> Option<ToldNotice> {
    let view = context.shared.view.load();
    let upstream = view.upstream.as_ref()?;
    let limit = context.limiter.limit();
    let leaving =
        upstream.state == UpstreamState::Draining || context.limiter.is_leaving(&upstream.instance);
    let queue = context.limiter.queue_forecast();
    (limit.is_some() || leaving || queue.is_some()).then(|| ToldNotice {
        instance: hash_instance(&upstream.instance),
        limit,
        leaving_for: leaving.then_some(Duration::ZERO),
        forecast: limit.map(|_| context.limiter.forecast()),
        queue,
        refused: Vec::new(),
    })
}

/// Returns a refusal if another host's upstream is known to leave no turn for a request in time: by its
/// limit, or because its queue is full.
pub(super) fn refuse_known_limit(
    context: &TrafficContext,
    host: &str,
    request: &RoutedRequest,
) -> Option<AttemptOutcome> {
    let now = Instant::now();
    let claim = request.slot_claim(now);
    let latest = |run_time| claim.latest_start(run_time, run_time);
    let mut notices = context.notices.borrow_mut();
    let by_limit = notices.refuse(host, request.class, request.cell, latest, now);
    let (retry_after, reason, counted) = if let Some(retry_after) = by_limit {
        (retry_after, NotRunReason::QueueFull, "known-limit")
    } else {
        let retry_after = notices.refuse_full(host, &claim, request.cell, now)?;
        (retry_after, NotRunReason::KnownFull, "known-full")
    };
    context.count_refusal(request.rank, counted);
    Some(AttemptOutcome::NotRun { reason, retry_after: Some(retry_after) })
}

/// Whether the queue of another host's upstream is known to leave no start for a request in time.
pub(super) fn is_known_full(context: &TrafficContext, host: &str, request: &RoutedRequest) -> bool {
    let now = Instant::now();
    context.notices.borrow().is_full(host, &request.slot_claim(now), now)
}
