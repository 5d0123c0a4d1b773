//! Sends a request to the node beside its upstream.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use firspindle_core::request::RequestVerdict;
use http::Request;
use http_body_util::Full;

use super::answer_step::refusal_of;
use super::placed_request::{FACTS_HEADER, REASON_HEADER, VERDICT_HEADER};
use super::{NotRunReason, PlacedRequest, StepOutcome, TrafficContext};
use crate::connection::{AnswerBody, LinkBody, SendError};

/// Time after which an idle connection to another node is not used again.
const IDLE_LIMIT: Duration = Duration::from_secs(30);

/// Sends a request to another node.
pub(super) async fn forward(
    context: &TrafficContext,
    address: SocketAddr,
    request: &PlacedRequest,
) -> StepOutcome {
    let Some(facts) = request.facts(Instant::now()) else {
        return StepOutcome::MayHaveRun { reason: "the service's name is no header value" };
    };
    let mut message = Request::new(Full::new(request.body.clone()));
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.uri.clone();
    *message.headers_mut() = request.headers.clone();
    message.headers_mut().insert(FACTS_HEADER, facts);
    let sent = context.peers.send(address, message, IDLE_LIMIT).await;
    let (response, link, fresh) = match sent {
        Ok(sent) => sent,
        Err(SendError::Refused | SendError::NotSent) => {
            return StepOutcome::NotRun { reason: NotRunReason::Unreachable, retry_after: None };
        }
        Err(SendError::Broken) => {
            return StepOutcome::MayHaveRun { reason: "the link to the owner broke" };
        }
    };
    if fresh {
        context.shared.metrics.connects.with_label_values(&["peer"]).inc();
    }
    let verdict = response.headers().get(VERDICT_HEADER).and_then(|value| value.to_str().ok());
    let verdict = verdict.map_or(RequestVerdict::MayHaveRun, RequestVerdict::parse);
    let (mut head, body) = response.into_parts();
    let body = LinkBody::new(body, link, request.deadline.into());
    match verdict {
        RequestVerdict::Ran => {
            head.headers.remove(VERDICT_HEADER);
            StepOutcome::Answered(Box::new(http::Response::from_parts(
                head,
                AnswerBody::Link(body),
            )))
        }
        RequestVerdict::NotRun => {
            drain(body);
            let outcome = refusal_of(&head.headers);
            head.headers.remove(REASON_HEADER);
            outcome
        }
        RequestVerdict::MayHaveRun => {
            drain(body);
            StepOutcome::MayHaveRun { reason: "the owner had no whole answer" }
        }
    }
}

/// Reads the short body of a refusal, so that its link can be used again.
fn drain(body: LinkBody) {
    tokio::task::spawn_local(async move {
        let _ = http_body_util::BodyExt::collect(AnswerBody::Link(body)).await;
    });
}
