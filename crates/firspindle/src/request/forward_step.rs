//! Forwards a request to another node.

use std::time::Instant;

use firspindle_core::request::{RequestFailure, TargetRow};
use http::{HeaderName, HeaderValue, Uri};

use super::{CallerRequest, CallerResponse};
use crate::connection::{
    ConnectionPool, OutboundRequest, SendError, end_to_end_headers, header_value,
};

/// Result of one attempt at another node.
#[derive(Debug)]
pub enum ForwardResult {
    /// The node responded.
    Response(CallerResponse),
    /// No connection could be opened, so the request did not run.
    Unreachable,
    /// There is no complete response; the failure's verdict says whether the request may have run.
    Failed(RequestFailure),
}

/// Forwards a request and waits for the complete response.
pub async fn forward(
    target: &TargetRow,
    request: &CallerRequest,
    first_send: bool,
) -> ForwardResult {
    let now = Instant::now();
    if now >= request.deadline {
        return ForwardResult::Failed(RequestFailure::Expired);
    }
    let pool = ConnectionPool::of_thread();
    let sent = pool.send(forward_request(target, request, first_send));
    match tokio::time::timeout(request.deadline - now, sent).await {
        Ok(Ok(response)) => ForwardResult::Response(CallerResponse::forwarded(response)),
        Ok(Err(SendError::NotSent)) => ForwardResult::Unreachable,
        Ok(Err(SendError::Broken)) => ForwardResult::Failed(RequestFailure::ConnectionLost),
        Ok(Err(SendError::Truncated)) => ForwardResult::Failed(RequestFailure::ResponseTruncated),
        Err(_) => ForwardResult::Failed(RequestFailure::DeadlinePassed),
    }
}

fn forward_request(
    target: &TargetRow,
    request: &CallerRequest,
    first_send: bool,
) -> OutboundRequest {
    const ID: HeaderName = HeaderName::from_static("idempotency-key");
    const FRESH: HeaderName = HeaderName::from_static("firspindle-fresh");
    const DEADLINE: HeaderName = HeaderName::from_static("firspindle-deadline");
    let mut headers = end_to_end_headers(&request.headers, 3);
    headers.insert(ID, header_value(request.id_text()));
    headers.insert(DEADLINE, header_value(request.deadline_ms));
    headers.remove(FRESH);
    if first_send {
        headers.insert(FRESH, HeaderValue::from_static("1"));
    }
    let uri = Uri::builder()
        .scheme("http")
        .authority(&*target.forward_address)
        .path_and_query(format!("/{}{}", request.service.name, request.path))
        .build();
    OutboundRequest {
        method: request.method.clone(),
        uri: uri.unwrap_or_default(),
        headers,
        body: request.body.clone(),
    }
}
