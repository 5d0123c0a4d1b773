//! Finds where a request goes: route, service, key, times.

use std::time::{Duration, Instant};

use firspindle_core::version::{CellIndex, PriorityClass, RouteRow, cell_of_key};
use http::header::{CONTENT_LENGTH, HOST};
use http::{HeaderMap, HeaderName, Request, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;

use super::answer_step::{own_answer, strip_link_headers};
use super::caller_entry::EntryFacts;
use super::placed_request::{FACTS_HEADER, REASON_HEADER, VERDICT_HEADER};
use super::{PlacedRequest, TrafficContext};
use crate::connection::AnswerResponse;

/// Time to come back after, before any manifest is known or while the node restarts.
const START_RETRY: Duration = Duration::from_secs(1);

/// Part of the objective for which a request may wait for an owner.
const HOLD_DIVISOR: u32 = 2;

/// A placed request with what its route allows.
pub(super) struct PlacedCall {
    pub(super) request: PlacedRequest,
    pub(super) attempts: u32,
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

/// Finds a request's route, service and key, and reads it whole.
pub(super) async fn place_request(
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
    let place = RequestPlace { route, service, cell, deadline, arrived };
    let request = read_request(context, request, manifest.limits.body_bytes, &place).await?;
    facts.outcome = "";
    Ok(PlacedCall { request, attempts: route.attempts })
}

/// Where a request goes and until when.
struct RequestPlace<'a> {
    route: &'a RouteRow,
    service: &'a str,
    cell: Option<CellIndex>,
    deadline: Instant,
    arrived: Instant,
}

async fn read_request(
    context: &TrafficContext,
    request: Request<Incoming>,
    body_bytes: usize,
    place: &RequestPlace<'_>,
) -> Result<PlacedRequest, AnswerResponse> {
    let &RequestPlace { route, service, cell, deadline, arrived } = place;
    let (head, body) = request.into_parts();
    let mut headers = head.headers;
    strip_link_headers(&mut headers);
    for name in [&FACTS_HEADER, &VERDICT_HEADER, &REASON_HEADER, &CONTENT_LENGTH] {
        headers.remove(name);
    }
    let body = match Limited::new(body, body_bytes).collect().await {
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
