//! Responses that a node generates itself, and their form between nodes.

use std::time::Duration;

use bytes::Bytes;
use firspindle_core::request::RequestVerdict;
use firspindle_edge::parse_retry_after;
use http::header::RETRY_AFTER;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};

use super::routed_request::{REASON_HEADER, VERDICT_HEADER};
use super::{AttemptOutcome, NotRunReason, RequestBody};
use crate::connection::{ProxyBody, ProxyResponse};

/// Least value of a `Retry-After` header.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Hop-by-hop headers, which apply to a single connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    http::header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    http::header::PROXY_AUTHENTICATE,
    http::header::TE,
    http::header::TRAILER,
    http::header::TRANSFER_ENCODING,
    http::header::UPGRADE,
];

/// Builds a response of the node itself, with the reason as its body.
pub(super) fn local_response(
    status: StatusCode,
    reason: &str,
    retry_after: Option<Duration>,
) -> ProxyResponse {
    let mut response =
        Response::new(ProxyBody::buffered(Bytes::copy_from_slice(reason.as_bytes())));
    *response.status_mut() = status;
    if let Some(time) = retry_after {
        let seconds = format!("{:.2}", time.max(MIN_RETRY_AFTER).as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

/// Returns a response to a request whose body may not have been read to its end; the connection is then
/// closed once a little more of it was read.
pub(super) fn drained_response(mut response: ProxyResponse, body: &RequestBody) -> ProxyResponse {
    if body.drain() {
        response.headers_mut().insert(http::header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Removes hop-by-hop headers and the headers that `Connection` names.
pub(super) fn strip_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP_HEADERS.iter().chain(&named) {
        headers.remove(name);
    }
}

/// Encodes an outcome as a response to another node.
pub(super) fn peer_response(outcome: AttemptOutcome) -> ProxyResponse {
    let (mut response, verdict) = match outcome {
        AttemptOutcome::Answered(response) => (*response, RequestVerdict::Ran),
        AttemptOutcome::NotRun { reason, retry_after } => {
            let mut response =
                local_response(StatusCode::SERVICE_UNAVAILABLE, reason.as_str(), retry_after);
            let value = HeaderValue::from_static(reason.as_str());
            response.headers_mut().insert(REASON_HEADER, value);
            (response, RequestVerdict::NotRun)
        }
        AttemptOutcome::MayHaveRun { reason } => {
            (local_response(StatusCode::BAD_GATEWAY, reason, None), RequestVerdict::MayHaveRun)
        }
    };
    let value = HeaderValue::from_static(verdict.as_str());
    response.headers_mut().insert(VERDICT_HEADER, value);
    response
}

/// Decodes another node's response that says that the request did not run.
pub(super) fn parse_refusal(headers: &HeaderMap) -> AttemptOutcome {
    let text = |name: &HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
    let reason = text(&REASON_HEADER).map_or(NotRunReason::Unreachable, NotRunReason::parse);
    AttemptOutcome::NotRun { reason, retry_after: parse_retry_after(headers) }
}
