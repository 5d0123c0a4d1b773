//! Runs a request at the upstream beside this node.

use std::time::{Duration, Instant};

use firspindle_core::version::{RequestKind, UpstreamState};
use http::{HeaderMap, HeaderName, HeaderValue, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;

use super::answer_step::{own_answer, peer_answer, strip_link_headers};
use super::crash_step::{clear_suspect, refuse_suspect, report_crash};
use super::placed_request::{FACTS_HEADER, RequestFacts};
use super::traffic_context::elapsed_ms;
use super::{NotRunReason, PlacedRequest, StepOutcome, TrafficContext};
use crate::connection::{
    AnswerBody, AnswerResponse, GatePass, LinkBody, LinkResponse, STATE_PATH, SendError,
};
use crate::process::ControlEvent;
use crate::version::{MeshView, UpstreamView};

/// Time between looks at whether a cell was granted.
const GRANT_LOOK: Duration = Duration::from_millis(20);

/// Time after which an idle connection is not used again for work that may be repeated.
/// Upstreams close after seconds.
const IDLE_LIMIT: Duration = Duration::from_secs(4);

/// The same for work that must not be repeated: what is lost on a connection that the upstream
/// forgot may have run.
const IDLE_LIMIT_ONCE: Duration = Duration::from_millis(1_500);

/// Part of a run's mean time for which a request may wait that cannot be in time any more.
const LATE_WAIT_DIVISOR: u32 = 2;

/// Time to come back after, while keys move or a node restarts.
const MOVE_RETRY: Duration = Duration::from_millis(700);

/// Answers a request of another node.
pub async fn answer_peer(context: &TrafficContext, request: Request<Incoming>) -> AnswerResponse {
    if request.uri().path() == STATE_PATH {
        let bytes = context.shared.view.load().snapshot.encode();
        return http::Response::new(AnswerBody::whole(bytes));
    }
    let in_flight = context.begin();
    if context.is_leaving() {
        let reason = NotRunReason::Unreachable;
        return peer_answer(StepOutcome::NotRun { reason, retry_after: Some(MOVE_RETRY) });
    }
    let now = Instant::now();
    let facts = request.headers().get(FACTS_HEADER).and_then(|value| value.to_str().ok());
    let Some(facts) = facts.and_then(|text| RequestFacts::parse(text, now)) else {
        log::warn!("request of another node without facts");
        return own_answer(StatusCode::BAD_REQUEST, "no facts", None);
    };
    if context.ends_before(facts.kind, facts.deadline) {
        let reason = NotRunReason::Unreachable;
        return peer_answer(StepOutcome::NotRun { reason, retry_after: Some(MOVE_RETRY) });
    }
    let (head, body) = request.into_parts();
    let Ok(body) = body.collect().await else {
        return own_answer(StatusCode::BAD_REQUEST, "the body is cut short", None);
    };
    let mut headers = head.headers;
    headers.remove(FACTS_HEADER);
    strip_link_headers(&mut headers);
    let id = headers.get(&context.headers.request_id).and_then(|value| value.to_str().ok());
    let id = id.unwrap_or_default().into();
    let request = PlacedRequest {
        method: head.method,
        uri: head.uri,
        headers,
        body: body.to_bytes(),
        id,
        service: facts.service,
        cell: facts.cell,
        kind: facts.kind,
        class: facts.class,
        caller_service: facts.caller_service,
        deadline: facts.deadline,
        hold_until: facts.hold_until,
        aim_at: facts.aim_at,
    };
    let mut response = peer_answer(run_here(context, &request).await);
    response.body_mut().hold(in_flight);
    response
}

/// Runs a request at the upstream beside this node.
pub(super) async fn run_here(context: &TrafficContext, request: &PlacedRequest) -> StepOutcome {
    let arrived = Instant::now();
    if let Some(cell) = request.cell {
        context.count_demand(cell);
    }
    if let Err(outcome) = wait_for_grant(context, request).await {
        return outcome;
    }
    let latest_start = latest_start(request, context.gate.service_time(), arrived);
    let pass = match context.gate.enter(request.class, latest_start).await {
        Ok(pass) => pass,
        Err(refusal) => {
            log_run(context, request, "full", arrived);
            let retry_after = Some(refusal.retry_after);
            return StepOutcome::NotRun { reason: NotRunReason::Full, retry_after };
        }
    };
    let waited = arrived.elapsed().as_secs_f64();
    context.shared.metrics.queue_time.with_label_values(&[&request.service]).observe(waited);
    // The grant may have ended while the request waited.
    let upstream = match check_open(context, request) {
        Ok(upstream) => upstream,
        Err(outcome) => return outcome,
    };
    if let Some(refusal) = refuse_suspect(context, request) {
        return refusal;
    }
    let outcome = send(context, request, &upstream, pass).await;
    let word = match &outcome {
        StepOutcome::Answered(response) => response.status().as_str().to_owned(),
        StepOutcome::NotRun { reason, .. } => reason.as_str().to_owned(),
        StepOutcome::MayHaveRun { reason } => (*reason).to_owned(),
    };
    log_run(context, request, &word, arrived);
    outcome
}

/// Latest start that is worth a place in the queue: the answer is likely to be in time. Under
/// lasting overload a longer queue serves no more requests, only each of them late; a request
/// that is late already gets a short wait.
fn latest_start(request: &PlacedRequest, service_time: Duration, now: Instant) -> Instant {
    let in_time = request.aim_at.checked_sub(service_time).unwrap_or(now);
    in_time.max(now + service_time / LATE_WAIT_DIVISOR).min(request.deadline)
}

fn log_run(context: &TrafficContext, request: &PlacedRequest, outcome: &str, arrived: Instant) {
    let load = context.gate.load();
    context.log_decision(|left_out| {
        log::info!(
            request = &*request.id, cell:? = request.cell, running = load.running,
            waiting = load.waiting, outcome, took_ms = elapsed_ms(arrived),
            left_out;
            "run"
        );
    });
}

/// Whether the request may be sent to the upstream now.
fn check_open(
    context: &TrafficContext,
    request: &PlacedRequest,
) -> Result<UpstreamView, StepOutcome> {
    let refuse = |reason| StepOutcome::NotRun { reason, retry_after: Some(MOVE_RETRY) };
    let view = context.shared.view.load();
    let upstream = view.upstream.as_ref().filter(|upstream| upstream.service == request.service);
    let Some(upstream) = upstream else { return Err(refuse(NotRunReason::NotOwner)) };
    if upstream.state == UpstreamState::Gone {
        return Err(refuse(NotRunReason::Unreachable));
    }
    if upstream.closes_at.is_some_and(|at| context.clock.now() >= at) {
        return Err(refuse(NotRunReason::Leaving));
    }
    if request.cell.is_some_and(|cell| !view.granted.get(cell).copied().unwrap_or(false)) {
        return Err(refuse(NotRunReason::NotOwner));
    }
    Ok(upstream.clone())
}

/// Waits for the grant of a cell that the plan gives to this host.
async fn wait_for_grant(
    context: &TrafficContext,
    request: &PlacedRequest,
) -> Result<(), StepOutcome> {
    loop {
        let Err(outcome) = check_open(context, request) else { return Ok(()) };
        let may_come = {
            let view = context.shared.view.load();
            request.cell.is_some_and(|cell| holds_by_plan(&view, request, cell, context))
        };
        if !may_come || Instant::now() >= request.hold_until {
            return Err(outcome);
        }
        tokio::time::sleep(GRANT_LOOK).await;
    }
}

fn holds_by_plan(
    view: &MeshView,
    request: &PlacedRequest,
    cell: usize,
    context: &TrafficContext,
) -> bool {
    let ranges = view.ranges_of(&request.service);
    ranges.is_some_and(|ranges| ranges.host_of(cell) == &*context.settings.host)
}

async fn send(
    context: &TrafficContext,
    request: &PlacedRequest,
    upstream: &UpstreamView,
    pass: GatePass,
) -> StepOutcome {
    let Some(message) = upstream_message(context, request, upstream) else {
        return StepOutcome::NotRun { reason: NotRunReason::Refused, retry_after: None };
    };
    let once = request.kind == RequestKind::NonIdempotent;
    let idle_limit = if once { IDLE_LIMIT_ONCE } else { IDLE_LIMIT };
    context.shared.metrics.sends.inc();
    let sending = context.upstream.send(context.settings.upstream, message, idle_limit);
    let sent = tokio::time::timeout_at(request.deadline.into(), sending).await;
    let (response, link, fresh) = match sent {
        Ok(Ok(sent)) => sent,
        Ok(Err(SendError::Refused)) => {
            let _ = context.tx.send(ControlEvent::UpstreamRefused);
            let reason = NotRunReason::Unreachable;
            return StepOutcome::NotRun { reason, retry_after: Some(MOVE_RETRY) };
        }
        Ok(Err(SendError::NotSent)) => {
            let reason = NotRunReason::Unreachable;
            return StepOutcome::NotRun { reason, retry_after: Some(MOVE_RETRY) };
        }
        Ok(Err(SendError::Broken)) => {
            drop(pass);
            report_crash(context, request, upstream).await;
            return StepOutcome::MayHaveRun { reason: "the link to the upstream broke" };
        }
        Err(_) => return StepOutcome::MayHaveRun { reason: "no answer in time" },
    };
    if fresh {
        context.shared.metrics.connects.with_label_values(&["upstream"]).inc();
    }
    let body_guard = |response: LinkResponse| {
        let (mut head, body) = response.into_parts();
        strip_link_headers(&mut head.headers);
        let body = LinkBody::new(body, link, request.deadline.into());
        http::Response::from_parts(head, AnswerBody::Link(body))
    };
    match judge(context, request, &response) {
        AnswerJudgement::Whole => {
            pass.answered();
            clear_suspect(context, request);
            StepOutcome::Answered(Box::new(body_guard(response)))
        }
        AnswerJudgement::Refused => {
            StepOutcome::NotRun { reason: NotRunReason::Refused, retry_after: Some(MOVE_RETRY) }
        }
        AnswerJudgement::Spoiled(reason) => StepOutcome::MayHaveRun { reason },
    }
}

fn upstream_message(
    context: &TrafficContext,
    request: &PlacedRequest,
    upstream: &UpstreamView,
) -> Option<Request<Full<bytes::Bytes>>> {
    let names = &context.headers;
    let left = request.deadline.saturating_duration_since(Instant::now()).as_millis();
    let mut message = Request::new(Full::new(request.body.clone()));
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.uri.clone();
    let mut headers = request.headers.clone();
    let mut set = |name: &HeaderName, value: &str| {
        HeaderValue::from_str(value).ok().map(|value| headers.insert(name, value))
    };
    set(&names.time_left_ms, &left.to_string())?;
    set(&names.expected_upstream, &upstream.instance.id)?;
    set(&names.caller_service, &request.caller_service)?;
    *message.headers_mut() = headers;
    Some(message)
}

enum AnswerJudgement {
    Whole,
    Refused,
    Spoiled(&'static str),
}

/// Whether an answer's head is the upstream's own answer to this request.
fn judge(
    context: &TrafficContext,
    request: &PlacedRequest,
    response: &LinkResponse,
) -> AnswerJudgement {
    let names = &context.headers;
    let headers: &HeaderMap = response.headers();
    let status = response.status();
    let echoed = headers.get(&names.request_id).and_then(|value| value.to_str().ok());
    if echoed.is_some_and(|id| id != &*request.id) {
        return AnswerJudgement::Spoiled("the answer is another request's");
    }
    // A wrong holder's refusal is an arrival too: it is repeated within the budget only.
    if headers.contains_key(&names.not_run) || status == StatusCode::MISDIRECTED_REQUEST {
        return AnswerJudgement::Refused;
    }
    if headers.contains_key(http::header::CONTENT_ENCODING) {
        return AnswerJudgement::Spoiled("the answer is encoded");
    }
    if status.is_success() && (echoed.is_none() || !headers.contains_key(&names.signature)) {
        return AnswerJudgement::Spoiled("the answer is not signed");
    }
    if status.is_informational() || status.is_redirection() {
        return AnswerJudgement::Spoiled("the answer has an unexpected status");
    }
    AnswerJudgement::Whole
}
