//! The thread that holds the control state.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use firspindle_core::process::GrantGuards;
use firspindle_core::request::SuspectHint;
use firspindle_edge::{BootClock, PlatformCodec, StateStore, StateTopic, StoreError};
use http::HeaderName;
use rand::seq::IndexedRandom;
use tokio::net::UdpSocket;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;

use super::control_state::{ControlOrder, ControlState, GOSSIP_PEERS, GOSSIP_TICKS, TICK};
use super::gossip_socket::read_datagrams;
use super::store_watch::{ReadPace, StoreSilence, watch_topic};
use super::{ControlEvent, MeshSettings};
use crate::connection::{ask_upstream, fetch_state};
use crate::request::SharedState;

/// Time that all nodes get to show that they know of a crash. Answers come within a round trip.
const TELL_LIMIT: Duration = Duration::from_millis(250);

/// A crash of which others are told, and who waits for that.
struct CrashTelling {
    hint: SuspectHint,
    until: Instant,
    told: oneshot::Sender<()>,
}

/// What the thread needs.
pub(crate) struct ControlParts<C, S> {
    pub(crate) settings: MeshSettings,
    pub(crate) codec: C,
    pub(crate) store: S,
    pub(crate) clock: BootClock,
    pub(crate) incarnation: u64,
    pub(crate) tx: UnboundedSender<ControlEvent>,
    pub(crate) rx: UnboundedReceiver<ControlEvent>,
    pub(crate) shared: Arc<SharedState>,
}

/// How the topics are to be read, shared with the tasks that read.
#[derive(Default)]
struct ReadPaces {
    rows: [Cell<ReadPace>; 3],
}

impl ReadPaces {
    fn cell(&self, topic: StateTopic) -> &Cell<ReadPace> {
        match topic {
            StateTopic::Manifests => &self.rows[0],
            StateTopic::Hosts => &self.rows[1],
            StateTopic::Plans => &self.rows[2],
        }
    }
}

/// All topics.
const TOPICS: [StateTopic; 3] = [StateTopic::Manifests, StateTopic::Hosts, StateTopic::Plans];

struct ControlThread<C, S> {
    state: ControlState<C>,
    store: S,
    clock: BootClock,
    tx: UnboundedSender<ControlEvent>,
    socket: Rc<UdpSocket>,
    paces: Rc<ReadPaces>,
    shared: Arc<SharedState>,
    writing: Rc<Cell<bool>>,
    written: Rc<Cell<Option<(firspindle_core::version::HostRecord, bool)>>>,
    tellings: Vec<CrashTelling>,
    ticks: u32,
    upstream: SocketAddr,
    upstream_id: HeaderName,
}

/// Runs the control state until the process ends.
pub(crate) async fn run_control<C: PlatformCodec, S: StateStore>(
    parts: ControlParts<C, S>,
) -> std::io::Result<()> {
    let socket = Rc::new(UdpSocket::bind(parts.settings.listen.gossip).await?);
    tokio::task::spawn_local(read_datagrams(socket.clone(), parts.tx.clone()));
    let paces = Rc::new(ReadPaces::default());
    let silence = StoreSilence::default();
    for topic in TOPICS {
        let paces = paces.clone();
        tokio::task::spawn_local(watch_topic(
            parts.store.clone(),
            topic,
            parts.clock,
            parts.tx.clone(),
            move || paces.cell(topic).get(),
            silence.clone(),
        ));
    }
    let now = parts.clock.now();
    let upstream = parts.settings.upstream;
    let upstream_id = parts.codec.headers().upstream_id.clone();
    let state =
        ControlState::new(parts.settings, parts.codec, parts.incarnation, GrantGuards::all(), now);
    let mut thread = ControlThread {
        state,
        store: parts.store,
        clock: parts.clock,
        tx: parts.tx,
        socket,
        paces,
        shared: parts.shared,
        writing: Rc::default(),
        written: Rc::default(),
        tellings: Vec::new(),
        ticks: 0,
        upstream,
        upstream_id,
    };
    thread.run(parts.rx).await;
    Ok(())
}

impl<C: PlatformCodec, S: StateStore> ControlThread<C, S> {
    async fn run(&mut self, mut rx: UnboundedReceiver<ControlEvent>) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                event = rx.recv() => match event {
                    Some(event) => self.take(event),
                    None => return,
                },
                _ = ticks.tick() => self.tick(),
            }
        }
    }

    fn take(&mut self, event: ControlEvent) {
        let now = self.clock.now();
        match event {
            ControlEvent::Report(report, reply) => {
                let body = self.state.take_report(&report, now);
                self.publish();
                let _ = reply.send(body);
                self.tell_ended();
                self.step();
            }
            ControlEvent::Leave(id, reply) => {
                self.state.take_leave(&id, now);
                self.publish();
                let _ = reply.send(());
                self.step();
            }
            ControlEvent::UpstreamRefused => {
                self.state.upstream_refused();
                self.publish();
                self.step();
            }
            ControlEvent::UpstreamSeen(id) => {
                self.state.upstream_seen(id.as_deref(), now);
                self.step();
            }
            ControlEvent::Snapshot(topic, snapshot, at) => {
                self.state.take_snapshot(topic, snapshot, at, now);
                self.refreshed();
            }
            ControlEvent::Records(topic, batch, at) => {
                let changed = !batch.records.is_empty();
                self.state.take_records(topic, &batch, at, now);
                if changed {
                    self.refreshed();
                    self.tell_ended();
                }
                if changed && topic == StateTopic::Plans {
                    let hosts = self.state.hosts_to_wake(now);
                    let orders = self.state.datagrams(&hosts, now);
                    self.carry_out(orders);
                }
            }
            ControlEvent::StoreFailed(_) => self.state.note_store(false),
            ControlEvent::Datagram(bytes) => {
                if let Some(host) = self.state.take_datagram(&bytes, now) {
                    self.publish();
                    let orders = self.state.datagrams(&[host], now);
                    self.carry_out(orders);
                }
                self.finish_tellings();
            }
            ControlEvent::Crash { content, instance, told } => {
                self.tell_crash(content, instance, told);
            }
            ControlEvent::SuspectAnswered(content) => {
                self.state.clear_suspect(content, now);
                self.publish();
            }
            ControlEvent::PeerState(snapshot) => {
                self.state.take_peer_state(&snapshot, now);
                self.refreshed();
            }
            ControlEvent::PlanAppended(end) => self.state.plan_appended(end),
            ControlEvent::Shutdown => {
                self.state.stop();
                self.publish();
            }
        }
        self.set_paces();
    }

    fn set_paces(&self) {
        let now = self.clock.now();
        for topic in TOPICS {
            self.paces.cell(topic).set(self.state.read_pace(topic, now));
        }
    }

    fn refreshed(&mut self) {
        self.publish();
        self.step();
    }

    fn tick(&mut self) {
        self.ticks = self.ticks.wrapping_add(1);
        self.set_paces();
        self.state.set_load(self.shared.load(), self.shared.demand());
        if let Some((record, done)) = self.written.take() {
            self.state.host_written(record, done);
        }
        self.finish_tellings();
        self.publish();
        self.step();
        if self.ticks.is_multiple_of(GOSSIP_TICKS) {
            let hosts = self.state.other_hosts();
            let now = self.clock.now();
            let mut drawn: Vec<_> =
                hosts.choose_multiple(&mut rand::rng(), GOSSIP_PEERS).cloned().collect();
            drawn.extend(self.state.planner_hosts(now));
            drawn.sort_unstable();
            drawn.dedup();
            let orders = self.state.datagrams(&drawn, now);
            self.carry_out(orders);
        }
    }

    fn step(&mut self) {
        let orders = self.state.tick(self.clock.now());
        self.carry_out(orders);
    }

    /// Tells all nodes at once of a request that was in flight in a crash.
    fn tell_crash(&mut self, content: u128, instance: u64, told: oneshot::Sender<()>) {
        let now = self.clock.now();
        let hint = self.state.note_crash(content, instance, now);
        self.publish();
        let orders = self.state.datagrams(&self.state.other_hosts(), now);
        self.carry_out(orders);
        self.tellings.push(CrashTelling { hint, until: now + TELL_LIMIT, told });
        self.finish_tellings();
    }

    /// Answers those that wait until a crash was told.
    fn finish_tellings(&mut self) {
        let now = self.clock.now();
        let state = &self.state;
        let done = |row: &mut CrashTelling| now >= row.until || state.all_know(&row.hint, now);
        for row in self.tellings.extract_if(.., done) {
            let _ = row.told.send(());
        }
    }

    /// Tells at once of fences that have ended, rather than with the next datagrams.
    fn tell_ended(&mut self) {
        let now = self.clock.now();
        let hosts = self.state.hosts_to_tell(now);
        let orders = self.state.datagrams(&hosts, now);
        self.carry_out(orders);
    }

    fn publish(&self) {
        self.shared.view.store(Arc::new(self.state.view(self.clock.now())));
    }

    fn carry_out(&mut self, orders: Vec<ControlOrder>) {
        for order in orders {
            match order {
                ControlOrder::Send(address, bytes) => {
                    if let Err(error) = self.socket.try_send_to(&bytes, address) {
                        log::debug!(address:%, error:%; "datagram not sent");
                    }
                }
                ControlOrder::AskUpstream(path) => self.spawn_ask(&path),
                ControlOrder::FetchState(address) => self.spawn_fetch(address),
                ControlOrder::PutHost(record) => self.spawn_put(record),
                ControlOrder::AppendPlan(plan, at) => self.spawn_append(&plan, at),
            }
        }
    }

    fn spawn_ask(&self, path: &str) {
        let (tx, asked) = (self.tx.clone(), ask_upstream(self.upstream, path, &self.upstream_id));
        tokio::task::spawn_local(async move {
            let _ = tx.send(ControlEvent::UpstreamSeen(asked.await));
        });
    }

    fn spawn_fetch(&self, address: SocketAddr) {
        let tx = self.tx.clone();
        tokio::task::spawn_local(async move {
            match fetch_state(address).await {
                Some(state) => {
                    let _ = tx.send(ControlEvent::PeerState(state));
                }
                None => log::info!(address:%; "state of a peer not read"),
            }
        });
    }

    fn spawn_put(&self, record: firspindle_core::version::HostRecord) {
        if self.writing.replace(true) {
            return;
        }
        let (store, writing, written) =
            (self.store.clone(), self.writing.clone(), self.written.clone());
        tokio::task::spawn_local(async move {
            let put = store.append(StateTopic::Hosts, &record.host, record.encode(), None).await;
            if let Err(error) = &put {
                log::info!(error:%; "host record not written");
                tokio::time::sleep(TICK).await;
            }
            written.set(Some((record, put.is_ok())));
            writing.set(false);
        });
    }

    fn spawn_append(&self, plan: &firspindle_core::version::RangePlan, at: u64) {
        let (store, tx, bytes) = (self.store.clone(), self.tx.clone(), plan.encode());
        tokio::task::spawn_local(async move {
            let appended = store.append(StateTopic::Plans, "plan", bytes, Some(at)).await;
            match &appended {
                Ok(end) => log::info!(end; "plan appended"),
                Err(StoreError::Conflict { end }) => log::info!(end; "plan lost a race"),
                Err(error) => log::info!(error:%; "plan append failed"),
            }
            let end = match appended {
                Ok(end) | Err(StoreError::Conflict { end }) => Some(end),
                Err(_) => {
                    tokio::time::sleep(TICK).await;
                    None
                }
            };
            let _ = tx.send(ControlEvent::PlanAppended(end));
        });
    }
}
