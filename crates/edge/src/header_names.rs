//! Names of a platform's HTTP headers on requests and responses.

use http::HeaderName;

/// Names of the headers that describe a request or its response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeaderNames {
    /// Id of one attempt of a caller to send the request; the upstream repeats it in its response.
    pub request_id: HeaderName,
    /// Time that is left until the caller gives up, in milliseconds.
    pub time_left_ms: HeaderName,
    /// Upstream's signature of its response; only a signed response may be passed on as a success.
    pub signature: HeaderName,
    /// Id of the upstream instance that is to run the request.
    pub expected_upstream: HeaderName,
    /// Id of the upstream instance that answered a health check.
    pub upstream_id: HeaderName,
    /// Load of the upstream: running requests, waiting requests and slots, and
    /// optionally the time that work takes there now in percent of the usual time.
    pub load: HeaderName,
    /// Time for which the upstream stays cold, in milliseconds, on an answer to a health check.
    pub cold_ms: HeaderName,
    /// Requests per second that the upstream takes from all nodes together, while it limits them.
    pub limit: HeaderName,
    /// Present on a response, as `1`, if the upstream leaves.
    pub leaving: HeaderName,
    /// Present on a response if the upstream did not run the request.
    pub not_run: HeaderName,
    /// Service of the host that the request came from.
    pub caller_service: HeaderName,
    /// Key of the request; needed for sharded services, which divide their keys among their
    /// upstreams.
    pub key: HeaderName,
}
