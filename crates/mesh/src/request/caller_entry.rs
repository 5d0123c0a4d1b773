//! Handles a caller's request: routes it, runs attempts until its deadline, responds, and records
//! the result in metrics and logs.

use std::rc::Rc;
use std::time::{Duration, Instant};

use http::header::CONNECTION;
use http::{HeaderValue, Request, StatusCode};
use hyper::body::Incoming;

use super::attempt_step::run_attempts;
use super::request_progress::AbandonGuard;
use super::response_step::{drained_response, local_response};
use super::route_step::{RoutedCall, STARTUP_RETRY_AFTER, route_request};
use super::traffic_context::elapsed_ms;
use super::{RequestProgress, TrafficContext};
use crate::connection::ProxyResponse;

/// Handles a request of a caller.
pub async fn handle_caller_request(
    context: &TrafficContext,
    request: Request<Incoming>,
) -> ProxyResponse {
    let in_flight = context.track_request();
    let arrived = Instant::now();
    let guard = AbandonGuard::new(context, "entry");
    let mut record = AccessRecord { progress: guard.progress(), ..AccessRecord::default() };
    let routed = route_request(context, request, arrived, &mut record).await;
    let mut response = match routed {
        Ok(routed) => {
            let response = run_until_deadline(context, &routed, arrived, &mut record).await;
            drained_response(response, &routed.request.body)
        }
        Err(response) => response,
    };
    guard.answered();
    record_response(context, &record, &response, arrived);
    if context.shared.view.load().stopping {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response.body_mut().attach_guard(in_flight);
    response
}

/// Runs the attempts of a routed request until its deadline or shortly before the process exits.
async fn run_until_deadline(
    context: &TrafficContext,
    routed: &RoutedCall,
    arrived: Instant,
    record: &mut AccessRecord,
) -> ProxyResponse {
    let deadline = routed.request.deadline;
    let attempts = run_attempts(context, routed, record);
    let completed = tokio::select! {
        completed = tokio::time::timeout_at(deadline.into(), attempts) => completed.ok(),
        () = context.exit_notify.notified() => return closing_response(record),
    };
    // A run at the own upstream is noted there.
    if record.sends > 0 && record.host != context.settings.host {
        let request = &routed.request;
        context.note_answer_time(request.kind, request.route_id, arrived.elapsed());
    }
    if let Some(response) = completed {
        return response;
    }
    record.outcome = "late";
    local_response(StatusCode::GATEWAY_TIMEOUT, "no answer in time", None)
}

/// Answers a request that is still pending when the process is about to exit.
fn closing_response(record: &mut AccessRecord) -> ProxyResponse {
    record.outcome = "closing";
    if record.sends == 0 && !record.progress.is_sent() {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return local_response(status, "the node ends", Some(STARTUP_RETRY_AFTER));
    }
    local_response(StatusCode::BAD_GATEWAY, "the node ends", None)
}

/// Facts for the metrics and the log line of a caller's request.
#[derive(Debug, Default)]
pub(super) struct AccessRecord {
    pub(super) id: Box<str>,
    pub(super) route: Box<str>,
    pub(super) service: Box<str>,
    pub(super) host: Box<str>,
    pub(super) sends: u32,
    pub(super) manifest_version: u64,
    pub(super) outcome: &'static str,
    /// Time of the last forwarded send that the owner did not have the request.
    pub(super) network_time: Duration,
    pub(super) progress: Rc<RequestProgress>,
}

fn record_response(
    context: &TrafficContext,
    record: &AccessRecord,
    response: &ProxyResponse,
    arrived: Instant,
) {
    let metrics = &context.shared.metrics;
    let status = response.status();
    metrics.answers.with_label_values(&[&record.route, record.outcome, status.as_str()]).inc();
    metrics.latency.with_label_values(&[&record.route]).observe(arrived.elapsed().as_secs_f64());
    context.log_rate_limited(|left_out| {
        log::info!(
            request = &*record.id, route = &*record.route, service = &*record.service,
            manifest = record.manifest_version, host = &*record.host, sends = record.sends,
            outcome = record.outcome, status = status.as_u16(),
            took_ms = elapsed_ms(arrived),
            network_ms = u64::try_from(record.network_time.as_millis()).unwrap_or(u64::MAX), left_out;
            "answer"
        );
    });
}
