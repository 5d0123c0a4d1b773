//! Asks the node beside an upstream for room for a large request body, before anything of the body is
//! sent, and answers such requests.
//!
//! The answer is held back until the body may start, so that it takes one round trip. A reservation
//! that is refused or lost has not run. Its facts are in a header of its own: a node of an earlier
//! version answers 400 without the usual header and runs nothing; it gets the body without a ticket.

use std::time::Instant;

use firspindle_core::connection::BodyTicket;
use firspindle_core::request::RequestVerdict;
use http::{HeaderMap, HeaderName, HeaderValue, Request, StatusCode};
use hyper::body::Incoming;

use super::body_step::reserve_room;
use super::forward_step::{IDLE_LIMIT, drain};
use super::owner_step::refuse_leaving;
use super::response_step::{local_response, parse_refusal, peer_response};
use super::routed_request::{RequestMetadata, VERDICT_HEADER};
use super::{
    AttemptOutcome, HEAD_BYTES, NotRunReason, RequestBody, RequestProgress, RequestStage,
    RoutedRequest, TrafficContext,
};
use crate::connection::{OutboundBody, ProxyResponse, StreamedBody};
use crate::process::{PeerPlace, PeerTraffic};
use crate::version::PeerView;

/// Path of reservations on the address for other nodes.
pub(super) const RESERVE_PATH: &str = "/-/reserve";

/// Header of a reservation: the length in bytes, `-` if it is not known, and the facts of the request.
const RESERVE_HEADER: HeaderName = HeaderName::from_static("firspindle-reserve");

/// Header of a granted reservation: the ticket, and the bytes a second at which the body may be sent or
/// `-`. Also header of the forwarded request, with the ticket.
pub(super) const TICKET_HEADER: HeaderName = HeaderName::from_static("firspindle-ticket");

/// Room that another node gave.
#[derive(Debug, Clone, Copy)]
pub(super) struct PeerRoom {
    pub(super) ticket: BodyTicket,
    /// Bytes a second at which the body may be sent; `None` if the link's rate is not known.
    pub(super) rate: Option<u64>,
}

/// Asks another node for room for a request's body. `None` if the node does not know reservations.
pub(super) async fn reserve_at(
    context: &TrafficContext,
    peer: &PeerView,
    request: &RoutedRequest,
) -> Result<Option<PeerRoom>, AttemptOutcome> {
    let started = Instant::now();
    let unreachable =
        || AttemptOutcome::NotRun { reason: NotRunReason::Unreachable, retry_after: None };
    request.progress.enter(RequestStage::Reserving);
    let length = request.body.length().map_or(String::from("-"), |length| length.to_string());
    let facts = request.metadata(started).and_then(|facts| facts.to_str().ok().map(str::to_owned));
    let value = facts.and_then(|facts| HeaderValue::from_str(&format!("{length} {facts}")).ok());
    let id = HeaderValue::from_str(&request.id).ok();
    let (Some(value), Some(id)) = (value, id) else { return Err(unreachable()) };
    let mut outgoing =
        Request::post(RESERVE_PATH).body(OutboundBody::default()).map_err(|_| unreachable())?;
    outgoing.headers_mut().insert(RESERVE_HEADER, value);
    outgoing.headers_mut().insert(&context.headers.request_id, id);
    context.link.charge(HEAD_BYTES);
    let place = match peer.data_centre == context.settings.data_centre {
        true => PeerPlace::OwnDataCentre,
        false => PeerPlace::OtherDataCentre,
    };
    let metrics = &context.shared.metrics;
    metrics.peer_bytes(PeerTraffic::Request, place).inc_by(HEAD_BYTES as u64);
    // Without an answer by the objective another node may still be in time.
    let patience = request.deadline.saturating_duration_since(started) / 2;
    let answer_by = request.objective_at.max(started + patience);
    let sending = context.peers.send(peer.forward, outgoing, IDLE_LIMIT);
    let sent = tokio::time::timeout_at(answer_by.into(), sending).await;
    let Ok(Ok((response, connection, _))) = sent else {
        metrics.reservations.with_label_values(&["lost"]).inc();
        return Err(unreachable());
    };
    let (head, body) = response.into_parts();
    let room = parse_room(&head.headers);
    let verdict = head.headers.get(VERDICT_HEADER).and_then(|value| value.to_str().ok());
    drain(StreamedBody::new(body, Some(connection), request.deadline.into()));
    match verdict.map(RequestVerdict::parse) {
        _ if room.is_some() => Ok(room),
        None if head.status == StatusCode::BAD_REQUEST => Ok(None),
        Some(RequestVerdict::NotRun) => Err(parse_refusal(&head.headers)),
        _ => Err(unreachable()),
    }
}

fn parse_room(headers: &HeaderMap) -> Option<PeerRoom> {
    let (ticket, rate) = headers.get(TICKET_HEADER)?.to_str().ok()?.split_once(' ')?;
    Some(PeerRoom { ticket: ticket.parse().ok()?, rate: rate.parse().ok() })
}

/// Handles a reservation of another node.
pub(super) async fn handle_reservation(
    context: &TrafficContext,
    request: Request<Incoming>,
    progress: std::rc::Rc<RequestProgress>,
) -> ProxyResponse {
    if context.is_rejecting_requests() {
        return refuse_leaving();
    }
    let now = Instant::now();
    let text = request.headers().get(RESERVE_HEADER).and_then(|value| value.to_str().ok());
    let parsed = text.and_then(|text| {
        let (length, facts) = text.split_once(' ')?;
        let length = if length == "-" { None } else { Some(length.parse::<u64>().ok()?) };
        Some((length, RequestMetadata::parse(facts, now)?))
    });
    let Some((length, metadata)) = parsed else {
        return local_response(StatusCode::BAD_REQUEST, "no facts", None);
    };
    if context.shutdown_interrupts(metadata.kind, metadata.route_id, metadata.deadline) {
        return refuse_leaving();
    }
    let (head, _) = request.into_parts();
    let body = RequestBody::Whole(bytes::Bytes::new());
    let request = RoutedRequest::forwarded(context, head, metadata, body, progress);
    let guard = match reserve_room(context, &request, length).await {
        Ok(guard) => guard,
        Err(outcome) => return peer_response(outcome),
    };
    let rate = context.room.send_rate().map_or(String::from("-"), |rate| rate.to_string());
    let value = HeaderValue::from_str(&format!("{} {rate}", guard.park()));
    let mut response = local_response(StatusCode::OK, "", None);
    if let Ok(value) = value {
        response.headers_mut().insert(TICKET_HEADER, value);
    }
    response
}

/// Removes the ticket that a forwarded request carries from its headers.
pub(super) fn take_ticket(headers: &mut HeaderMap) -> Option<BodyTicket> {
    headers.remove(TICKET_HEADER)?.to_str().ok()?.parse().ok()
}
