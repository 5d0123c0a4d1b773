//! The platform's log over HTTP.
//!
//! `POST /append` stores the body and answers its offset. `GET /records?from=N&wait_ms=M` gives
//! records, or 410 where the offset has expired. `GET /bounds` gives the first and the next
//! offset. `POST /faults` sets faults.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use clap::Args;
use http::{Method, Request};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::http_server::{self, Answer, answer, query};
use crate::log_store::LogStore;

/// Settings of the log.
#[derive(Args)]
pub struct LogArgs {
    /// Address to listen on.
    #[arg(long)]
    listen: SocketAddr,
    /// Time for which records are kept, in milliseconds.
    #[arg(long)]
    retention_ms: Option<u64>,
    /// Appends accepted in a second; more are answered 429.
    #[arg(long)]
    appends_per_second: Option<u32>,
}

/// Faults, all off by default.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default)]
struct LogFaults {
    /// Every call is answered 503.
    down: bool,
    /// Delay before each call, in milliseconds.
    slow_ms: u64,
    /// Appends take effect, and their answers are lost.
    lose_answers: bool,
}

struct LogState {
    store: RefCell<LogStore>,
    faults: RefCell<LogFaults>,
    grown: Notify,
}

/// Serves the log until the process ends.
pub async fn serve(args: LogArgs) -> std::io::Result<()> {
    let retention = args.retention_ms.map(Duration::from_millis);
    let state = Rc::new(LogState {
        store: RefCell::new(LogStore::new(retention, args.appends_per_second)),
        faults: RefCell::default(),
        grown: Notify::new(),
    });
    let tasks = tokio::task::LocalSet::new();
    let handler = move |request| handle(state.clone(), request);
    tasks.run_until(http_server::serve(args.listen, handler)).await
}

async fn handle(state: Rc<LogState>, request: Request<Incoming>) -> Option<Answer> {
    if request.uri().path() == "/faults" {
        return Some(set_faults(&state, request).await);
    }
    let faults = *state.faults.borrow();
    if faults.slow_ms > 0 {
        tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
    }
    if faults.down {
        return Some(answer(503, "the log is down"));
    }
    match (request.method(), request.uri().path()) {
        (&Method::POST, "/append") => append(&state, request).await,
        (&Method::GET, "/bounds") => {
            let (first, next) = state.store.borrow_mut().bounds();
            let body = serde_json::json!({ "first": first, "next": next });
            Some(answer(200, body.to_string()))
        }
        (&Method::GET, "/records") => Some(read(&state, &request).await),
        _ => Some(answer(404, "no such call")),
    }
}

async fn append(state: &LogState, request: Request<Incoming>) -> Option<Answer> {
    let body = request.into_body().collect().await.ok()?.to_bytes();
    if !state.store.borrow_mut().admit() {
        return Some(answer(429, "too many appends"));
    }
    let offset = state.store.borrow_mut().append(body.to_vec());
    state.grown.notify_waiters();
    if state.faults.borrow().lose_answers {
        return None;
    }
    Some(answer(200, serde_json::json!({ "offset": offset }).to_string()))
}

async fn read(state: &LogState, request: &Request<Incoming>) -> Answer {
    let from: u64 = query(request.uri(), "from").unwrap_or(1);
    let wait = Duration::from_millis(query(request.uri(), "wait_ms").unwrap_or(0));
    let grown = state.grown.notified();
    if state.store.borrow_mut().bounds().1 <= from {
        let _ = tokio::time::timeout(wait, grown).await;
    }
    if state.faults.borrow().down {
        return answer(503, "the log is down");
    }
    match state.store.borrow_mut().read(from) {
        Some(records) => answer(200, postcard::to_stdvec(&records).expect("records always encode")),
        None => answer(410, "the offset has expired"),
    }
}

async fn set_faults(state: &LogState, request: Request<Incoming>) -> Answer {
    let Ok(body) = request.into_body().collect().await else { return answer(400, "no body") };
    match serde_json::from_slice(&body.to_bytes()) {
        Ok(faults) => {
            *state.faults.borrow_mut() = faults;
            answer(200, "")
        }
        Err(error) => answer(400, error.to_string()),
    }
}
