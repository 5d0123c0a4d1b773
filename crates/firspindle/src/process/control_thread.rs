//! The thread that holds the control state.
//!
//! It takes events in order, gives them to the [`NodeMachine`] and carries out the machine's
//! actions. Traffic threads see only the views that it publishes.

mod publish_step;
mod upstream_step;

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
use std::time::{Duration, Instant};

use firspindle_core::connection::DedupState;
use firspindle_core::process::{DrainReason, FenceToken, LeaseTiming, NodeAction, NodeMachine};
use firspindle_core::request::{DedupTable, RouteTable};
use firspindle_core::version::{FoldState, MemberInfo, UpstreamInfo};
use firspindle_core::{LogOffset, PartitionId};
use tokio::sync::mpsc::UnboundedSender;
use uuid::Uuid;

use super::peer_socket::PeerSocket;
use super::status_page::StatusPage;
use super::{AnnounceBody, BootClock, ControlEvent, SettingsFile};
use crate::connection::{PartitionGate, UpstreamLink};
use crate::request::TrafficContext;
use crate::version::GateRow;
use firspindle_edge::{unix_ms, unix_time};

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(20);

/// Events taken between two publications.
const BATCH: usize = 256;

/// Lead of the wall clock over boot time at which the lease is no longer trusted.
const CLOCK_LEAD: Duration = Duration::from_millis(300);

/// Time after which a node without a log asks its seeds for state.
const SEED_GAP: Duration = Duration::from_secs(1);

/// Time between two sweeps of id memories.
const EXPIRE_GAP: Duration = Duration::from_secs(5);

/// Places in the queue if no manifest tells.
const DEFAULT_PLACES: usize = 64;

/// Work for the thread that talks to the log and the upstream.
#[derive(Debug)]
pub enum IoOrder {
    /// Appends a record.
    Append(Box<firspindle_core::version::LogRecord>),
    /// Tells the upstream that the grant runs longer.
    ExtendGrant {
        /// Upstream.
        upstream: Arc<UpstreamLink>,
        /// This incarnation.
        holder: u64,
        /// End of the grant, in microseconds of boot time.
        deadline: u64,
    },
}

/// What the control thread is given.
pub struct ControlParts {
    /// Settings.
    pub settings: SettingsFile,
    /// Events.
    pub rx: Receiver<ControlEvent>,
    /// Sender for events, given to gates.
    pub tx: Sender<ControlEvent>,
    /// Orders to the IO thread.
    pub io: UnboundedSender<IoOrder>,
    /// Shared with traffic threads.
    pub context: Arc<TrafficContext>,
    /// Next offset to fold.
    pub folded: Arc<AtomicU64>,
    /// Status, replaced whole.
    pub status: Arc<arc_swap::ArcSwap<StatusPage>>,
}

/// Why idle partitions are not handed over yet.
#[derive(Debug, Clone, Copy)]
enum HoldIdle {
    /// The upstream's last grant still runs.
    Until(Instant),
    /// The upstream's process must be seen gone.
    Gone,
}

/// The control thread's state.
pub struct ControlThread {
    parts: ControlParts,
    clock: BootClock,
    process_id: u128,
    machine: Option<NodeMachine>,
    /// State kept while no upstream is there.
    reader: NodeMachine,
    /// Closed partitions without requests in flight.
    idle: VecDeque<PartitionId>,
    hold_idle: Option<HoldIdle>,
    upstream: Option<Arc<UpstreamLink>>,
    announced: Option<AnnounceBody>,
    announced_at: Instant,
    gates: Vec<GateRow>,
    routes: Arc<RouteTable>,
    routes_at: Option<LogOffset>,
    routes_node: Option<u64>,
    suspects: usize,
    peers: PeerSocket,
    wall_lead: Duration,
    started: Instant,
    seed_at: Instant,
    expire_at: Instant,
    granted: Option<Instant>,
    stopping: bool,
    finished: bool,
}

impl ControlThread {
    /// A thread state without an incarnation.
    pub fn new(parts: ControlParts) -> Self {
        let clock = BootClock::default();
        let now = clock.now();
        let process_id = Uuid::new_v4().as_u128();
        let reader = new_machine(&parts.settings, process_id, now);
        let peers = PeerSocket::new(parts.context.metrics.clone());
        Self {
            parts,
            clock,
            process_id,
            machine: None,
            reader,
            idle: VecDeque::new(),
            hold_idle: None,
            upstream: None,
            announced: None,
            announced_at: now,
            gates: Vec::new(),
            routes: Arc::default(),
            routes_at: None,
            routes_node: None,
            suspects: 0,
            peers,
            wall_lead: unix_time(),
            started: now,
            seed_at: now + SEED_GAP,
            expire_at: now + EXPIRE_GAP,
            granted: None,
            stopping: false,
            finished: false,
        }
    }

    /// Runs until the process may end.
    pub fn run(mut self) {
        let mut tick_at = Instant::now();
        self.wall_lead = self.wall_offset();
        while !self.finished {
            let wait = tick_at.saturating_duration_since(Instant::now());
            match self.parts.rx.recv_timeout(wait) {
                Ok(event) => {
                    self.check_clock();
                    self.take_event(event);
                    for _ in 0..BATCH {
                        let Ok(event) = self.parts.rx.try_recv() else { break };
                        self.take_event(event);
                    }
                }
                Err(RecvTimeoutError::Timeout) => self.check_clock(),
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if Instant::now() >= tick_at {
                tick_at = Instant::now() + TICK;
                self.tick();
            }
            self.carry_out();
            self.publish();
        }
    }

    /// Wall time less boot time.
    fn wall_offset(&self) -> Duration {
        unix_time().saturating_sub(self.clock.boot_time_of(self.clock.now()))
    }

    /// A virtual machine that was stopped shows only in the wall clock.
    fn check_clock(&mut self) {
        let offset = self.wall_offset();
        if offset > self.wall_lead + CLOCK_LEAD {
            log::warn!(ahead_ms = offset.saturating_sub(self.wall_lead).as_millis(); "clocks disagree; lease distrusted");
            if let Some(machine) = &mut self.machine {
                machine.discard_lease();
            }
        }
        self.wall_lead = offset;
    }

    fn current(&mut self) -> &mut NodeMachine {
        self.machine.as_mut().unwrap_or(&mut self.reader)
    }

    fn take_event(&mut self, event: ControlEvent) {
        let now = self.clock.now();
        match event {
            ControlEvent::Record(offset, record) => {
                self.current().handle_record(offset, record.as_deref(), now);
            }
            ControlEvent::Adopt(state) => {
                self.current().install_snapshot(*state, now);
            }
            ControlEvent::LogLost => self.current().end_at_log_gap(),
            ControlEvent::Peer(envelope) => self.current().handle_message(*envelope, now),
            ControlEvent::Announce(body) => self.take_announcement(body, now),
            ControlEvent::UpstreamGone => {
                self.hold_idle = None;
                if let Some(upstream) = &self.upstream {
                    upstream.mark_gone();
                }
                self.lose_upstream("it refuses connections", now);
            }
            ControlEvent::UpstreamFrozen => self.freeze_upstream(now),
            ControlEvent::Idle(partition) => self.idle.push_back(partition),
            ControlEvent::AppendFailed(record) => self.current().append_failed(record),
            ControlEvent::Suspect(row) => self.current().report_suspect(&row),
            ControlEvent::Shutdown => {
                log::info!("shutting down");
                self.stopping = true;
                self.drain(DrainReason::ProcessEnds, now);
            }
        }
        self.hand_over_idle(now);
        // Actions are carried out in the order of their events.
        self.carry_out();
    }

    fn drain(&mut self, reason: DrainReason, now: Instant) {
        match &mut self.machine {
            Some(machine) if machine.life().id().is_some() => machine.drain(reason, now),
            _ => self.finished = self.stopping,
        }
    }

    fn find_gate(&self, partition: PartitionId) -> Result<usize, usize> {
        self.gates.binary_search_by_key(&partition, |row| row.partition)
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        if let Some(machine) = &mut self.machine {
            machine.tick(now);
        }
        if now >= self.expire_at {
            self.expire_at = now + EXPIRE_GAP;
            for row in &self.gates {
                row.gate.dedup_state().expire(unix_ms());
            }
            self.current().expire_suspects(unix_ms());
        }
        self.hand_over_idle(now);
        self.ask_seeds(now);
        self.extend_grant();
        self.restart_incarnation(now);
    }

    /// A node that cannot read the log takes state from peers.
    fn ask_seeds(&mut self, now: Instant) {
        let from = self.current().state().next_offset;
        if now < self.seed_at || from > 1 || now < self.started + SEED_GAP {
            return;
        }
        self.seed_at = now + SEED_GAP;
        let reply_to: Box<str> = self.parts.settings.advertise.peer.to_string().into();
        for seed in &self.parts.settings.seeds {
            use firspindle_core::connection::{Envelope, PeerMessage};
            let message = PeerMessage::Fetch { from, reply_to: reply_to.clone() };
            let envelope = Envelope { from: 0, to: 0, next_offset: from, message };
            self.peers.send(&seed.to_string(), &envelope);
        }
    }

    fn carry_out(&mut self) {
        let actions = match &mut self.machine {
            Some(machine) => machine.take_actions(),
            None => self.reader.take_actions(),
        };
        for action in actions {
            self.carry_out_one(action);
        }
        let next_offset = self.current().state().next_offset;
        self.parts.folded.store(next_offset, Ordering::Release);
        let deadline = self.machine.as_ref().and_then(NodeMachine::lease_deadline);
        self.parts.context.lease.store(deadline, &self.clock);
    }

    fn carry_out_one(&mut self, action: NodeAction) {
        match action {
            NodeAction::Send { address, envelope } => self.peers.send(&address, &envelope),
            NodeAction::Append { record } => {
                let _ = self.parts.io.send(IoOrder::Append(Box::new(record)));
            }
            NodeAction::Open { partition, fence, dedup_state, memory_complete } => {
                self.open_gate(partition, fence, &dedup_state, memory_complete);
            }
            NodeAction::RaiseFence { partition, fence } => {
                if let Ok(index) = self.find_gate(partition) {
                    self.gates[index].gate.refence(fence);
                }
            }
            NodeAction::Close { partition } => {
                if let Ok(index) = self.find_gate(partition) {
                    self.gates[index].gate.close();
                }
            }
            NodeAction::Abandon { partition } => {
                if let Ok(index) = self.find_gate(partition) {
                    self.gates.remove(index).gate.abandon();
                }
            }
            NodeAction::Suspects { .. } => self.suspects = usize::MAX,
            NodeAction::Finished => self.finished |= self.stopping,
        }
    }

    fn open_gate(
        &mut self,
        partition: PartitionId,
        fence: FenceToken,
        dedup_state: &[DedupState],
        memory_complete: bool,
    ) {
        let dedup_state = DedupTable::take_over(dedup_state, memory_complete, unix_ms());
        let gate =
            Arc::new(PartitionGate::new(partition, fence, dedup_state, self.parts.tx.clone()));
        let row = GateRow { partition, gate };
        match self.find_gate(partition) {
            Ok(index) => self.gates[index] = row,
            Err(index) => self.gates.insert(index, row),
        }
        self.parts.context.metrics.opened.inc();
    }
}

/// Several checkpoints fit into the time for which the log keeps records.
fn checkpoint_gap(settings: &SettingsFile) -> Duration {
    settings.log_retention / 4
}

/// A machine that only reads: no upstream has announced itself, so it never ticks and joins.
fn new_machine(settings: &SettingsFile, process_id: u128, now: Instant) -> NodeMachine {
    let info = member_info(settings, process_id, None);
    let gap = checkpoint_gap(settings);
    NodeMachine::new(info, FoldState::default(), LeaseTiming::default(), gap, now)
}

fn member_info(
    settings: &SettingsFile,
    process_id: u128,
    body: Option<&AnnounceBody>,
) -> MemberInfo {
    let upstream = UpstreamInfo {
        service: body.map(|body| body.service.clone()).unwrap_or_default(),
        slots: body.map_or(0, |body| body.slots),
        connections: body.map_or(0, |body| body.connections),
        checks_grants: body.is_some_and(|body| body.checks_grants),
        boot_id: body.and_then(|body| u128::from_str_radix(&body.boot_id, 16).ok()).unwrap_or(0),
    };
    MemberInfo {
        host: settings.host.clone(),
        region: settings.region.clone(),
        data_centre: settings.data_centre.clone(),
        peer_address: settings.advertise.peer.to_string().into(),
        forward_address: settings.advertise.forward.to_string().into(),
        traffic_address: settings.listen.traffic.to_string().into(),
        boot_id: Uuid::new_v4().as_u128(),
        process_id,
        upstream,
    }
}
