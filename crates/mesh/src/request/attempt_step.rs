//! Sends a placed request to an owner, and again where that is allowed.

use std::time::{Duration, Instant};

use firspindle_core::version::RequestKind;
use http::StatusCode;

use super::answer_step::own_answer;
use super::caller_entry::EntryFacts;
use super::crash_step::refuse_suspect;
use super::forward_step::forward;
use super::owner_step::run_here;
use super::place_step::PlacedCall;
use super::{NotRunReason, PlacedRequest, StepOutcome, TrafficContext};
use crate::connection::AnswerResponse;
use crate::version::{MeshView, PeerView};

/// Time between two tries to reach an owner.
const PLACE_GAP: Duration = Duration::from_millis(50);

/// Time to come back after, while an owner is away.
const AWAY_RETRY: Duration = Duration::from_millis(900);

/// Cost of another data centre in the choice of an upstream, as a part of its slots.
const DISTANCE_COST: f64 = 0.3;

/// Least time that a further send needs.
const RETRY_FLOOR: Duration = Duration::from_millis(20);

/// Sends a request, and again as its route, the time and the budget allow, until it is answered.
pub(super) async fn run_attempts(
    context: &TrafficContext,
    placed: &PlacedCall,
    facts: &mut EntryFacts,
) -> AnswerResponse {
    let request = &placed.request;
    let mut tried: Vec<Box<str>> = Vec::new();
    loop {
        let view = context.shared.view.load_full();
        let Some(peer) = choose(context, &view, request, &tried) else {
            if let Some(response) = wait_for_owner(request, facts, AWAY_RETRY).await {
                return response;
            }
            tried.clear();
            continue;
        };
        facts.host = peer.host.clone();
        let outcome = match refuse_suspect(context, request) {
            Some(refusal) => refusal,
            None => attempt(context, peer, request, facts).await,
        };
        match outcome {
            StepOutcome::Answered(response) => {
                let failed = response.status().is_server_error();
                if failed && may_repeat(context, placed, facts) {
                    tried.push(peer.host.clone());
                    continue;
                }
                facts.outcome = if failed { "upstream-failed" } else { "served" };
                return *response;
            }
            StepOutcome::NotRun { reason, retry_after } => {
                let again = match reason {
                    NotRunReason::Full => request.cell.is_none() && tried.is_empty(),
                    NotRunReason::Refused => may_repeat(context, placed, facts),
                    NotRunReason::Crashes => false,
                    _ => true,
                };
                if !again {
                    facts.outcome = reason.as_str();
                    return refuse(reason, retry_after);
                }
                if request.cell.is_none() {
                    tried.push(peer.host.clone());
                }
                let late = Instant::now() >= request.hold_until;
                if late && reason != NotRunReason::Full {
                    facts.outcome = reason.as_str();
                    return refuse(reason, retry_after.or(Some(AWAY_RETRY)));
                }
                if request.cell.is_some() {
                    tokio::time::sleep(PLACE_GAP).await;
                }
            }
            StepOutcome::MayHaveRun { reason } => {
                if request.kind.repeatable() && may_repeat(context, placed, facts) {
                    tried.push(peer.host.clone());
                    continue;
                }
                facts.outcome = "may-have-run";
                return own_answer(StatusCode::BAD_GATEWAY, reason, None);
            }
        }
    }
}

fn refuse(reason: NotRunReason, retry_after: Option<Duration>) -> AnswerResponse {
    own_answer(StatusCode::SERVICE_UNAVAILABLE, reason.as_str(), retry_after.or(Some(AWAY_RETRY)))
}

/// Waits a moment for an owner; gives the refusal once the wait has been long enough.
async fn wait_for_owner(
    request: &PlacedRequest,
    facts: &mut EntryFacts,
    retry_after: Duration,
) -> Option<AnswerResponse> {
    if Instant::now() >= request.hold_until {
        facts.outcome = "no-owner";
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return Some(own_answer(status, "no owner", Some(retry_after)));
    }
    tokio::time::sleep(PLACE_GAP).await;
    None
}

/// Whether the request may be sent once more: the route, the time and the budget allow it.
fn may_repeat(context: &TrafficContext, placed: &PlacedCall, facts: &EntryFacts) -> bool {
    let request = &placed.request;
    let left = request.deadline.saturating_duration_since(Instant::now());
    let allowed = facts.sends < placed.attempts && left > RETRY_FLOOR;
    allowed && request.kind != RequestKind::NonIdempotent && context.take_retry(&request.service)
}

async fn attempt(
    context: &TrafficContext,
    peer: &PeerView,
    request: &PlacedRequest,
    facts: &mut EntryFacts,
) -> StepOutcome {
    if facts.sends == 0 {
        context.count_first_send(&request.service);
    }
    let guard = OutstandingGuard::new(context, &peer.host);
    let outcome = if peer.host == context.settings.host {
        run_here(context, request).await
    } else {
        forward(context, peer.forward, request).await
    };
    drop(guard);
    let sent = match &outcome {
        StepOutcome::NotRun { reason, .. } => *reason == NotRunReason::Refused,
        _ => true,
    };
    facts.sends += u32::from(sent);
    outcome
}

/// Counts a request as under way to a host until it is dropped.
struct OutstandingGuard<'a> {
    context: &'a TrafficContext,
    host: &'a str,
}

impl<'a> OutstandingGuard<'a> {
    fn new(context: &'a TrafficContext, host: &'a str) -> Self {
        context.add_outstanding(host, true);
        Self { context, host }
    }
}

impl Drop for OutstandingGuard<'_> {
    fn drop(&mut self) {
        self.context.add_outstanding(self.host, false);
    }
}

/// Node for the next send.
fn choose<'a>(
    context: &TrafficContext,
    view: &'a MeshView,
    request: &PlacedRequest,
    tried: &[Box<str>],
) -> Option<&'a PeerView> {
    if let Some(cell) = request.cell {
        let ranges = view.ranges_of(&request.service)?;
        return view.peer(ranges.host_of(cell));
    }
    let own_centre = &context.settings.data_centre;
    let open = |peer: &&PeerView| {
        peer.open && peer.service == request.service && !tried.contains(&peer.host)
    };
    let cost = |peer: &&PeerView| {
        let known = peer.load.running + peer.load.waiting;
        let busy = known.max(context.outstanding(&peer.host)) + 1;
        let part = f64::from(busy) / f64::from(peer.load.slots.max(1));
        let distance = if peer.data_centre == *own_centre { 0.0 } else { DISTANCE_COST };
        part + distance + rand::random::<f64>() / 20.0
    };
    let peers = view.peers.iter().filter(open);
    peers.min_by(|a, b| cost(a).total_cmp(&cost(b)))
}
