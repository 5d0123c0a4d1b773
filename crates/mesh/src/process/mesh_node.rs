//! Starts the threads of a mesh node, and lets requests finish before the process exits.

use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use firspindle_core::connection::{UpstreamLimit, UpstreamLoad};
use firspindle_edge::{BootClock, PlatformCodec, StateStore, read_settings_file, unix_ms};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use snafu::{ResultExt, Snafu};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};

use super::admin_server::{AdminState, serve_admin};
use super::control_thread::{ControlParts, run_control};
use super::{ControlEvent, MeshSettings};
use crate::connection::{ServerKind, serve_connections};
use crate::request::{
    ExitStage, METER_INTERVAL, SharedState, TrafficContext, check_after_breaks, check_limit,
    sync_upstream,
};

/// Time after the node turned unready in which callers are still accepted: two readiness checks,
/// a second apart.
const DEREGISTRATION_DELAY: Duration = Duration::from_millis(2_300);

/// Time without requests in flight after which the draining process exits.
const EXIT_IDLE_TIME: Duration = Duration::from_millis(60);

/// Part of the grace time that is reserved for the exit of the process itself. Long or slow
/// responses get the rest.
const EXIT_RESERVE: Duration = Duration::from_millis(300);

/// Time from the close of the listeners to the exit, for the answers on connections that were accepted.
const EXIT_CLOSE_TIME: Duration = Duration::from_millis(60);

/// Time between checks for requests in flight while the process drains.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time between updates of the limiter's slots and of the published load.
const LOAD_UPDATE_INTERVAL: Duration = Duration::from_millis(50);

/// Idle time after which a connection to a peer is closed.
const PEER_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Errors that keep a node from starting.
#[derive(Debug, Snafu)]
pub enum NodeError {
    /// Binding a listening address failed.
    #[snafu(display("cannot listen on {address} for {role}: {source}"))]
    Listen {
        /// Address that cannot be bound.
        address: SocketAddr,
        /// What the address is for: `traffic`, `forward`, `readiness`, `heartbeats` or `admin`.
        role: &'static str,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// Starting a thread, a runtime or the signal handler failed.
    #[snafu(display("cannot start the node: {source}"))]
    Start {
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// Runs a node until SIGTERM or SIGINT. `make_store` is called on the control thread with the
/// store's address.
///
/// # Errors
///
/// A [`NodeError`] if the node cannot start.
pub fn run_mesh_node<C: PlatformCodec, S: StateStore>(
    settings: &MeshSettings,
    codec: C,
    make_store: impl FnOnce(&str) -> S + Send + 'static,
    settings_path: &Path,
) -> Result<(), NodeError> {
    let listen = settings.listen;
    let traffic = bind(listen.traffic, "traffic")?;
    let forward = bind(listen.forward, "forward")?;
    let admin = [
        bind(listen.readiness, "readiness")?,
        bind(listen.heartbeats, "heartbeats")?,
        bind(listen.admin, "admin")?,
    ];
    let shared = Arc::new(SharedState::default());
    let clock = BootClock::default();
    let (tx, rx) = unbounded_channel();
    let (report_codec, upstream) = (codec.clone(), settings.upstream);
    let state = AdminState {
        shared: shared.clone(),
        tx: tx.clone(),
        decode: Arc::new(move |id, body| report_codec.decode_report(id, body, upstream)),
        report_path: codec.report_path(),
    };
    serve_admin(admin.into(), state).context(StartSnafu)?;
    let headers = codec.headers().clone();
    spawn_control(
        ControlSetup { settings: settings.clone(), codec, clock, rx, shared: shared.clone() },
        tx.clone(),
        make_store,
    )?;
    let context_parts = (settings.clone(), headers, shared.clone(), clock, tx.clone());
    std::thread::spawn(move || {
        let (settings, headers, shared, clock, tx) = context_parts;
        let context = TrafficContext::new(settings, headers, shared, clock, tx);
        if let Err(error) = run_traffic(traffic, forward, context) {
            log::error!(error:%; "traffic thread failed");
            std::process::exit(1);
        }
    });
    log::info!(host = &*settings.host, service = &*settings.service, traffic:% = listen.traffic; "node started");
    wait_for_signal(settings_path, settings).context(StartSnafu)?;
    let _ = tx.send(ControlEvent::Shutdown);
    drain(&shared, settings.bounds.grace);
    log::info!(host = &*settings.host; "node stopped");
    Ok(())
}

fn bind(address: SocketAddr, role: &'static str) -> Result<TcpListener, NodeError> {
    let listener = TcpListener::bind(address).context(ListenSnafu { address, role })?;
    listener.set_nonblocking(true).context(ListenSnafu { address, role })?;
    Ok(listener)
}

struct ControlSetup<C> {
    settings: MeshSettings,
    codec: C,
    clock: BootClock,
    rx: tokio::sync::mpsc::UnboundedReceiver<ControlEvent>,
    shared: Arc<SharedState>,
}

fn spawn_control<C: PlatformCodec, S: StateStore>(
    setup: ControlSetup<C>,
    tx: UnboundedSender<ControlEvent>,
    make_store: impl FnOnce(&str) -> S + Send + 'static,
) -> Result<(), NodeError> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().context(StartSnafu)?;
    std::thread::spawn(move || {
        let tasks = tokio::task::LocalSet::new();
        let result = tasks.block_on(&runtime, async move {
            let store = make_store(&setup.settings.store);
            let parts = ControlParts {
                settings: setup.settings,
                codec: setup.codec,
                store,
                clock: setup.clock,
                incarnation: unix_ms(),
                tx,
                rx: setup.rx,
                shared: setup.shared,
            };
            run_control(parts).await
        });
        // A node must not serve requests without its control thread.
        log::error!(result:?; "control thread ended");
        std::process::exit(1);
    });
    Ok(())
}

fn run_traffic(
    traffic: TcpListener,
    forward: TcpListener,
    context: TrafficContext,
) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let tasks = tokio::task::LocalSet::new();
    tasks.block_on(&runtime, async move {
        let context = Rc::new(context);
        let traffic = tokio::net::TcpListener::from_std(traffic)?;
        let forward = tokio::net::TcpListener::from_std(forward)?;
        tokio::task::spawn_local(serve_connections(traffic, ServerKind::Callers, context.clone()));
        tokio::task::spawn_local(serve_connections(forward, ServerKind::Peers, context.clone()));
        tokio::task::spawn_local(measure_demand(context.clone()));
        tokio::task::spawn_local(context.link.clone().run());
        tokio::task::spawn_local(check_after_breaks(context.clone()));
        tokio::task::spawn_local(context.room.clone().run());
        loop {
            let due = Instant::now() + LOAD_UPDATE_INTERVAL;
            tokio::time::sleep_until(due.into()).await;
            context.shared.metrics.timer_lag.observe(due.elapsed().as_secs_f64());
            sync_upstream(&context);
            context.note_running(Instant::now());
            let metrics = &context.shared.metrics.upstream;
            metrics.cold.set(i64::from(context.limiter.is_cold()));
            metrics.pace.set(context.limiter.pace().map_or(0.0, f64::from));
            metrics.report_age.set(context.limiter.report_age().unwrap_or_default().as_secs_f64());
            let limit = context.limiter.limit().map_or(0.0, UpstreamLimit::per_second);
            context.shared.metrics.upstream_limit.set(limit);
            if context.limiter.take_check(Instant::now()) {
                let context = context.clone();
                tokio::task::spawn_local(async move { check_limit(&context).await });
            }
            context.shared.metrics.link_backlog.set(context.link.backlog().as_secs_f64());
            let (reserved, held) = context.room.bytes();
            context.shared.metrics.body_reserved.set(i64::try_from(reserved).unwrap_or(i64::MAX));
            context.shared.metrics.body_held.set(i64::try_from(held).unwrap_or(i64::MAX));
            // Of the two directions, the one in which a large message waits longer.
            let link_wait = context.link.expected_wait().max(context.room.expected_wait());
            let link_ms = u32::try_from(link_wait.as_millis());
            let link_ms = link_ms.unwrap_or(u32::MAX);
            context.shared.set_load(UpstreamLoad { link_ms, ..context.limiter.load() });
            context.peers.close_idle(PEER_IDLE_TIMEOUT);
            context.end_pending_requests(Instant::now());
        }
    })
}

async fn measure_demand(context: Rc<TrafficContext>) {
    loop {
        tokio::time::sleep(METER_INTERVAL).await;
        context.finish_demand_interval();
    }
}

/// Waits for SIGTERM or SIGINT; SIGHUP checks the settings file.
fn wait_for_signal(path: &Path, settings: &MeshSettings) -> std::io::Result<()> {
    let mut signals = signal_hook::iterator::Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    for signal in signals.forever() {
        if signal != SIGHUP {
            log::info!(signal; "shutdown signal received");
            return Ok(());
        }
        check_settings(path, settings);
    }
    Ok(())
}

/// Parses the settings file again and logs whether it is valid and differs. The running process
/// keeps the settings and addresses that it started with.
fn check_settings(path: &Path, settings: &MeshSettings) {
    let text = match read_settings_file(path) {
        Ok(text) => text,
        Err(error) => {
            log::warn!(error:%; "settings file not readable; settings unchanged");
            return;
        }
    };
    match MeshSettings::parse(&text) {
        Ok(reloaded) => log::info!(changed = reloaded != *settings; "settings valid; not applied"),
        Err(error) => log::warn!(error:%; "settings file invalid; settings unchanged"),
    }
}

/// Waits until callers have had time to leave and no request is in flight, for the grace time at
/// most. Then closes the listeners, answers what came before, and closes the connections.
fn drain(shared: &SharedState, grace: Duration) {
    wait_until_idle(shared, grace);
    shared.exit_stage.send_replace(ExitStage::ListenersClosed);
    std::thread::sleep(EXIT_CLOSE_TIME);
    shared.exit_stage.send_replace(ExitStage::ConnectionsClose);
    let deadline = shared.exit_deadline.get().copied();
    shared.connections.wait_until_closed(deadline.unwrap_or_else(Instant::now));
}

fn wait_until_idle(shared: &SharedState, grace: Duration) {
    let started = Instant::now();
    let deadline = started + grace.saturating_sub(EXIT_RESERVE);
    let _ = shared.exit_deadline.set(deadline);
    let mut idle_since = Instant::now();
    while Instant::now() < deadline {
        if shared.in_flight.load(Ordering::Relaxed) > 0 {
            idle_since = Instant::now();
        }
        if started.elapsed() > DEREGISTRATION_DELAY {
            shared.rejects_requests.store(true, Ordering::Relaxed);
            if idle_since.elapsed() > EXIT_IDLE_TIME {
                return;
            }
        }
        std::thread::sleep(DRAIN_POLL_INTERVAL);
    }
}
