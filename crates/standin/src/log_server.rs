//! The platform's log service over HTTP.
//!
//! - `POST /append` appends the body as a record and returns its offset.
//! - `GET /records?from=N&wait_ms=M` returns the records from offset N on, and waits up to M ms for
//!   one to be appended; status 410 if the offset has expired or is beyond the next one.
//! - `GET /bounds` returns the first retained offset and the next one.
//! - `POST /restore?end=N&lost_ms=M` puts an older copy in place of the log: it drops the records
//!   from offset N on and those of the last M ms, and raises the log's epoch.
//! - `POST /faults` replaces the injected faults.
//!
//! All answers of a log that is not down name its epoch in the header `Firspindle-Log-Epoch`.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use clap::Args;
use http::{HeaderValue, Method, Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::http_server::{self, FullResponse, new_response, query_parameter};
use crate::log_store::LogStore;

/// Header that names the log's epoch.
const EPOCH_HEADER: &str = "firspindle-log-epoch";

/// Command-line arguments of the log service.
#[derive(Args)]
pub struct LogArgs {
    /// Address to listen on.
    #[arg(long)]
    listen: SocketAddr,
    /// Time for which records are retained, in milliseconds; without it they never expire.
    #[arg(long)]
    retention_ms: Option<u64>,
    /// Appends accepted per second; more are rejected with status 429.
    #[arg(long)]
    appends_per_second: Option<u32>,
}

/// Injected faults; all off by default.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default)]
struct LogFaults {
    /// Whether every call fails with status 503.
    down: bool,
    /// Delay before each call, in milliseconds.
    slow_ms: u64,
    /// Whether appends take effect but their responses are lost.
    lose_answers: bool,
}

struct LogState {
    store: RefCell<LogStore>,
    faults: RefCell<LogFaults>,
    appended: Notify,
}

/// Serves the log until accepting a connection fails.
pub async fn serve(args: LogArgs) -> std::io::Result<()> {
    let retention = args.retention_ms.map(Duration::from_millis);
    let state = Rc::new(LogState {
        store: RefCell::new(LogStore::new(retention, args.appends_per_second)),
        faults: RefCell::default(),
        appended: Notify::new(),
    });
    let tasks = tokio::task::LocalSet::new();
    let handler = move |request| handle(state.clone(), request);
    tasks.run_until(http_server::serve(args.listen, handler)).await
}

async fn handle(state: Rc<LogState>, request: Request<Incoming>) -> Option<FullResponse> {
    let mut response = answer(&state, request).await?;
    if response.status() != StatusCode::SERVICE_UNAVAILABLE {
        let epoch = HeaderValue::from(state.store.borrow().epoch());
        response.headers_mut().insert(EPOCH_HEADER, epoch);
    }
    Some(response)
}

async fn answer(state: &LogState, request: Request<Incoming>) -> Option<FullResponse> {
    if request.uri().path() == "/faults" {
        return Some(set_faults(state, request).await);
    }
    if request.uri().path() == "/restore" {
        return Some(restore(state, &request));
    }
    let faults = *state.faults.borrow();
    if faults.slow_ms > 0 {
        tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
    }
    if faults.down {
        return Some(new_response(503, "the log is down"));
    }
    match (request.method(), request.uri().path()) {
        (&Method::POST, "/append") => append(state, request).await,
        (&Method::GET, "/bounds") => {
            let (first, next) = state.store.borrow_mut().bounds();
            let body = serde_json::json!({ "first": first, "next": next });
            Some(new_response(200, body.to_string()))
        }
        (&Method::GET, "/records") => Some(read_records(state, &request).await),
        _ => Some(new_response(404, "no such call")),
    }
}

async fn append(state: &LogState, request: Request<Incoming>) -> Option<FullResponse> {
    let body = request.into_body().collect().await.ok()?.to_bytes();
    if !state.store.borrow_mut().take_token() {
        return Some(new_response(429, "too many appends"));
    }
    let offset = state.store.borrow_mut().append(body.to_vec());
    state.appended.notify_waiters();
    if state.faults.borrow().lose_answers {
        return None;
    }
    Some(new_response(200, serde_json::json!({ "offset": offset }).to_string()))
}

async fn read_records(state: &LogState, request: &Request<Incoming>) -> FullResponse {
    let from: u64 = query_parameter(request.uri(), "from").unwrap_or(1);
    let wait = Duration::from_millis(query_parameter(request.uri(), "wait_ms").unwrap_or(0));
    let appended = state.appended.notified();
    if state.store.borrow_mut().bounds().1 == from {
        let _ = tokio::time::timeout(wait, appended).await;
    }
    if state.faults.borrow().down {
        return new_response(503, "the log is down");
    }
    match state.store.borrow_mut().read(from) {
        Some(records) => {
            new_response(200, postcard::to_stdvec(&records).expect("records can be encoded"))
        }
        None => new_response(410, "the log does not have the offset"),
    }
}

/// Reads that wait for a record are answered at once, as connections break when a log comes back.
fn restore(state: &LogState, request: &Request<Incoming>) -> FullResponse {
    let end = query_parameter(request.uri(), "end").unwrap_or(u64::MAX);
    let lost_time = Duration::from_millis(query_parameter(request.uri(), "lost_ms").unwrap_or(0));
    let next = state.store.borrow_mut().restore(end, lost_time);
    state.appended.notify_waiters();
    new_response(200, serde_json::json!({ "next": next }).to_string())
}

async fn set_faults(state: &LogState, request: Request<Incoming>) -> FullResponse {
    let Ok(body) = request.into_body().collect().await else { return new_response(400, "no body") };
    match serde_json::from_slice(&body.to_bytes()) {
        Ok(faults) => {
            *state.faults.borrow_mut() = faults;
            new_response(200, "")
        }
        Err(error) => new_response(400, error.to_string()),
    }
}
