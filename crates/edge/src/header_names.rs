//! Names of the headers of requests and answers on a platform.

use http::HeaderName;

/// Names of the headers that carry a request's facts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeaderNames {
    /// Id of one attempt of a caller.
    pub request_id: HeaderName,
    /// Milliseconds that the caller still waits.
    pub time_left_ms: HeaderName,
    /// Signature of the upstream on its answer.
    pub signature: HeaderName,
    /// Id of the upstream that is to run the request.
    pub expected_upstream: HeaderName,
    /// Id of the upstream that answers a health check.
    pub upstream_id: HeaderName,
    /// Load of the upstream: running, waiting, slots.
    pub load: HeaderName,
    /// Says that the upstream did not run the request.
    pub not_run: HeaderName,
    /// Service of the host where the request began.
    pub caller_service: HeaderName,
    /// Key, for services that are divided by key.
    pub key: HeaderName,
}
