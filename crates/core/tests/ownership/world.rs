//! Simulation of several nodes, a log and a network under one seeded schedule.
//!
//! Every node's clock runs at a rate of its own. The oracle is deliberately simple: at every
//! step, it counts the nodes that may run requests of each partition.

mod oracle;
mod plans;
mod round;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use firspindle_core::connection::Envelope;
use firspindle_core::process::{DrainReason, FenceToken, LeaseTiming, NodeMachine, SafetyGuards};
use firspindle_core::version::{FoldState, LogRecord, MemberInfo, RecordBody, UpstreamInfo};

use crate::schedule::Step;

/// Number of nodes.
pub const NODES: usize = 6;

/// Number of partitions of the only service.
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

/// Small random number generator, so that a seed and its steps reproduce a history.
#[derive(Debug, Clone)]
struct XorShift(u64);

impl XorShift {
    /// Returns a number below `bound`.
    fn below(&mut self, bound: u64) -> u64 {
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
    log_reachable: bool,
    /// Rate of the node's clock, in parts per million of true time.
    rate: u64,
    /// Partitions to report as idle, with the time of the report.
    idle_reports: Vec<(Duration, u32)>,
    /// Partitions of ended incarnations to report as idle, with the time of the report and the boot count.
    abandoned_reports: Vec<(Duration, u32, u128)>,
    /// Partitions of requests in flight at the upstream, with the time at which they finish.
    in_flight: Vec<(Duration, u32)>,
    /// Number of incarnations started.
    boot_count: u128,
    /// Id of the process: the boot count at its start.
    process: u128,
    /// Partitions that upstreams still run for ended incarnations, with the end of their grant.
    orphaned_runs: Vec<(Duration, u32)>,
    inbox: Vec<Envelope>,
    /// Failed appends: time of the report, record id, and end of the log that must be read before.
    failed_appends: Vec<(Duration, u128, u64)>,
    seen_manifest_version: u64,
    /// Whether the process ends with this incarnation.
    ends_process: bool,
}

impl Node {
    fn manifest_version(&self) -> u64 {
        self.machine.manifest().map_or(0, |row| row.version)
    }
}

/// Simulated nodes, log and network, with the oracle's records.
pub struct World {
    now: Duration,
    base: Instant,
    rng: XorShift,
    guards: SafetyGuards,
    log: Vec<LogRecord>,
    /// Number of restores of the log.
    log_epoch: u64,
    log_up: bool,
    lose_answers: bool,
    nodes: Vec<Node>,
    links: Vec<Vec<bool>>,
    /// Messages in transit: time of arrival, sender, receiver, message.
    in_transit: Vec<(Duration, usize, usize, Envelope)>,
    /// Highest fence of each partition, with the node and boot count that it was given to.
    fences: BTreeMap<u32, (FenceToken, usize, u128)>,
    /// Node and boot count of the holder before the last one of each partition.
    earlier_holders: BTreeMap<u32, (usize, u128)>,
    /// Number of records appended by others than the nodes; also the last of their ids.
    foreign_records: u128,
    /// Number of times that a partition was opened in the whole history.
    pub opened: u64,
    /// Node and partition of each opening without the state of an earlier holder, and since when.
    missing_dedup: BTreeMap<(usize, u32), Duration>,
    /// States that counted as complete and were not.
    pub dedup_faults: Vec<Fault>,
    /// How long each missing state took to arrive.
    pub dedup_times: Vec<Duration>,
}

/// Description of a broken invariant.
pub type Fault = String;

impl World {
    /// Creates a world that has run for 3 s without faults.
    pub fn start(seed: u64, guards: SafetyGuards) -> Result<Self, Fault> {
        let base = Instant::now();
        let mut world = Self {
            now: Duration::ZERO,
            base,
            rng: XorShift(seed | 1),
            guards,
            log: Vec::new(),
            log_epoch: 0,
            log_up: true,
            lose_answers: false,
            nodes: Vec::new(),
            links: vec![vec![true; NODES]; NODES],
            in_transit: Vec::new(),
            fences: BTreeMap::new(),
            earlier_holders: BTreeMap::new(),
            foreign_records: 0,
            opened: 0,
            missing_dedup: BTreeMap::new(),
            dedup_faults: Vec::new(),
            dedup_times: Vec::new(),
        };
        for index in 0..NODES {
            let rate = 955_000 + world.rng.below(90_000);
            let machine = world.boot(index, 1);
            world.nodes.push(Node {
                machine,
                alive: true,
                paused_until: Duration::ZERO,
                log_reachable: true,
                rate,
                idle_reports: Vec::new(),
                abandoned_reports: Vec::new(),
                in_flight: Vec::new(),
                boot_count: 1,
                process: 1,
                orphaned_runs: Vec::new(),
                inbox: Vec::new(),
                failed_appends: Vec::new(),
                seen_manifest_version: 0,
                ends_process: false,
            });
        }
        let text = MANIFEST.into();
        world.append_foreign(RecordBody::Manifest { replaces: 0, text });
        world.run(Duration::from_secs(3))?;
        Ok(world)
    }

    fn info(index: usize, boot_count: u128, process: u128) -> MemberInfo {
        MemberInfo {
            host: format!("host-{index}").into(),
            region: "region".into(),
            data_centre: format!("dc{}", index % 3).into(),
            peer_address: index.to_string().into(),
            forward_address: "".into(),
            traffic_address: "".into(),
            boot_id: ((index as u128 + 1) << 100) + (boot_count << 64),
            process_id: process,
            upstream: UpstreamInfo {
                service: "registre".into(),
                slots: 10,
                connections: 100,
                checks_grants: true,
                boot_id: boot_count / 2,
            },
        }
    }

    fn boot(&self, index: usize, boot_count: u128) -> NodeMachine {
        let info = Self::info(index, boot_count, boot_count);
        let gap = Duration::from_secs(4);
        let now = self.base + self.now;
        // Clocks drift ten times as much as the product allows, and the drift margin is ten times
        // its default.
        let timing = LeaseTiming { drift_permille: 100, ..LeaseTiming::default() };
        NodeMachine::new(info, FoldState::default(), timing, gap, now).with_guards(self.guards)
    }

    /// Reading of a node's clock at a point of true time.
    fn local(&self, index: usize, at: Duration) -> Instant {
        let micros = at.as_micros() * u128::from(self.nodes[index].rate) / 1_000_000;
        self.base
            + Duration::from_micros(
                u64::try_from(micros).expect("a history lasts less than u64 microseconds"),
            )
    }

    fn append_foreign(&mut self, body: RecordBody) {
        self.foreign_records += 1;
        self.log.push(LogRecord { id: self.foreign_records, body });
    }

    /// Appends a manifest that replaces the newest one on the log.
    pub fn publish(&mut self, queue_limit: u64) {
        let replaces = self.end_state().manifest_version();
        let text = MANIFEST.replace("replaces = 0", &format!("replaces = {replaces}"));
        let text = format!("{text}queue_limit = {}\n", queue_limit % 1000).into();
        self.append_foreign(RecordBody::Manifest { replaces, text });
    }

    /// Appends a manifest that declares hosts lost.
    pub fn publish_lost_hosts(&mut self, hosts: &[&str]) {
        let replaces = self.end_state().manifest_version();
        let first_line = format!("replaces = {replaces}\nlost_hosts = {hosts:?}");
        let text = MANIFEST.replace("replaces = 0", &first_line).into();
        self.append_foreign(RecordBody::Manifest { replaces, text });
    }

    /// State folded from the whole log, which no node may have read yet.
    fn end_state(&self) -> FoldState {
        let mut state = FoldState::in_epoch(self.log_epoch);
        for record in &self.log {
            state.fold(state.next_offset, record);
        }
        state
    }

    /// Time since the start of the history.
    pub const fn now(&self) -> Duration {
        self.now
    }

    /// Number of openings without the state of an earlier holder that has not arrived since.
    pub fn missing_dedup(&self) -> usize {
        self.missing_dedup.len()
    }

    /// Applies one step of a schedule and checks the invariants.
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
                self.leave_orphaned_runs(*node);
                let boot_count = self.nodes[*node].boot_count + 1;
                let machine = self.boot(*node, boot_count);
                let node = &mut self.nodes[*node];
                node.machine = machine;
                node.boot_count = boot_count;
                node.process = boot_count;
                node.alive = true;
                node.idle_reports.clear();
                node.abandoned_reports.clear();
                node.in_flight.clear();
                node.failed_appends.clear();
                node.inbox.clear();
                node.seen_manifest_version = 0;
                node.ends_process = false;
            }
            Step::Kill(node) => {
                self.leave_orphaned_runs(*node);
                self.nodes[*node].alive = false;
            }
            Step::LogLink(node, up) => self.nodes[*node].log_reachable = *up,
            Step::LogDown(down) => self.log_up = !down,
            Step::LoseAnswers(lose) => self.lose_answers = *lose,
            Step::PlanAssignment(partition, assignment) => {
                self.plan_assignment(*partition, assignment);
            }
            Step::PlanWitnesses(node, set) => self.plan_set(*node, set),
            Step::RestoreLog(lost) => {
                self.log.truncate(self.log.len().saturating_sub(*lost));
                self.log_epoch += 1;
            }
            Step::Publish(queue_limit) => self.publish(*queue_limit),
            Step::Drain(node) => {
                let now = self.local(*node, self.now);
                if self.nodes[*node].alive && self.nodes[*node].paused_until <= self.now {
                    let ends = self.rng.below(2) == 0;
                    let reason =
                        if ends { DrainReason::ProcessEnds } else { DrainReason::UpstreamLeaves };
                    self.nodes[*node].machine.drain(reason, now);
                    self.nodes[*node].ends_process = ends;
                    self.carry_out_actions(*node)?;
                }
            }
        }
        self.check_invariants()
    }

    /// Lets time pass, in rounds.
    pub fn run(&mut self, time: Duration) -> Result<(), Fault> {
        let until = self.now + time;
        while self.now < until {
            self.now += ROUND;
            self.round()?;
        }
        Ok(())
    }

    fn round(&mut self) -> Result<(), Fault> {
        self.check_invariants()?;
        self.deliver();
        for index in 0..NODES {
            if self.nodes[index].alive && self.nodes[index].paused_until <= self.now {
                self.step_node(index)?;
            }
        }
        self.check_invariants()
    }

    /// Repairs all faults, and restarts the processes that ended.
    pub fn repair(&mut self) -> Result<(), Fault> {
        self.links = vec![vec![true; NODES]; NODES];
        self.log_up = true;
        self.lose_answers = false;
        for index in 0..NODES {
            self.nodes[index].log_reachable = true;
            self.nodes[index].paused_until = self.now;
            if !self.nodes[index].alive {
                self.apply(&Step::Restart(index))?;
            }
        }
        Ok(())
    }

    /// Manifest versions of the nodes; `None` for a process that has ended.
    pub fn manifest_versions(&self) -> Vec<Option<u64>> {
        self.nodes.iter().map(|node| node.alive.then(|| node.manifest_version())).collect()
    }

    /// Describes a partition's assignments and the nodes' life cycles, for failure messages.
    pub fn describe(&self, partition: u32) -> String {
        let row = self.end_state().partition(partition).cloned();
        let life_cycles: Vec<_> =
            self.nodes.iter().map(|node| node.machine.life().name()).collect();
        format!("{row:?}, life cycles {life_cycles:?}")
    }
}

/// Runs a whole history: a start without faults, the steps, and 2 s more.
pub fn run_history(seed: u64, steps: &[Step], guards: SafetyGuards) -> Result<World, Fault> {
    let mut world = World::start(seed, guards)?;
    for step in steps {
        world.apply(step)?;
    }
    world.run(Duration::from_secs(2))?;
    Ok(world)
}
