//! Routes a caller's request to a node that serves it.
//!
//! Routes are hints: a node that does not serve the partition responds "not run", and the entry
//! node tries the next one of the partition's recorded nodes, until the deadline. A non-idempotent
//! request is tried again only after "not run".

use std::time::{Duration, Instant};

use firspindle_core::NodeId;
use firspindle_core::request::{RequestFailure, RequestVerdict};

use super::forward_step::{ForwardResult, forward};
use super::owner_step::run_locally;
use super::{CallerRequest, CallerResponse, TrafficContext};
use crate::process::unix_ms;
use crate::version::TrafficView;

/// Time between two rounds over the candidate nodes.
const ROUND_INTERVAL: Duration = Duration::from_millis(25);

/// Longest time for which the entry node looks for an owner.
const OWNER_WAIT_LIMIT: Duration = Duration::from_secs(4);

/// Time between two checks of the routes while a forwarded request has no response.
const ROUTE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Number of broken attempts at which an idempotent request fails.
const MAX_BROKEN_ATTEMPTS: u32 = 3;

/// Tries candidate nodes until one of them runs the request; returns the caller's response.
pub async fn route(context: &TrafficContext, request: &CallerRequest) -> CallerResponse {
    context.count_request();
    let owner_wait_until = request.deadline.min(Instant::now() + OWNER_WAIT_LIMIT);
    let mut broken_attempts = 0;
    loop {
        let view = context.view.load_full();
        let nodes = candidates(&view, request);
        for node in nodes.into_iter().filter(|node| !context.is_stopping(*node)) {
            match attempt(context, &view, request, node).await {
                AttemptResult::Final(response) => return response,
                AttemptResult::Next => {}
                AttemptResult::Refused(response) => {
                    if !context.take_retry() {
                        return response;
                    }
                    context.metrics.retries.inc();
                }
                AttemptResult::Broken(failure) => {
                    broken_attempts += 1;
                    if broken_attempts >= MAX_BROKEN_ATTEMPTS || !context.take_retry() {
                        return CallerResponse::failed(&failure);
                    }
                    context.metrics.retries.inc();
                }
            }
            if Instant::now() >= request.deadline {
                return CallerResponse::failed(&RequestFailure::Expired);
            }
        }
        if Instant::now() + ROUND_INTERVAL >= owner_wait_until {
            let failure = match request.deadline <= owner_wait_until {
                true => RequestFailure::Expired,
                false => RequestFailure::NoOwner,
            };
            return CallerResponse::failed(&failure);
        }
        tokio::time::sleep(ROUND_INTERVAL).await;
    }
}

enum AttemptResult {
    /// The response goes to the caller.
    Final(CallerResponse),
    /// The request did not run; another node may serve it.
    Next,
    /// An upstream refused the request without running it; it may be retried.
    Refused(CallerResponse),
    /// The request may have run; an idempotent one may be retried.
    Broken(RequestFailure),
}

/// Returns the nodes to try, in order.
fn candidates(view: &TrafficView, request: &CallerRequest) -> Vec<NodeId> {
    let Some(route) = view.routes.service(&request.service.name) else { return Vec::new() };
    match request.partition {
        Some(partition) => route.partition_nodes(partition).to_vec(),
        None => pick_two(&route.nodes, view.node),
    }
}

/// Picks two nodes at random, this node first if it is one of them.
///
/// Each node sheds load at its own queue, so the second node is tried only after the first refused.
fn pick_two(nodes: &[NodeId], local_node: Option<NodeId>) -> Vec<NodeId> {
    if nodes.len() < 2 {
        return nodes.to_vec();
    }
    let first = rand::random_range(0..nodes.len());
    let second = (first + rand::random_range(1..nodes.len())) % nodes.len();
    let mut picked = vec![nodes[first], nodes[second]];
    if Some(picked[1]) == local_node {
        picked.swap(0, 1);
    }
    picked
}

async fn attempt(
    context: &TrafficContext,
    view: &TrafficView,
    request: &CallerRequest,
    node: NodeId,
) -> AttemptResult {
    let is_local = view.node == Some(node);
    log_route(context, view, request, node);
    if is_local {
        return classify_response(request, run_locally(context, request).await);
    }
    let Some(target) = view.routes.target(node) else { return AttemptResult::Next };
    let result = tokio::select! {
        result = forward(target, request, request.first_send) => result,
        () = route_changed(context, request, node) => {
            ForwardResult::Failed(RequestFailure::ConnectionLost)
        }
    };
    match result {
        ForwardResult::Response(response) => {
            if response.is_stopping() {
                context.mark_stopping(node);
            }
            classify_response(request, response)
        }
        ForwardResult::Unreachable => AttemptResult::Next,
        ForwardResult::Failed(failure) if failure.verdict() == RequestVerdict::NotRun => {
            AttemptResult::Final(CallerResponse::failed(&failure))
        }
        ForwardResult::Failed(RequestFailure::DeadlinePassed) => {
            AttemptResult::Final(CallerResponse::failed(&RequestFailure::DeadlinePassed))
        }
        ForwardResult::Failed(failure) if request.operation.idempotent => {
            AttemptResult::Broken(failure)
        }
        ForwardResult::Failed(failure) => AttemptResult::Final(CallerResponse::failed(&failure)),
    }
}

/// Resolves when the node that a request was sent to has ended and is no longer a member.
///
/// For an idempotent request, also when the node is no longer the first candidate of the partition.
/// Any other request waits for the response of a node that is releasing the partition.
async fn route_changed(context: &TrafficContext, request: &CallerRequest, node: NodeId) {
    loop {
        tokio::time::sleep(ROUTE_CHECK_INTERVAL).await;
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

/// Decides whether a response goes to the caller or another attempt follows.
fn classify_response(request: &CallerRequest, response: CallerResponse) -> AttemptResult {
    // Any node may run a request without a partition, and another one may have room for it.
    let may_run_elsewhere = request.partition.is_none()
        && response.verdict == RequestVerdict::NotRun
        && response.status.is_server_error()
        && Instant::now() < request.deadline;
    if response.is_not_owner() || may_run_elsewhere {
        return match response.is_upstream_refusal() {
            true => AttemptResult::Refused(response),
            false => AttemptResult::Next,
        };
    }
    if response.verdict == RequestVerdict::MayHaveRun
        && request.operation.idempotent
        && response.status == 502
    {
        return AttemptResult::Broken(RequestFailure::ConnectionLost);
    }
    AttemptResult::Final(response)
}

fn log_route(context: &TrafficContext, view: &TrafficView, request: &CallerRequest, node: NodeId) {
    if !log::log_enabled!(log::Level::Info) {
        return;
    }
    let Some(left_out) = context.log_limiter.admit(unix_ms()) else { return };
    let host = view.routes.target(node).map_or("", |target| &*target.host);
    let reason = match request.partition {
        Some(_) => "nodes of the partition",
        None => "two random nodes",
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
