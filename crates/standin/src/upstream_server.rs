//! An upstream over HTTP.
//!
//! The query of a request controls its run: `work_ms` sets its duration, `size` the length of the
//! response body in bytes, `crash=1` aborts the process, `cut=1` ends the response early and `refuse` is the
//! status with which it is refused.
//!
//! - `GET /journal` lists the runs that took effect.
//! - `GET /running` returns the number of requests in progress.
//! - `POST /grant` extends the grant of a holder.
//! - `POST /say` sets what all later answers say: `limit` the requests per second that it takes, which it
//!   announces too, and `leaving=1` that it leaves, without announcing that. `refuse` is the status with which all later
//!   requests are refused. With `in_runs=1`, refusals name no limit.
//! - `GET /arrivals` lists when requests arrived, refused ones included, in microseconds of boot time.
//! - `POST /misreport` makes the upstream announce that no requests are in progress.

use std::cell::{Cell, RefCell};
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use clap::Args;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;

use crate::boot_time::boot_micros;
use crate::grant_check::{GrantCheck, GrantHeaders};
use crate::http_server::{self, FullResponse, new_response, query_parameter};
use crate::upstream_journal::JournalRow;

/// Time between two announcements to the node.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(200);

/// Time after which a leaving upstream exits even if its node has not released it.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(20);

/// Command-line arguments of the upstream.
#[derive(Args, Clone)]
pub struct UpstreamArgs {
    /// Address to listen on.
    #[arg(long)]
    listen: SocketAddr,
    /// URL of the administration address of the node on the same host.
    #[arg(long)]
    announce: String,
    /// Name of the service that it runs.
    #[arg(long)]
    service: String,
    /// Number of requests that it runs concurrently.
    #[arg(long, default_value_t = 10)]
    slots: u32,
    /// Maximum number of requests in progress, running or waiting for a slot; more are refused.
    #[arg(long, default_value_t = 130)]
    connections: u32,
    /// Whether it refuses requests without a valid grant and fencing token.
    #[arg(long, default_value_t = true, action = clap::ArgAction::Set)]
    checks_grants: bool,
    /// Duration of a request without `work_ms`, in milliseconds.
    #[arg(long, default_value_t = 0)]
    work_ms: u64,
    /// Time after the start during which work takes four times as long, in milliseconds.
    #[arg(long, default_value_t = 0)]
    cold_ms: u64,
    /// File to which the journal is also appended, so that it survives the process.
    #[arg(long)]
    journal: Option<std::path::PathBuf>,
}

struct UpstreamState {
    args: UpstreamArgs,
    boot_id: u128,
    started: Instant,
    grants: RefCell<GrantCheck>,
    journal: RefCell<Vec<JournalRow>>,
    running: Cell<u32>,
    /// Slots for concurrent work; further requests wait in order of arrival.
    slots: tokio::sync::Semaphore,
    leaving: Cell<bool>,
    reports_idle: Cell<bool>,
    /// Limit that all answers name, in requests per second.
    limit: Cell<Option<u32>>,
    /// Whether refusals name no limit.
    limits_in_runs: Cell<bool>,
    /// Whether all answers say that it leaves.
    says_leaving: Cell<bool>,
    /// Status with which all requests are refused.
    refuses_with: Cell<Option<u16>>,
    /// Boot times at which requests arrived, in microseconds.
    arrivals: RefCell<Vec<u64>>,
}

impl UpstreamState {
    fn append_to_journal(&self, row: JournalRow) {
        if let Some(path) = &self.args.journal {
            let mut line = serde_json::to_string(&row).expect("journal rows can be encoded");
            line.push('\n');
            let file = std::fs::File::options().create(true).append(true).open(path);
            file.and_then(|mut file| file.write_all(line.as_bytes()))
                .expect("the journal can be written");
        }
        self.journal.borrow_mut().push(row);
    }
}

/// Serves the upstream. After `SIGTERM` the process exits when its node has released it and no
/// request is in progress, or after [`LEAVE_TIMEOUT`].
pub async fn serve(args: UpstreamArgs) -> std::io::Result<()> {
    let listen = args.listen;
    let slot_count = args.slots as usize;
    let state = Rc::new(UpstreamState {
        args,
        boot_id: uuid::Uuid::new_v4().as_u128(),
        started: Instant::now(),
        grants: RefCell::default(),
        journal: RefCell::default(),
        running: Cell::new(0),
        slots: tokio::sync::Semaphore::new(slot_count),
        leaving: Cell::new(false),
        reports_idle: Cell::new(false),
        limit: Cell::new(None),
        limits_in_runs: Cell::new(false),
        says_leaving: Cell::new(false),
        refuses_with: Cell::new(None),
        arrivals: RefCell::default(),
    });
    let tasks = tokio::task::LocalSet::new();
    let handler = {
        let state = state.clone();
        move |request| handle(state.clone(), request)
    };
    tasks.spawn_local(leave_on_sigterm(state.clone()));
    tasks.spawn_local(announce(state));
    tasks.run_until(http_server::serve(listen, handler)).await
}

async fn leave_on_sigterm(state: Rc<UpstreamState>) {
    use tokio::signal::unix::{SignalKind, signal};
    let Ok(mut terminate) = signal(SignalKind::terminate()) else { return };
    terminate.recv().await;
    state.leaving.set(true);
    tokio::time::sleep(LEAVE_TIMEOUT).await;
    std::process::exit(0);
}

#[derive(Deserialize)]
struct AnnounceReply {
    released: bool,
}

async fn announce(state: Rc<UpstreamState>) {
    let client: Client<HttpConnector, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    loop {
        let leaving = state.leaving.get();
        let reply = send_announcement(&state, &client).await;
        if leaving && reply.is_some_and(|reply| reply.released) && state.running.get() == 0 {
            std::process::exit(0);
        }
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}

async fn send_announcement(
    state: &UpstreamState,
    client: &Client<HttpConnector, Full<Bytes>>,
) -> Option<AnnounceReply> {
    let args = &state.args;
    let running = if state.reports_idle.get() { 0 } else { state.running.get() };
    let body = serde_json::json!({
        "service": args.service,
        "address": args.listen,
        "slots": args.slots,
        "connections": args.connections,
        "checks_grants": args.checks_grants,
        "boot_id": format!("{:032x}", state.boot_id),
        "running": running,
        "leaving": state.leaving.get(),
        "limit": state.limit.get().map(|limit| limit.to_string()),
    });
    let request = Request::post(format!("{}/announce", args.announce))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body.to_string())))
        .ok()?;
    let response = client.request(request).await.ok()?;
    let body = response.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&body).ok()
}

async fn handle(state: Rc<UpstreamState>, request: Request<Incoming>) -> Option<FullResponse> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/journal") => {
            let rows = serde_json::to_string(&*state.journal.borrow())
                .expect("journal rows can be encoded");
            Some(new_response(200, rows))
        }
        (&Method::GET, "/running") => Some(new_response(200, state.running.get().to_string())),
        (&Method::GET, "/arrivals") => {
            let rows =
                serde_json::to_string(&*state.arrivals.borrow()).expect("numbers can be encoded");
            Some(new_response(200, rows))
        }
        (&Method::GET, "/health") => Some(new_response(200, "ok")),
        (&Method::POST, "/say") => {
            state.limit.set(query_parameter(request.uri(), "limit"));
            state.limits_in_runs.set(query_parameter::<u8>(request.uri(), "in_runs") == Some(1));
            state.says_leaving.set(query_parameter::<u8>(request.uri(), "leaving") == Some(1));
            state.refuses_with.set(query_parameter(request.uri(), "refuse"));
            Some(new_response(200, ""))
        }
        (&Method::POST, "/misreport") => {
            state.reports_idle.set(true);
            Some(new_response(200, ""))
        }
        (&Method::POST, "/grant") => {
            let holder = query_parameter(request.uri(), "holder")?;
            let deadline = query_parameter(request.uri(), "deadline")?;
            state.grants.borrow_mut().extend_grant(holder, deadline);
            Some(new_response(200, ""))
        }
        _ => run(&state, request).await.map(|response| add_notices(&state, response)),
    }
}

/// Adds to an answer what the upstream says about itself.
fn add_notices(state: &UpstreamState, mut response: FullResponse) -> FullResponse {
    let headers = response.headers_mut();
    let refused = headers.contains_key("firspindle-verdict");
    if let Some(limit) = state.limit.get()
        && !(refused && state.limits_in_runs.get())
    {
        headers.insert("firspindle-limit", http::HeaderValue::from(limit));
    }
    if state.says_leaving.get() {
        headers.insert("firspindle-leaving", http::HeaderValue::from_static("1"));
    }
    response
}

async fn run(state: &UpstreamState, request: Request<Incoming>) -> Option<FullResponse> {
    state.arrivals.borrow_mut().push(boot_micros());
    let grant = GrantHeaders::read(request.headers());
    let grant_required = state.args.checks_grants;
    let (parts, body) = request.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    let refuses_with = state.refuses_with.get().or(query_parameter(&parts.uri, "refuse"));
    if let Some(status) = refuses_with {
        let mut refusal = refusal_response(status, "told to refuse");
        refusal.headers_mut().insert("retry-after", http::HeaderValue::from_static("7"));
        return Some(refusal);
    }
    let may_start = grant.as_ref().is_some_and(|grant| state.grants.borrow_mut().try_start(grant));
    if grant_required && !may_start {
        return Some(refusal_response(421, "no grant"));
    }
    if state.running.get() >= state.args.connections {
        return Some(refusal_response(503, "shedding load"));
    }
    let guard = RunningGuard::new(state);
    let slot = state.slots.acquire().await.ok()?;
    let start = boot_micros();
    if query_parameter::<u8>(&parts.uri, "crash").is_some() {
        std::process::abort();
    }
    let work = query_parameter(&parts.uri, "work_ms").unwrap_or(state.args.work_ms);
    let cold = state.started.elapsed() < Duration::from_millis(state.args.cold_ms);
    let work = if cold { work * 4 } else { work };
    if work > 0 {
        tokio::time::sleep(Duration::from_millis(work)).await;
    }
    let may_commit =
        grant.as_ref().is_some_and(|grant| state.grants.borrow().may_take_effect(grant));
    if grant_required && !may_commit {
        return Some(refusal_response(421, "the grant ended before the work took effect"));
    }
    let header = |name: &str| {
        let value = parts.headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let row = JournalRow {
        key: header("firspindle-key"),
        id: header("idempotency-key"),
        method: parts.method.to_string(),
        path: parts.uri.path().to_owned(),
        fence: header("firspindle-fence"),
        start,
        end: boot_micros(),
    };
    let summary = format!("{} {} {} {}", row.method, row.path, row.key, row.id);
    state.append_to_journal(row);
    drop(slot);
    drop(guard);
    Some(success_response(&parts.uri, &summary, &body))
}

fn success_response(uri: &http::Uri, summary: &str, body: &[u8]) -> FullResponse {
    let mut summary = format!("{summary} {}\n", body.len());
    if let Some(size) = query_parameter::<usize>(uri, "size") {
        summary.extend(std::iter::repeat_n('x', size.saturating_sub(summary.len())));
    }
    let length = summary.len();
    let cut = query_parameter::<u8>(uri, "cut").is_some();
    if cut {
        summary.truncate(length / 2);
    }
    let mut success = new_response(200, summary);
    success.headers_mut().insert("content-type", http::HeaderValue::from_static("text/plain"));
    if cut {
        // The server closes the connection when the body is shorter than its content-length.
        success.headers_mut().insert("content-length", http::HeaderValue::from(length));
    }
    success
}

/// Returns a refusal that states that the request did not run.
fn refusal_response(status: u16, reason: &'static str) -> FullResponse {
    let mut refusal = new_response(status, reason);
    refusal.headers_mut().insert("firspindle-verdict", http::HeaderValue::from_static("not-run"));
    refusal
}

/// Counts a request as running until dropped, which also happens when the caller disconnects.
struct RunningGuard<'a>(&'a UpstreamState);

impl<'a> RunningGuard<'a> {
    fn new(state: &'a UpstreamState) -> Self {
        state.running.set(state.running.get() + 1);
        Self(state)
    }
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
    }
}
