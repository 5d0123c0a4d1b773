//! Answers that a node gives itself.

use std::time::Duration;

use bytes::Bytes;
use firspindle_core::request::RequestVerdict;
use http::header::RETRY_AFTER;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};

use super::placed_request::{REASON_HEADER, VERDICT_HEADER};
use super::{NotRunReason, StepOutcome};
use crate::connection::{AnswerBody, AnswerResponse};

/// Shortest time to come back after.
const SHORTEST_RETRY: Duration = Duration::from_millis(100);

/// Headers that concern one connection only.
const LINK_HEADERS: [HeaderName; 8] = [
    http::header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    http::header::PROXY_AUTHENTICATE,
    http::header::TE,
    http::header::TRAILER,
    http::header::TRANSFER_ENCODING,
    http::header::UPGRADE,
];

/// An answer of the node itself.
pub(super) fn own_answer(
    status: StatusCode,
    reason: &str,
    retry_after: Option<Duration>,
) -> AnswerResponse {
    let mut response = Response::new(AnswerBody::whole(Bytes::copy_from_slice(reason.as_bytes())));
    *response.status_mut() = status;
    if let Some(time) = retry_after {
        let seconds = format!("{:.2}", time.max(SHORTEST_RETRY).as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

/// Removes headers that concern one connection only, and those that `Connection` names.
pub(super) fn strip_link_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in LINK_HEADERS.iter().chain(&named) {
        headers.remove(name);
    }
}

/// The outcome as an answer between nodes.
pub(super) fn peer_answer(outcome: StepOutcome) -> AnswerResponse {
    let (mut response, verdict) = match outcome {
        StepOutcome::Answered(response) => (*response, RequestVerdict::Ran),
        StepOutcome::NotRun { reason, retry_after } => {
            let mut response =
                own_answer(StatusCode::SERVICE_UNAVAILABLE, reason.as_str(), retry_after);
            let value = HeaderValue::from_static(reason.as_str());
            response.headers_mut().insert(REASON_HEADER, value);
            (response, RequestVerdict::NotRun)
        }
        StepOutcome::MayHaveRun { reason } => {
            (own_answer(StatusCode::BAD_GATEWAY, reason, None), RequestVerdict::MayHaveRun)
        }
    };
    let value = HeaderValue::from_static(verdict.as_str());
    response.headers_mut().insert(VERDICT_HEADER, value);
    response
}

/// Reads a refusal of another node.
pub(super) fn refusal_of(headers: &HeaderMap) -> StepOutcome {
    let text = |name: &HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
    let reason = text(&REASON_HEADER).map_or(NotRunReason::Unreachable, NotRunReason::parse);
    let seconds = text(&RETRY_AFTER).and_then(|text| text.parse::<f64>().ok());
    let retry_after = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    StepOutcome::NotRun { reason, retry_after }
}
