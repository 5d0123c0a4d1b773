//! Sends a request to another node.

use std::time::Instant;

use firspindle_core::request::{RequestFailure, TargetRow};
use http::{HeaderName, HeaderValue, Uri};

use super::{CallerAnswer, CallerRequest};
use crate::connection::{HttpPool, PoolFailure, PoolRequest, passed_headers, plain_value};

/// Result of one try at another node.
#[derive(Debug)]
pub enum ForwardResult {
    /// The node answered.
    Answer(CallerAnswer),
    /// No connection, so nothing ran.
    Unreachable,
    /// Something may have run.
    Failed(RequestFailure),
}

/// Forwards a request and waits for the whole answer.
pub async fn forward(target: &TargetRow, request: &CallerRequest, first: bool) -> ForwardResult {
    let now = Instant::now();
    if now >= request.deadline {
        return ForwardResult::Failed(RequestFailure::Expired);
    }
    let pool = HttpPool::of_thread();
    let sent = pool.send(forward_message(target, request, first));
    match tokio::time::timeout(request.deadline - now, sent).await {
        Ok(Ok(response)) => ForwardResult::Answer(CallerAnswer::forwarded(response)),
        Ok(Err(PoolFailure::NotSent)) => ForwardResult::Unreachable,
        Ok(Err(PoolFailure::Broken)) => ForwardResult::Failed(RequestFailure::ConnectionLost),
        Ok(Err(PoolFailure::CutShort)) => ForwardResult::Failed(RequestFailure::ResponseTruncated),
        Err(_) => ForwardResult::Failed(RequestFailure::DeadlinePassed),
    }
}

fn forward_message(target: &TargetRow, request: &CallerRequest, first: bool) -> PoolRequest {
    const ID: HeaderName = HeaderName::from_static("idempotency-key");
    const FRESH: HeaderName = HeaderName::from_static("firspindle-fresh");
    const DEADLINE: HeaderName = HeaderName::from_static("firspindle-deadline");
    let mut headers = passed_headers(&request.headers, 3);
    headers.insert(ID, plain_value(request.id_text()));
    headers.insert(DEADLINE, plain_value(request.deadline_ms));
    headers.remove(FRESH);
    if first {
        headers.insert(FRESH, HeaderValue::from_static("1"));
    }
    let uri = Uri::builder()
        .scheme("http")
        .authority(&*target.forward_address)
        .path_and_query(format!("/{}{}", request.service.name, request.path))
        .build();
    PoolRequest {
        method: request.method.clone(),
        uri: uri.unwrap_or_default(),
        headers,
        body: request.body.clone(),
    }
}
