//! Several machines, a log and a network under one seeded schedule.
//!
//! Every node has a clock of its own rate. The oracle is the simplest there is: at every step,
//! count the nodes that may run each partition.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use firspindle_core::connection::{Envelope, HandoverMemory};
use firspindle_core::process::{
    DrainReason, FenceToken, LeaseTiming, LifeCycle, NodeAction, NodeMachine, SafetyGuards,
};
use firspindle_core::version::{
    FoldState, LineChange, LogRecord, MemberInfo, PlanRecord, RecordBody, SetChange, UpstreamInfo,
};

use crate::schedule::Step;

/// Nodes of a world.
pub const NODES: usize = 6;

/// Partitions of the one service.
pub const PARTITIONS: u32 = 3;

const MANIFEST: &str = r#"
replaces = 0
[[service]]
name = "registre"
partitions = 3
successors = 2
"#;

/// Virtual time between two rounds.
const ROUND: Duration = Duration::from_millis(20);

/// A small generator, so that a case is its seed and its steps.
#[derive(Debug, Clone)]
struct Dice(u64);

impl Dice {
    fn roll(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % bound.max(1)
    }
}

struct Node {
    machine: NodeMachine,
    alive: bool,
    paused_until: Duration,
    reads_log: bool,
    /// Clock rate in parts of a million.
    rate: u64,
    idle_at: Vec<(Duration, u32)>,
    /// Requests in flight at the upstream, with their end.
    in_flight: Vec<(Duration, u32)>,
    boots: u128,
    process: u128,
    /// Work of ended processes at the upstream, with the end of its grant.
    ghosts: Vec<(Duration, u32)>,
    inbox: Vec<Envelope>,
    failed: Vec<(Duration, u128, usize)>,
    manifest: u64,
    /// Partitions whose executions survived the machine: none, as upstreams check grants.
    drained: bool,
}

/// A world with its oracle.
pub struct World {
    now: Duration,
    base: Instant,
    dice: Dice,
    guards: SafetyGuards,
    log: Vec<LogRecord>,
    log_up: bool,
    lose_answers: bool,
    nodes: Vec<Node>,
    links: Vec<Vec<bool>>,
    flight: Vec<(Duration, usize, usize, Envelope)>,
    fences: BTreeMap<u32, (FenceToken, usize, u128)>,
    spare: u128,
    /// Partitions opened in the whole history.
    pub opened: u64,
}

/// A broken invariant.
pub type Fault = String;

impl World {
    /// A world that has served for a while without faults.
    pub fn start(seed: u64, guards: SafetyGuards) -> Result<Self, Fault> {
        let base = Instant::now();
        let mut world = Self {
            now: Duration::ZERO,
            base,
            dice: Dice(seed | 1),
            guards,
            log: Vec::new(),
            log_up: true,
            lose_answers: false,
            nodes: Vec::new(),
            links: vec![vec![true; NODES]; NODES],
            flight: Vec::new(),
            fences: BTreeMap::new(),
            spare: 0,
            opened: 0,
        };
        for index in 0..NODES {
            let rate = 955_000 + world.dice.roll(90_000);
            let machine = world.boot(index, 1);
            world.nodes.push(Node {
                machine,
                alive: true,
                paused_until: Duration::ZERO,
                reads_log: true,
                rate,
                idle_at: Vec::new(),
                in_flight: Vec::new(),
                boots: 1,
                process: 1,
                ghosts: Vec::new(),
                inbox: Vec::new(),
                failed: Vec::new(),
                manifest: 0,
                drained: false,
            });
        }
        let text = MANIFEST.into();
        world.append_foreign(RecordBody::Manifest { replaces: 0, text });
        world.run(Duration::from_secs(3))?;
        Ok(world)
    }

    fn info(index: usize, boots: u128, process: u128) -> MemberInfo {
        MemberInfo {
            host: format!("host-{index}").into(),
            region: "region".into(),
            data_centre: format!("dc{}", index % 3).into(),
            peer_address: index.to_string().into(),
            forward_address: "".into(),
            traffic_address: "".into(),
            boot_id: ((index as u128 + 1) << 100) + (boots << 64),
            process_id: process,
            upstream: UpstreamInfo {
                service: "registre".into(),
                slots: 10,
                connections: 100,
                checks_grants: true,
                boot_id: boots / 2,
            },
        }
    }

    fn boot(&self, index: usize, boots: u128) -> NodeMachine {
        let info = Self::info(index, boots, boots);
        let gap = Duration::from_secs(4);
        let now = self.base + self.now;
        // Clocks drift ten times as much as the product allows, and so does its margin.
        let timing = LeaseTiming { drift_permille: 100, ..LeaseTiming::default() };
        NodeMachine::new(info, FoldState::default(), timing, gap, now).with_guards(self.guards)
    }

    fn local(&self, index: usize, at: Duration) -> Instant {
        let micros = at.as_micros() * u128::from(self.nodes[index].rate) / 1_000_000;
        self.base + Duration::from_micros(u64::try_from(micros).expect("short histories"))
    }

    fn append_foreign(&mut self, body: RecordBody) {
        self.spare += 1;
        self.log.push(LogRecord { id: self.spare, body });
    }

    /// State at the log's end, as an omniscient reader has it.
    fn end_state(&self) -> FoldState {
        let mut state = FoldState::default();
        for (index, record) in self.log.iter().enumerate() {
            state.fold(index as u64 + 1, record);
        }
        state
    }

    /// Applies one step.
    pub fn apply(&mut self, step: &Step) -> Result<(), Fault> {
        match step {
            Step::Run(ms) => self.run(Duration::from_millis(*ms))?,
            Step::Cut(a, b) => {
                self.links[*a][*b] = false;
                self.links[*b][*a] = false;
            }
            Step::Isolate(node) => {
                for other in (0..NODES).filter(|other| other != node) {
                    self.links[*node][other] = false;
                    self.links[other][*node] = false;
                }
            }
            Step::Heal => self.links = vec![vec![true; NODES]; NODES],
            Step::Pause(node, ms) => {
                self.nodes[*node].paused_until = self.now + Duration::from_millis(*ms);
            }
            Step::Restart(node) => {
                self.leave_ghosts(*node);
                let boots = self.nodes[*node].boots + 1;
                let machine = self.boot(*node, boots);
                let node = &mut self.nodes[*node];
                node.machine = machine;
                node.boots = boots;
                node.process = boots;
                node.alive = true;
                node.idle_at.clear();
                node.in_flight.clear();
                node.failed.clear();
                node.inbox.clear();
                node.manifest = 0;
                node.drained = false;
            }
            Step::Kill(node) => {
                self.leave_ghosts(*node);
                self.nodes[*node].alive = false;
            }
            Step::Log(node, up) => self.nodes[*node].reads_log = *up,
            Step::LogDown(down) => self.log_up = !down,
            Step::LoseAnswers(lose) => self.lose_answers = *lose,
            Step::Line(partition, line) => self.plan_line(*partition, line),
            Step::Witnesses(node, set) => self.plan_set(*node, set),
            Step::Drain(node) => {
                let now = self.local(*node, self.now);
                if self.nodes[*node].alive && self.nodes[*node].paused_until <= self.now {
                    let ends = self.dice.roll(2) == 0;
                    let reason =
                        if ends { DrainReason::ProcessEnds } else { DrainReason::UpstreamLeaves };
                    self.nodes[*node].machine.drain(reason, now);
                    self.nodes[*node].drained = ends;
                    self.act(*node)?;
                }
            }
        }
        self.check()
    }

    fn node_ids(state: &FoldState, indices: &[usize]) -> Vec<u64> {
        let id = |index: &usize| {
            let address: Box<str> = index.to_string().into();
            state.members.iter().find(|row| row.info.peer_address == address).map(|row| row.id)
        };
        indices.iter().filter_map(id).collect()
    }

    fn plan_line(&mut self, partition: u32, line: &[usize]) {
        let state = self.end_state();
        let nodes = Self::node_ids(&state, line);
        if !nodes.is_empty() {
            self.plan(&state, vec![LineChange { partition, nodes }], Vec::new());
        }
    }

    fn plan_set(&mut self, node: usize, set: &[usize]) {
        let state = self.end_state();
        let mut nodes = Self::node_ids(&state, set);
        nodes.sort_unstable();
        let Some(member) = Self::node_ids(&state, &[node]).first().copied() else { return };
        if !nodes.is_empty() {
            self.plan(&state, Vec::new(), vec![SetChange { member, nodes }]);
        }
    }

    fn plan(&mut self, state: &FoldState, lines: Vec<LineChange>, sets: Vec<SetChange>) {
        let plan = PlanRecord {
            term: state.term.number,
            base: state.revision,
            floor: state.floor,
            lines,
            sets,
        };
        self.append_foreign(RecordBody::Plan(plan));
    }

    /// Lets time pass in rounds.
    pub fn run(&mut self, time: Duration) -> Result<(), Fault> {
        let until = self.now + time;
        while self.now < until {
            self.now += ROUND;
            self.round()?;
        }
        Ok(())
    }

    fn round(&mut self) -> Result<(), Fault> {
        self.check()?;
        self.deliver();
        for index in 0..NODES {
            if self.nodes[index].alive && self.nodes[index].paused_until <= self.now {
                self.step_node(index)?;
            }
        }
        self.check()
    }

    fn deliver(&mut self) {
        let due: Vec<_> = self.flight.extract_if(.., |row| row.0 <= self.now).collect();
        for (_, from, to, envelope) in due {
            if self.links[from][to] && self.nodes[to].alive {
                self.nodes[to].inbox.push(envelope);
            }
        }
    }

    fn step_node(&mut self, index: usize) -> Result<(), Fault> {
        let now = self.local(index, self.now);
        // Either may come first after a pause: bytes in the socket or the clock.
        if self.dice.roll(2) == 0 {
            self.nodes[index].machine.tick(now);
            self.act(index)?;
        }
        if self.nodes[index].reads_log && self.log_up {
            let next = self.nodes[index].machine.state().next_offset;
            for offset in next..=self.log.len() as u64 {
                let record = self.log[usize::try_from(offset).expect("short logs") - 1].clone();
                self.nodes[index].machine.take_record(offset, Some(&record), now);
                self.act(index)?;
            }
        }
        for envelope in std::mem::take(&mut self.nodes[index].inbox) {
            self.nodes[index].machine.take_message(envelope, now);
            self.act(index)?;
        }
        self.report_failures(index, now)?;
        self.report_idle(index, now)?;
        self.nodes[index].machine.tick(now);
        self.act(index)?;
        self.renew_incarnation(index);
        Ok(())
    }

    fn report_failures(&mut self, index: usize, _now: Instant) -> Result<(), Fault> {
        let node = &mut self.nodes[index];
        let next = node.machine.state().next_offset;
        let at = self.now;
        let due: Vec<_> =
            node.failed.extract_if(.., |row| row.0 <= at && next > row.2 as u64).collect();
        for (_, record, _) in due {
            self.nodes[index].machine.append_failed(record);
            self.act(index)?;
        }
        Ok(())
    }

    fn report_idle(&mut self, index: usize, now: Instant) -> Result<(), Fault> {
        let at = self.now;
        let due: Vec<_> = self.nodes[index].idle_at.extract_if(.., |row| row.0 <= at).collect();
        for (_, partition) in due {
            let memory = HandoverMemory::default();
            self.nodes[index].machine.partition_idle(partition, memory, now);
            self.act(index)?;
        }
        Ok(())
    }

    /// The surroundings start another incarnation after one ended.
    fn renew_incarnation(&mut self, index: usize) {
        if !matches!(self.nodes[index].machine.life(), LifeCycle::Gone(_)) {
            return;
        }
        if self.nodes[index].drained {
            self.nodes[index].alive = false;
            return;
        }
        // What the ended incarnation sent runs under its own grant at most.
        self.leave_ghosts(index);
        let boots = self.nodes[index].boots + 1;
        let info = Self::info(index, boots, self.nodes[index].process);
        let now = self.local(index, self.now);
        let node = &mut self.nodes[index];
        let next = node.machine.clone().succeed(info, Duration::from_secs(4), now);
        node.machine = next;
        node.boots = boots;
        node.idle_at.clear();
        node.in_flight.clear();
        node.failed.clear();
        node.drained = false;
    }

    fn act(&mut self, index: usize) -> Result<(), Fault> {
        for action in self.nodes[index].machine.take_actions() {
            match action {
                NodeAction::Send { address, envelope } => self.send(index, &address, envelope),
                NodeAction::Append { record } => self.append(index, record),
                NodeAction::Open { partition, fence, .. } => {
                    self.opened += 1;
                    self.note_fence(index, partition, fence)?;
                }
                NodeAction::Refence { partition, fence } => {
                    self.note_fence(index, partition, fence)?;
                }
                NodeAction::Close { partition } => {
                    let end = self.now + Duration::from_millis(self.dice.roll(400));
                    let idle = if self.guards.idle_release { end } else { self.now };
                    self.nodes[index].in_flight.push((end, partition));
                    self.nodes[index].idle_at.push((idle, partition));
                }
                NodeAction::Abandon { .. } | NodeAction::Suspects { .. } | NodeAction::Finished => {
                }
            }
        }
        Ok(())
    }

    fn send(&mut self, from: usize, address: &str, envelope: Envelope) {
        let to: usize = address.parse().expect("addresses are indices");
        if !self.links[from][to] || self.dice.roll(50) == 0 {
            return;
        }
        let delay = match self.dice.roll(20) {
            0 => self.dice.roll(3000),
            _ => self.dice.roll(40),
        };
        if self.dice.roll(30) == 0 {
            let late = Duration::from_millis(self.dice.roll(2500));
            self.flight.push((self.now + late, from, to, envelope.clone()));
        }
        self.flight.push((self.now + Duration::from_millis(delay), from, to, envelope));
    }

    fn append(&mut self, index: usize, record: LogRecord) {
        let id = record.id;
        let reachable = self.log_up && self.nodes[index].reads_log;
        if reachable {
            self.log.push(record.clone());
            if self.lose_answers && self.dice.roll(2) == 0 {
                // The copy that a retry in the network makes.
                self.log.push(record);
            }
            return;
        }
        let at = self.now + Duration::from_millis(200);
        // Failure is told only after everything on the log now was read.
        self.nodes[index].failed.push((at, id, self.log.len()));
    }

    /// Fences of a partition rise from each holder to the next.
    fn note_fence(&mut self, index: usize, partition: u32, fence: FenceToken) -> Result<(), Fault> {
        let boots = self.nodes[index].boots;
        if let Some((last, holder, boot)) = self.fences.get(&partition) {
            let same = *holder == index && *boot == boots;
            if fence < *last || (fence == *last && !same) {
                return Err(format!(
                    "fence of partition {partition} fell from {last} (node {holder}) to {fence} (node {index})"
                ));
            }
        }
        self.fences.insert(partition, (fence, index, boots));
        Ok(())
    }

    /// The oracle.
    fn check(&mut self) -> Result<(), Fault> {
        for partition in 0..PARTITIONS {
            let ghosts = self.nodes.iter().flat_map(|node| &node.ghosts);
            let ghosts = ghosts.filter(|ghost| ghost.1 == partition && ghost.0 > self.now).count();
            let holders: Vec<_> = (0..NODES)
                .filter(|index| self.nodes[*index].alive)
                .filter(|index| {
                    let now = self.local(*index, self.now);
                    let machine = &self.nodes[*index].machine;
                    machine.may_run(partition, now) || self.has_in_flight(*index, partition, now)
                })
                .collect();
            if holders.len() + ghosts > 1 {
                return Err(format!(
                    "partition {partition} may run on nodes {holders:?} at {:?}",
                    self.now
                ));
            }
        }
        for node in &mut self.nodes {
            let version = node.machine.state().manifest_version();
            if version < node.manifest {
                return Err("a manifest reverted".to_owned());
            }
            node.manifest = version;
        }
        Ok(())
    }

    /// Work that a process sent before its end runs on until the grant ends.
    fn leave_ghosts(&mut self, index: usize) {
        if !self.nodes[index].alive {
            return;
        }
        let now = self.local(index, self.now);
        let Some(deadline) = self.nodes[index].machine.lease_deadline() else { return };
        let left = deadline.saturating_duration_since(now).as_micros();
        let left = left * 1_000_000 / u128::from(self.nodes[index].rate);
        let until = self.now + Duration::from_micros(u64::try_from(left).expect("short"));
        for partition in 0..PARTITIONS {
            let active = self.nodes[index].machine.may_run(partition, now)
                || self.has_in_flight(index, partition, now);
            if active {
                self.nodes[index].ghosts.push((until, partition));
            }
        }
    }

    /// Whether a request of a closed partition still runs; its upstream stops it with the lease.
    fn has_in_flight(&self, index: usize, partition: u32, now: Instant) -> bool {
        let node = &self.nodes[index];
        let lease = node.machine.lease_deadline().is_some_and(|deadline| now < deadline);
        lease && node.in_flight.iter().any(|row| row.1 == partition && row.0 > self.now)
    }

    /// Mends everything, and starts the processes that ended.
    pub fn mend(&mut self) -> Result<(), Fault> {
        self.links = vec![vec![true; NODES]; NODES];
        self.log_up = true;
        self.lose_answers = false;
        for index in 0..NODES {
            self.nodes[index].reads_log = true;
            self.nodes[index].paused_until = self.now;
            if !self.nodes[index].alive {
                self.apply(&Step::Restart(index))?;
            }
        }
        Ok(())
    }

    /// What a node holds of a partition, for reports.
    pub fn describe(&self, partition: u32) -> String {
        let row = self.end_state().partition(partition).cloned();
        let lives: Vec<_> = self.nodes.iter().map(|node| node.machine.life().name()).collect();
        format!("{row:?}, lives {lives:?}")
    }

    /// Whether some living node may run the partition.
    pub fn is_served(&self, partition: u32) -> bool {
        (0..NODES).any(|index| {
            let now = self.local(index, self.now);
            let node = &self.nodes[index];
            node.alive && node.paused_until <= self.now && node.machine.may_run(partition, now)
        })
    }
}

/// Runs a whole history.
pub fn run_history(seed: u64, steps: &[Step], guards: SafetyGuards) -> Result<World, Fault> {
    let mut world = World::start(seed, guards)?;
    for step in steps {
        world.apply(step)?;
    }
    world.run(Duration::from_secs(2))?;
    Ok(world)
}
