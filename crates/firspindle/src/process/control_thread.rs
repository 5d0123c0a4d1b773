//! The thread that owns the control state.
//!
//! It passes events in order to the [`NodeMachine`] and carries out the machine's actions. Traffic
//! threads see only the views that it publishes.

mod publish_step;
mod upstream_step;

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
use std::time::{Duration, Instant};

use firspindle_core::connection::{DedupState, UpstreamLimit};
use firspindle_core::process::{DrainReason, FenceToken, LeaseTiming, NodeAction, NodeMachine};
use firspindle_core::request::{DedupTable, RouteTable};
use firspindle_core::version::{FoldState, MemberInfo, UpstreamInfo, offset_in_log};
use firspindle_core::{LogOffset, PartitionId};
use tokio::sync::mpsc::UnboundedSender;
use uuid::Uuid;

use super::status_page::StatusPage;
use super::{AnnounceBody, BootClock, ControlEvent, NodeSettings, PeerSocket};
use crate::connection::{PartitionGate, UpstreamHandle};
use crate::request::TrafficContext;
use crate::version::GateRow;
use firspindle_edge::{unix_ms, unix_time};

/// Time between ticks of the machine.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Further events that are handled before the next view is published.
const MAX_EVENT_BATCH: usize = 256;

/// Advance of the wall clock relative to boot time, between two checks, above which the lease is
/// discarded.
const MAX_CLOCK_LEAD: Duration = Duration::from_millis(300);

/// Time after the start, and between requests, at which a node that has folded nothing requests
/// state from its seeds.
const SEED_INTERVAL: Duration = Duration::from_secs(1);

/// Time between removals of expired request ids and suspects.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);

/// Requests that may wait for a slot of the upstream while no manifest sets the limit.
const DEFAULT_QUEUE_LIMIT: usize = 64;

/// Commands to the thread that calls the log and the upstream.
#[derive(Debug)]
pub enum IoCommand {
    /// Append a record to the log.
    Append(Box<firspindle_core::version::LogRecord>),
    /// Extend the upstream's grant.
    ExtendGrant {
        /// Upstream that holds the grant.
        upstream: Arc<UpstreamHandle>,
        /// Id of this incarnation.
        holder: u64,
        /// New end of the grant, in microseconds of boot time.
        deadline: u64,
    },
}

/// Everything that the thread is started with.
pub struct ControlParts {
    /// Settings of the node.
    pub settings: NodeSettings,
    /// Receiver of events.
    pub rx: Receiver<ControlEvent>,
    /// Sender of events, for the gates of partitions.
    pub tx: Sender<ControlEvent>,
    /// Sender of commands to the IO thread.
    pub io: UnboundedSender<IoCommand>,
    /// Sends messages to other nodes.
    pub peers: PeerSocket,
    /// State shared with the traffic threads.
    pub context: Arc<TrafficContext>,
    /// First offset that is not folded; the IO thread reads it.
    pub folded_end: Arc<AtomicU64>,
    /// Status; each update replaces the whole page.
    pub status: Arc<arc_swap::ArcSwap<StatusPage>>,
}

/// Why idle partitions are not handed over yet, after the upstream became unresponsive.
#[derive(Debug, Clone, Copy)]
enum HandoverHold {
    /// The upstream's last grant runs until this time.
    Until(Instant),
    /// The upstream does not check grants, so its process must end first.
    UntilGone,
}

/// State of the control thread.
pub struct ControlThread {
    parts: ControlParts,
    clock: BootClock,
    process_id: u128,
    /// Incarnation that serves the upstream, while one is present.
    machine: Option<NodeMachine>,
    /// Machine that follows the log while no upstream is present; it does not join, but keeps the
    /// witness roles of earlier incarnations.
    standby: NodeMachine,
    /// Closed partitions without requests in flight, to be handed over.
    idle: VecDeque<PartitionId>,
    handover_hold: Option<HandoverHold>,
    upstream: Option<Arc<UpstreamHandle>>,
    /// Announcement of the present upstream, until it is lost or leaves.
    announcement: Option<AnnounceBody>,
    /// Boot id of the upstream process whose answers said that it leaves.
    left: Option<Box<str>>,
    /// Boot id of the upstream process that the last incarnation served, and the limit that it named.
    named_limit: Option<(Box<str>, UpstreamLimit)>,
    announced_at: Instant,
    gates: Vec<GateRow>,
    /// Gates of ended incarnations whose requests are still in flight.
    abandoned: Vec<GateRow>,
    routes: Arc<RouteTable>,
    /// Revision of the state from which `routes` was built.
    routes_revision: Option<LogOffset>,
    /// Incarnation in the published view.
    published_node: Option<u64>,
    /// Number of suspects in the published view; `usize::MAX` once they changed.
    published_suspects: usize,
    /// Wall time minus boot time at the last check.
    last_wall_offset: Duration,
    started_at: Instant,
    seed_at: Instant,
    expire_at: Instant,
    /// End of the last grant given to the upstream.
    granted_until: Option<Instant>,
    stopping: bool,
    finished: bool,
}

impl ControlThread {
    /// Creates the state of a thread without an incarnation.
    pub fn new(parts: ControlParts) -> Self {
        let clock = BootClock::default();
        let now = clock.now();
        let process_id = Uuid::new_v4().as_u128();
        let standby = new_standby(&parts.settings, process_id, now);
        Self {
            parts,
            clock,
            process_id,
            machine: None,
            standby,
            idle: VecDeque::new(),
            handover_hold: None,
            upstream: None,
            announcement: None,
            left: None,
            named_limit: None,
            announced_at: now,
            gates: Vec::new(),
            abandoned: Vec::new(),
            routes: Arc::default(),
            routes_revision: None,
            published_node: None,
            published_suspects: 0,
            last_wall_offset: unix_time(),
            started_at: now,
            seed_at: now + SEED_INTERVAL,
            expire_at: now + EXPIRY_INTERVAL,
            granted_until: None,
            stopping: false,
            finished: false,
        }
    }

    /// Handles events until the process may exit.
    pub fn run(mut self) {
        let mut tick_at = Instant::now();
        self.last_wall_offset = self.wall_offset();
        while !self.finished {
            let wait = tick_at.saturating_duration_since(Instant::now());
            match self.parts.rx.recv_timeout(wait) {
                Ok(event) => {
                    self.check_clock();
                    self.handle_event(event);
                    for _ in 0..MAX_EVENT_BATCH {
                        let Ok(event) = self.parts.rx.try_recv() else { break };
                        self.handle_event(event);
                    }
                }
                Err(RecvTimeoutError::Timeout) => self.check_clock(),
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if Instant::now() >= tick_at {
                tick_at = Instant::now() + TICK_INTERVAL;
                self.tick();
            }
            self.execute_actions();
            self.publish();
        }
    }

    /// Returns wall time minus boot time.
    fn wall_offset(&self) -> Duration {
        unix_time().saturating_sub(self.clock.boot_time_of(self.clock.now()))
    }

    /// Discards the lease if the wall clock has jumped ahead of boot time: a stop of the virtual
    /// machine shows only in the wall clock.
    fn check_clock(&mut self) {
        let offset = self.wall_offset();
        if offset > self.last_wall_offset + MAX_CLOCK_LEAD {
            log::warn!(ahead_ms = offset.saturating_sub(self.last_wall_offset).as_millis(); "wall clock jumped ahead of boot time; lease discarded");
            if let Some(machine) = &mut self.machine {
                machine.discard_lease();
            }
        }
        self.last_wall_offset = offset;
    }

    fn current_machine(&mut self) -> &mut NodeMachine {
        self.machine.as_mut().unwrap_or(&mut self.standby)
    }

    fn handle_event(&mut self, event: ControlEvent) {
        let now = self.clock.now();
        match event {
            ControlEvent::Record(offset, record) => {
                self.current_machine().handle_record(offset, record.as_deref(), now);
            }
            ControlEvent::Checkpoint(state) => {
                self.current_machine().install_snapshot(*state, now);
            }
            ControlEvent::LogEpoch(epoch) => self.current_machine().enter_epoch(epoch, now),
            ControlEvent::RecordsExpired => self.current_machine().end_at_log_gap(),
            ControlEvent::Peer(envelope) => self.current_machine().handle_message(*envelope, now),
            ControlEvent::Announce(body) => self.handle_announcement(body, now),
            ControlEvent::UpstreamLeaving(boot_id) => self.handle_leaving(boot_id, now),
            ControlEvent::UpstreamGone => {
                self.handover_hold = None;
                if let Some(upstream) = &self.upstream {
                    upstream.mark_gone();
                }
                self.handle_lost_upstream("connection refused", now);
            }
            ControlEvent::UpstreamUnresponsive => self.handle_unresponsive_upstream(now),
            ControlEvent::PartitionIdle(partition) => self.idle.push_back(partition),
            ControlEvent::AppendFailed(record) => self.current_machine().append_failed(record),
            ControlEvent::Suspect(row) => self.current_machine().report_suspect(&row),
            ControlEvent::Shutdown => {
                log::info!("shutdown signal received");
                self.stopping = true;
                self.drain(DrainReason::ProcessEnds, now);
            }
        }
        self.hand_over_idle(now);
        self.hand_over_abandoned(now);
        // Carries out the actions of each event before the next event is handled.
        self.execute_actions();
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
            self.expire_at = now + EXPIRY_INTERVAL;
            for row in &self.gates {
                row.gate.dedup_table().expire(unix_ms());
            }
            self.current_machine().expire_suspects(unix_ms());
        }
        self.hand_over_idle(now);
        self.hand_over_abandoned(now);
        self.fetch_from_seeds(now);
        self.extend_grant();
        self.restart_incarnation(now);
    }

    /// Requests state from the seeds if this node has folded nothing, as it cannot read the log.
    fn fetch_from_seeds(&mut self, now: Instant) {
        let from = self.current_machine().state().next_offset;
        if now < self.seed_at || offset_in_log(from) > 1 || now < self.started_at + SEED_INTERVAL {
            return;
        }
        self.seed_at = now + SEED_INTERVAL;
        let reply_to: Box<str> = self.parts.settings.advertise.peer.to_string().into();
        for seed in &self.parts.settings.seeds {
            use firspindle_core::connection::{Envelope, PeerMessage};
            let message = PeerMessage::Fetch { from, reply_to: reply_to.clone() };
            let envelope = Envelope { from: 0, to: 0, next_offset: from, message };
            self.parts.peers.send(&seed.to_string(), &envelope);
        }
    }

    fn execute_actions(&mut self) {
        let actions = match &mut self.machine {
            Some(machine) => machine.take_actions(),
            None => self.standby.take_actions(),
        };
        for action in actions {
            self.execute_action(action);
        }
        let next_offset = self.current_machine().state().next_offset;
        self.parts.folded_end.store(next_offset, Ordering::Release);
        let deadline = self.machine.as_ref().and_then(NodeMachine::lease_deadline);
        self.parts.context.lease.store(deadline, &self.clock);
    }

    fn execute_action(&mut self, action: NodeAction) {
        match action {
            NodeAction::Send { address, envelope } => self.parts.peers.send(&address, &envelope),
            NodeAction::Append { record } => {
                let _ = self.parts.io.send(IoCommand::Append(Box::new(record)));
            }
            NodeAction::Open { partition, fence, dedup_state, dedup_complete } => {
                self.open_gate(partition, fence, &dedup_state, dedup_complete);
            }
            NodeAction::CompleteDedup { partition, dedup_state } => {
                if let Ok(index) = self.find_gate(partition) {
                    self.gates[index].gate.dedup_table().complete(&dedup_state);
                }
            }
            NodeAction::RaiseFence { partition, fence } => {
                if let Ok(index) = self.find_gate(partition) {
                    self.gates[index].gate.raise_fence(fence);
                }
            }
            NodeAction::Close { partition } => {
                if let Ok(index) = self.find_gate(partition) {
                    self.gates[index].gate.close();
                }
            }
            NodeAction::Abandon { partition } => {
                if let Ok(index) = self.find_gate(partition) {
                    let row = self.gates.remove(index);
                    row.gate.abandon();
                    self.abandoned.push(row);
                }
            }
            NodeAction::Suspects { .. } => self.published_suspects = usize::MAX,
            NodeAction::Finished => self.finished |= self.stopping,
        }
    }

    fn open_gate(
        &mut self,
        partition: PartitionId,
        fence: FenceToken,
        dedup_state: &[DedupState],
        dedup_complete: bool,
    ) {
        let dedup_table = DedupTable::take_over(dedup_state, dedup_complete, unix_ms());
        let gate =
            Arc::new(PartitionGate::new(partition, fence, dedup_table, self.parts.tx.clone()));
        let row = GateRow { partition, gate };
        match self.find_gate(partition) {
            Ok(index) => self.gates[index] = row,
            Err(index) => self.gates.insert(index, row),
        }
        self.parts.context.metrics.opened.inc();
    }
}

/// Returns the time between checkpoints, a quarter of the log's retention: the log keeps several.
fn checkpoint_interval(settings: &NodeSettings) -> Duration {
    settings.log_retention / 4
}

/// Creates a machine that only follows the log: as no upstream has announced itself, it is never
/// ticked and so never joins.
fn new_standby(settings: &NodeSettings, process_id: u128, now: Instant) -> NodeMachine {
    let info = member_info(settings, process_id, None);
    let interval = checkpoint_interval(settings);
    NodeMachine::new(info, FoldState::default(), LeaseTiming::default(), interval, now)
}

fn member_info(
    settings: &NodeSettings,
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
