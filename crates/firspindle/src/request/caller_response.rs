//! An answer on its way to the caller.

use bytes::Bytes;
use firspindle_core::connection::RunState;
use firspindle_core::process::FenceToken;
use firspindle_core::request::{RequestFailure, RequestVerdict};
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

use crate::connection::{PoolResponse, header_value, is_hop_by_hop_header};
use crate::version::TrafficView;

/// Verdict header.
pub const VERDICT: HeaderName = HeaderName::from_static("firspindle-verdict");

/// Fence header.
pub const FENCE: HeaderName = HeaderName::from_static("firspindle-fence");

/// Largest body kept for a repeated request, in bytes.
const MAX_KEPT_BODY_BYTES: usize = 16 * 1024;

/// A whole answer with its verdict.
#[derive(Debug, Clone)]
pub struct CallerResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers, verdict included.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Verdict.
    pub verdict: RequestVerdict,
}

impl CallerResponse {
    /// Answer of an upstream that ran the request.
    pub fn ran(response: PoolResponse, fence: FenceToken) -> Self {
        let mut caller_response = Self::proxied(response, RequestVerdict::Ran);
        caller_response.headers.insert(FENCE, header_value(fence));
        caller_response
    }

    /// Answer of another node, with the verdict that it gave.
    pub fn forwarded(response: PoolResponse) -> Self {
        let verdict = response.headers.get(VERDICT).and_then(|value| value.to_str().ok());
        let verdict = verdict.map_or(RequestVerdict::MayHaveRun, RequestVerdict::parse);
        Self::proxied(response, verdict)
    }

    fn proxied(response: PoolResponse, verdict: RequestVerdict) -> Self {
        let mut headers = response.headers;
        let names: Vec<_> =
            headers.keys().filter(|name| is_hop_by_hop_header(name)).cloned().collect();
        for name in names {
            headers.remove(name);
        }
        headers.insert(VERDICT, HeaderValue::from_static(verdict.as_str()));
        Self { status: response.status, headers, body: response.body, verdict }
    }

    /// Final answer to a request without an upstream's answer.
    ///
    /// # Panics
    ///
    /// Never: failures have valid statuses.
    pub fn failed(failure: &RequestFailure) -> Self {
        let verdict = failure.verdict();
        let mut headers = HeaderMap::new();
        headers.insert(VERDICT, HeaderValue::from_static(verdict.as_str()));
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
        if let Some(after) = failure.retry_after() {
            // Whole seconds, rounded up: an earlier return would be refused again.
            let seconds = after.as_millis().div_ceil(1000).max(1);
            headers.insert(RETRY_AFTER, header_value(seconds));
        }
        let status = StatusCode::from_u16(failure.status()).expect("statuses are valid");
        Self { status, headers, body: Bytes::from(format!("{failure}\n")), verdict }
    }

    /// Answer kept for a repeated request.
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

    /// What the owner remembers of this answer.
    pub fn to_run_state(&self) -> RunState {
        let content_type = self.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
        let is_small = self.body.len() <= MAX_KEPT_BODY_BYTES;
        RunState::Ran {
            status: self.status.as_u16(),
            content_type: content_type.unwrap_or_default().into(),
            body: is_small.then(|| self.body.to_vec()),
        }
    }

    /// Whether another node may serve the request.
    pub fn is_not_owner(&self) -> bool {
        self.verdict == RequestVerdict::NotRun && self.headers.contains_key(NOT_OWNER)
    }

    /// Whether the node that answered is about to end.
    pub fn is_stopping(&self) -> bool {
        self.headers.get(NOT_OWNER).is_some_and(|value| value == STOPPING)
    }

    /// Refusal of a node that does not serve the partition.
    #[must_use]
    pub fn not_owner(view: &TrafficView) -> Self {
        let mut caller_response = Self::failed(&RequestFailure::NotOwner);
        let state = if view.stopping { STOPPING } else { "serving" };
        caller_response.headers.insert(NOT_OWNER, HeaderValue::from_static(state));
        caller_response
    }
}

/// Header, between nodes only, of a refusal that another node may not repeat.
const NOT_OWNER: HeaderName = HeaderName::from_static("firspindle-not-owner");

/// Value of that header from a node that is about to end.
const STOPPING: &str = "stopping";
