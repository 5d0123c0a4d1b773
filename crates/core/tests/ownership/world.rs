//! Several machines, a log and a network under one seeded schedule.
//!
//! Every node has a clock of its own rate. The oracle is the simplest there is: at every step,
//! count the nodes that may run each partition.

mod oracle;
mod plans;
mod round;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use firspindle_core::connection::Envelope;
use firspindle_core::process::{DrainReason, FenceToken, LeaseTiming, NodeMachine, SafetyGuards};
use firspindle_core::version::{FoldState, LogRecord, MemberInfo, RecordBody, UpstreamInfo};

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
            Step::Line(partition, assignment) => self.plan_line(*partition, assignment),
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
