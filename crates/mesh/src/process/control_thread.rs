//! The thread that owns the control state, feeds it with events and carries out its actions.

mod call_step;
mod crash_step;
mod leave_step;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use firspindle_core::connection::StateMark;
use firspindle_core::process::GrantGuards;
use firspindle_core::version::UpstreamState;
use firspindle_edge::{BootClock, PlatformCodec, StateStore, StateTopic};
use http::HeaderName;
use tokio::net::UdpSocket;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};

use self::crash_step::{CrashNotice, sleep_until};
use self::leave_step::{LeaveAnswer, PendingLeave};
use super::control_state::{ControlAction, ControlState, GOSSIP_TICKS, PeerPlace, TICK_INTERVAL};
use super::datagram_inbox::{DatagramInbox, WaitingDatagram};
use super::store_watch::{ReadSchedule, UnansweredAt, watch_topic};
use super::{ControlEvent, DatagramOutcome, MeshSettings, PeerTraffic};
use crate::request::SharedState;
use crate::version::PeerState;

/// Ticks between two log lines with the bytes exchanged with other nodes: 10 s.
const TRAFFIC_LOG_TICKS: u32 = 100;

/// Datagrams after which the thread's other tasks get a turn.
const DATAGRAMS_BETWEEN_YIELDS: u32 = 8;

/// Everything that the thread is started with.
pub(crate) struct ControlParts<C, S> {
    pub(crate) settings: MeshSettings,
    pub(crate) codec: C,
    pub(crate) store: S,
    pub(crate) clock: BootClock,
    /// Unix time of the process's start in milliseconds.
    pub(crate) incarnation: u64,
    pub(crate) tx: UnboundedSender<ControlEvent>,
    pub(crate) rx: UnboundedReceiver<ControlEvent>,
    pub(crate) shared: Arc<SharedState>,
}

/// Read schedule of each topic, shared with the tasks that read the store.
#[derive(Default)]
struct ReadSchedules {
    rows: [Cell<ReadSchedule>; 3],
}

impl ReadSchedules {
    fn cell(&self, topic: StateTopic) -> &Cell<ReadSchedule> {
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
    schedules: Rc<ReadSchedules>,
    shared: Arc<SharedState>,
    /// Whether a write of this node's host record is in flight; one at a time.
    write_pending: Rc<Cell<bool>>,
    /// Leaves of the upstream that are acknowledged once the store has them.
    pending_leaves: Vec<PendingLeave>,
    /// Fetches of the state of peers that have not ended.
    fetches_in_flight: Rc<Cell<usize>>,
    notices: Vec<CrashNotice>,
    /// When the other nodes are notified of crashes that were noted.
    crashes_due_at: Option<tokio::time::Instant>,
    /// Which records the others were told of last.
    told_mark: StateMark,
    ticks: u32,
    upstream: SocketAddr,
    upstream_id: HeaderName,
}

/// Runs the control state until the process ends.
pub(crate) async fn run_control<C: PlatformCodec, S: StateStore>(
    parts: ControlParts<C, S>,
) -> std::io::Result<()> {
    let socket = Rc::new(UdpSocket::bind(parts.settings.listen.gossip).await?);
    let inbox = DatagramInbox::new(socket.clone());
    let schedules = Rc::new(ReadSchedules::default());
    let unanswered_at = UnansweredAt::default();
    for topic in TOPICS {
        let schedules = schedules.clone();
        tokio::task::spawn_local(watch_topic(
            parts.store.clone(),
            topic,
            parts.clock,
            parts.tx.clone(),
            move || schedules.cell(topic).get(),
            unanswered_at.clone(),
            parts.shared.clone(),
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
        schedules,
        shared: parts.shared,
        write_pending: Rc::default(),
        pending_leaves: Vec::new(),
        fetches_in_flight: Rc::default(),
        notices: Vec::new(),
        crashes_due_at: None,
        told_mark: StateMark::default(),
        ticks: 0,
        upstream,
        upstream_id,
    };
    thread.run(parts.rx, inbox).await;
    Ok(())
}

impl<C: PlatformCodec, S: StateStore> ControlThread<C, S> {
    async fn run(&mut self, mut rx: UnboundedReceiver<ControlEvent>, mut inbox: DatagramInbox) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut handled = 0_u32;
        loop {
            tokio::select! {
                biased;
                event = rx.recv() => match event {
                    Some(event) => self.handle_event(event),
                    None => return,
                },
                _ = ticks.tick() => self.tick(),
                () = sleep_until(self.crashes_due_at) => self.send_crashes(),
                datagram = inbox.next() => {
                    self.handle_datagram(&datagram);
                    handled = handled.wrapping_add(1);
                    if handled.is_multiple_of(DATAGRAMS_BETWEEN_YIELDS) {
                        self.note_inbox(&mut inbox);
                        tokio::task::yield_now().await;
                    }
                }
            }
        }
    }

    fn handle_event(&mut self, event: ControlEvent) {
        let now = self.clock.now();
        match event {
            ControlEvent::Report(report, reply) => {
                let drains = report.state == UpstreamState::Draining;
                let id = report.instance.id.clone();
                let answer = self.state.handle_report(*report, now);
                self.publish();
                match answer {
                    Ok(body) if drains => {
                        self.await_record(id, LeaveAnswer::Report(body, reply));
                    }
                    answer => drop(reply.send(answer)),
                }
                self.send_ended_fences();
                self.step();
            }
            ControlEvent::Leave(id, reply) => {
                self.state.handle_leave(&id, now);
                self.publish();
                self.await_record(id, LeaveAnswer::Leave(reply));
                self.step();
            }
            ControlEvent::HostWritten(record, end) => {
                self.write_pending.set(false);
                self.state.host_written(*record, end, now);
                self.step();
            }
            ControlEvent::UpstreamLeaving(instance, time) => {
                self.state.answer_said_leaving(instance, now.checked_sub(time).unwrap_or(now));
                self.publish_and_step();
            }
            ControlEvent::UpstreamRefused(instance) => {
                self.state.upstream_refused(&instance);
                self.publish();
                self.step();
            }
            ControlEvent::UpstreamProbed(id) => {
                self.state.upstream_probed(id.as_deref(), now);
                self.step();
            }
            ControlEvent::Snapshot(topic, snapshot, at) => {
                self.state.handle_snapshot(topic, &snapshot, at, now);
                self.publish_and_step();
                self.tell_news();
                if topic == StateTopic::Hosts {
                    // A relay may know more, and the wait for its answer is short.
                    let actions = self.state.gossip_round(now);
                    self.execute(actions);
                }
            }
            ControlEvent::Records(topic, from, batch, at) => {
                let changed = !batch.records.is_empty();
                self.state.handle_records(topic, from, &batch, at, now);
                if changed {
                    self.publish_and_step();
                    self.send_ended_fences();
                }
                self.tell_news();
            }
            ControlEvent::EpochSeen(epoch) => self.state.enter_epoch(epoch, now),
            ControlEvent::StoreFailed(_) => self.state.note_store_answer(false, now),
            event @ (ControlEvent::Crash { .. }
            | ControlEvent::CrashAfter(..)
            | ControlEvent::EndedBeforeCrash(..)
            | ControlEvent::EndedOutlived(_)
            | ControlEvent::SuspectOutlived(_)) => self.handle_crash_event(event),
            ControlEvent::PeerState(state) => {
                match state {
                    PeerState::Whole(snapshot) => self.state.handle_peer_state(&snapshot, now),
                    PeerState::News(news) => self.state.handle_peer_news(&news, now),
                }
                self.publish_and_step();
                if self.tell_news() {
                    // The answers confirm the plan that was just applied.
                    let actions = self.state.gossip_round(now);
                    self.execute(actions);
                }
            }
            ControlEvent::FetchFailed(address) => {
                self.state.fetch_failed(address, now);
                self.step();
            }
            ControlEvent::PlanAppended(end, stored) => {
                if let (Some(end), Some((plan, at))) = (end, stored) {
                    self.state.plan_stored(*plan, end, at, now);
                    self.publish();
                }
                self.state.plan_appended(end, now);
                self.tell_news();
            }
            ControlEvent::Shutdown => {
                self.state.stop();
                self.publish();
            }
        }
        self.answer_leaves();
        self.update_schedules();
    }

    /// Handles a datagram, and answers it if it is to be answered. What the answer says of suspects and of
    /// ended fences is in force here before.
    fn handle_datagram(&mut self, datagram: &WaitingDatagram) {
        let metrics = &self.shared.metrics.control;
        metrics.count_datagram(DatagramOutcome::Received);
        metrics.note_datagram_wait(datagram.received_at.elapsed());
        let now = self.clock.now();
        let asks = self.state.handle_datagram(&datagram.bytes, now);
        if self.state.take_view_change() {
            self.publish();
        }
        if let Some(host) = asks {
            let actions = self.state.datagrams(&[host], now);
            self.execute(actions);
        }
        if !self.notices.is_empty() {
            self.finish_notices();
        }
    }

    fn note_inbox(&self, inbox: &mut DatagramInbox) {
        let metrics = &self.shared.metrics.control;
        metrics.note_waiting(inbox.len());
        metrics.count_dropped(inbox.take_dropped());
    }

    /// Notes how long a peer was known to have the manifest that has just come into force.
    fn note_manifest_lag(&mut self) {
        if let Some(lag) = self.state.take_manifest_lag() {
            self.shared.metrics.control.note_manifest_lag(lag);
        }
    }

    /// Tells others at once of plans and manifests that this node has just applied; returns whether
    /// there were any.
    fn tell_news(&mut self) -> bool {
        let mark = self.state.mark();
        if mark == self.told_mark {
            return false;
        }
        self.told_mark = mark;
        self.note_manifest_lag();
        let now = self.clock.now();
        let hosts = self.state.new_plan_hosts(now);
        let actions = self.state.datagrams(&hosts, now);
        self.execute(actions);
        true
    }

    fn update_schedules(&self) {
        let now = self.clock.now();
        for topic in TOPICS {
            let schedule = self.state.read_schedule(topic, now);
            let earlier = self.schedules.cell(topic).replace(schedule);
            if (earlier.wait, earlier.interval) != (schedule.wait, schedule.interval) {
                log::info!(
                    topic:?, wait_ms:? = schedule.wait.as_millis(),
                    interval_ms:? = schedule.interval.as_millis();
                    "reading changed"
                );
            }
        }
    }

    fn publish_and_step(&mut self) {
        self.publish();
        self.step();
    }

    fn tick(&mut self) {
        self.ticks = self.ticks.wrapping_add(1);
        self.update_schedules();
        self.state.set_load(self.shared.load(), self.shared.demand());
        self.finish_notices();
        self.answer_leaves();
        self.shared.metrics.control.malformed.set(self.state.malformed_datagrams());
        self.shared.metrics.restores.set(self.state.restores().cast_signed());
        self.shared.metrics.unknown_kinds.set(self.state.unknown_kinds());
        let faults = self.state.evacuation_faults();
        self.shared.metrics.evacuations.show(self.state.evacuated_count(), faults);
        self.publish();
        self.step();
        if self.ticks.is_multiple_of(TRAFFIC_LOG_TICKS) {
            let metrics = &self.shared.metrics;
            let (own, other) = (
                metrics.peer_bytes_text(PeerPlace::OwnDataCentre),
                metrics.peer_bytes_text(PeerPlace::OtherDataCentre),
            );
            log::info!(
                own_data_centre = &*own, other_data_centres = &*other,
                calls = &*metrics.store_calls_text(), control = &*metrics.control.text();
                "traffic of the control thread"
            );
        }
        if self.ticks.is_multiple_of(GOSSIP_TICKS) {
            let actions = self.state.gossip_round(self.clock.now());
            self.execute(actions);
        }
    }

    fn step(&mut self) {
        let actions = self.state.tick(self.clock.now());
        self.execute(actions);
    }

    /// Sends ended fences to their next holders at once, not only with the next round of datagrams.
    fn send_ended_fences(&mut self) {
        let now = self.clock.now();
        let hosts = self.state.ended_fence_hosts(now);
        let actions = self.state.datagrams(&hosts, now);
        self.execute(actions);
    }

    fn publish(&self) {
        self.shared.view.store(Arc::new(self.state.view(self.clock.now())));
    }

    fn execute(&mut self, actions: Vec<ControlAction>) {
        for action in actions {
            match action {
                ControlAction::Send(address, bytes, place) => {
                    let counter = self.shared.metrics.peer_bytes(PeerTraffic::Datagram, place);
                    counter.inc_by(bytes.len() as u64);
                    if let Err(error) = self.socket.try_send_to(&bytes, address) {
                        self.shared.metrics.control.count_datagram(DatagramOutcome::Unsent);
                        log::debug!(address:%, error:%; "sending a datagram failed");
                    }
                }
                ControlAction::ProbeUpstream(path) => self.spawn_probe(&path),
                ControlAction::FetchState(address, place) => self.spawn_fetch(address, place),
                ControlAction::PutHost(record) => self.spawn_put(record),
                ControlAction::AppendPlan(plan, at) => self.spawn_append(plan, at),
            }
        }
    }
}
