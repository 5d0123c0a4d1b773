//! Sends a request to this node's upstream and classifies the response.

use std::time::{Duration, Instant};

use firspindle_core::request::ColdCause;
use firspindle_core::version::RequestKind;
use firspindle_edge::parse_retry_after;
use http::{HeaderMap, HeaderName, HeaderValue, Request, StatusCode};
use hyper::body::Body;

use super::cold_step::note_break;
use super::crash_step::{AnswerWatch, SendWatch, report_crash};
use super::notice_step::{AnswerHead, note_answer};
use super::owner_step::HANDOVER_RETRY_AFTER;
use super::response_step::strip_hop_by_hop_headers;
use super::{AttemptOutcome, NotRunReason, RoutedRequest, TrafficContext};
use crate::connection::{
    OutboundBody, OutboundRequest, OutboundResponse, ProxyBody, SendError, StreamedBody,
    UpstreamPermit,
};
use crate::version::UpstreamView;

/// Time after which an idle connection to the upstream is not reused for requests that may be
/// retried. Upstreams close idle connections after some seconds.
const IDLE_LIMIT: Duration = Duration::from_secs(4);

/// The same for requests that must not be retried: one that is lost on a connection that the
/// upstream has already dropped may have run.
const NON_IDEMPOTENT_IDLE_LIMIT: Duration = Duration::from_millis(1_500);

/// Sends the request to the upstream and classifies the result.
pub(super) async fn send(
    context: &TrafficContext,
    request: &RoutedRequest,
    upstream: &UpstreamView,
    permit: UpstreamPermit,
) -> AttemptOutcome {
    let Some(outgoing) = upstream_request(context, request, upstream) else {
        return AttemptOutcome::NotRun { reason: NotRunReason::Refused, retry_after: None };
    };
    let repeatable = request.kind.repeatable();
    let idle_limit = if repeatable { IDLE_LIMIT } else { NON_IDEMPOTENT_IDLE_LIMIT };
    context.shared.metrics.sends.inc();
    let sent_at = Instant::now();
    let watch = SendWatch::new(context, request, upstream);
    let sending = context.upstream.send(context.settings.upstream, outgoing, idle_limit);
    let sent = tokio::time::timeout_at(request.deadline.into(), sending).await;
    let (response, connection, is_new) = match sent {
        Ok(Ok(sent)) => sent,
        Ok(Err(SendError::Refused)) => {
            watch.settle();
            context.limiter.distrust(ColdCause::RefusedConnection);
            context.crashes.note_refused(&upstream.instance);
            let reason = NotRunReason::Unreachable;
            return AttemptOutcome::NotRun { reason, retry_after: Some(HANDOVER_RETRY_AFTER) };
        }
        Ok(Err(SendError::NotSent)) => {
            watch.settle();
            note_break(context);
            let reason = NotRunReason::Unreachable;
            return AttemptOutcome::NotRun { reason, retry_after: Some(HANDOVER_RETRY_AFTER) };
        }
        Ok(Err(SendError::Broken)) => {
            note_break(context);
            drop(permit);
            report_crash(context, request, upstream).await;
            watch.settle();
            return AttemptOutcome::MayHaveRun { reason: "the link to the upstream broke" };
        }
        Err(_) => return AttemptOutcome::MayHaveRun { reason: "no answer in time" },
    };
    if is_new {
        context.shared.metrics.connects.with_label_values(&["upstream"]).inc();
    }
    let check = check_response(context, request, &response);
    // An answer to another request may be an earlier one that came late.
    if echoed_id(context, &response) == Some(&*request.id) {
        context.limiter.note_heard();
        context.crashes.note_alive(&upstream.instance, sent_at);
        let ran = matches!(check, ResponseCheck::Valid);
        note_answer(context, upstream, &AnswerHead::new(&response, ran, sent_at));
    }
    let stream_response = |response: OutboundResponse| {
        let (mut head, body) = response.into_parts();
        strip_hop_by_hop_headers(&mut head.headers);
        // After a failure the request may be sent again under its id, by which a late copy of this answer
        // could not be told from the next one on the connection.
        let connection = head.status.is_success().then_some(connection);
        let body = StreamedBody::new(body, connection, request.deadline.into());
        let body = body.watch_with(AnswerWatch::new(context, request, upstream));
        http::Response::from_parts(head, ProxyBody::Streamed(Box::new(body)))
    };
    match check {
        ResponseCheck::Valid => {
            watch.settle();
            permit.answered();
            if request.kind == RequestKind::Download {
                context.link.count_length(response.body().size_hint().lower());
            }
            AttemptOutcome::Answered(Box::new(stream_response(response)))
        }
        ResponseCheck::Refused => {
            watch.settle();
            let retry_after = parse_retry_after(response.headers());
            AttemptOutcome::NotRun {
                reason: NotRunReason::Refused,
                retry_after: retry_after.or(Some(HANDOVER_RETRY_AFTER)),
            }
        }
        ResponseCheck::Invalid(reason) => AttemptOutcome::MayHaveRun { reason },
    }
}

/// Builds the request for the upstream; `None` if a header's value would be invalid.
fn upstream_request(
    context: &TrafficContext,
    request: &RoutedRequest,
    upstream: &UpstreamView,
) -> Option<OutboundRequest> {
    let names = &context.headers;
    let left = request.deadline.saturating_duration_since(Instant::now()).as_millis();
    let mut outgoing = Request::new(OutboundBody::whole(request.body.whole()?));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.uri.clone();
    let mut headers = request.headers.clone();
    let mut set = |name: &HeaderName, value: &str| {
        HeaderValue::from_str(value).ok().map(|value| headers.insert(name, value))
    };
    set(&names.time_left_ms, &left.to_string())?;
    set(&names.expected_upstream, &upstream.instance.id)?;
    set(&names.caller_service, &request.caller_service)?;
    *outgoing.headers_mut() = headers;
    Some(outgoing)
}

/// What the head of a response says about the request.
enum ResponseCheck {
    /// The upstream's own response to the request.
    Valid,
    /// The upstream did not run the request.
    Refused,
    /// Not a response of the upstream to this request, which may have run; the reason.
    Invalid(&'static str),
}

/// Returns the id of the request that a response answers, as the upstream repeats it.
fn echoed_id<'a>(context: &TrafficContext, response: &'a OutboundResponse) -> Option<&'a str> {
    response.headers().get(&context.headers.request_id).and_then(|value| value.to_str().ok())
}

/// Checks whether the head of a response shows the upstream's own response to this request.
fn check_response(
    context: &TrafficContext,
    request: &RoutedRequest,
    response: &OutboundResponse,
) -> ResponseCheck {
    let names = &context.headers;
    let headers: &HeaderMap = response.headers();
    let status = response.status();
    // Bytes that belong to no request may be an earlier refusal, which would promise too much.
    match echoed_id(context, response) {
        Some(id) if id == &*request.id => {}
        Some(_) => return ResponseCheck::Invalid("the answer is another request's"),
        None => return ResponseCheck::Invalid("the answer names no request"),
    }
    // A request that the wrong owner refused has arrived at an upstream too, so a retry counts
    // against the budget.
    if headers.contains_key(&names.not_run) || status == StatusCode::MISDIRECTED_REQUEST {
        return ResponseCheck::Refused;
    }
    if headers.contains_key(http::header::CONTENT_ENCODING) {
        return ResponseCheck::Invalid("the answer is encoded");
    }
    if status.is_success() && !headers.contains_key(&names.signature) {
        return ResponseCheck::Invalid("the answer is not signed");
    }
    let is_final = (200..600).contains(&status.as_u16());
    if !is_final || status.is_redirection() {
        return ResponseCheck::Invalid("the answer has an unexpected status");
    }
    ResponseCheck::Valid
}
