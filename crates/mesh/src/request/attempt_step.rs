//! Sends a routed request to an owner, and retries where that is allowed.

use std::time::{Duration, Instant};

use firspindle_core::request::{NodeDistance, NodeOption, choose_node};
use http::StatusCode;

use super::body_step::read_local_body;
use super::caller_entry::AccessRecord;
use super::crash_step::refuse_suspect;
use super::forward_step::forward;
use super::notice_step::{is_known_full, refuse_known_limit};
use super::owner_step::run_locally;
use super::response_step::local_response;
use super::route_step::RoutedCall;
use super::{AttemptOutcome, NotRunReason, RequestStage, RoutedRequest, TrafficContext};
use crate::connection::ProxyResponse;
use crate::version::{MeshView, PeerView};

/// Time before the next try to reach an owner.
const OWNER_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// `Retry-After` while no owner is available.
const NO_OWNER_RETRY_AFTER: Duration = Duration::from_millis(900);

/// `Retry-After` while no data centre may serve a request. Evacuations last for minutes, so a caller
/// that returns sooner only adds load.
const PLACE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// A request is not retried with less than this time left.
const MIN_RETRY_TIME: Duration = Duration::from_millis(20);

/// Sends a request until it is answered, as often as its route, its deadline and the retry budget
/// allow.
pub(super) async fn run_attempts(
    context: &TrafficContext,
    routed: &RoutedCall,
    record: &mut AccessRecord,
) -> ProxyResponse {
    let request = &routed.request;
    let mut tried: Vec<Box<str>> = Vec::new();
    // What a node with a full queue told the caller; not of a limited upstream.
    let mut refused_by = None;
    loop {
        request.progress.enter(RequestStage::Choosing);
        let view = context.shared.view.load_full();
        // The entry has refused downloads by their deadline, which does not change.
        if !request.kind.repeatable()
            && context.shutdown_interrupts(request.kind, request.route_id, request.deadline)
        {
            record.outcome = "leaving";
            return refusal_response(NotRunReason::Leaving, None);
        }
        if let Some(reason) = refuse_by_place(context, &view, request) {
            record.outcome = reason.as_str();
            context.shared.metrics.evacuations.count_refusal(reason);
            return refusal_response(reason, Some(PLACE_RETRY_AFTER));
        }
        let Some(peer) = choose_peer(context, &view, request, &tried) else {
            if let Some(retry_after) = refused_by {
                record.outcome = NotRunReason::QueueFull.as_str();
                return refusal_response(NotRunReason::QueueFull, retry_after);
            }
            if let Some(response) = wait_for_owner(request, record, NO_OWNER_RETRY_AFTER).await {
                return response;
            }
            tried.clear();
            continue;
        };
        record.host = peer.host.clone();
        let outcome = match refuse_suspect(context, request) {
            Some(refusal) => refusal,
            None => attempt(context, peer, request, record).await,
        };
        match outcome {
            AttemptOutcome::Answered(response) => {
                let failed = response.status().is_server_error();
                if failed && may_retry(context, routed, record) {
                    tried.push(peer.host.clone());
                    continue;
                }
                record.outcome = if failed { "upstream-failed" } else { "served" };
                return *response;
            }
            AttemptOutcome::NotRun { reason, retry_after } => {
                let limited = is_limited(context, &peer.host);
                let retry = match reason {
                    _ if !request.body.is_available() || reason.is_body_fault() => false,
                    // A queue or a link refused it, and no upstream: another try is no retry. One that
                    // is known to be full was chosen because the others are too.
                    _ if reason.is_full() => {
                        let left = request.deadline.saturating_duration_since(Instant::now());
                        let first = if limited { tried.is_empty() } else { refused_by.is_none() };
                        request.cell.is_none() && first && left > MIN_RETRY_TIME
                    }
                    NotRunReason::Refused => may_retry(context, routed, record),
                    NotRunReason::KnownFull | NotRunReason::CrashesUpstreams => false,
                    NotRunReason::Evacuated => serves_elsewhere(context, request),
                    _ => true,
                };
                if !retry {
                    record.outcome = reason.as_str();
                    let evacuated = reason == NotRunReason::Evacuated;
                    let retry_after = retry_after
                        .filter(|_| !evacuated)
                        .or(evacuated.then_some(PLACE_RETRY_AFTER));
                    return refusal_response(reason, retry_after);
                }
                if request.cell.is_none() {
                    tried.push(peer.host.clone());
                }
                let is_full = reason.is_full();
                // Others may become known while an upstream has a limit, which lasts.
                if is_full && !limited {
                    refused_by = Some(retry_after);
                }
                let wait_over = Instant::now() >= request.owner_wait_until;
                if wait_over && !is_full {
                    record.outcome = reason.as_str();
                    return refusal_response(reason, retry_after.or(Some(NO_OWNER_RETRY_AFTER)));
                }
                if request.cell.is_some() {
                    tokio::time::sleep(OWNER_RETRY_INTERVAL).await;
                }
            }
            AttemptOutcome::MayHaveRun { reason } => {
                if request.kind.repeatable() && may_retry(context, routed, record) {
                    tried.push(peer.host.clone());
                    continue;
                }
                record.outcome = "may-have-run";
                return local_response(StatusCode::BAD_GATEWAY, reason, None);
            }
        }
    }
}

/// Whether the upstream of a host is known to have a limit.
fn is_limited(context: &TrafficContext, host: &str) -> bool {
    if host == &*context.settings.host {
        context.limiter.limit().is_some()
    } else {
        context.notices.borrow().is_limited(host)
    }
}

/// Response to a request that did not run.
fn refusal_response(reason: NotRunReason, retry_after: Option<Duration>) -> ProxyResponse {
    let status = match reason {
        NotRunReason::BodyCutShort => StatusCode::BAD_REQUEST,
        NotRunReason::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        NotRunReason::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    let retry_after = retry_after.or(Some(NO_OWNER_RETRY_AFTER));
    local_response(status, reason.as_str(), retry_after.filter(|_| !reason.is_body_fault()))
}

/// Waits for [`OWNER_RETRY_INTERVAL`]; returns a refusal instead once the request has waited for an
/// owner as long as it may.
async fn wait_for_owner(
    request: &RoutedRequest,
    record: &mut AccessRecord,
    retry_after: Duration,
) -> Option<ProxyResponse> {
    if Instant::now() >= request.owner_wait_until {
        record.outcome = "no-owner";
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return Some(local_response(status, "no owner", Some(retry_after)));
    }
    tokio::time::sleep(OWNER_RETRY_INTERVAL).await;
    None
}

/// Whether the route, the deadline and the retry budget allow another send; takes a retry from the
/// budget.
fn may_retry(context: &TrafficContext, routed: &RoutedCall, record: &AccessRecord) -> bool {
    let request = &routed.request;
    let left = request.deadline.saturating_duration_since(Instant::now());
    let sendable = request.body.is_available();
    let allowed = sendable && record.sends < routed.max_attempts && left > MIN_RETRY_TIME;
    allowed && request.kind.repeatable() && context.take_retry(&request.service)
}

/// Runs the request at this node or forwards it, and counts the sends that may have reached an
/// upstream.
async fn attempt(
    context: &TrafficContext,
    peer: &PeerView,
    request: &RoutedRequest,
    record: &mut AccessRecord,
) -> AttemptOutcome {
    let guard = OutstandingGuard::new(context, &peer.host);
    let outcome = if peer.host == context.settings.host {
        match read_local_body(context, request, None).await {
            Ok(_) => run_locally(context, request).await,
            Err(outcome) => outcome,
        }
    } else {
        request.progress.enter(RequestStage::Forwarded);
        match refuse_known_limit(context, &peer.host, request) {
            Some(refusal) => refusal,
            None => forward(context, peer, request, &mut record.network_time).await,
        }
    };
    drop(guard);
    let sent = match &outcome {
        AttemptOutcome::NotRun { reason, .. } => *reason == NotRunReason::Refused,
        _ => true,
    };
    // Requests that queues refuse are no base for retries: under overload they are most of all, and each retried
    // run repeats its calls at a service that got no more requests.
    if sent && record.sends == 0 {
        context.count_first_send(&request.service);
    }
    record.sends += u32::from(sent);
    outcome
}

/// Counts a request as outstanding at a host until the guard is dropped.
struct OutstandingGuard<'a> {
    context: &'a TrafficContext,
    host: &'a str,
}

impl<'a> OutstandingGuard<'a> {
    fn new(context: &'a TrafficContext, host: &'a str) -> Self {
        context.adjust_outstanding(host, true);
        Self { context, host }
    }
}

impl Drop for OutstandingGuard<'_> {
    fn drop(&mut self) {
        self.context.adjust_outstanding(self.host, false);
    }
}

/// Chooses the node for the next send: the key's owner, or for a service without keys the node with
/// the least cost.
fn choose_peer<'a>(
    context: &TrafficContext,
    view: &'a MeshView,
    request: &RoutedRequest,
    tried: &[Box<str>],
) -> Option<&'a PeerView> {
    if let Some(cell) = request.cell {
        let ranges = view.ranges_of(&request.service)?;
        return view.peer(ranges.owner_host(cell));
    }
    let available = |peer: &&PeerView| {
        peer.available
            && peer.service == request.service
            && !peer.evacuated
            && context.settings.is_home(&peer.data_centre, &request.homes)
            && !tried.contains(&peer.host)
    };
    let mut peers: Vec<_> = view.peers.iter().filter(available).collect();
    let has_room = |peer: &&PeerView| !is_known_full(context, &peer.host, request);
    if peers.iter().any(has_room) {
        peers.retain(has_room);
    }
    let options: Vec<_> = peers.iter().map(|peer| node_option(context, peer)).collect();
    let index = choose_node(&options, request.kind, rand::random::<f64>)?;
    Some(peers[index])
}

/// Returns why no data centre may serve a request: the route's home regions have no host of the service,
/// or all of them are evacuated. The owner of a key may serve it until its data centre closes.
fn refuse_by_place(
    context: &TrafficContext,
    view: &MeshView,
    request: &RoutedRequest,
) -> Option<NotRunReason> {
    let is_home = |peer: &PeerView| context.settings.is_home(&peer.data_centre, &request.homes);
    if let Some(cell) = request.cell {
        let owner = view.peer(view.ranges_of(&request.service)?.owner_host(cell))?;
        return (!is_home(owner)).then_some(NotRunReason::OutsideHome);
    }
    let mut peers = view.peers.iter().filter(|peer| peer.service == request.service).peekable();
    if request.homes.is_empty() && peers.peek().is_none_or(|peer| !peer.evacuated) {
        return None;
    }
    let mut peers = peers.filter(|peer| is_home(peer)).peekable();
    if peers.peek().is_none() {
        return Some(NotRunReason::OutsideHome);
    }
    peers.all(|peer| peer.evacuated).then_some(NotRunReason::Evacuated)
}

/// Whether a host of the request's service is in a data centre that is not evacuated, so that its key
/// may move there.
fn serves_elsewhere(context: &TrafficContext, request: &RoutedRequest) -> bool {
    let view = context.shared.view.load();
    view.peers.iter().any(|peer| peer.service == request.service && !peer.evacuated)
}

fn node_option(context: &TrafficContext, peer: &PeerView) -> NodeOption {
    let distance = if peer.host == context.settings.host {
        NodeDistance::Own
    } else if peer.data_centre == context.settings.data_centre {
        NodeDistance::SameDataCentre
    } else {
        NodeDistance::OtherDataCentre
    };
    NodeOption { load: peer.load, outstanding: context.outstanding(&peer.host), distance }
}
