//! An upstream over HTTP.
//!
//! A request's query shapes its run: `work_ms`, `size` (bytes of the answer), `crash=1` (the
//! process aborts), `cut=1` (the answer ends early). `GET /journal` lists what took effect, `GET /running` counts
//! what runs.

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
use crate::http_server::{self, Answer, answer, query};
use crate::upstream_journal::JournalRow;

/// Time between two announcements.
const ANNOUNCE_GAP: Duration = Duration::from_millis(200);

/// Longest time that a leaving upstream waits for its node.
const LEAVE_LIMIT: Duration = Duration::from_secs(20);

/// Settings of the upstream.
#[derive(Args, Clone)]
pub struct UpstreamArgs {
    /// Address to listen on.
    #[arg(long)]
    listen: SocketAddr,
    /// Administration address of the node beside it, as a URL.
    #[arg(long)]
    announce: String,
    /// Service that it runs.
    #[arg(long)]
    service: String,
    /// Requests that it runs at once.
    #[arg(long, default_value_t = 10)]
    slots: u32,
    /// Connections that it accepts.
    #[arg(long, default_value_t = 130)]
    connections: u32,
    /// Whether it refuses work outside its grant.
    #[arg(long, default_value_t = true, action = clap::ArgAction::Set)]
    checks_grants: bool,
    /// Time that a request takes, in milliseconds, if it names none.
    #[arg(long, default_value_t = 0)]
    work_ms: u64,
    /// Time after the start during which work takes four times as long, in milliseconds.
    #[arg(long, default_value_t = 0)]
    cold_ms: u64,
    /// File that keeps the journal when the process is killed.
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
    /// Work runs in this many slots; the rest waits in order of arrival.
    slots: tokio::sync::Semaphore,
    leaving: Cell<bool>,
    misreport: Cell<bool>,
}

impl UpstreamState {
    fn keep_row(&self, row: JournalRow) {
        if let Some(path) = &self.args.journal {
            let mut line = serde_json::to_string(&row).expect("rows encode");
            line.push('\n');
            let file = std::fs::File::options().create(true).append(true).open(path);
            file.and_then(|mut file| file.write_all(line.as_bytes())).expect("the journal is kept");
        }
        self.journal.borrow_mut().push(row);
    }
}

/// Serves the upstream until it is told to leave.
pub async fn serve(args: UpstreamArgs) -> std::io::Result<()> {
    let listen = args.listen;
    let args_slots = args.slots as usize;
    let state = Rc::new(UpstreamState {
        args,
        boot_id: uuid::Uuid::new_v4().as_u128(),
        started: Instant::now(),
        grants: RefCell::default(),
        journal: RefCell::default(),
        running: Cell::new(0),
        slots: tokio::sync::Semaphore::new(args_slots),
        leaving: Cell::new(false),
        misreport: Cell::new(false),
    });
    let tasks = tokio::task::LocalSet::new();
    let handler = {
        let state = state.clone();
        move |request| handle(state.clone(), request)
    };
    tasks.spawn_local(watch_terminate(state.clone()));
    tasks.spawn_local(announce(state));
    tasks.run_until(http_server::serve(listen, handler)).await
}

async fn watch_terminate(state: Rc<UpstreamState>) {
    use tokio::signal::unix::{SignalKind, signal};
    let Ok(mut terminate) = signal(SignalKind::terminate()) else { return };
    terminate.recv().await;
    state.leaving.set(true);
    tokio::time::sleep(LEAVE_LIMIT).await;
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
        let reply = announce_once(&state, &client).await;
        if leaving && reply.is_some_and(|reply| reply.released) && state.running.get() == 0 {
            std::process::exit(0);
        }
        tokio::time::sleep(ANNOUNCE_GAP).await;
    }
}

async fn announce_once(
    state: &UpstreamState,
    client: &Client<HttpConnector, Full<Bytes>>,
) -> Option<AnnounceReply> {
    let args = &state.args;
    let running = if state.misreport.get() { 0 } else { state.running.get() };
    let body = serde_json::json!({
        "service": args.service,
        "address": args.listen,
        "slots": args.slots,
        "connections": args.connections,
        "checks_grants": args.checks_grants,
        "boot_id": format!("{:032x}", state.boot_id),
        "running": running,
        "leaving": state.leaving.get(),
    });
    let request = Request::post(format!("{}/announce", args.announce))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body.to_string())))
        .ok()?;
    let response = client.request(request).await.ok()?;
    let body = response.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&body).ok()
}

async fn handle(state: Rc<UpstreamState>, request: Request<Incoming>) -> Option<Answer> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/journal") => {
            let rows = serde_json::to_string(&*state.journal.borrow()).expect("rows encode");
            Some(answer(200, rows))
        }
        (&Method::GET, "/running") => Some(answer(200, state.running.get().to_string())),
        (&Method::GET, "/health") => Some(answer(200, "ok")),
        (&Method::POST, "/misreport") => {
            state.misreport.set(true);
            Some(answer(200, ""))
        }
        (&Method::POST, "/grant") => {
            let holder = query(request.uri(), "holder")?;
            let deadline = query(request.uri(), "deadline")?;
            state.grants.borrow_mut().extend(holder, deadline);
            Some(answer(200, ""))
        }
        _ => run(&state, request).await,
    }
}

async fn run(state: &UpstreamState, request: Request<Incoming>) -> Option<Answer> {
    let grant = GrantHeaders::read(request.headers());
    let checked = state.args.checks_grants;
    let (parts, body) = request.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    let may_start = grant.as_ref().is_some_and(|grant| state.grants.borrow_mut().start(grant));
    if checked && !may_start {
        return Some(refuse("no grant"));
    }
    if state.running.get() >= state.args.connections {
        return Some(refuse("shedding load"));
    }
    let in_flight = RunningCount::new(state);
    let slot = state.slots.acquire().await.ok()?;
    let start = boot_micros();
    if query::<u8>(&parts.uri, "crash").is_some() {
        std::process::abort();
    }
    let work = query(&parts.uri, "work_ms").unwrap_or(state.args.work_ms);
    let cold = state.started.elapsed() < Duration::from_millis(state.args.cold_ms);
    let work = if cold { work * 4 } else { work };
    if work > 0 {
        tokio::time::sleep(Duration::from_millis(work)).await;
    }
    let may_commit = grant.as_ref().is_some_and(|grant| state.grants.borrow().commit(grant));
    if checked && !may_commit {
        return Some(refuse("the grant ended before the work took effect"));
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
    let text = format!("{} {} {} {}", row.method, row.path, row.key, row.id);
    state.keep_row(row);
    drop(slot);
    drop(in_flight);
    Some(finish(&parts.uri, &text, &body))
}

fn finish(uri: &http::Uri, text: &str, body: &[u8]) -> Answer {
    let mut text = format!("{text} {}\n", body.len());
    if let Some(size) = query::<usize>(uri, "size") {
        text.extend(std::iter::repeat_n('x', size.saturating_sub(text.len())));
    }
    let length = text.len();
    let cut = query::<u8>(uri, "cut").is_some();
    if cut {
        text.truncate(length / 2);
    }
    let mut answer = answer(200, text);
    answer.headers_mut().insert("content-type", http::HeaderValue::from_static("text/plain"));
    if cut {
        // The server closes the connection when the body ends before its stated length.
        answer.headers_mut().insert("content-length", http::HeaderValue::from(length));
    }
    answer
}

/// A refusal before anything took effect.
fn refuse(reason: &'static str) -> Answer {
    let mut refusal = answer(503, reason);
    refusal.headers_mut().insert("firspindle-verdict", http::HeaderValue::from_static("not-run"));
    refusal
}

/// Counts a request while it runs, also when its caller goes away.
struct RunningCount<'a>(&'a UpstreamState);

impl<'a> RunningCount<'a> {
    fn new(state: &'a UpstreamState) -> Self {
        state.running.set(state.running.get() + 1);
        Self(state)
    }
}

impl Drop for RunningCount<'_> {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
    }
}
