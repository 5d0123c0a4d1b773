//! Runs a request at the upstream beside.
//!
//! The order matters: enter the partition, look at the lease, the suspects and the id memory,
//! wait for a slot, look at the lease again, send. The request carries its fence and the end of
//! the grant, so that a process that was paused between the last look and the send is refused
//! by the upstream.

use std::sync::Arc;
use std::time::{Duration, Instant};

use firspindle_core::connection::{RunState, SuspectRow};
use firspindle_core::process::FenceToken;
use firspindle_core::request::{DedupDecision, RequestFailure, RequestVerdict};
use firspindle_edge::upstream_died;
use http::{HeaderName, Uri};
use uuid::Uuid;

use super::{CallerAnswer, CallerRequest, TrafficContext};
use crate::connection::{
    GatePass, HttpPool, PartitionGate, PoolFailure, PoolRequest, SlotPass, UpstreamLink,
    passed_headers, plain_value,
};
use crate::process::{ControlEvent, unix_ms};
use crate::version::TrafficView;

/// Time for the question whether an upstream died: tens of milliseconds on a busy machine.
const PROBE_LIMIT: Duration = Duration::from_millis(300);

/// Time for which a request is suspected after a crash, in milliseconds.
const SUSPICION_MS: u64 = 10 * 60 * 1000;

/// Runs a request here, if this node may.
pub async fn run_here(context: &TrafficContext, request: &CallerRequest) -> CallerAnswer {
    let view = context.view.load_full();
    let Some(upstream) = view.upstream.clone() else { return CallerAnswer::not_owner(&view) };
    match request.partition {
        None => run_anywhere(context, &view, &upstream, request).await,
        Some(partition) => {
            let Some(pass) = view.gate(partition).and_then(PartitionGate::enter) else {
                return CallerAnswer::not_owner(&view);
            };
            run_owned(context, &view, &upstream, request, pass).await
        }
    }
}

/// Runs an idempotent request of a service that is not divided by key.
async fn run_anywhere(
    context: &TrafficContext,
    view: &TrafficView,
    upstream: &Arc<UpstreamLink>,
    request: &CallerRequest,
) -> CallerAnswer {
    if let Some(failure) = suspicion(view, request) {
        return CallerAnswer::failed(&failure);
    }
    let slot = match upstream.acquire(request.operation.priority, request.deadline).await {
        Ok(slot) => slot,
        Err(failure) => return CallerAnswer::failed(&failure),
    };
    let fence = FenceToken { offset: view.node.unwrap_or(0), rank: 0 };
    send_upstream(context, view, upstream, request, fence, slot)
        .await
        .unwrap_or_else(|failure| CallerAnswer::failed(&failure))
}

async fn run_owned(
    context: &TrafficContext,
    view: &TrafficView,
    upstream: &Arc<UpstreamLink>,
    request: &CallerRequest,
    pass: GatePass,
) -> CallerAnswer {
    if context.lease.deadline_micros().is_none() {
        return CallerAnswer::not_owner(view);
    }
    if let Some(failure) = suspicion(view, request) {
        return CallerAnswer::failed(&failure);
    }
    let remembered = !request.operation.idempotent;
    if remembered {
        match pass.gate().dedup_state().begin(request.id, request.fresh, unix_ms()) {
            DedupDecision::Run => {}
            DedupDecision::Replay(state) => return CallerAnswer::replayed(state),
            DedupDecision::StillRunning => {
                return CallerAnswer::failed(&RequestFailure::StillRunning);
            }
            DedupDecision::Unknown => return CallerAnswer::failed(&RequestFailure::OutcomeUnknown),
        }
    }
    // From here on the memory must hear what became of the request, whatever happens.
    let mut note = MemoryNote { gate: pass.gate().clone(), request, remembered, state: None };
    let work = run_in_slot(context, view, upstream, request, &pass);
    let result = tokio::select! {
        result = work => result,
        () = pass.abandoned() => Err(RequestFailure::ConnectionLost),
    };
    match result {
        Ok(answer) => {
            note.state = match answer.verdict {
                RequestVerdict::Ran => Some(NotedState::Is(answer.to_memory())),
                RequestVerdict::NotRun => Some(NotedState::NotRun),
                RequestVerdict::MayHaveRun => None,
            };
            answer
        }
        Err(failure) => {
            if failure.verdict() == RequestVerdict::NotRun {
                note.state = Some(NotedState::NotRun);
            }
            if failure == RequestFailure::NotOwner {
                return CallerAnswer::not_owner(view);
            }
            CallerAnswer::failed(&failure)
        }
    }
}

async fn run_in_slot(
    context: &TrafficContext,
    view: &TrafficView,
    upstream: &Arc<UpstreamLink>,
    request: &CallerRequest,
    pass: &GatePass,
) -> Result<CallerAnswer, RequestFailure> {
    let slot = upstream.acquire(request.operation.priority, request.deadline).await?;
    let fence = pass.gate().fence();
    send_upstream(context, view, upstream, request, fence, slot).await
}

/// Refusal of a request that crashed upstreams before.
fn suspicion(view: &TrafficView, request: &CallerRequest) -> Option<RequestFailure> {
    if view.suspects.is_empty() {
        return None;
    }
    let retry_after = view.suspects.refusal(request.fingerprint(), unix_ms())?;
    Some(RequestFailure::CrashesUpstreams { retry_after })
}

async fn send_upstream(
    context: &TrafficContext,
    view: &TrafficView,
    upstream: &Arc<UpstreamLink>,
    request: &CallerRequest,
    fence: FenceToken,
    mut slot: SlotPass<'_>,
) -> Result<CallerAnswer, RequestFailure> {
    let now = Instant::now();
    if now >= request.deadline {
        return Err(RequestFailure::Expired);
    }
    // The wait for a slot may have outlasted the lease.
    let grant = context.lease.deadline_micros();
    let grant = match (grant, request.partition) {
        (None, Some(_)) => return Err(RequestFailure::NotOwner),
        (grant, _) => grant.unwrap_or(0),
    };
    let message = upstream_message(upstream, view, request, fence, grant);
    context.metrics.runs.inc();
    let pool = HttpPool::of_thread();
    let sent = pool.send(message);
    let result = tokio::time::timeout(request.deadline - now, sent).await;
    let took = now.elapsed();
    match result {
        Ok(Ok(response)) => {
            upstream.note_answer();
            let refused = response.headers.get(super::caller_answer::VERDICT);
            if refused.is_some_and(|value| value == RequestVerdict::NotRun.as_str()) {
                return Err(RequestFailure::UpstreamRefused);
            }
            slot.answered(took);
            Ok(CallerAnswer::ran(response, fence))
        }
        Ok(Err(PoolFailure::NotSent)) => {
            let _ = context.tx.send(ControlEvent::UpstreamGone);
            Err(RequestFailure::UpstreamRefused)
        }
        Ok(Err(PoolFailure::Broken)) => {
            suspect_crash(context, upstream, request).await;
            Err(RequestFailure::ConnectionLost)
        }
        Ok(Err(PoolFailure::CutShort)) => {
            suspect_crash(context, upstream, request).await;
            Err(RequestFailure::ResponseTruncated)
        }
        Err(_) => Err(RequestFailure::DeadlinePassed),
    }
}

fn upstream_message(
    upstream: &UpstreamLink,
    view: &TrafficView,
    request: &CallerRequest,
    fence: FenceToken,
    grant: u64,
) -> PoolRequest {
    const FENCE: HeaderName = HeaderName::from_static("firspindle-fence");
    const GRANT: HeaderName = HeaderName::from_static("firspindle-grant-deadline");
    const HOLDER: HeaderName = HeaderName::from_static("firspindle-holder");
    const PARTITION: HeaderName = HeaderName::from_static("firspindle-partition");
    const DEADLINE: HeaderName = HeaderName::from_static("firspindle-deadline");
    const ID: HeaderName = HeaderName::from_static("idempotency-key");
    let mut headers = passed_headers(&request.headers, 6);
    headers.insert(FENCE, plain_value(fence));
    headers.insert(GRANT, plain_value(grant));
    headers.insert(HOLDER, plain_value(view.node.unwrap_or(0)));
    headers.insert(PARTITION, plain_value(request.partition.unwrap_or(u32::MAX)));
    headers.insert(DEADLINE, plain_value(request.deadline_ms));
    headers.insert(ID, plain_value(request.id_text()));
    let uri = Uri::builder()
        .scheme("http")
        .authority(upstream.address.to_string())
        .path_and_query(&*request.path)
        .build();
    PoolRequest {
        method: request.method.clone(),
        uri: uri.unwrap_or_default(),
        headers,
        body: request.body.clone(),
    }
}

/// Suspects the request if its upstream's process is gone.
async fn suspect_crash(context: &TrafficContext, upstream: &UpstreamLink, request: &CallerRequest) {
    let died = upstream_died(upstream.address, PROBE_LIMIT).await || upstream.is_gone();
    if !died {
        return;
    }
    // One crash counts once for a request, however often it is reported.
    let crash = Uuid::new_v5(&Uuid::NAMESPACE_OID, upstream.boot_id.as_bytes()).as_u128();
    let row = SuspectRow {
        fingerprint: request.fingerprint(),
        crashes: vec![crash],
        until_ms: unix_ms() + SUSPICION_MS,
    };
    log::warn!(
        service = &*request.service.name, key = &*request.key, request = request.id_text();
        "request was in flight when the upstream crashed"
    );
    let _ = context.tx.send(ControlEvent::Suspect(row));
    let _ = context.tx.send(ControlEvent::UpstreamGone);
}

enum NotedState {
    NotRun,
    Is(RunState),
}

/// Tells the id memory what became of a request, also when its caller goes away.
struct MemoryNote<'a> {
    gate: Arc<PartitionGate>,
    request: &'a CallerRequest,
    remembered: bool,
    state: Option<NotedState>,
}

impl Drop for MemoryNote<'_> {
    fn drop(&mut self) {
        if !self.remembered {
            return;
        }
        let mut dedup_state = self.gate.dedup_state();
        match self.state.take() {
            Some(NotedState::NotRun) => dedup_state.forget(self.request.id),
            Some(NotedState::Is(state)) => dedup_state.finish(self.request.id, state),
            None => dedup_state.finish(self.request.id, RunState::Unknown),
        }
    }
}
