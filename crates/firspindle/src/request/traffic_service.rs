//! HTTP servers for the requests of callers and for those that other nodes forward.

use std::convert::Infallible;
use std::net::TcpListener;
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use firspindle_core::request::{RequestFailure, RequestVerdict};
use http::HeaderValue;
use http::header::{CONNECTION, CONTENT_LENGTH};
use snafu::ResultExt;
use xitca_web::body::{BodyExt, RequestBody, ResponseBody};
use xitca_web::handler::body::Body;
use xitca_web::handler::handler_service;
use xitca_web::http::WebResponse;
use xitca_web::{App, WebContext};

use super::caller_request::RequestHead;
use super::entry_step::route;
use super::owner_step::run_locally;
use super::{CallerRequest, CallerResponse, TrafficContext};
use crate::process::{ProcessError, StartSnafu, unix_ms};

/// Time after which an idle connection is closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(60);

/// Most headers in one request; the HTTP library refuses a request with more.
const MAX_HEADERS: usize = 128;

/// Most bytes of a refused request's body that are read and discarded.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;

/// Stops a server gracefully: it exits once its connections have ended.
pub type StopServer = Box<dyn Fn() + Send>;

/// State that the handlers of one server share.
#[derive(Debug, Clone)]
struct ServerState {
    context: Arc<TrafficContext>,
    /// Whether the requests come from other nodes.
    forwarded: bool,
}

/// Serves requests of callers, or requests of other nodes if `forwarded`.
///
/// # Errors
///
/// If the server cannot start.
pub fn serve_requests(
    listener: TcpListener,
    workers: usize,
    context: Arc<TrafficContext>,
    forwarded: bool,
) -> Result<StopServer, ProcessError> {
    let state = ServerState { context, forwarded };
    let server = App::new()
        .with_state(state)
        .at("/", handler_service(handle_request))
        .at("/{*}", handler_service(handle_request))
        .serve()
        .disable_signal()
        .worker_threads(workers)
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
        .max_request_headers::<MAX_HEADERS>()
        .listen(listener)
        .context(StartSnafu)?;
    run_server(server.run())
}

/// Runs a server in its own thread.
pub(crate) fn run_server(
    mut server: xitca_server::ServerFuture,
) -> Result<StopServer, ProcessError> {
    let handle = server.handle().context(StartSnafu)?;
    std::thread::spawn(move || server.wait());
    Ok(Box::new(move || handle.stop(true)))
}

/// Runs a forwarded request or routes a caller's, and responds.
async fn handle_request(
    ctx: &WebContext<'_, ServerState>,
    Body(body): Body<RequestBody>,
) -> Result<WebResponse, Infallible> {
    let state = ctx.state();
    let context = &state.context;
    let in_flight = context.track_request();
    let arrived = Instant::now();
    let request = ctx.req();
    let head = RequestHead {
        method: request.method(),
        path_and_query: request.uri().path_and_query().map_or("/", |path| path.as_str()),
        headers: request.headers(),
        forwarded: state.forwarded,
        remote: request.body().socket_addr().ip(),
        now_ms: unix_ms(),
    };
    let (service, caller_response) = match read_request(context, &head, body).await {
        Ok(request) if state.forwarded => {
            (request.service.name.clone(), run_locally(context, &request).await)
        }
        Ok(request) => (request.service.name.clone(), route(context, &request).await),
        Err(failure) => ("".into(), CallerResponse::failed(&failure)),
    };
    if !state.forwarded {
        record_metrics(context, &service, &caller_response, arrived);
    }
    let stopping = context.view.load().stopping;
    drop(in_flight);
    Ok(to_response(caller_response, stopping))
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
    body: RequestBody,
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
        match body.data().await {
            Some(Ok(data)) => bytes.extend_from_slice(&data),
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
async fn discard(mut body: std::pin::Pin<&mut RequestBody>) {
    let mut size = 0;
    while let Some(Ok(data)) = body.data().await {
        size += data.len();
        if size > MAX_DISCARDED_BYTES {
            return;
        }
    }
}

fn to_response(caller_response: CallerResponse, stopping: bool) -> WebResponse {
    let mut response = WebResponse::new(ResponseBody::bytes(caller_response.body));
    *response.status_mut() = caller_response.status;
    *response.headers_mut() = caller_response.headers;
    if stopping {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
