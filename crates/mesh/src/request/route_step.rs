//! Routes a caller's request: finds its route, service and key, and sets its deadlines.

use std::rc::Rc;
use std::time::{Duration, Instant};

use firspindle_core::request::RequestRank;
use firspindle_core::version::{CellIndex, PriorityClass, RouteRow, cell_of_key, route_id};
use http::header::{CONTENT_LENGTH, HOST};
use http::{HeaderMap, HeaderName, Request, StatusCode};
use hyper::body::Incoming;

use super::body_step::take_body;
use super::caller_entry::AccessRecord;
use super::notice_header::NOTICE_HEADER;
use super::reserve_step::TICKET_HEADER;
use super::response_step::{drained_response, local_response, strip_hop_by_hop_headers};
use super::routed_request::{METADATA_HEADER, REASON_HEADER, VERDICT_HEADER};
use super::{RequestProgress, RoutedRequest, TrafficContext};
use crate::connection::{BodyFault, ProxyResponse};

/// `Retry-After` before a manifest is known and while the node restarts.
pub(super) const STARTUP_RETRY_AFTER: Duration = Duration::from_secs(1);

/// `Retry-After` while there may be a manifest that this node should have: the time in which it reads one.
const MANIFEST_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A request may wait for an owner for the route's latency objective divided by this.
const OWNER_WAIT_DIVISOR: u32 = 2;

/// A routed request and the number of sends that its route allows.
pub(super) struct RoutedCall {
    pub(super) request: RoutedRequest,
    pub(super) max_attempts: u32,
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Returns the host that a request names, in lower case and without a port.
fn requested_host(request: &Request<Incoming>) -> String {
    let host = request.uri().host().or_else(|| header_text(request.headers(), &HOST));
    let host = host.unwrap_or_default();
    host.split(':').next().unwrap_or_default().to_ascii_lowercase()
}

/// Finds a request's route, service and key, and reads its body; gives a response if the request
/// is refused.
pub(super) async fn route_request(
    context: &TrafficContext,
    request: Request<Incoming>,
    arrived: Instant,
    record: &mut AccessRecord,
) -> Result<RoutedCall, ProxyResponse> {
    if context.is_rejecting_requests() {
        record.outcome = "leaving";
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return Err(local_response(status, "the node is about to end", Some(STARTUP_RETRY_AFTER)));
    }
    let view = context.shared.view.load_full();
    let manifest = view.manifest.clone();
    let Some(manifest) = manifest else {
        record.outcome = "no-manifest";
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return Err(local_response(status, "no manifest is known yet", Some(STARTUP_RETRY_AFTER)));
    };
    record.manifest_version = manifest.version;
    let names = &context.headers;
    record.id = header_text(request.headers(), &names.request_id).unwrap_or_default().into();
    record.progress.identify(&record.id);
    let host = requested_host(&request);
    let Some(route) = manifest.find(&host, request.uri().path()) else {
        if view.may_lack_routes(context.clock.now()) {
            record.outcome = "old-manifest";
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let response = local_response(status, "no route yet", Some(MANIFEST_RETRY_AFTER));
            return Err(response);
        }
        record.outcome = "no-route";
        return Err(local_response(StatusCode::NOT_FOUND, "no route", None));
    };
    record.route = route.name.clone();
    let service = route.service_at(rand::random::<f64>());
    record.service = service.into();
    record.outcome = "bad-request";
    if record.id.is_empty() {
        return Err(local_response(StatusCode::BAD_REQUEST, "no request id", None));
    }
    let is_sharded = manifest.service(service).is_some_and(|row| row.sharded);
    let key = header_text(request.headers(), &names.key).and_then(|text| text.parse().ok());
    let cell = match (is_sharded, key) {
        (false, _) => None,
        (true, Some(key)) => Some(cell_of_key(key)),
        (true, None) => return Err(local_response(StatusCode::BAD_REQUEST, "no key", None)),
    };
    let stated = header_text(request.headers(), &names.time_left_ms)
        .and_then(|text| text.parse::<u32>().ok())
        .map(|left| Duration::from_millis(u64::from(left)));
    let deadline = arrived + stated.unwrap_or(route.timeout).min(route.timeout);
    let rank = context.rank_arrival(route, arrived);
    let returned_from = stated.and_then(|left| context.note_patience(rank, route, left, arrived));
    if context.shutdown_interrupts(route.kind, route_id(&route.name), deadline) {
        record.outcome = "leaving";
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return Err(local_response(status, "the node is about to end", Some(STARTUP_RETRY_AFTER)));
    }
    let progress = record.progress.clone();
    let decision =
        RouteDecision { route, service, cell, rank, returned_from, deadline, arrived, progress };
    let request = read_request(context, request, manifest.limits.body_bytes, &decision).await?;
    record.outcome = "";
    Ok(RoutedCall { request, max_attempts: route.attempts })
}

/// Where a request is sent, and its deadline.
struct RouteDecision<'a> {
    route: &'a RouteRow,
    service: &'a str,
    cell: Option<CellIndex>,
    rank: RequestRank,
    /// First try of the caller if this is a later one.
    returned_from: Option<Instant>,
    deadline: Instant,
    arrived: Instant,
    progress: Rc<RequestProgress>,
}

async fn read_request(
    context: &TrafficContext,
    request: Request<Incoming>,
    body_bytes: usize,
    decision: &RouteDecision<'_>,
) -> Result<RoutedRequest, ProxyResponse> {
    let &RouteDecision {
        route,
        service,
        cell,
        rank,
        returned_from,
        deadline,
        arrived,
        ref progress,
    } = decision;
    let first_try_at = returned_from.unwrap_or(arrived);
    let (head, body) = request.into_parts();
    let mut headers = head.headers;
    strip_hop_by_hop_headers(&mut headers);
    let internal = [METADATA_HEADER, VERDICT_HEADER, REASON_HEADER, NOTICE_HEADER, TICKET_HEADER];
    for name in internal.iter().chain([&CONTENT_LENGTH]) {
        headers.remove(name);
    }
    let body = match take_body(body, body_bytes).await {
        Ok(body) => body,
        Err((fault, body)) => {
            let status = match fault {
                BodyFault::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
                _ => StatusCode::BAD_REQUEST,
            };
            return Err(drained_response(local_response(status, &fault.to_string(), None), &body));
        }
    };
    let id = header_text(&headers, &context.headers.request_id).unwrap_or_default().into();
    let class = match route.priority {
        0 | 1 => PriorityClass::High,
        2 => PriorityClass::Normal,
        _ => PriorityClass::Background,
    };
    Ok(RoutedRequest {
        method: head.method,
        uri: head.uri,
        headers,
        body,
        id,
        service: service.into(),
        cell,
        kind: route.kind,
        class,
        rank,
        route_id: route_id(&route.name),
        homes: route.homes.clone(),
        first_try_at,
        returned: returned_from.is_some(),
        caller_service: context.settings.service.clone(),
        deadline,
        objective_at: first_try_at + route.objective,
        owner_wait_until: arrived
            + (route.objective / OWNER_WAIT_DIVISOR).min((deadline - arrived) / 4),
        over_link: false,
        told: None,
        progress: progress.clone(),
    })
}
