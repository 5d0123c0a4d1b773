//! Runs requests at this node's upstream.
//!
//! The order matters: enter the partition's gate; check the lease, the suspects and the
//! deduplication table; wait for a slot; check the lease again; send. The request carries its
//! fencing token and the end of the grant, so that the upstream refuses it if this process was
//! paused between the last check and the send.

use std::sync::Arc;
use std::time::{Duration, Instant};

use firspindle_core::connection::{RunState, SuspectRow, UpstreamLimit};
use firspindle_core::process::FenceToken;
use firspindle_core::request::{DedupDecision, RequestFailure, RequestVerdict};
use firspindle_edge::{LimitNotice, UpstreamNotice, parse_retry_after, upstream_died};
use http::{HeaderMap, HeaderName, StatusCode, Uri};
use uuid::Uuid;

use super::{CallerRequest, CallerResponse, TrafficContext};
use crate::connection::{
    ConnectionPool, GateGuard, OutboundRequest, OutboundResponse, PartitionGate, SendError,
    UpstreamHandle, UpstreamPermit, end_to_end_headers, header_value,
};
use crate::process::{ControlEvent, unix_ms};
use crate::version::TrafficView;

/// Time limit of the check whether the upstream's process has died. The check takes tens of
/// milliseconds on a busy machine.
const CRASH_PROBE_LIMIT: Duration = Duration::from_millis(300);

/// Time for which a request stays suspected after a crash, in milliseconds.
const SUSPECT_TTL_MS: u64 = 10 * 60 * 1000;

/// `Retry-After` of an upstream's refusal that names none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time between two looks whether an earlier owner has handed over what it saw.
const DEDUP_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Most bytes of an upstream's reason that are logged.
const MAX_LOGGED_BYTES: usize = 200;

/// Runs a request at this node's upstream; refuses it if this node does not serve its partition.
pub async fn run_locally(context: &TrafficContext, request: &CallerRequest) -> CallerResponse {
    let view = context.view.load_full();
    let Some(upstream) = view.upstream.clone() else { return CallerResponse::not_owner(&view) };
    match request.partition {
        None => run_unowned(context, &view, &upstream, request).await,
        Some(partition) => {
            let Some(gate_guard) = view.gate(partition).and_then(PartitionGate::enter) else {
                return CallerResponse::not_owner(&view);
            };
            run_owned(context, &view, &upstream, request, gate_guard).await
        }
    }
}

/// Runs a request without a partition: an idempotent one of a service without keys.
async fn run_unowned(
    context: &TrafficContext,
    view: &TrafficView,
    upstream: &Arc<UpstreamHandle>,
    request: &CallerRequest,
) -> CallerResponse {
    if upstream.checks_grants && context.lease.deadline_micros().is_none() {
        return CallerResponse::not_owner(view);
    }
    if let Some(failure) = refuse_suspect(view, request) {
        return CallerResponse::failed(&failure);
    }
    let permit = match upstream.acquire(request.operation.priority, request.deadline).await {
        Ok(permit) => permit,
        Err(failure) => return CallerResponse::failed(&failure),
    };
    let fence = FenceToken { offset: view.node.unwrap_or(0), rank: 0 };
    send_upstream(context, view, upstream, request, fence, permit)
        .await
        .unwrap_or_else(|failure| CallerResponse::failed(&failure))
}

/// Runs a request of a partition that this node serves, at most once unless it is idempotent.
async fn run_owned(
    context: &TrafficContext,
    view: &TrafficView,
    upstream: &Arc<UpstreamHandle>,
    request: &CallerRequest,
    gate_guard: GateGuard,
) -> CallerResponse {
    if context.lease.deadline_micros().is_none() {
        return CallerResponse::not_owner(view);
    }
    if let Some(failure) = refuse_suspect(view, request) {
        return CallerResponse::failed(&failure);
    }
    let deduplicated = !request.operation.idempotent;
    if deduplicated {
        match decide(gate_guard.gate(), request).await {
            DedupDecision::Run => {}
            DedupDecision::Replay(state) => return CallerResponse::replayed(state),
            DedupDecision::StillRunning => {
                return CallerResponse::failed(&RequestFailure::StillRunning);
            }
            DedupDecision::Unknown | DedupDecision::NotKnownYet => {
                return CallerResponse::failed(&RequestFailure::OutcomeUnknown);
            }
        }
    }
    // From here on the outcome must be recorded, even if this future is dropped.
    let mut outcome_guard =
        OutcomeGuard { gate: gate_guard.gate().clone(), request, deduplicated, state: None };
    let work = acquire_and_send(context, view, upstream, request, &gate_guard);
    let result = tokio::select! {
        result = work => result,
        () = gate_guard.cancelled() => Err(RequestFailure::ConnectionLost),
    };
    match result {
        Ok(completed) => {
            outcome_guard.state = match completed.verdict {
                RequestVerdict::Ran => Some(FinalState::Finished(completed.to_run_state())),
                RequestVerdict::NotRun => Some(FinalState::NotRun),
                RequestVerdict::MayHaveRun => None,
            };
            completed
        }
        Err(failure) => {
            if failure.verdict() == RequestVerdict::NotRun {
                outcome_guard.state = Some(FinalState::NotRun);
            }
            if failure == RequestFailure::NotOwner {
                return CallerResponse::not_owner(view);
            }
            CallerResponse::failed(&failure)
        }
    }
}

/// Decides whether a request may run; waits while an earlier owner may still hand over what it saw.
async fn decide(gate: &PartitionGate, request: &CallerRequest) -> DedupDecision {
    loop {
        let decision = gate.dedup_table().begin(request.id, request.first_send, unix_ms());
        if decision != DedupDecision::NotKnownYet || Instant::now() >= request.deadline {
            return decision;
        }
        tokio::time::sleep(DEDUP_POLL_INTERVAL).await;
    }
}

async fn acquire_and_send(
    context: &TrafficContext,
    view: &TrafficView,
    upstream: &Arc<UpstreamHandle>,
    request: &CallerRequest,
    gate_guard: &GateGuard,
) -> Result<CallerResponse, RequestFailure> {
    let permit = upstream.acquire(request.operation.priority, request.deadline).await?;
    let fence = gate_guard.gate().fence();
    send_upstream(context, view, upstream, request, fence, permit).await
}

/// Returns a refusal if the request has crashed upstreams and is refused for now.
fn refuse_suspect(view: &TrafficView, request: &CallerRequest) -> Option<RequestFailure> {
    if view.suspects.is_empty() {
        return None;
    }
    let retry_after = view.suspects.refusal(request.fingerprint(), unix_ms())?;
    Some(RequestFailure::CrashesUpstreams { retry_after })
}

/// Sends the request to the upstream and classifies the result.
async fn send_upstream(
    context: &TrafficContext,
    view: &TrafficView,
    upstream: &Arc<UpstreamHandle>,
    request: &CallerRequest,
    fence: FenceToken,
    mut permit: UpstreamPermit<'_>,
) -> Result<CallerResponse, RequestFailure> {
    let now = Instant::now();
    if now >= request.deadline {
        return Err(RequestFailure::Expired);
    }
    // The lease may have ended while the request waited for a slot.
    let grant_deadline_micros = context.lease.deadline_micros();
    let grant_deadline_micros = match (grant_deadline_micros, request.partition) {
        (None, Some(_)) => return Err(RequestFailure::NotOwner),
        (grant_deadline_micros, _) => grant_deadline_micros.unwrap_or(0),
    };
    let outgoing = upstream_request(upstream, view, request, fence, grant_deadline_micros);
    context.metrics.runs.inc();
    let pool = ConnectionPool::of_thread();
    let sent = pool.send(outgoing);
    let result = tokio::time::timeout(request.deadline - now, sent).await;
    let took = now.elapsed();
    match result {
        Ok(Ok(response)) => {
            upstream.record_activity();
            let upstream_verdict = response.headers.get(super::caller_response::VERDICT);
            let ran = upstream_verdict.is_none_or(|value| value != RequestVerdict::NotRun.as_str());
            note_answer(context, upstream, &response.headers, ran, now);
            if !ran {
                log_refusal(context, request, fence, &response);
                return Err(refusal_of(&response));
            }
            permit.answered(took);
            Ok(CallerResponse::ran(response, fence))
        }
        Ok(Err(SendError::NotSent)) => {
            let _ = context.control_tx.send(ControlEvent::UpstreamGone);
            Err(RequestFailure::UpstreamUnreachable)
        }
        Ok(Err(SendError::Broken)) => {
            report_crash(context, upstream, request).await;
            Err(RequestFailure::ConnectionLost)
        }
        Ok(Err(SendError::Truncated)) => {
            report_crash(context, upstream, request).await;
            Err(RequestFailure::ResponseTruncated)
        }
        Err(_) => {
            permit.cut(took);
            Err(RequestFailure::DeadlinePassed)
        }
    }
}

/// Classifies the refusal of an upstream that did not run the request.
fn refusal_of(response: &OutboundResponse) -> RequestFailure {
    if response.status == StatusCode::MISDIRECTED_REQUEST {
        return RequestFailure::UpstreamUngranted;
    }
    let retry_after = parse_retry_after(&response.headers).unwrap_or(DEFAULT_RETRY_AFTER);
    RequestFailure::UpstreamRefused { retry_after }
}

fn log_refusal(
    context: &TrafficContext,
    request: &CallerRequest,
    fence: FenceToken,
    response: &OutboundResponse,
) {
    let Some(left_out) = context.log_limiter.admit(unix_ms()) else { return };
    let reason = &response.body[..response.body.len().min(MAX_LOGGED_BYTES)];
    log::info!(
        service = &*request.service.name, key = &*request.key, request = request.id_text(),
        fence:%, status = response.status.as_u16(), reason:% = reason.escape_ascii(), left_out;
        "upstream refused the request"
    );
}

/// Takes note of what the upstream says about itself in the answer to a request that was sent at
/// `sent_at`. Only one to a request that ran ends a limit by naming none.
fn note_answer(
    context: &TrafficContext,
    upstream: &UpstreamHandle,
    headers: &HeaderMap,
    ran: bool,
    sent_at: Instant,
) {
    const LIMIT: HeaderName = HeaderName::from_static("firspindle-limit");
    const LEAVING: HeaderName = HeaderName::from_static("firspindle-leaving");
    let notice = UpstreamNotice::read(headers, &LIMIT, &LEAVING);
    if let Some(header) = notice.invalid
        && let Some(left_out) = context.log_limiter.admit(unix_ms())
    {
        log::warn!(header, left_out; "invalid notice of the upstream ignored");
    }
    if notice.leaving && upstream.mark_leaving() {
        let _ = context.control_tx.send(ControlEvent::UpstreamLeaving(upstream.boot_id.clone()));
    }
    let limit = match notice.limit {
        LimitNotice::Unknown => return,
        LimitNotice::Unlimited if !ran => return,
        LimitNotice::Unlimited => None,
        LimitNotice::Limited(limit) => Some(limit),
    };
    if upstream.note_limit(limit, sent_at)
        && let Some(left_out) = context.log_limiter.admit(unix_ms())
    {
        let per_second = limit.map(UpstreamLimit::per_second);
        let process = &*upstream.boot_id;
        log::info!(process, per_second:?, left_out; "limit of the upstream changed");
    }
}

fn upstream_request(
    upstream: &UpstreamHandle,
    view: &TrafficView,
    request: &CallerRequest,
    fence: FenceToken,
    grant_deadline_micros: u64,
) -> OutboundRequest {
    const FENCE: HeaderName = HeaderName::from_static("firspindle-fence");
    const GRANT: HeaderName = HeaderName::from_static("firspindle-grant-deadline");
    const HOLDER: HeaderName = HeaderName::from_static("firspindle-holder");
    const PARTITION: HeaderName = HeaderName::from_static("firspindle-partition");
    const DEADLINE: HeaderName = HeaderName::from_static("firspindle-deadline");
    const ID: HeaderName = HeaderName::from_static("idempotency-key");
    let mut headers = end_to_end_headers(&request.headers, 6);
    headers.insert(FENCE, header_value(fence));
    headers.insert(GRANT, header_value(grant_deadline_micros));
    headers.insert(HOLDER, header_value(view.node.unwrap_or(0)));
    headers.insert(PARTITION, header_value(request.partition.unwrap_or(u32::MAX)));
    headers.insert(DEADLINE, header_value(request.deadline_ms));
    headers.insert(ID, header_value(request.id_text()));
    let uri = Uri::builder()
        .scheme("http")
        .authority(upstream.address.to_string())
        .path_and_query(&*request.path)
        .build();
    OutboundRequest {
        method: request.method.clone(),
        uri: uri.unwrap_or_default(),
        headers,
        body: request.body.clone(),
    }
}

/// Reports the request as a suspect, and the upstream as gone, if the upstream's process has died.
async fn report_crash(
    context: &TrafficContext,
    upstream: &UpstreamHandle,
    request: &CallerRequest,
) {
    let died = upstream_died(upstream.address, CRASH_PROBE_LIMIT).await || upstream.is_gone();
    if !died {
        return;
    }
    // The id is derived from the crashed process, so that each crash counts once for a request
    // however often it is reported.
    let crash = Uuid::new_v5(&Uuid::NAMESPACE_OID, upstream.boot_id.as_bytes()).as_u128();
    let row = SuspectRow {
        fingerprint: request.fingerprint(),
        crashes: vec![crash],
        until_ms: unix_ms() + SUSPECT_TTL_MS,
    };
    log::warn!(
        service = &*request.service.name, key = &*request.key, request = request.id_text();
        "request was in flight when the upstream crashed"
    );
    let _ = context.control_tx.send(ControlEvent::Suspect(row));
    let _ = context.control_tx.send(ControlEvent::UpstreamGone);
}

enum FinalState {
    NotRun,
    Finished(RunState),
}

/// Records the outcome of a request in the deduplication table on drop, also if the caller
/// disconnects. If the outcome is not known by then, the request counts as one that may have run.
struct OutcomeGuard<'a> {
    gate: Arc<PartitionGate>,
    request: &'a CallerRequest,
    deduplicated: bool,
    state: Option<FinalState>,
}

impl Drop for OutcomeGuard<'_> {
    fn drop(&mut self) {
        if !self.deduplicated {
            return;
        }
        let mut table = self.gate.dedup_table();
        match self.state.take() {
            Some(FinalState::NotRun) => table.forget(self.request.id),
            Some(FinalState::Finished(state)) => table.finish(self.request.id, state),
            None => table.finish(self.request.id, RunState::Unknown),
        }
    }
}
