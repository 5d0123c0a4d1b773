//! Starts the threads of a node and ends them in order.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::mpsc::{Sender, channel};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use signal_hook::consts::{SIGINT, SIGTERM};
use snafu::ResultExt;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

use super::admin_service::{AdminState, serve_admin};
use super::control_thread::{ControlParts, ControlThread, IoOrder};
use super::process_error::StartSnafu;
use super::stall_watch::stood_still;
use super::status_page::StatusPage;
use super::{
    ControlEvent, LogClient, MetricsSet, ProcessError, SettingsFile, log_reader, peer_socket,
    record_writer,
};
use crate::connection::{HttpPool, PoolRequest, UpstreamHandle};
use crate::request::{TrafficContext, serve_requests};

/// Time that callers' last requests get after everything was released.
const CALLER_GRACE: Duration = Duration::from_secs(30);

/// Time without requests after which the callers' server stops.
const QUIET_TIME: Duration = Duration::from_millis(150);

/// Time for one grant extension.
const GRANT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time between two looks at the upstream.
const WATCH_GAP: Duration = Duration::from_millis(100);

/// Runs a node until it is told to stop.
///
/// # Errors
///
/// If it cannot start.
pub fn run_node(settings: SettingsFile) -> Result<(), ProcessError> {
    let listen = settings.listen;
    let traffic = bind(listen.traffic, "traffic")?;
    let forward = bind(listen.forward, "forward")?;
    let admin = bind(listen.admin, "admin")?;
    let (tx, rx) = channel();
    let peer = listen.peer.to_string();
    peer_socket::listen(&peer, tx.clone()).map_err(|error| ProcessError::Listen {
        address: peer.into(),
        role: "peer",
        reason: error.to_string().into(),
    })?;
    let metrics = Arc::new(MetricsSet::default());
    let context = Arc::new(TrafficContext::new(metrics.clone(), tx.clone()));
    let folded = Arc::new(AtomicU64::new(1));
    let status = Arc::new(ArcSwap::from_pointee(StatusPage::default()));
    let log = LogClient::new(&settings.log);
    let (io_tx, io_rx) = unbounded_channel();
    spawn_io(&log, &tx, &folded, &context, io_rx)?;
    let admin_state =
        AdminState { status: status.clone(), context: context.clone(), tx: tx.clone(), log };
    let stop_admin = serve_admin(admin, admin_state)?;
    let workers = settings.workers;
    let stop_forward = serve_requests(forward, workers, context.clone(), true)?;
    let stop_traffic = serve_requests(traffic, workers, context.clone(), false)?;
    watch_signals(tx.clone())?;
    log::info!(
        host = &*settings.host, traffic:% = listen.traffic, admin:% = listen.admin;
        "node started"
    );
    let parts =
        ControlParts { settings, rx, tx, io: io_tx, context: context.clone(), folded, status };
    let control = std::thread::spawn(move || ControlThread::new(parts).run());
    let ended = control.join();
    wait_for_callers(&context);
    stop_traffic();
    stop_forward();
    stop_admin();
    std::thread::sleep(QUIET_TIME);
    log::info!("node stopped");
    if ended.is_err() {
        // Without its control thread a node must not go on.
        std::process::abort();
    }
    Ok(())
}

fn bind(address: SocketAddr, role: &'static str) -> Result<TcpListener, ProcessError> {
    let refuse = |error: std::io::Error| ProcessError::Listen {
        address: address.to_string().into(),
        role,
        reason: error.to_string().into(),
    };
    let listener = TcpListener::bind(address).map_err(refuse)?;
    listener.set_nonblocking(true).map_err(refuse)?;
    Ok(listener)
}

fn watch_signals(tx: Sender<ControlEvent>) -> Result<(), ProcessError> {
    let mut signals = signal_hook::iterator::Signals::new([SIGTERM, SIGINT]).context(StartSnafu)?;
    std::thread::spawn(move || {
        for _ in signals.forever() {
            let _ = tx.send(ControlEvent::Shutdown);
        }
    });
    Ok(())
}

/// Waits until callers' requests have ended and none came for a moment.
fn wait_for_callers(context: &TrafficContext) {
    let until = Instant::now() + CALLER_GRACE;
    let mut quiet_since = Instant::now();
    while Instant::now() < until && quiet_since.elapsed() < QUIET_TIME {
        if context.in_flight() > 0 {
            quiet_since = Instant::now();
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// The thread that talks to the log and extends the upstream's grant.
fn spawn_io(
    log: &LogClient,
    tx: &Sender<ControlEvent>,
    folded: &Arc<AtomicU64>,
    context: &Arc<TrafficContext>,
    orders: UnboundedReceiver<IoOrder>,
) -> Result<(), ProcessError> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().context(StartSnafu)?;
    let (log, tx, folded, context) = (log.clone(), tx.clone(), folded.clone(), context.clone());
    std::thread::spawn(move || {
        let tasks = tokio::task::LocalSet::new();
        tasks.spawn_local(log_reader::read_log(log.clone(), tx.clone(), folded.clone()));
        tasks.spawn_local(watch_upstream(context.clone()));
        tasks.block_on(&runtime, take_orders(log, tx, folded, context, orders));
    });
    Ok(())
}

async fn take_orders(
    log: LogClient,
    tx: Sender<ControlEvent>,
    folded: Arc<AtomicU64>,
    context: Arc<TrafficContext>,
    mut orders: UnboundedReceiver<IoOrder>,
) {
    while let Some(order) = orders.recv().await {
        match order {
            IoOrder::Append(record) => {
                let metrics = context.metrics.clone();
                let append = record_writer::append_record(
                    log.clone(),
                    *record,
                    tx.clone(),
                    folded.clone(),
                    metrics,
                );
                tokio::task::spawn_local(append);
            }
            IoOrder::ExtendGrant { upstream, holder, deadline } => {
                tokio::task::spawn_local(extend_grant(upstream, holder, deadline));
            }
        }
    }
}

async fn extend_grant(upstream: Arc<UpstreamHandle>, holder: u64, deadline: u64) {
    let uri = format!("http://{}/grant?holder={holder}&deadline={deadline}", upstream.address);
    let Ok(uri) = uri.parse::<Uri>() else { return };
    let request =
        PoolRequest { method: Method::POST, uri, headers: HeaderMap::new(), body: Bytes::new() };
    let pool = HttpPool::of_thread();
    let sent = pool.send(request);
    if tokio::time::timeout(GRANT_TIMEOUT, sent).await.is_err() {
        log::debug!(upstream:% = upstream.address; "grant extension timed out");
    }
}

/// Silence of an upstream, with requests in flight, after which it counts as frozen.
const FROZEN_SILENCE: Duration = Duration::from_millis(900);

/// Finds an upstream that refuses connections or is frozen.
async fn watch_upstream(context: Arc<TrafficContext>) {
    loop {
        let due = Instant::now() + WATCH_GAP;
        tokio::time::sleep(WATCH_GAP).await;
        let stalled = stood_still(due, Instant::now());
        let Some(upstream) = context.view.load().upstream.clone() else { continue };
        if stalled {
            // Its answers may lie unread here.
            upstream.record_activity();
        }
        if upstream.in_flight() > 0 && upstream.silence() >= FROZEN_SILENCE {
            let _ = context.tx.send(ControlEvent::UpstreamFrozen);
        }
        let probe = tokio::net::TcpStream::connect(upstream.address);
        let Ok(result) = tokio::time::timeout(GRANT_TIMEOUT, probe).await else { continue };
        if result.is_err_and(|error| error.kind() == std::io::ErrorKind::ConnectionRefused) {
            let _ = context.tx.send(ControlEvent::UpstreamGone);
        }
    }
}
