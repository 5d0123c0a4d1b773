//! Takes the bodies of requests in: small ones at once, large ones once there is room for them.
//!
//! The node beside the upstream reads a large body into memory that is reserved for it, and the
//! request then waits for a slot. A slot that is taken first would be idle while the body arrives,
//! and a body that is cut short never reaches the upstream. Whether a slot will be free in time is
//! estimated before the body starts. The memory counts as taken until the upstream answers, as the
//! upstream holds the body while it runs the request.

use std::rc::Rc;
use std::time::Instant;

use firspindle_core::connection::{BodyClaim, BodyTicket, RoomRefusal, RoomShortage};
use hyper::body::Incoming;

use super::owner_step::wait_for_grant;
use super::traffic_context::elapsed_ms;
use super::{
    AttemptOutcome, NotRunReason, RequestBody, RequestStage, RoutedRequest, TrafficContext,
};
use crate::connection::{BodyFault, RoomGuard, UploadBody};

/// Longest body that is read at once, in bytes.
const SMALL_BODY_BYTES: usize = 16 * 1024;

/// Longest body of a repeatable request that its entry keeps in memory, so that the request can be sent
/// again.
const KEPT_BODY_BYTES: u64 = 64 * 1024;

/// Memory that the buffers of a body take which its entry passes on.
const PASSED_BODY_BYTES: u64 = 64 * 1024;

impl From<BodyFault> for NotRunReason {
    fn from(fault: BodyFault) -> Self {
        match fault {
            BodyFault::CutShort => Self::BodyCutShort,
            BodyFault::TooLarge => Self::BodyTooLarge,
            BodyFault::TooSlow => Self::BodyTooSlow,
            BodyFault::NoMemory => Self::NoMemory,
        }
    }
}

/// Outcome for a request whose body did not arrive whole.
pub(super) fn body_outcome(fault: BodyFault) -> AttemptOutcome {
    AttemptOutcome::NotRun { reason: fault.into(), retry_after: None }
}

/// Outcome for a request for whose body there is no room.
fn refusal_outcome(refusal: RoomRefusal) -> AttemptOutcome {
    let reason = match refusal.shortage {
        RoomShortage::Link => NotRunReason::LinkFull,
        RoomShortage::Slot => NotRunReason::QueueFull,
        RoomShortage::Memory => NotRunReason::NoMemory,
    };
    AttemptOutcome::NotRun { reason, retry_after: Some(refusal.retry_after) }
}

/// Reads a small body; a large one stays with its sender.
///
/// # Errors
///
/// If the body is too large or does not arrive whole.
pub(super) async fn take_body(
    body: Incoming,
    limit: usize,
) -> Result<RequestBody, (BodyFault, RequestBody)> {
    let upload = Rc::new(UploadBody::new(body, u64::try_from(limit).unwrap_or(u64::MAX)));
    let large = |length| length > u64::try_from(SMALL_BODY_BYTES).unwrap_or(u64::MAX);
    if upload.length.is_some_and(|length| usize::try_from(length).is_ok_and(|it| it > limit)) {
        return Err((BodyFault::TooLarge, RequestBody::Upload(upload)));
    }
    if upload.length.is_some_and(large) {
        return Ok(RequestBody::Upload(upload));
    }
    match upload.read_prefix(SMALL_BODY_BYTES).await {
        Ok(Some(bytes)) => Ok(RequestBody::Whole(bytes)),
        Ok(None) => Ok(RequestBody::Upload(upload)),
        Err(fault) => Err((fault, RequestBody::Upload(upload))),
    }
}

/// Waits until there is room at this host for a body of a length in bytes, `None` if that is not known.
pub(super) async fn reserve_room(
    context: &TrafficContext,
    request: &RoutedRequest,
    length: Option<u64>,
) -> Result<RoomGuard, AttemptOutcome> {
    request.progress.enter(RequestStage::WaitingForGrant);
    wait_for_grant(context, request).await?;
    request.progress.enter(RequestStage::Reserving);
    let arrived = Instant::now();
    let forecast = context.limiter.forecast();
    let claim = BodyClaim {
        rank: request.rank,
        length,
        deadline: request.deadline,
        objective_at: request.objective_at,
        run_time: forecast.run_time,
        slot_at: arrived + forecast.start_in[request.class as usize],
        slot_delay: forecast.run_time / context.limiter.load().slots.max(1),
    };
    let expected_ms = u64::try_from(context.room.expected_wait().as_millis()).unwrap_or(u64::MAX);
    let reserved = context.room.reserve(&claim).await;
    if let (Err(_), Some(cell)) = (&reserved, request.cell) {
        // The demand for a key includes what is refused.
        context.count_demand(cell, 1);
    }
    let (reserved_bytes, held_bytes) = context.room.bytes();
    let outcome = reserved.as_ref().map_or_else(|refusal| refusal.shortage.as_str(), |_| "granted");
    context.log_rate_limited(|left_out| {
        log::info!(
            request = &*request.id, length:?, rank = request.rank.number(), expected_ms,
            reserved_bytes, held_bytes, outcome, took_ms = elapsed_ms(arrived), left_out;
            "room for a body"
        );
    });
    reserved.map_err(refusal_outcome)
}

/// Returns the body of a request that this host's upstream is to run, once it has arrived. A caller's own
/// body waits for room first.
pub(super) async fn read_local_body(
    context: &TrafficContext,
    request: &RoutedRequest,
    ticket: Option<BodyTicket>,
) -> Result<RequestBody, AttemptOutcome> {
    let upload = match &request.body {
        RequestBody::Upload(upload) if upload.whole().is_none() => upload,
        body => return Ok(body.clone()),
    };
    let guard = if let Some(ticket) = ticket {
        context.room.claim(ticket)
    } else {
        let guard = reserve_room(context, request, upload.length).await?;
        guard.begin().then_some(guard)
    };
    let Some(guard) = guard else {
        let reason = NotRunReason::LinkFull;
        return Err(AttemptOutcome::NotRun { reason, retry_after: None });
    };
    request.progress.enter(RequestStage::Reading);
    upload.read_whole(guard).await.map_err(body_outcome)?;
    Ok(request.body.clone())
}

/// Prepares a body for another node: a short one of a repeatable request is read into memory. The guard
/// is for the memory that the body takes here while it is passed on.
pub(super) async fn prepare_forward(
    context: &TrafficContext,
    request: &RoutedRequest,
) -> Result<Option<RoomGuard>, AttemptOutcome> {
    let upload = match &request.body {
        RequestBody::Upload(upload) if upload.whole().is_none() => upload,
        _ => return Ok(None),
    };
    let kept =
        upload.length.filter(|length| request.kind.repeatable() && *length <= KEPT_BODY_BYTES);
    let guard = context.room.hold(kept.unwrap_or(PASSED_BODY_BYTES)).map_err(refusal_outcome)?;
    if kept.is_none() {
        return Ok(Some(guard));
    }
    upload.read_whole(guard).await.map_err(body_outcome)?;
    Ok(None)
}

/// Whether a body is asked room for before it is forwarded.
pub(super) fn needs_room(body: &RequestBody) -> bool {
    matches!(body, RequestBody::Upload(_))
}

/// Takes the body of a forwarded request: one that has a ticket is read once its room is claimed, others
/// like those of callers. `None` if it is too large or does not arrive whole.
pub(super) async fn take_forwarded(
    body: Incoming,
    has_ticket: bool,
    limit: usize,
) -> Option<RequestBody> {
    if has_ticket {
        let limit = u64::try_from(limit).unwrap_or(u64::MAX);
        return Some(RequestBody::Upload(Rc::new(UploadBody::new(body, limit))));
    }
    take_body(body, limit).await.ok()
}
