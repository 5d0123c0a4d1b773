//! A request of a caller: route, place, send, send again, answer.

use std::time::{Duration, Instant};

use firspindle_core::version::{PriorityClass, RequestKind, RouteManifest, RouteRow, cell_of_key};
use http::header::{CONNECTION, CONTENT_LENGTH, HOST};
use http::{HeaderMap, HeaderName, HeaderValue, Request, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;

use super::answer_step::{own_answer, strip_link_headers};
use super::crash_step::refuse_suspect;
use super::forward_step::forward;
use super::owner_step::run_here;
use super::placed_request::{FACTS_HEADER, REASON_HEADER, VERDICT_HEADER};
use super::traffic_context::elapsed_ms;
use super::{NotRunReason, PlacedRequest, StepOutcome, TrafficContext};
use crate::connection::AnswerResponse;
use crate::version::{MeshView, PeerView};

/// Time between two tries to reach an owner.
const PLACE_GAP: Duration = Duration::from_millis(50);

/// Time to come back after, before any manifest is known or while the node restarts.
const START_RETRY: Duration = Duration::from_secs(1);

/// Time to come back after, while an owner is away.
const AWAY_RETRY: Duration = Duration::from_millis(900);

/// Part of the objective for which a request may wait for an owner.
const HOLD_DIVISOR: u32 = 2;

/// Cost of another data centre in the choice of an upstream, as a part of its slots.
const DISTANCE_COST: f64 = 0.3;

/// Least time that a further send needs.
const RETRY_FLOOR: Duration = Duration::from_millis(20);

/// Answers a request of a caller.
pub async fn answer_caller(context: &TrafficContext, request: Request<Incoming>) -> AnswerResponse {
    let in_flight = context.begin();
    let arrived = Instant::now();
    let mut facts = EntryFacts::default();
    let placed = place(context, request, arrived, &mut facts).await;
    let mut response = match placed {
        Ok(placed) => answer_placed(context, &placed, &mut facts).await,
        Err(response) => response,
    };
    note_answer(context, &facts, &response, arrived);
    if context.shared.view.load().stopping {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response.body_mut().hold(in_flight);
    response
}

/// Runs the attempts of a placed request until its deadline.
async fn answer_placed(
    context: &TrafficContext,
    placed: &PlacedCall,
    facts: &mut EntryFacts,
) -> AnswerResponse {
    let deadline = placed.request.deadline;
    let attempts = run_attempts(context, placed, facts);
    let answered = tokio::select! {
        answered = tokio::time::timeout_at(deadline.into(), attempts) => answered.ok(),
        () = context.closing.notified() => {
            facts.outcome = "closing";
            return own_answer(StatusCode::BAD_GATEWAY, "the node ends", None);
        }
    };
    if let Some(response) = answered {
        return response;
    }
    facts.outcome = "late";
    own_answer(StatusCode::GATEWAY_TIMEOUT, "no answer in time", None)
}

/// What the log line of a request tells.
#[derive(Debug, Default)]
struct EntryFacts {
    id: Box<str>,
    route: Box<str>,
    service: Box<str>,
    host: Box<str>,
    sends: u32,
    version: u64,
    outcome: &'static str,
}

fn note_answer(
    context: &TrafficContext,
    facts: &EntryFacts,
    response: &AnswerResponse,
    arrived: Instant,
) {
    let metrics = &context.shared.metrics;
    let status = response.status();
    metrics.answers.with_label_values(&[&facts.route, facts.outcome, status.as_str()]).inc();
    metrics.latency.with_label_values(&[&facts.route]).observe(arrived.elapsed().as_secs_f64());
    context.log_decision(|left_out| {
        log::info!(
            request = &*facts.id, route = &*facts.route, service = &*facts.service,
            manifest = facts.version, host = &*facts.host, sends = facts.sends,
            outcome = facts.outcome, status = status.as_u16(),
            took_ms = elapsed_ms(arrived), left_out;
            "answer"
        );
    });
}

/// A placed request with what its route allows.
struct PlacedCall {
    request: PlacedRequest,
    attempts: u32,
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Host of a request, in lower case and without a port.
fn host_of(request: &Request<Incoming>) -> String {
    let host = request.uri().host().or_else(|| header_text(request.headers(), &HOST));
    let host = host.unwrap_or_default();
    host.split(':').next().unwrap_or_default().to_ascii_lowercase()
}

async fn place(
    context: &TrafficContext,
    request: Request<Incoming>,
    arrived: Instant,
    facts: &mut EntryFacts,
) -> Result<PlacedCall, AnswerResponse> {
    if context.is_leaving() {
        facts.outcome = "leaving";
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return Err(own_answer(status, "the node is about to end", Some(START_RETRY)));
    }
    let manifest = context.shared.view.load().manifest.clone();
    let Some(manifest) = manifest else {
        facts.outcome = "no-manifest";
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return Err(own_answer(status, "no manifest is known yet", Some(START_RETRY)));
    };
    facts.version = manifest.version;
    let names = &context.headers;
    facts.id = header_text(request.headers(), &names.request_id).unwrap_or_default().into();
    let host = host_of(&request);
    let Some(route) = manifest.find(&host, request.uri().path()) else {
        facts.outcome = "no-route";
        return Err(own_answer(StatusCode::NOT_FOUND, "no route", None));
    };
    facts.route = route.name.clone();
    let service = route.service_at(rand::random::<f64>());
    facts.service = service.into();
    facts.outcome = "bad-request";
    if facts.id.is_empty() {
        return Err(own_answer(StatusCode::BAD_REQUEST, "no request id", None));
    }
    let divided = manifest.service(service).is_some_and(|row| row.divided);
    let key = header_text(request.headers(), &names.key).and_then(|text| text.parse().ok());
    let cell = match (divided, key) {
        (false, _) => None,
        (true, Some(key)) => Some(cell_of_key(key)),
        (true, None) => return Err(own_answer(StatusCode::BAD_REQUEST, "no key", None)),
    };
    let left = header_text(request.headers(), &names.time_left_ms)
        .and_then(|text| text.parse::<u32>().ok())
        .map_or(route.timeout, |left| Duration::from_millis(u64::from(left)));
    let deadline = arrived + left.min(route.timeout);
    if context.ends_before(route.kind, deadline) {
        facts.outcome = "leaving";
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return Err(own_answer(status, "the node is about to end", Some(START_RETRY)));
    }
    let placed = PlacedCall {
        request: read_request(context, request, &manifest, route, service, cell, deadline, arrived)
            .await?,
        attempts: route.attempts,
    };
    facts.outcome = "";
    Ok(placed)
}

#[allow(clippy::too_many_arguments)]
async fn read_request(
    context: &TrafficContext,
    request: Request<Incoming>,
    manifest: &RouteManifest,
    route: &RouteRow,
    service: &str,
    cell: Option<usize>,
    deadline: Instant,
    arrived: Instant,
) -> Result<PlacedRequest, AnswerResponse> {
    let (head, body) = request.into_parts();
    let mut headers = head.headers;
    strip_link_headers(&mut headers);
    for name in [&FACTS_HEADER, &VERDICT_HEADER, &REASON_HEADER, &CONTENT_LENGTH] {
        headers.remove(name);
    }
    let body = match Limited::new(body, manifest.limits.body_bytes).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) if error.is::<LengthLimitError>() => {
            return Err(own_answer(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large", None));
        }
        Err(_) => return Err(own_answer(StatusCode::BAD_REQUEST, "the body is cut short", None)),
    };
    let id = header_text(&headers, &context.headers.request_id).unwrap_or_default().into();
    let class = match route.priority {
        0 | 1 => PriorityClass::High,
        2 => PriorityClass::Normal,
        _ => PriorityClass::Background,
    };
    Ok(PlacedRequest {
        method: head.method,
        uri: head.uri,
        headers,
        body,
        id,
        service: service.into(),
        cell,
        kind: route.kind,
        class,
        caller_service: context.settings.service.clone(),
        deadline,
        aim_at: arrived + route.objective,
        hold_until: arrived + (route.objective / HOLD_DIVISOR).min((deadline - arrived) / 4),
    })
}

async fn run_attempts(
    context: &TrafficContext,
    placed: &PlacedCall,
    facts: &mut EntryFacts,
) -> AnswerResponse {
    let request = &placed.request;
    let mut tried: Vec<Box<str>> = Vec::new();
    loop {
        let view = context.shared.view.load_full();
        let Some(peer) = choose(context, &view, request, &tried) else {
            if let Some(response) = wait_for_owner(request, facts, AWAY_RETRY).await {
                return response;
            }
            tried.clear();
            continue;
        };
        facts.host = peer.host.clone();
        let outcome = match refuse_suspect(context, request) {
            Some(refusal) => refusal,
            None => attempt(context, peer, request, facts).await,
        };
        match outcome {
            StepOutcome::Answered(response) => {
                let failed = response.status().is_server_error();
                if failed && may_repeat(context, placed, facts) {
                    tried.push(peer.host.clone());
                    continue;
                }
                facts.outcome = if failed { "upstream-failed" } else { "served" };
                return *response;
            }
            StepOutcome::NotRun { reason, retry_after } => {
                let again = match reason {
                    NotRunReason::Full => request.cell.is_none() && tried.is_empty(),
                    NotRunReason::Refused => may_repeat(context, placed, facts),
                    NotRunReason::Crashes => false,
                    _ => true,
                };
                if !again {
                    facts.outcome = reason.as_str();
                    return refuse(reason, retry_after);
                }
                if request.cell.is_none() {
                    tried.push(peer.host.clone());
                }
                let late = Instant::now() >= request.hold_until;
                if late && reason != NotRunReason::Full {
                    facts.outcome = reason.as_str();
                    return refuse(reason, retry_after.or(Some(AWAY_RETRY)));
                }
                if request.cell.is_some() {
                    tokio::time::sleep(PLACE_GAP).await;
                }
            }
            StepOutcome::MayHaveRun { reason } => {
                if request.kind.repeatable() && may_repeat(context, placed, facts) {
                    tried.push(peer.host.clone());
                    continue;
                }
                facts.outcome = "may-have-run";
                return own_answer(StatusCode::BAD_GATEWAY, reason, None);
            }
        }
    }
}

fn refuse(reason: NotRunReason, retry_after: Option<Duration>) -> AnswerResponse {
    own_answer(StatusCode::SERVICE_UNAVAILABLE, reason.as_str(), retry_after.or(Some(AWAY_RETRY)))
}

/// Waits a moment for an owner; gives the refusal once the wait has been long enough.
async fn wait_for_owner(
    request: &PlacedRequest,
    facts: &mut EntryFacts,
    retry_after: Duration,
) -> Option<AnswerResponse> {
    if Instant::now() >= request.hold_until {
        facts.outcome = "no-owner";
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return Some(own_answer(status, "no owner", Some(retry_after)));
    }
    tokio::time::sleep(PLACE_GAP).await;
    None
}

/// Whether the request may be sent once more: the route, the time and the budget allow it.
fn may_repeat(context: &TrafficContext, placed: &PlacedCall, facts: &EntryFacts) -> bool {
    let request = &placed.request;
    let left = request.deadline.saturating_duration_since(Instant::now());
    let allowed = facts.sends < placed.attempts && left > RETRY_FLOOR;
    allowed && request.kind != RequestKind::NonIdempotent && context.take_retry(&request.service)
}

async fn attempt(
    context: &TrafficContext,
    peer: &PeerView,
    request: &PlacedRequest,
    facts: &mut EntryFacts,
) -> StepOutcome {
    if facts.sends == 0 {
        context.count_first(&request.service);
    }
    let guard = OutstandingGuard::new(context, &peer.host);
    let outcome = if peer.host == context.settings.host {
        run_here(context, request).await
    } else {
        forward(context, peer.forward, request).await
    };
    drop(guard);
    let sent = match &outcome {
        StepOutcome::NotRun { reason, .. } => *reason == NotRunReason::Refused,
        _ => true,
    };
    facts.sends += u32::from(sent);
    outcome
}

/// Counts a request as under way to a host until it is dropped.
struct OutstandingGuard<'a> {
    context: &'a TrafficContext,
    host: &'a str,
}

impl<'a> OutstandingGuard<'a> {
    fn new(context: &'a TrafficContext, host: &'a str) -> Self {
        context.add_outstanding(host, true);
        Self { context, host }
    }
}

impl Drop for OutstandingGuard<'_> {
    fn drop(&mut self) {
        self.context.add_outstanding(self.host, false);
    }
}

/// Node for the next send.
fn choose<'a>(
    context: &TrafficContext,
    view: &'a MeshView,
    request: &PlacedRequest,
    tried: &[Box<str>],
) -> Option<&'a PeerView> {
    if let Some(cell) = request.cell {
        let ranges = view.ranges_of(&request.service)?;
        return view.peer(ranges.host_of(cell));
    }
    let own_centre = &context.settings.data_centre;
    let open = |peer: &&PeerView| {
        peer.open && peer.service == request.service && !tried.contains(&peer.host)
    };
    let cost = |peer: &&PeerView| {
        let known = peer.load.running + peer.load.waiting;
        let busy = known.max(context.outstanding(&peer.host)) + 1;
        let part = f64::from(busy) / f64::from(peer.load.slots.max(1));
        let distance = if peer.data_centre == *own_centre { 0.0 } else { DISTANCE_COST };
        part + distance + rand::random::<f64>() / 20.0
    };
    let peers = view.peers.iter().filter(open);
    peers.min_by(|a, b| cost(a).total_cmp(&cost(b)))
}
