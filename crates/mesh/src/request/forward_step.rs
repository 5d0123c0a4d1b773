//! Forwards a request to the node whose upstream is to run it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use firspindle_core::request::RequestVerdict;
use http::Request;
use http_body_util::Full;

use super::response_step::parse_refusal;
use super::routed_request::{METADATA_HEADER, REASON_HEADER, VERDICT_HEADER};
use super::{AttemptOutcome, NotRunReason, RoutedRequest, TrafficContext};
use crate::connection::{ProxyBody, SendError, StreamedBody};

/// Time after which an idle connection to another node is not reused.
const IDLE_LIMIT: Duration = Duration::from_secs(30);

/// Forwards a request to another node and decodes its response.
pub(super) async fn forward(
    context: &TrafficContext,
    address: SocketAddr,
    request: &RoutedRequest,
) -> AttemptOutcome {
    let Some(metadata) = request.metadata(Instant::now()) else {
        return AttemptOutcome::MayHaveRun { reason: "the service's name is no header value" };
    };
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.uri.clone();
    *outgoing.headers_mut() = request.headers.clone();
    outgoing.headers_mut().insert(METADATA_HEADER, metadata);
    let sent = context.peers.send(address, outgoing, IDLE_LIMIT).await;
    let (response, connection, is_new) = match sent {
        Ok(sent) => sent,
        Err(SendError::Refused | SendError::NotSent) => {
            return AttemptOutcome::NotRun { reason: NotRunReason::Unreachable, retry_after: None };
        }
        Err(SendError::Broken) => {
            return AttemptOutcome::MayHaveRun { reason: "the link to the owner broke" };
        }
    };
    if is_new {
        context.shared.metrics.connects.with_label_values(&["peer"]).inc();
    }
    let verdict = response.headers().get(VERDICT_HEADER).and_then(|value| value.to_str().ok());
    let verdict = verdict.map_or(RequestVerdict::MayHaveRun, RequestVerdict::parse);
    let (mut head, body) = response.into_parts();
    let body = StreamedBody::new(body, connection, request.deadline.into());
    match verdict {
        RequestVerdict::Ran => {
            head.headers.remove(VERDICT_HEADER);
            AttemptOutcome::Answered(Box::new(http::Response::from_parts(
                head,
                ProxyBody::Streamed(body),
            )))
        }
        RequestVerdict::NotRun => {
            drain(body);
            let outcome = parse_refusal(&head.headers);
            head.headers.remove(REASON_HEADER);
            outcome
        }
        RequestVerdict::MayHaveRun => {
            drain(body);
            AttemptOutcome::MayHaveRun { reason: "the owner had no whole answer" }
        }
    }
}

/// Reads the short body of a response that is not passed on, so that its connection can be reused.
fn drain(body: StreamedBody) {
    tokio::task::spawn_local(async move {
        let _ = http_body_util::BodyExt::collect(ProxyBody::Streamed(body)).await;
    });
}
