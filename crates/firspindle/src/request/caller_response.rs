//! Responses to callers and to nodes that forward requests.

use bytes::Bytes;
use firspindle_core::connection::RunState;
use firspindle_core::process::FenceToken;
use firspindle_core::request::{RequestFailure, RequestVerdict};
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

use crate::connection::{OutboundResponse, header_value, is_hop_by_hop_header};
use crate::version::TrafficView;

/// Header that says whether the request ran, as a [`RequestVerdict`].
pub const VERDICT: HeaderName = HeaderName::from_static("firspindle-verdict");

/// Header with the fencing token under which the request ran.
pub const FENCE: HeaderName = HeaderName::from_static("firspindle-fence");

/// Largest response body that is kept for repeated requests, in bytes.
const MAX_KEPT_BODY_BYTES: usize = 16 * 1024;

/// A complete response with its verdict.
#[derive(Debug, Clone)]
pub struct CallerResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers, including the verdict.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Whether the request ran.
    pub verdict: RequestVerdict,
}

impl CallerResponse {
    /// Response of the upstream that ran the request.
    pub fn ran(response: OutboundResponse, fence: FenceToken) -> Self {
        let mut caller_response = Self::proxied(response, RequestVerdict::Ran);
        caller_response.headers.insert(FENCE, header_value(fence));
        caller_response
    }

    /// Response of another node, with that node's verdict. Without a verdict header the request
    /// may have run.
    pub fn forwarded(response: OutboundResponse) -> Self {
        let verdict = response.headers.get(VERDICT).and_then(|value| value.to_str().ok());
        let verdict = verdict.map_or(RequestVerdict::MayHaveRun, RequestVerdict::parse);
        Self::proxied(response, verdict)
    }

    fn proxied(response: OutboundResponse, verdict: RequestVerdict) -> Self {
        let mut headers = response.headers;
        let names: Vec<_> =
            headers.keys().filter(|name| is_hop_by_hop_header(name)).cloned().collect();
        for name in names {
            headers.remove(name);
        }
        headers.insert(VERDICT, HeaderValue::from_static(verdict.as_str()));
        Self { status: response.status, headers, body: response.body, verdict }
    }

    /// Final response to a request that got none from an upstream.
    ///
    /// # Panics
    ///
    /// Never: all failures have valid statuses.
    pub fn failed(failure: &RequestFailure) -> Self {
        let verdict = failure.verdict();
        let mut headers = HeaderMap::new();
        headers.insert(VERDICT, HeaderValue::from_static(verdict.as_str()));
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
        if let Some(after) = failure.retry_after() {
            // Rounded up to whole seconds, because an earlier retry would be refused again.
            let seconds = after.as_millis().div_ceil(1000).max(1);
            headers.insert(RETRY_AFTER, header_value(seconds));
        }
        if failure.is_misplaced() {
            headers.insert(NOT_OWNER, HeaderValue::from_static("serving"));
        }
        if failure.is_upstream_refusal() {
            headers.insert(REFUSED_BY_UPSTREAM, HeaderValue::from_static("1"));
        }
        let status = StatusCode::from_u16(failure.status()).expect("statuses are valid");
        Self { status, headers, body: Bytes::from(format!("{failure}\n")), verdict }
    }

    /// Response to a repeated request that ran before, or a failure if its response was not kept.
    pub fn replayed(state: RunState) -> Self {
        let RunState::Ran { status, content_type, body: Some(body) } = state else {
            return Self::failed(&RequestFailure::RanBefore);
        };
        let mut headers = HeaderMap::new();
        headers.insert(VERDICT, HeaderValue::from_static(RequestVerdict::Ran.as_str()));
        if let Ok(value) = HeaderValue::from_str(&content_type) {
            headers.insert(CONTENT_TYPE, value);
        }
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
        Self { status, headers, body: body.into(), verdict: RequestVerdict::Ran }
    }

    /// Returns what the owner keeps of this response for repeated requests.
    pub fn to_run_state(&self) -> RunState {
        let content_type = self.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
        let is_small = self.body.len() <= MAX_KEPT_BODY_BYTES;
        RunState::Ran {
            status: self.status.as_u16(),
            content_type: content_type.unwrap_or_default().into(),
            body: is_small.then(|| self.body.to_vec()),
        }
    }

    /// Whether the request did not run because the node does not serve its partition, so that
    /// another node may serve it.
    pub fn is_not_owner(&self) -> bool {
        self.verdict == RequestVerdict::NotRun && self.headers.contains_key(NOT_OWNER)
    }

    /// Whether an upstream refused the request.
    pub fn is_upstream_refusal(&self) -> bool {
        self.headers.contains_key(REFUSED_BY_UPSTREAM)
    }

    /// Removes what only nodes tell one another.
    #[must_use]
    pub fn for_caller(mut self) -> Self {
        self.headers.remove(NOT_OWNER);
        self.headers.remove(REFUSED_BY_UPSTREAM);
        self
    }

    /// Whether the node that responded is shutting down.
    pub fn is_stopping(&self) -> bool {
        self.headers.get(NOT_OWNER).is_some_and(|value| value == STOPPING)
    }

    /// Refusal of a node that does not serve the partition.
    #[must_use]
    pub fn not_owner(view: &TrafficView) -> Self {
        let mut caller_response = Self::failed(&RequestFailure::NotOwner);
        if view.stopping {
            caller_response.headers.insert(NOT_OWNER, HeaderValue::from_static(STOPPING));
        }
        caller_response
    }
}

/// Header on a refusal of a node that does not serve the partition. Another node may accept the
/// request. Sent only between nodes.
const NOT_OWNER: HeaderName = HeaderName::from_static("firspindle-not-owner");

/// Value of [`NOT_OWNER`] from a node that is shutting down.
const STOPPING: &str = "stopping";

/// Header on a refusal by an upstream. Sent only between nodes.
const REFUSED_BY_UPSTREAM: HeaderName = HeaderName::from_static("firspindle-refused-by-upstream");
