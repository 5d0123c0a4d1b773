//! Runs requests at this node's upstream, for the node itself and for other nodes.

use std::rc::Rc;
use std::time::{Duration, Instant};

use firspindle_core::request::ClaimForecast;
use firspindle_core::version::{RequestKind, UpstreamState};
use http::header::CONNECTION;
use http::{HeaderValue, Request, StatusCode};
use hyper::body::Incoming;

use super::body_step::{read_local_body, take_forwarded};
use super::cold_step::sync_upstream;
use super::crash_step::refuse_suspect;
use super::notice_header::{NOTICE_HEADER, encode_notice};
use super::notice_step::{apply_told, own_notice};
use super::request_progress::AbandonGuard;
use super::reserve_step::{RESERVE_PATH, handle_reservation, take_ticket};
use super::response_step::{drained_response, local_response, peer_response};
use super::routed_request::{METADATA_HEADER, OWNER_TIME_HEADER, RequestMetadata};
use super::send_step::send;
use super::traffic_context::elapsed_ms;
use super::{
    AttemptOutcome, HEAD_BYTES, NotRunReason, RequestProgress, RequestStage, RoutedRequest,
    TrafficContext,
};
use crate::connection::{ProxyBody, ProxyResponse, STATE_PATH, parse_known_state};
use crate::version::{MeshView, UpstreamView};

/// Time between checks whether a cell has been granted.
const GRANT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A download is refused if, after this many times the mean time that downloads take at this node, the
/// link could not carry it by its objective. Half of them take longer than the mean.
const RUN_TIME_FACTOR: u32 = 2;

/// Largest body of a forwarded request, in bytes. The entry node has applied the manifest's own limit,
/// which another version of the manifest may have raised.
const MAX_FORWARDED_BYTES: usize = 32 * 1024 * 1024;

/// `Retry-After` while keys change owner or a node restarts.
pub(super) const HANDOVER_RETRY_AFTER: Duration = Duration::from_millis(700);

/// Handles a request of another node: one for this node's state, or a forwarded one.
pub async fn handle_peer_request(
    context: &TrafficContext,
    request: Request<Incoming>,
) -> ProxyResponse {
    if request.uri().path() == STATE_PATH {
        let bytes = context.encoded_state(parse_known_state(request.uri().query()));
        context.link.charge(HEAD_BYTES + bytes.len());
        return http::Response::new(ProxyBody::buffered(bytes));
    }
    let in_flight = context.track_request();
    let arrived = Instant::now();
    let guard = AbandonGuard::new(context, "owner");
    let progress = guard.progress();
    let handling = async {
        match request.uri().path() == RESERVE_PATH {
            true => handle_reservation(context, request, progress.clone()).await,
            false => handle_forwarded(context, request, progress.clone()).await,
        }
    };
    let mut response = tokio::select! {
        response = handling => response,
        () = context.exit_notify.notified() => match progress.is_sent() {
            true => peer_response(AttemptOutcome::MayHaveRun { reason: "the owner ends" }),
            false => refuse_leaving(),
        },
    };
    guard.answered();
    context.link.charge(HEAD_BYTES);
    response.headers_mut().insert(OWNER_TIME_HEADER, elapsed_ms(arrived).into());
    if let Some(notice) = own_notice(context).as_ref().and_then(encode_notice) {
        response.headers_mut().insert(NOTICE_HEADER, notice);
    }
    if context.shared.view.load().stopping {
        // Another node could not tell whether a request on a kept connection has run if the process exits.
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response.body_mut().attach_guard(in_flight);
    response
}

/// Refuses a request of another node because this one is about to end.
pub(super) fn refuse_leaving() -> ProxyResponse {
    peer_response(leaving_outcome())
}

/// Outcome for a request that this node may not live to answer.
const fn leaving_outcome() -> AttemptOutcome {
    AttemptOutcome::NotRun {
        reason: NotRunReason::Unreachable,
        retry_after: Some(HANDOVER_RETRY_AFTER),
    }
}

async fn handle_forwarded(
    context: &TrafficContext,
    request: Request<Incoming>,
    progress: Rc<RequestProgress>,
) -> ProxyResponse {
    if context.is_rejecting_requests() {
        return refuse_leaving();
    }
    let now = Instant::now();
    let metadata = request.headers().get(METADATA_HEADER).and_then(|value| value.to_str().ok());
    let Some(metadata) = metadata.and_then(|text| RequestMetadata::parse(text, now)) else {
        log::warn!("peer request without a valid firspindle-facts header");
        return local_response(StatusCode::BAD_REQUEST, "no facts", None);
    };
    if context.shutdown_interrupts(metadata.kind, metadata.route_id, metadata.deadline) {
        return refuse_leaving();
    }
    let (mut head, body) = request.into_parts();
    let ticket = take_ticket(&mut head.headers);
    let body = take_forwarded(body, ticket.is_some(), MAX_FORWARDED_BYTES).await;
    let Some(body) = body else {
        return local_response(StatusCode::BAD_REQUEST, "the body is cut short or too large", None);
    };
    let mut request = RoutedRequest::forwarded(context, head, metadata, body, progress);
    request.body = match read_local_body(context, &request, ticket).await {
        Ok(body) => body,
        Err(outcome) => {
            log_run(context, &request, "no-body", now);
            return drained_response(peer_response(outcome), &request.body);
        }
    };
    let expected =
        if request.kind == RequestKind::Download { context.link.mean_length() } else { 0 };
    let reservation = context.link.reserve(expected);
    let mut response = peer_response(run_locally(context, &request).await);
    response.body_mut().pace(&context.link, reservation);
    response
}

/// Runs a request at this node's upstream, once its key is granted and the upstream has a free
/// slot.
pub(super) async fn run_locally(
    context: &TrafficContext,
    request: &RoutedRequest,
) -> AttemptOutcome {
    let arrived = Instant::now();
    if let Some(cell) = request.cell {
        context.count_demand(cell, 1);
    }
    request.progress.enter(RequestStage::WaitingForGrant);
    if let Err(outcome) = wait_for_grant(context, request).await {
        log_evacuated(context, request, &outcome, arrived);
        return outcome;
    }
    if let Some(refusal) = apply_told(context, request) {
        log_run(context, request, "leaving", arrived);
        return refusal;
    }
    if let Some(refusal) = refuse_for_link(context, request) {
        context.count_refusal(request.rank, "link-full");
        log_run(context, request, "link-full", arrived);
        return refusal;
    }
    sync_upstream(context);
    request.progress.enter(RequestStage::Queued);
    let claim = request.slot_claim(arrived);
    let (forecast, acquired) = context.limiter.acquire(claim).await;
    let permit = match acquired {
        Ok(permit) => permit,
        Err(refusal) => {
            let limited = context.limiter.limit().is_some();
            context.count_refusal(request.rank, refusal.reason.as_str());
            let outcome = if limited { "limited" } else { "full" };
            log_claim(context, request, outcome, arrived, Some(&forecast));
            let retry_after = Some(refusal.retry_after);
            return AttemptOutcome::NotRun { reason: NotRunReason::QueueFull, retry_after };
        }
    };
    let waited = arrived.elapsed().as_secs_f64();
    let metrics = &context.shared.metrics;
    metrics.queue_time.with_label_values(&[&request.service]).observe(waited);
    metrics.slots.wait.with_label_values(&[&request.rank.number().to_string()]).observe(waited);
    // The grant may have ended while the request was queued.
    let upstream = match check_upstream(context, request) {
        Ok(upstream) => upstream,
        Err(outcome) => {
            log_evacuated(context, request, &outcome, arrived);
            return outcome;
        }
    };
    if let Some(refusal) = refuse_suspect(context, request) {
        return refusal;
    }
    if context.shutdown_interrupts(request.kind, request.route_id, request.deadline) {
        log_run(context, request, "leaving", arrived);
        return leaving_outcome();
    }
    context.limiter.set_instance(&upstream.instance);
    request.progress.enter(RequestStage::Sent);
    let outcome = send(context, request, &upstream, permit).await;
    if request.kind == RequestKind::Download && matches!(outcome, AttemptOutcome::Answered(_)) {
        context.count_download_time(arrived.elapsed());
    }
    if !matches!(outcome, AttemptOutcome::NotRun { .. }) {
        context.note_answer_time(request.kind, request.route_id, arrived.elapsed());
    }
    let outcome_text = match &outcome {
        AttemptOutcome::Answered(response) => response.status().as_str().to_owned(),
        AttemptOutcome::NotRun { reason, .. } => reason.as_str().to_owned(),
        AttemptOutcome::MayHaveRun { reason } => (*reason).to_owned(),
    };
    log_claim(context, request, &outcome_text, arrived, Some(&forecast));
    outcome
}

/// Refuses a download that the link could not carry in time behind those that it is to carry already.
/// One that is late in any case may wait for the link for the mean time of a run.
fn refuse_for_link(context: &TrafficContext, request: &RoutedRequest) -> Option<AttemptOutcome> {
    if !request.over_link || request.kind != RequestKind::Download {
        return None;
    }
    let service_time = context.limiter.service_time();
    let left = request.objective_at.saturating_duration_since(Instant::now());
    let run_time = context.download_time() * RUN_TIME_FACTOR;
    let patience = left.saturating_sub(run_time).max(service_time);
    let excess = context.link.backlog().checked_sub(patience).filter(|time| !time.is_zero())?;
    Some(AttemptOutcome::NotRun { reason: NotRunReason::QueueFull, retry_after: Some(excess) })
}

fn log_run(context: &TrafficContext, request: &RoutedRequest, outcome: &str, arrived: Instant) {
    log_claim(context, request, outcome, arrived, None);
}

/// Logs how a request ended at this node, with what was expected of it when it claimed a slot.
fn log_claim(
    context: &TrafficContext,
    request: &RoutedRequest,
    outcome: &str,
    arrived: Instant,
    forecast: Option<&ClaimForecast>,
) {
    let load = context.limiter.load();
    let after_ms = |at: Instant| at.saturating_duration_since(arrived).as_millis();
    context.log_rate_limited(|left_out| {
        log::info!(
            request = &*request.id, cell:? = request.cell, rank = request.rank.number(),
            returned = request.returned, running = load.running, waiting = load.waiting,
            ahead:? = forecast.map(|forecast| forecast.ahead),
            expected_start_ms:? = forecast.map(|forecast| after_ms(forecast.expected_start)),
            latest_start_ms:? = forecast.map(|forecast| after_ms(forecast.latest_start)),
            outcome, took_ms = elapsed_ms(arrived), left_out;
            "run"
        );
    });
}

/// Counts and logs a refusal because the own data centre is evacuated.
fn log_evacuated(
    context: &TrafficContext,
    request: &RoutedRequest,
    outcome: &AttemptOutcome,
    arrived: Instant,
) {
    if let AttemptOutcome::NotRun { reason: reason @ NotRunReason::Evacuated, .. } = outcome {
        context.shared.metrics.evacuations.count_refusal(*reason);
        log_run(context, request, reason.as_str(), arrived);
    }
}

/// Returns the upstream if the request may be sent to it now, and otherwise the refusal.
fn check_upstream(
    context: &TrafficContext,
    request: &RoutedRequest,
) -> Result<UpstreamView, AttemptOutcome> {
    let refuse =
        |reason| AttemptOutcome::NotRun { reason, retry_after: Some(HANDOVER_RETRY_AFTER) };
    let view = context.shared.view.load();
    let upstream = view.upstream.as_ref().filter(|upstream| upstream.service == request.service);
    let Some(upstream) = upstream else { return Err(refuse(NotRunReason::NotOwner)) };
    if upstream.state == UpstreamState::Gone {
        return Err(refuse(NotRunReason::Unreachable));
    }
    if upstream.closes_at.is_some_and(|at| context.clock.now() >= at) {
        return Err(refuse(NotRunReason::Leaving));
    }
    if upstream.evacuation_closes_at.is_some_and(|at| context.clock.now() >= at) {
        return Err(refuse(NotRunReason::Evacuated));
    }
    if request.cell.is_some_and(|cell| !view.granted.get(cell).copied().unwrap_or(false)) {
        return Err(refuse(NotRunReason::NotOwner));
    }
    Ok(upstream.clone())
}

/// Waits until the request's cell is granted, if the plan assigns the cell to this host.
pub(super) async fn wait_for_grant(
    context: &TrafficContext,
    request: &RoutedRequest,
) -> Result<(), AttemptOutcome> {
    loop {
        let Err(outcome) = check_upstream(context, request) else { return Ok(()) };
        let may_be_granted = {
            let view = context.shared.view.load();
            !is_evacuated(&outcome)
                && request.cell.is_some_and(|cell| is_planned_here(&view, request, cell, context))
        };
        if !may_be_granted || Instant::now() >= request.owner_wait_until {
            return Err(outcome);
        }
        tokio::time::sleep(GRANT_POLL_INTERVAL).await;
    }
}

const fn is_evacuated(outcome: &AttemptOutcome) -> bool {
    matches!(outcome, AttemptOutcome::NotRun { reason: NotRunReason::Evacuated, .. })
}

/// Whether the plan assigns a cell of the request's service to this host.
fn is_planned_here(
    view: &MeshView,
    request: &RoutedRequest,
    cell: usize,
    context: &TrafficContext,
) -> bool {
    let ranges = view.ranges_of(&request.service);
    ranges.is_some_and(|ranges| ranges.owner_host(cell) == &*context.settings.host)
}
