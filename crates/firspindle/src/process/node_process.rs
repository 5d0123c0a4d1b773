//! Starts the threads of a node and shuts the process down in order.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::mpsc::{Sender, channel};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use bytes::Bytes;
use firspindle_edge::OpenConnections;
use http::{HeaderMap, Method, Uri};
use signal_hook::consts::{SIGINT, SIGTERM};
use snafu::ResultExt;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

use super::admin_service::{AdminState, serve_admin};
use super::control_thread::{ControlParts, ControlThread, IoCommand};
use super::process_error::StartSnafu;
use super::stall_watch::wake_up_stalled;
use super::status_page::StatusPage;
use super::{
    ControlEvent, LogClient, MetricsSet, NodeSettings, PeerSocket, ProcessError, log_reader,
    peer_socket, record_writer,
};
use crate::connection::{ConnectionPool, OutboundRequest, UpstreamHandle};
use crate::request::{TrafficContext, serve_requests};

/// Time after the release of all partitions for which requests of callers may still finish.
const CALLER_DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

/// Time without requests in flight after which the servers stop, and time from then to the exit.
const EXIT_IDLE_TIME: Duration = Duration::from_millis(150);

/// Time for which callers may still read the answers that were begun.
const ANSWER_WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout of a grant extension, and of a connection attempt to the upstream.
const UPSTREAM_TIMEOUT: Duration = Duration::from_millis(400);

/// Time between checks of the upstream.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// Runs a node until SIGTERM or SIGINT, then drains it.
///
/// # Errors
///
/// A [`ProcessError`] if the node cannot start.
pub fn run_node(settings: NodeSettings) -> Result<(), ProcessError> {
    let listen = settings.listen;
    let traffic = bind(listen.traffic, "traffic")?;
    let forward = bind(listen.forward, "forward")?;
    let admin = bind(listen.admin, "admin")?;
    let (tx, rx) = channel();
    let connections = OpenConnections::default();
    let stop_peer = peer_socket::listen(&bind(listen.peer, "peer")?, &connections, tx.clone())?;
    let metrics = Arc::new(MetricsSet::default());
    let peers = PeerSocket::start(metrics.clone())?;
    let context = Arc::new(TrafficContext::new(metrics.clone(), tx.clone(), connections));
    let folded_end = Arc::new(AtomicU64::new(1));
    let status = Arc::new(ArcSwap::from_pointee(StatusPage::default()));
    let log = LogClient::new(&settings.log);
    let (io_tx, io_rx) = unbounded_channel();
    spawn_io(&log, &tx, &folded_end, &context, io_rx)?;
    let admin_state =
        AdminState { status: status.clone(), context: context.clone(), tx: tx.clone(), log };
    let stop_admin = serve_admin(admin, admin_state)?;
    let workers = settings.workers;
    let stop_forward = serve_requests(&forward, workers, &context, true)?;
    let stop_traffic = serve_requests(&traffic, workers, &context, false)?;
    watch_signals(tx.clone())?;
    log::info!(
        host = &*settings.host, traffic:% = listen.traffic, admin:% = listen.admin;
        "node started"
    );
    let parts = ControlParts {
        settings,
        rx,
        tx,
        io: io_tx,
        peers,
        context: context.clone(),
        folded_end,
        status,
    };
    let control = std::thread::spawn(move || ControlThread::new(parts).run());
    let control_result = control.join();
    wait_for_callers(&context);
    stop_traffic();
    stop_forward();
    stop_admin();
    stop_peer();
    std::thread::sleep(EXIT_IDLE_TIME);
    context.connections.wait_until_closed(Instant::now() + ANSWER_WRITE_TIMEOUT);
    log::info!("node stopped");
    if control_result.is_err() {
        // Without its control thread, which has panicked, a node must not serve requests.
        std::process::abort();
    }
    Ok(())
}

fn bind(address: SocketAddr, role: &'static str) -> Result<TcpListener, ProcessError> {
    let listen_error = |error: std::io::Error| ProcessError::Listen {
        address: address.to_string().into(),
        role,
        reason: error.to_string().into(),
    };
    let listener = TcpListener::bind(address).map_err(listen_error)?;
    listener.set_nonblocking(true).map_err(listen_error)?;
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

/// Waits until no request of a caller has been in flight for [`EXIT_IDLE_TIME`], for
/// [`CALLER_DRAIN_TIMEOUT`] at most.
fn wait_for_callers(context: &TrafficContext) {
    let until = Instant::now() + CALLER_DRAIN_TIMEOUT;
    let mut idle_since = Instant::now();
    while Instant::now() < until && idle_since.elapsed() < EXIT_IDLE_TIME {
        if context.in_flight() > 0 {
            idle_since = Instant::now();
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Starts the IO thread, which calls the log, extends the upstream's grant and checks the upstream.
fn spawn_io(
    log: &LogClient,
    tx: &Sender<ControlEvent>,
    folded_end: &Arc<AtomicU64>,
    context: &Arc<TrafficContext>,
    commands: UnboundedReceiver<IoCommand>,
) -> Result<(), ProcessError> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().context(StartSnafu)?;
    let (log, tx, folded_end, context) =
        (log.clone(), tx.clone(), folded_end.clone(), context.clone());
    std::thread::spawn(move || {
        let tasks = tokio::task::LocalSet::new();
        tasks.spawn_local(log_reader::read_log(log.clone(), tx.clone(), folded_end.clone()));
        tasks.spawn_local(watch_upstream(context.clone()));
        tasks.block_on(&runtime, run_commands(log, tx, folded_end, context, commands));
    });
    Ok(())
}

async fn run_commands(
    log: LogClient,
    tx: Sender<ControlEvent>,
    folded_end: Arc<AtomicU64>,
    context: Arc<TrafficContext>,
    mut commands: UnboundedReceiver<IoCommand>,
) {
    while let Some(command) = commands.recv().await {
        match command {
            IoCommand::Append(record) => {
                let metrics = context.metrics.clone();
                let append = record_writer::append_record(
                    log.clone(),
                    *record,
                    tx.clone(),
                    folded_end.clone(),
                    metrics,
                );
                tokio::task::spawn_local(append);
            }
            IoCommand::ExtendGrant { upstream, holder, deadline } => {
                tokio::task::spawn_local(extend_grant(upstream, holder, deadline));
            }
        }
    }
}

async fn extend_grant(upstream: Arc<UpstreamHandle>, holder: u64, deadline: u64) {
    let uri = format!("http://{}/grant?holder={holder}&deadline={deadline}", upstream.address);
    let Ok(uri) = uri.parse::<Uri>() else { return };
    let request = OutboundRequest {
        method: Method::POST,
        uri,
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    let pool = ConnectionPool::of_thread();
    let sent = pool.send(request);
    if tokio::time::timeout(UPSTREAM_TIMEOUT, sent).await.is_err() {
        log::debug!(upstream:% = upstream.address; "grant extension timed out");
    }
}

/// Silence after which an upstream with requests in flight counts as unresponsive.
const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_millis(900);

/// Tells the control thread when the upstream refuses connections or is unresponsive.
async fn watch_upstream(context: Arc<TrafficContext>) {
    loop {
        let due = Instant::now() + PROBE_INTERVAL;
        tokio::time::sleep(PROBE_INTERVAL).await;
        let stalled = wake_up_stalled(due, Instant::now());
        let Some(upstream) = context.view.load().upstream.clone() else { continue };
        if stalled {
            // The upstream may have responded meanwhile, without this process reading the response.
            upstream.record_activity();
        }
        if upstream.in_flight() > 0 && upstream.silence() >= UNRESPONSIVE_TIMEOUT {
            let _ = context.control_tx.send(ControlEvent::UpstreamUnresponsive);
        }
        let probe = tokio::net::TcpStream::connect(upstream.address);
        let Ok(result) = tokio::time::timeout(UPSTREAM_TIMEOUT, probe).await else { continue };
        if result.is_err_and(|error| error.kind() == std::io::ErrorKind::ConnectionRefused) {
            let _ = context.control_tx.send(ControlEvent::UpstreamGone);
        }
    }
}
