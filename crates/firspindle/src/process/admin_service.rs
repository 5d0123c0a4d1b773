//! HTTP server for administration, metrics and announcements of the upstream.

use std::convert::Infallible;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::time::Duration;

use arc_swap::ArcSwap;
use firspindle_core::version::{LogRecord, ManifestSpec, RecordBody};
use http::{HeaderValue, StatusCode};
use snafu::ResultExt;
use uuid::Uuid;
use xitca_web::body::ResponseBody;
use xitca_web::handler::FromRequest;
use xitca_web::handler::body::Limit;
use xitca_web::handler::handler_service;
use xitca_web::http::WebResponse;
use xitca_web::route::{get, post};
use xitca_web::{App, WebContext};

use super::check_command::MAX_MANIFEST_BYTES;
use super::process_error::{ProcessError, StartSnafu};
use super::status_page::StatusPage;
use super::{AnnounceBody, ControlEvent, LogClient, LogError};
use crate::connection::StopServer;
use crate::request::TrafficContext;
use firspindle_edge::boot_time;

/// Time after which the response to a posted manifest says that the verdict is unknown.
const VERDICT_TIMEOUT: Duration = Duration::from_secs(10);

/// Time between checks of the status while a posted manifest has no verdict.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Longest announcement of an upstream, in bytes.
const MAX_ANNOUNCE_BYTES: usize = 64 * 1024;

/// Time within which the body of a request arrives whole.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// State shared by the server's handlers.
#[derive(Clone)]
pub struct AdminState {
    /// Status; each update replaces the whole page.
    pub status: Arc<ArcSwap<StatusPage>>,
    /// State shared with the traffic threads.
    pub context: Arc<TrafficContext>,
    /// Sender of events to the control thread.
    pub tx: Sender<ControlEvent>,
    /// Client of the platform's log.
    pub log: LogClient,
}

/// Starts the server; returns the function that stops it.
///
/// # Errors
///
/// [`ProcessError::Start`] if the server cannot start.
pub fn serve_admin(listener: TcpListener, state: AdminState) -> Result<StopServer, ProcessError> {
    let server = App::new()
        .with_state(state)
        .at("/status", get(handler_service(status)))
        .at("/metrics", get(handler_service(metrics)))
        .at("/healthz", get(handler_service(health)))
        .at("/readyz", get(handler_service(ready)))
        .at("/owners", get(handler_service(owners)))
        .at("/manifests", post(handler_service(post_manifest)))
        .at("/announce", post(handler_service(announce)))
        .serve()
        .disable_signal()
        .worker_threads(1)
        .listen(listener)
        .context(StartSnafu)?;
    run_server(server.run())
}

/// Runs a server in its own thread.
fn run_server(mut server: xitca_server::ServerFuture) -> Result<StopServer, ProcessError> {
    let handle = server.handle().context(StartSnafu)?;
    std::thread::spawn(move || server.wait());
    Ok(Box::new(move || handle.stop(true)))
}

type HandlerResult = Result<WebResponse, Infallible>;

fn reply(status: StatusCode, content_type: &'static str, body: impl Into<String>) -> WebResponse {
    let body: String = body.into();
    let mut response = WebResponse::new(ResponseBody::bytes(body));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(http::header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

fn reply_json(status: StatusCode, body: &impl serde::Serialize) -> WebResponse {
    reply(status, "application/json", serde_json::to_string(body).unwrap_or_default())
}

fn current_status(state: &AdminState) -> StatusPage {
    let mut page = StatusPage::clone(&state.status.load());
    let now = u64::try_from(boot_time().as_micros()).unwrap_or(u64::MAX);
    let deadline = state.context.lease.deadline_micros();
    page.lease_left_ms = deadline.map_or(0, |deadline| deadline.saturating_sub(now) / 1000);
    page
}

async fn status(ctx: &WebContext<'_, AdminState>) -> HandlerResult {
    Ok(reply_json(StatusCode::OK, &current_status(ctx.state())))
}

async fn metrics(ctx: &WebContext<'_, AdminState>) -> HandlerResult {
    let context = &ctx.state().context;
    let lease = context.lease.deadline_micros().is_some();
    context.metrics.lease.set(i64::from(lease));
    let view = context.view.load();
    let waiting = view.upstream.as_ref().map_or(0, |upstream| upstream.waiting());
    context.metrics.queued.set(i64::try_from(waiting).unwrap_or(i64::MAX));
    Ok(reply(StatusCode::OK, "text/plain; version=0.0.4", context.metrics.render()))
}

async fn health() -> HandlerResult {
    Ok(reply(StatusCode::OK, "text/plain", "ok\n"))
}

/// Ready while a manifest is in force and the process does not shut down.
async fn ready(ctx: &WebContext<'_, AdminState>) -> HandlerResult {
    let view = ctx.state().context.view.load();
    let ready = view.routes.version > 0 && !view.stopping;
    Ok(match ready {
        true => reply(StatusCode::OK, "text/plain", "ready\n"),
        false => reply(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "not ready\n"),
    })
}

async fn owners(ctx: &WebContext<'_, AdminState>) -> HandlerResult {
    let uri = ctx.req().uri();
    let (service, key) = (query_value(uri, "service"), query_value(uri, "key"));
    let (Some(service), Some(key)) = (service, key) else {
        let text = "the query needs `service` and `key`\n";
        return Ok(reply(StatusCode::BAD_REQUEST, "text/plain", text));
    };
    let view = ctx.state().context.view.load();
    let Some(route) = view.routes.service(&service) else {
        return Ok(reply(StatusCode::NOT_FOUND, "text/plain", "no such service\n"));
    };
    let partition = route.partition(key.as_bytes());
    let partition_nodes = route.partition_nodes(partition);
    let hosts: Vec<_> = partition_nodes
        .iter()
        .filter_map(|node| view.routes.target(*node).map(|target| target.host.clone()))
        .collect();
    let fence = view.gate(partition).map(|gate| gate.fence().to_string());
    let body = serde_json::json!({
        "service": service, "key": key, "partition": partition,
        "line": partition_nodes, "hosts": hosts, "serving_here": fence.is_some(), "fence": fence,
    });
    Ok(reply_json(StatusCode::OK, &body))
}

fn query_value(uri: &http::Uri, name: &str) -> Option<String> {
    let mut pairs = uri.query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
}

/// Reads the body of a request; the error is the answer to one that is longer than `LIMIT` bytes, is no text,
/// or whose rest stays away.
async fn read_body<const LIMIT: usize>(
    ctx: &WebContext<'_, AdminState>,
) -> Result<String, WebResponse> {
    let reading = <(Vec<u8>, Limit<LIMIT>)>::from_request(ctx);
    let refuse = |status: StatusCode, reason: &'static str| {
        log::warn!(path = ctx.req().uri().path(), reason; "request refused");
        reply(status, "text/plain", reason)
    };
    match tokio::time::timeout(BODY_TIMEOUT, reading).await {
        Ok(Ok((body, _))) => String::from_utf8(body)
            .map_err(|_| refuse(StatusCode::BAD_REQUEST, "body is no text\n")),
        Ok(Err(_)) => Err(refuse(StatusCode::PAYLOAD_TOO_LARGE, "body too long or broken off\n")),
        Err(_) => Err(refuse(StatusCode::REQUEST_TIMEOUT, "body not received in time\n")),
    }
}

async fn announce(ctx: &WebContext<'_, AdminState>) -> HandlerResult {
    let body = match read_body::<MAX_ANNOUNCE_BYTES>(ctx).await {
        Ok(body) => body,
        Err(refusal) => return Ok(refusal),
    };
    let state = ctx.state();
    let body: AnnounceBody = match serde_json::from_str(&body) {
        Ok(body) => body,
        Err(error) => {
            return Ok(reply(StatusCode::BAD_REQUEST, "text/plain", format!("{error}\n")));
        }
    };
    let view = state.context.view.load();
    if let Some(upstream) = &view.upstream
        && upstream.boot_id == body.boot_id
    {
        upstream.record_activity();
    }
    let _ = state.tx.send(ControlEvent::Announce(body));
    // A leaving upstream may stop once its node serves no partition and no request is in flight.
    let released = view.gates.is_empty()
        && view.upstream.as_ref().is_none_or(|upstream| upstream.in_flight() == 0);
    Ok(reply_json(StatusCode::OK, &serde_json::json!({ "released": released })))
}

async fn post_manifest(ctx: &WebContext<'_, AdminState>) -> HandlerResult {
    let text = match read_body::<MAX_MANIFEST_BYTES>(ctx).await {
        Ok(text) => text,
        Err(refusal) => return Ok(refusal),
    };
    let state = ctx.state();
    let spec = match ManifestSpec::parse(&text) {
        Ok(spec) => spec,
        Err(error) => {
            let body = serde_json::json!({ "verdict": "refused", "reason": error.to_string() });
            return Ok(reply_json(StatusCode::UNPROCESSABLE_ENTITY, &body));
        }
    };
    let id = Uuid::new_v4();
    let body = RecordBody::Manifest { replaces: spec.replaces, text: text.into() };
    let record = LogRecord { id: id.as_u128(), body };
    let appended = state.log.append(record.encode()).await;
    if let Err(LogError::Refused { status }) = &appended {
        let reason = format!("the log refused the append: {status}");
        let body = serde_json::json!({ "verdict": "unknown", "reason": reason });
        return Ok(reply_json(StatusCode::SERVICE_UNAVAILABLE, &body));
    }
    Ok(await_verdict(state, id, spec.replaces, appended.ok()).await)
}

/// Waits until this node has folded the record, or another manifest that replaces the same version.
///
/// `offset` is `None` if the log did not answer the append; the record may have been appended.
async fn await_verdict(
    state: &AdminState,
    id: Uuid,
    replaces: u64,
    offset: Option<u64>,
) -> WebResponse {
    let id: Box<str> = id.to_string().into();
    let give_up_at = tokio::time::Instant::now() + VERDICT_TIMEOUT;
    while tokio::time::Instant::now() < give_up_at {
        let page = state.status.load();
        if page.manifest_record == id {
            let body =
                serde_json::json!({ "verdict": "accepted", "version": page.manifest_version });
            return reply_json(StatusCode::OK, &body);
        }
        let folded = offset.is_some_and(|offset| page.next_offset > offset);
        if page.manifest_version > replaces || folded {
            let reason = format!(
                "it replaces version {replaces}, and version {} is in force",
                page.manifest_version
            );
            let body = serde_json::json!({ "verdict": "refused", "reason": reason });
            return reply_json(StatusCode::CONFLICT, &body);
        }
        tokio::time::sleep(STATUS_POLL_INTERVAL).await;
    }
    let body = serde_json::json!({ "verdict": "unknown", "reason": "no word of the log" });
    reply_json(StatusCode::GATEWAY_TIMEOUT, &body)
}
