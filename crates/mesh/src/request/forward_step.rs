//! Forwards a request to the node whose upstream is to run it.

use std::time::{Duration, Instant};

use firspindle_core::request::RequestVerdict;
use http::{HeaderMap, Request};

use super::body_step::{body_outcome, needs_room, prepare_forward};
use super::notice_header::{NOTICE_HEADER, encode_notice, take_notice};
use super::reserve_step::{PeerRoom, TICKET_HEADER, reserve_at};
use super::response_step::parse_refusal;
use super::routed_request::{METADATA_HEADER, OWNER_TIME_HEADER, REASON_HEADER, VERDICT_HEADER};
use super::{AttemptOutcome, NotRunReason, RequestStage, RoutedRequest, TrafficContext};
use crate::connection::{ProxyBody, RoomGuard, SendError, StreamedBody};
use crate::process::{PeerPlace, PeerTraffic};
use crate::version::PeerView;

/// Time after which an idle connection to another node is not reused.
pub(super) const IDLE_LIMIT: Duration = Duration::from_secs(30);

/// Forwards a request to a peer and decodes its response. Sets `network_time` to the time
/// until the response less the time that the owner had the request.
pub(super) async fn forward(
    context: &TrafficContext,
    peer: &PeerView,
    request: &RoutedRequest,
    network_time: &mut Duration,
) -> AttemptOutcome {
    let place = match peer.data_centre == context.settings.data_centre {
        true => PeerPlace::OwnDataCentre,
        false => PeerPlace::OtherDataCentre,
    };
    let metrics = &context.shared.metrics;
    // The room of the body's buffers, kept until the response.
    let (_guard, room) = match ask_for_room(context, peer, request).await {
        Ok(asked) => asked,
        Err(refusal) => return refusal,
    };
    request.progress.enter(RequestStage::Forwarded);
    let started = Instant::now();
    let Some(metadata) = request.metadata(started) else {
        return AttemptOutcome::MayHaveRun { reason: "the service's name is no header value" };
    };
    let mut outgoing =
        Request::new(request.body.outbound(context, room.and_then(|room| room.rate)));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.uri.clone();
    *outgoing.headers_mut() = request.headers.clone();
    outgoing.headers_mut().insert(METADATA_HEADER, metadata);
    if let Some(room) = room {
        outgoing.headers_mut().insert(TICKET_HEADER, room.ticket.into());
    }
    let told = context.notices.borrow_mut().tell(&peer.host, started);
    if let Some(value) = told.as_ref().and_then(encode_notice) {
        outgoing.headers_mut().insert(NOTICE_HEADER, value);
    }
    let sent_bytes = head_bytes(outgoing.headers()) + outgoing.uri().path().len();
    let body_bytes = request.body.length().unwrap_or(0);
    metrics.peer_bytes(PeerTraffic::Request, place).inc_by(sent_bytes as u64 + body_bytes);
    let sent = context.peers.send(peer.forward, outgoing, IDLE_LIMIT).await;
    let (response, connection, is_new) = match sent {
        Ok(sent) => sent,
        Err(SendError::Refused | SendError::NotSent) => {
            return AttemptOutcome::NotRun { reason: NotRunReason::Unreachable, retry_after: None };
        }
        Err(SendError::Broken) => {
            if let Some(fault) = request.body.end_passing_on() {
                return body_outcome(fault);
            }
            return AttemptOutcome::MayHaveRun { reason: "the link to the owner broke" };
        }
    };
    // A response may come before the end of the body, which is then of no use any more.
    let fault = request.body.end_passing_on();
    *network_time = started.elapsed().saturating_sub(owner_time(response.headers()));
    let seconds = network_time.as_secs_f64();
    metrics.network_time.with_label_values(&[&request.service]).observe(seconds);
    if is_new {
        metrics.connects.with_label_values(&["peer"]).inc();
    }
    let verdict = response.headers().get(VERDICT_HEADER).and_then(|value| value.to_str().ok());
    let verdict = verdict.map_or(RequestVerdict::MayHaveRun, RequestVerdict::parse);
    let (mut head, body) = response.into_parts();
    let received = metrics.peer_bytes(PeerTraffic::Response, place).clone();
    received.inc_by(head_bytes(&head.headers) as u64);
    let told = take_notice(&mut head.headers);
    let answered = verdict == RequestVerdict::Ran;
    context.notices.borrow_mut().note(&peer.host, told, answered, started, Instant::now());
    let body =
        StreamedBody::new(body, Some(connection), request.deadline.into()).count_with(received);
    // The owner does not run a request whose body it did not get whole.
    if let Some(fault) = fault.filter(|_| verdict != RequestVerdict::Ran) {
        drain(body);
        return body_outcome(fault);
    }
    match verdict {
        RequestVerdict::Ran => {
            head.headers.remove(VERDICT_HEADER);
            head.headers.remove(OWNER_TIME_HEADER);
            AttemptOutcome::Answered(Box::new(http::Response::from_parts(
                head,
                ProxyBody::Streamed(Box::new(body)),
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

/// Bytes of the headers of a message, with the separators around them.
fn head_bytes(headers: &HeaderMap) -> usize {
    headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4).sum()
}

/// Asks the owner for room for a large body; nothing of it has been sent until then.
async fn ask_for_room(
    context: &TrafficContext,
    peer: &PeerView,
    request: &RoutedRequest,
) -> Result<(Option<RoomGuard>, Option<PeerRoom>), AttemptOutcome> {
    if !needs_room(&request.body) {
        return Ok((None, None));
    }
    let guard = prepare_forward(context, request).await?;
    Ok((guard, reserve_at(context, peer, request).await?))
}

/// Time that the owner had the request before it responded; zero if the response does not say.
fn owner_time(headers: &HeaderMap) -> Duration {
    let text = headers.get(OWNER_TIME_HEADER).and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok()).map_or(Duration::ZERO, Duration::from_millis)
}

/// Reads the short body of a response that is not passed on, so that its connection can be reused.
pub(super) fn drain(body: StreamedBody) {
    tokio::task::spawn_local(async move {
        let _ = http_body_util::BodyExt::collect(ProxyBody::Streamed(Box::new(body))).await;
    });
}
