//! A request of a caller: placed, tried until its deadline, answered and told of.

use std::time::Instant;

use http::header::CONNECTION;
use http::{HeaderValue, Request, StatusCode};
use hyper::body::Incoming;

use super::TrafficContext;
use super::answer_step::own_answer;
use super::attempt_step::run_attempts;
use super::place_step::{PlacedCall, place_request};
use super::traffic_context::elapsed_ms;
use crate::connection::AnswerResponse;

/// Answers a request of a caller.
pub async fn answer_caller(context: &TrafficContext, request: Request<Incoming>) -> AnswerResponse {
    let in_flight = context.begin();
    let arrived = Instant::now();
    let mut facts = EntryFacts::default();
    let placed = place_request(context, request, arrived, &mut facts).await;
    let mut response = match placed {
        Ok(placed) => answer_placed(context, &placed, &mut facts).await,
        Err(response) => response,
    };
    note_answer(context, &facts, &response, arrived);
    if context.shared.view.load().stopping {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response.body_mut().hold(in_flight);
    response
}

/// Runs the attempts of a placed request until its deadline.
async fn answer_placed(
    context: &TrafficContext,
    placed: &PlacedCall,
    facts: &mut EntryFacts,
) -> AnswerResponse {
    let deadline = placed.request.deadline;
    let attempts = run_attempts(context, placed, facts);
    let answered = tokio::select! {
        answered = tokio::time::timeout_at(deadline.into(), attempts) => answered.ok(),
        () = context.closing.notified() => {
            facts.outcome = "closing";
            return own_answer(StatusCode::BAD_GATEWAY, "the node ends", None);
        }
    };
    if let Some(response) = answered {
        return response;
    }
    facts.outcome = "late";
    own_answer(StatusCode::GATEWAY_TIMEOUT, "no answer in time", None)
}

/// What the log line of a request tells.
#[derive(Debug, Default)]
pub(super) struct EntryFacts {
    pub(super) id: Box<str>,
    pub(super) route: Box<str>,
    pub(super) service: Box<str>,
    pub(super) host: Box<str>,
    pub(super) sends: u32,
    pub(super) version: u64,
    pub(super) outcome: &'static str,
}

fn note_answer(
    context: &TrafficContext,
    facts: &EntryFacts,
    response: &AnswerResponse,
    arrived: Instant,
) {
    let metrics = &context.shared.metrics;
    let status = response.status();
    metrics.answers.with_label_values(&[&facts.route, facts.outcome, status.as_str()]).inc();
    metrics.latency.with_label_values(&[&facts.route]).observe(arrived.elapsed().as_secs_f64());
    context.log_decision(|left_out| {
        log::info!(
            request = &*facts.id, route = &*facts.route, service = &*facts.service,
            manifest = facts.version, host = &*facts.host, sends = facts.sends,
            outcome = facts.outcome, status = status.as_u16(),
            took_ms = elapsed_ms(arrived), left_out;
            "answer"
        );
    });
}
