//! Handles the requests of callers and those that other nodes forward.

use std::net::{IpAddr, TcpListener};
use std::pin::pin;
use std::sync::Arc;
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use firspindle_core::request::{RequestFailure, RequestVerdict};
use http::header::{CONNECTION, CONTENT_LENGTH};
use http::{HeaderValue, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::task::spawn_local;

use super::caller_request::RequestHead;
use super::entry_step::route;
use super::owner_step::run_locally;
use super::{CallerRequest, CallerResponse, TrafficContext};
use crate::connection::{StopServer, serve};
use crate::process::{ProcessError, unix_ms};

/// Most bytes of a refused request's body that are read and discarded.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;

/// Serves requests of callers, or requests of other nodes if `forwarded`.
///
/// # Errors
///
/// If the server cannot start.
pub fn serve_requests(
    listener: &TcpListener,
    workers: usize,
    context: &Arc<TrafficContext>,
    forwarded: bool,
) -> Result<StopServer, ProcessError> {
    let context = context.clone();
    let connections = context.connections.clone();
    serve(listener, workers, &connections, move |request, remote| {
        handle_request(context.clone(), request, remote, forwarded)
    })
}

/// Runs a forwarded request or routes a caller's, and responds.
async fn handle_request(
    context: Arc<TrafficContext>,
    request: Request<Incoming>,
    remote: IpAddr,
    forwarded: bool,
) -> Response<Full<Bytes>> {
    let in_flight = context.track_request();
    let arrived = Instant::now();
    let (parts, body) = request.into_parts();
    let head = RequestHead {
        method: &parts.method,
        path_and_query: parts.uri.path_and_query().map_or("/", |path| path.as_str()),
        headers: &parts.headers,
        forwarded,
        remote,
        now_ms: unix_ms(),
    };
    let (service, caller_response) = match read_request(&context, &head, body).await {
        Ok(request) => {
            let service = request.service.name.clone();
            (service, respond(&context, request, forwarded).await)
        }
        Err(failure) => ("".into(), CallerResponse::failed(&failure)),
    };
    if !forwarded {
        record_metrics(&context, &service, &caller_response, arrived);
    }
    let stopping = context.view.load().stopping;
    drop(in_flight);
    to_response(caller_response, stopping)
}

/// Runs a forwarded request or routes a caller's. A request that must not run twice goes on if this
/// future is dropped, so that its repeat gets its response.
async fn respond(
    context: &Arc<TrafficContext>,
    request: CallerRequest,
    forwarded: bool,
) -> CallerResponse {
    if request.operation.idempotent {
        return run_or_route(context, &request, forwarded).await;
    }
    let context = context.clone();
    let run = spawn_local(async move {
        let _in_flight = context.track_request();
        run_or_route(&context, &request, forwarded).await
    });
    run.await.unwrap_or_else(|_| CallerResponse::failed(&RequestFailure::ConnectionLost))
}

async fn run_or_route(
    context: &TrafficContext,
    request: &CallerRequest,
    forwarded: bool,
) -> CallerResponse {
    if forwarded {
        return run_locally(context, request).await;
    }
    let started = Instant::now();
    let caller_response = route(context, request).await.for_caller();
    if caller_response.verdict != RequestVerdict::Ran {
        log_failure(context, request, &caller_response, started);
    }
    caller_response
}

fn log_failure(
    context: &TrafficContext,
    request: &CallerRequest,
    caller_response: &CallerResponse,
    started: Instant,
) {
    let Some(left_out) = context.log_limiter.admit(unix_ms()) else { return };
    log::info!(
        service = &*request.service.name, key = &*request.key, request = request.id_text(),
        verdict = caller_response.verdict.as_str(), status = caller_response.status.as_u16(),
        reason:% = caller_response.body.trim_ascii().escape_ascii(),
        took_ms = started.elapsed().as_millis(), left_out;
        "request not served"
    );
}

fn record_metrics(
    context: &TrafficContext,
    service: &str,
    caller_response: &CallerResponse,
    arrived: Instant,
) {
    let metrics = &context.metrics;
    metrics.answers.with_label_values(&[service, caller_response.verdict.as_str()]).inc();
    metrics.latency.observe(arrived.elapsed().as_secs_f64());
    if caller_response.verdict != RequestVerdict::Ran {
        metrics.refusals.with_label_values(&[caller_response.status.as_str()]).inc();
    }
}

async fn read_request(
    context: &TrafficContext,
    head: &RequestHead<'_>,
    body: Incoming,
) -> Result<CallerRequest, RequestFailure> {
    let routes = context.view.load().routes.clone();
    let mut body = pin!(body);
    let checked = head.route(&routes).and_then(|(route, path)| head.read(&routes, route, path));
    let mut request = match checked {
        Ok(request) => request,
        Err(failure) => {
            discard(body).await;
            return Err(failure);
        }
    };
    let limit = request.service.body_limit;
    let declared = head.headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    let declared = declared.and_then(|text| text.parse::<usize>().ok());
    let mut bytes = BytesMut::new();
    let mut too_large = declared.is_some_and(|length| length > limit);
    while !too_large {
        match body.frame().await {
            Some(Ok(frame)) => bytes.extend_from_slice(&frame.into_data().unwrap_or_default()),
            Some(Err(_)) => return Err(RequestFailure::BodyTruncated),
            None => break,
        }
        too_large = bytes.len() > limit;
    }
    if too_large {
        discard(body).await;
        return Err(RequestFailure::BodyTooLarge { limit });
    }
    request.body = bytes.freeze();
    Ok(request)
}

/// Discards the rest of a body, up to a limit, so that its sender finishes sending and reads the
/// refusal.
async fn discard(mut body: std::pin::Pin<&mut Incoming>) {
    let mut size = 0;
    while let Some(Ok(frame)) = body.frame().await {
        size += frame.data_ref().map_or(0, Bytes::len);
        if size > MAX_DISCARDED_BYTES {
            return;
        }
    }
}

fn to_response(caller_response: CallerResponse, stopping: bool) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(caller_response.body));
    *response.status_mut() = caller_response.status;
    *response.headers_mut() = caller_response.headers;
    if stopping {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
