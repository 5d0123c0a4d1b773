//! HTTP server for readiness checks, heartbeats and leaves of the upstream, health checks,
//! the manifest in force and metrics.

use std::convert::Infallible;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use firspindle_core::connection::UpstreamReport;
use firspindle_edge::DecodeError;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, StatusCode};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use xitca_web::body::ResponseBody;
use xitca_web::handler::FromRequest;
use xitca_web::handler::body::Limit;
use xitca_web::handler::handler_service;
use xitca_web::http::WebResponse;
use xitca_web::{App, WebContext};

use super::ControlEvent;
use crate::request::SharedState;

/// Longest body of a request, in bytes: a heartbeat that frees some thousand ranges of keys.
const MAX_BODY_BYTES: usize = 256 * 1024;

/// Time within which the body of a request arrives whole.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Decodes the report that a heartbeat carries, from the upstream's id in the path and from the
/// body.
pub(crate) type ReportDecoder =
    Arc<dyn Fn(&str, &[u8]) -> Result<UpstreamReport, DecodeError> + Send + Sync>;

/// State shared by the server's handlers.
#[derive(Clone)]
pub(crate) struct AdminState {
    pub(crate) shared: Arc<SharedState>,
    pub(crate) tx: UnboundedSender<ControlEvent>,
    pub(crate) decode: ReportDecoder,
    /// Path prefix of the upstream's requests: its heartbeats, which carry the reports, and the
    /// DELETE request with which it leaves. The upstream's id follows the prefix.
    pub(crate) report_path: &'static str,
}

/// Starts a thread that serves the listeners until the process ends.
pub(crate) fn serve_admin(listeners: Vec<TcpListener>, state: AdminState) -> std::io::Result<()> {
    let mut server = App::new()
        .with_state(state)
        .at("/{*}", handler_service(answer))
        .serve()
        .disable_signal()
        .worker_threads(1);
    for listener in listeners {
        server = server.listen(listener)?;
    }
    let future = server.run();
    std::thread::spawn(move || future.wait());
    Ok(())
}

fn reply(status: StatusCode, kind: &'static str, body: impl Into<Bytes>) -> WebResponse {
    let mut response = WebResponse::new(ResponseBody::bytes(body.into()));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}

/// Reads the body of a request; the error is the answer to one that is too long, or whose rest stays
/// away.
async fn read_body(ctx: &WebContext<'_, AdminState>) -> Result<Vec<u8>, WebResponse> {
    let reading = <(Vec<u8>, Limit<MAX_BODY_BYTES>)>::from_request(ctx);
    let refuse = |status: StatusCode, reason: &'static str| {
        log::warn!(path = ctx.req().uri().path(), reason; "request refused");
        reply(status, "text/plain", reason)
    };
    match tokio::time::timeout(BODY_TIMEOUT, reading).await {
        Ok(Ok((body, _))) => Ok(body),
        Ok(Err(_)) => Err(refuse(StatusCode::PAYLOAD_TOO_LARGE, "body too long or broken off\n")),
        Err(_) => Err(refuse(StatusCode::REQUEST_TIMEOUT, "body not received in time\n")),
    }
}

async fn answer(ctx: &WebContext<'_, AdminState>) -> Result<WebResponse, Infallible> {
    let body = match read_body(ctx).await {
        Ok(body) => body,
        Err(refusal) => return Ok(refusal),
    };
    let state = ctx.state();
    let path = ctx.req().uri().path().to_owned();
    let method = ctx.req().method().clone();
    if let Some(id) = path.strip_prefix(state.report_path) {
        return Ok(answer_upstream(state, &method, id, &body).await);
    }
    Ok(match &*path {
        "/readyz" => readiness(state),
        "/manifest" if method == Method::GET => manifest_in_force(state),
        "/healthz" => reply(StatusCode::OK, "text/plain", "ok\n"),
        "/metrics" => {
            let text = state.shared.metrics.render();
            reply(StatusCode::OK, "text/plain; version=0.0.4", text)
        }
        _ => reply(StatusCode::NOT_FOUND, "text/plain", "no such page\n"),
    })
}

/// Answers with the manifest in force as the operator wrote it.
fn manifest_in_force(state: &AdminState) -> WebResponse {
    let view = state.shared.view.load();
    if view.manifest.is_none() {
        let reason = "no manifest is known yet\n";
        return reply(StatusCode::SERVICE_UNAVAILABLE, "text/plain", reason);
    }
    reply(StatusCode::OK, "application/json", view.snapshot.manifest.clone())
}

fn readiness(state: &AdminState) -> WebResponse {
    if state.shared.view.load().ready {
        return reply(StatusCode::OK, "text/plain", "ready\n");
    }
    reply(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "not ready\n")
}

async fn answer_upstream(
    state: &AdminState,
    method: &Method,
    id: &str,
    body: &[u8],
) -> WebResponse {
    // A process that stops, or whose store does not answer, acknowledges no leave.
    let unacknowledged =
        || reply(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "not acknowledged\n");
    if method == Method::DELETE {
        let (tx, rx) = oneshot::channel();
        let _ = state.tx.send(ControlEvent::Leave(id.into(), tx));
        return match rx.await {
            Ok(()) => reply(StatusCode::OK, "application/json", "{}"),
            Err(_) => unacknowledged(),
        };
    }
    let refused = |error: &dyn std::fmt::Display| {
        log::warn!(id, error:%; "heartbeat refused");
        reply(StatusCode::BAD_REQUEST, "text/plain", error.to_string())
    };
    let report = match (state.decode)(id, body) {
        Ok(report) => Box::new(report),
        Err(error) => return refused(&error),
    };
    let (tx, rx) = oneshot::channel();
    let _ = state.tx.send(ControlEvent::Report(report, tx));
    match rx.await {
        Ok(Ok(body)) => reply(StatusCode::OK, "application/json", body),
        Ok(Err(refusal)) => refused(&refusal),
        Err(_) => unacknowledged(),
    }
}
