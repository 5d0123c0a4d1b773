//! The header that tells callers when to return.

use std::time::Duration;

use http::HeaderMap;
use http::header::RETRY_AFTER;

/// Returns the time that a `Retry-After` header gives in seconds; `None` without a valid one.
pub fn parse_retry_after(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(RETRY_AFTER).and_then(|value| value.to_str().ok())?;
    text.parse().ok().and_then(|seconds| Duration::try_from_secs_f64(seconds).ok())
}
