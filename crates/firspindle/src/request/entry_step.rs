//! Routes a caller's request to a node that serves it.
//!
//! Routes are hints: a node that does not serve the partition answers "not run", and the entry
//! walks on along the recorded line until the deadline. Only "not run" is ever followed by
//! another try of a non-idempotent request.

use std::time::{Duration, Instant};

use firspindle_core::NodeId;
use firspindle_core::request::{RequestFailure, RequestVerdict};

use super::forward_step::{ForwardResult, forward};
use super::owner_step::run_here;
use super::{CallerAnswer, CallerRequest, TrafficContext};
use crate::process::unix_ms;
use crate::version::TrafficView;

/// Time between two walks along a line.
const WALK_GAP: Duration = Duration::from_millis(25);

/// Longest time for which an entry looks for an owner.
const WALK_LIMIT: Duration = Duration::from_secs(4);

/// Time between two looks at the routes while an idempotent request is out.
const ROUTE_LOOK: Duration = Duration::from_millis(50);

/// Tries of an idempotent request whose connection broke.
const BROKEN_TRIES: u32 = 3;

/// Answers a caller's request.
pub async fn route(context: &TrafficContext, request: &CallerRequest) -> CallerAnswer {
    context.deposit();
    let give_up_at = request.deadline.min(Instant::now() + WALK_LIMIT);
    let mut broken = 0;
    loop {
        let view = context.view.load_full();
        let nodes = candidates(&view, request);
        for node in nodes.into_iter().filter(|node| !context.is_avoided(*node)) {
            match try_node(context, &view, request, node).await {
                TryResult::Final(answer) => return answer,
                TryResult::Next => {}
                TryResult::Broken(failure) => {
                    broken += 1;
                    if broken >= BROKEN_TRIES || !context.withdraw() {
                        return CallerAnswer::failed(&failure);
                    }
                    context.metrics.retries.inc();
                }
            }
            if Instant::now() >= request.deadline {
                return CallerAnswer::failed(&RequestFailure::Expired);
            }
        }
        if Instant::now() + WALK_GAP >= give_up_at {
            let failure = match request.deadline <= give_up_at {
                true => RequestFailure::Expired,
                false => RequestFailure::NoOwner,
            };
            return CallerAnswer::failed(&failure);
        }
        tokio::time::sleep(WALK_GAP).await;
    }
}

enum TryResult {
    /// Goes to the caller.
    Final(CallerAnswer),
    /// Did not run there; another node may serve it.
    Next,
    /// May have run there, which an idempotent request may repeat.
    Broken(RequestFailure),
}

/// Nodes to try, in order.
fn candidates(view: &TrafficView, request: &CallerRequest) -> Vec<NodeId> {
    let Some(route) = view.routes.service(&request.service.name) else { return Vec::new() };
    match request.partition {
        Some(partition) => route.partition_nodes(partition).to_vec(),
        None => pick_two(&route.nodes, view.node),
    }
}

/// Two nodes at random, this one first if it is among them.
///
/// Each node sheds at its own queue, so the second choice is taken only after a refusal.
fn pick_two(nodes: &[NodeId], me: Option<NodeId>) -> Vec<NodeId> {
    if nodes.len() < 2 {
        return nodes.to_vec();
    }
    let first = rand::random_range(0..nodes.len());
    let second = (first + rand::random_range(1..nodes.len())) % nodes.len();
    let mut picked = vec![nodes[first], nodes[second]];
    if Some(picked[1]) == me {
        picked.swap(0, 1);
    }
    picked
}

async fn try_node(
    context: &TrafficContext,
    view: &TrafficView,
    request: &CallerRequest,
    node: NodeId,
) -> TryResult {
    let here = view.node == Some(node);
    log_route(context, view, request, node);
    if here {
        return judge(request, run_here(context, request).await);
    }
    let Some(target) = view.routes.target(node) else { return TryResult::Next };
    let result = tokio::select! {
        result = forward(target, request, request.fresh) => result,
        () = route_left(context, request, node) => {
            ForwardResult::Failed(RequestFailure::ConnectionLost)
        }
    };
    match result {
        ForwardResult::Answer(answer) => {
            if answer.is_stopping() {
                context.avoid(node);
            }
            judge(request, answer)
        }
        ForwardResult::Unreachable => TryResult::Next,
        ForwardResult::Failed(failure) if failure.verdict() == RequestVerdict::NotRun => {
            TryResult::Final(CallerAnswer::failed(&failure))
        }
        ForwardResult::Failed(RequestFailure::DeadlinePassed) => {
            TryResult::Final(CallerAnswer::failed(&RequestFailure::DeadlinePassed))
        }
        ForwardResult::Failed(failure) if request.operation.idempotent => {
            TryResult::Broken(failure)
        }
        ForwardResult::Failed(failure) => TryResult::Final(CallerAnswer::failed(&failure)),
    }
}

/// Resolves when the node that a request was sent to has ended.
///
/// An idempotent request also leaves a node that is no longer first in line; any other waits
/// for the answer of a node that releases.
async fn route_left(context: &TrafficContext, request: &CallerRequest, node: NodeId) {
    loop {
        tokio::time::sleep(ROUTE_LOOK).await;
        let view = context.view.load();
        if view.routes.target(node).is_none() {
            return;
        }
        if !request.operation.idempotent {
            continue;
        }
        let Some(route) = view.routes.service(&request.service.name) else { return };
        let first = request
            .partition
            .and_then(|partition| route.partition_nodes(partition).first().copied());
        if first.is_some_and(|first| first != node) {
            return;
        }
    }
}

fn judge(request: &CallerRequest, answer: CallerAnswer) -> TryResult {
    if answer.is_not_owner() {
        return TryResult::Next;
    }
    // Another node may have room for a request that belongs to no owner.
    let elsewhere = request.partition.is_none() && answer.verdict == RequestVerdict::NotRun;
    if elsewhere && answer.status.is_server_error() && Instant::now() < request.deadline {
        return TryResult::Next;
    }
    if answer.verdict == RequestVerdict::MayHaveRun
        && request.operation.idempotent
        && answer.status == 502
    {
        return TryResult::Broken(RequestFailure::ConnectionLost);
    }
    TryResult::Final(answer)
}

fn log_route(context: &TrafficContext, view: &TrafficView, request: &CallerRequest, node: NodeId) {
    if !log::log_enabled!(log::Level::Info) {
        return;
    }
    let Some(left_out) = context.decisions.admit(unix_ms()) else { return };
    let host = view.routes.target(node).map_or("", |target| &*target.host);
    let reason = match request.partition {
        Some(_) => "line of the partition",
        None => "two choices",
    };
    let fence = request.partition.and_then(|partition| view.gate(partition));
    let fence = fence.map(|gate| gate.fence().to_string()).unwrap_or_default();
    log::info!(
        service = &*request.service.name, key = &*request.key,
        partition = request.partition.unwrap_or(u32::MAX), node, host, fence, reason,
        request = request.id_text(), left_out;
        "routed"
    );
}
