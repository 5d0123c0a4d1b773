//! Tells the limiter what is known of the upstream's cold time, and asks the upstream after a broken
//! connection.

use std::rc::Rc;
use std::time::Instant;

use firspindle_core::request::{ColdCause, ColdRule};
use firspindle_core::version::UpstreamInstance;
use firspindle_edge::{read_cold_time, read_load};
use http::HeaderMap;

use super::TrafficContext;
use super::crash_step::follow_instance;
use super::notice_step::check_limit;

/// Tells the limiter what the control thread knows of the upstream, and lets it apply the passing of
/// time.
pub(crate) fn sync_upstream(context: &TrafficContext) {
    let view = context.shared.view.load();
    let Some(upstream) = &view.upstream else { return };
    context.limiter.resize(upstream.slots);
    if let Some(manifest) = &view.manifest {
        let bounds = &context.settings.bounds;
        let terms = manifest.service(&upstream.service).and_then(|service| service.cold);
        let rule = terms.map(|terms| ColdRule {
            terms,
            factor: bounds.cold_factor,
            allowance: bounds.cold_allowance,
        });
        context.limiter.set_cold_rule(rule);
    }
    context.limiter.set_instance(&upstream.instance);
    follow_instance(context, upstream);
    if let Some(report) = &upstream.cold_report {
        let age = context.clock.now().saturating_duration_since(report.at);
        context.limiter.note_heartbeat(report.at, age, report.remaining);
    }
    // Upstreams may become cold when the evacuation ends, which an earlier heartbeat cannot say.
    let now = context.clock.now();
    let is_evacuated = upstream.evacuation_closes_at.is_some_and(|at| now >= at);
    let was_evacuated = context.was_evacuated.replace(is_evacuated);
    if is_evacuated || was_evacuated {
        context.limiter.distrust(ColdCause::Evacuation);
    }
    context.limiter.advance_cold();
}

/// Notes that the connection to the upstream broke while it ran a request.
pub(super) fn note_break(context: &TrafficContext) {
    context.limiter.distrust(ColdCause::BrokenConnection);
    context.break_notify.notify_one();
}

/// Asks the upstream for its cold time after its connection broke, once for each time that the limiter
/// says so.
pub(crate) async fn check_after_breaks(context: Rc<TrafficContext>) {
    loop {
        context.break_notify.notified().await;
        if context.limiter.take_cold_check() {
            check_limit(&context).await;
        }
    }
}

/// Notes the cold time in the answer of the expected instance to a health check that was sent at
/// `sent_at`.
pub(super) fn note_cold_time(context: &TrafficContext, headers: &HeaderMap, sent_at: Instant) {
    match read_cold_time(headers, &context.headers.cold_ms) {
        Ok(Some(remaining)) => context.limiter.note_cold_time(remaining, sent_at),
        Ok(None) => {}
        Err(_) => note_invalid(context, "cold"),
    }
}

/// Notes the load that an instance reported in an answer.
pub(super) fn note_load(
    context: &TrafficContext,
    instance: &UpstreamInstance,
    headers: &HeaderMap,
) {
    match read_load(headers, &context.headers.load) {
        Ok(Some(report)) => context.limiter.note_load(instance, report),
        Ok(None) => {}
        Err(_) => note_invalid(context, "load"),
    }
}

/// Counts and logs a report of the upstream that is ignored as malformed.
fn note_invalid(context: &TrafficContext, header: &'static str) {
    context.shared.metrics.upstream.invalid_reports.with_label_values(&[header]).inc();
    context.log_rate_limited(|left_out| {
        log::warn!(header, left_out; "invalid report of the upstream ignored");
    });
}
