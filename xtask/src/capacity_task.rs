//! Slopes of the control state against the number of nodes.
//!
//! The core is measured in this process at several sizes up to the target. Real nodes are
//! measured as idle fleets of several sizes.

use std::hint::black_box;
use std::time::{Duration, Instant};

use firspindle_core::connection::{
    DedupState, Envelope, PeerMessage, RenewReply, RenewRequest, RenewVerdict,
};
use firspindle_core::process::{LeaseTiming, NodeAction, NodeMachine};
use firspindle_core::request::RouteTable;
use firspindle_core::version::{
    CheckpointBody, FoldOutcome, FoldState, LogRecord, ManifestSpec, MemberInfo, PlanBuilder,
    RecordBody, UpstreamInfo,
};

use crate::fleet_cost::measure_fleets;

/// Numbers of nodes measured in the core; the last is the target.
const SIZES: [usize; 4] = [105, 210, 420, 840];

/// Partitions for each node; 32,768 at the target.
const PARTITIONS_PER_NODE: usize = 39;

/// Data centres, in two regions.
const CENTRES: usize = 5;

/// Virtual time for which one machine is driven.
const DRIVE: Duration = Duration::from_secs(60);

/// Virtual time between two ticks, as in the product.
const TICK: Duration = Duration::from_millis(20);

/// Runs all measurements.
pub fn run() {
    println!(
        "| nodes | partitions | checkpoint B | encode ms | decode ms | first plans n / longest ms / all ms / B | join plan ms / B / moves | loss plan ms / B / moves | data centre plans n / longest ms / all ms / B | fold ms | routes ms | state MB |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
    for size in SIZES {
        measure_core(size);
    }
    println!();
    println!(
        "| nodes | member us/s | planner us/s | sent msg/s | sent B/s | planner received msg/s | lapse burst ms |"
    );
    println!("|---|---|---|---|---|---|---|");
    for size in SIZES {
        measure_machine(size);
    }
    println!();
    measure_fleets();
}

fn timed<T>(work: impl FnOnce() -> T) -> (T, f64) {
    let started = Instant::now();
    let value = work();
    (value, started.elapsed().as_secs_f64() * 1000.0)
}

fn member(index: usize, boot: u128) -> MemberInfo {
    let centre = index % CENTRES;
    MemberInfo {
        host: format!("host-{index}").into(),
        region: format!("region-{}", centre / 3).into(),
        data_centre: format!("dc-{centre}").into(),
        peer_address: format!("10.{centre}.{}.{}:7002", index / 250, index % 250).into(),
        forward_address: format!("10.{centre}.{}.{}:7001", index / 250, index % 250).into(),
        traffic_address: format!("10.{centre}.{}.{}:7000", index / 250, index % 250).into(),
        boot_id: (index as u128 + 1) << 64 | boot,
        process_id: (index as u128 + 1) << 64 | boot,
        upstream: UpstreamInfo {
            service: "orders".into(),
            slots: 16,
            connections: 130,
            checks_grants: true,
            boot_id: boot,
        },
    }
}

/// Plans that one event needs.
#[derive(Debug, Clone, Copy, Default)]
struct PlanSeries {
    count: usize,
    longest_ms: f64,
    all_ms: f64,
    bytes: usize,
    fold_ms: f64,
}

impl std::fmt::Display for PlanSeries {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { count, longest_ms, all_ms, bytes, .. } = self;
        write!(f, "{count} / {longest_ms:.1} / {all_ms:.0} / {bytes}")
    }
}

struct BuiltState {
    state: FoldState,
    spec: ManifestSpec,
    next_id: u128,
}

impl BuiltState {
    fn fold(&mut self, body: RecordBody) {
        self.next_id += 1;
        let record = LogRecord { id: self.next_id, body };
        let outcome = self.state.fold(self.state.next_offset, &record);
        assert_eq!(outcome, FoldOutcome::Applied);
    }

    /// Plans until nothing is left to plan.
    fn plan_all(&mut self) -> PlanSeries {
        let mut series = PlanSeries::default();
        loop {
            let floor = self.state.next_offset - 1;
            let builder = PlanBuilder::new(&self.state, &self.spec).floor(floor);
            let (plan, ms) = timed(|| builder.build());
            let done = plan.is_empty();
            if !done {
                series.count += 1;
                series.longest_ms = series.longest_ms.max(ms);
                series.all_ms += ms;
                series.bytes += plan_bytes(&plan);
            }
            let ((), ms) = timed(|| self.fold(RecordBody::Plan(plan)));
            series.fold_ms += ms;
            if done {
                return series;
            }
        }
    }
}

fn built_state(nodes: usize) -> (BuiltState, PlanSeries) {
    let partitions = if nodes == 840 { 32_768 } else { nodes * PARTITIONS_PER_NODE };
    let text = format!(
        "replaces = 0\n[[service]]\nname = \"orders\"\npartitions = {partitions}\nsuccessors = 2\n"
    );
    let spec = ManifestSpec::parse(&text).expect("the manifest is valid");
    let mut built = BuiltState { state: FoldState::default(), spec, next_id: 0 };
    built.fold(RecordBody::Manifest { replaces: 0, text: text.into() });
    for index in 0..nodes {
        built.fold(RecordBody::Join(member(index, 0)));
    }
    built.fold(RecordBody::Claim { term: 1, node: 2 });
    let series = built.plan_all();
    (built, series)
}

fn plan_bytes(plan: &firspindle_core::version::PlanRecord) -> usize {
    LogRecord { id: 0, body: RecordBody::Plan(plan.clone()) }.encode().len()
}

/// Partitions whose first node changes.
fn moves(state: &FoldState, plan: &firspindle_core::version::PlanRecord) -> usize {
    let moved = |change: &&firspindle_core::version::AssignmentChange| {
        let assignment = state.partition(change.partition).and_then(|row| row.current());
        assignment.is_some_and(|assignment| assignment.nodes.first() != change.nodes.first())
    };
    plan.assignments.iter().filter(moved).count()
}

fn measure_core(nodes: usize) {
    let (built, first) = built_state(nodes);
    let state = &built.state;
    let checkpoint = LogRecord {
        id: 1,
        body: RecordBody::Checkpoint(Box::new(CheckpointBody { state: state.clone() })),
    };
    let (bytes, encode_ms) = timed(|| checkpoint.encode());
    let (_, decode_ms) = timed(|| LogRecord::decode(&bytes).expect("it decodes"));

    let mut joined =
        BuiltState { state: state.clone(), spec: built.spec.clone(), next_id: 1 << 70 };
    joined.fold(RecordBody::Join(member(nodes, 0)));
    joined.plan_all_sets();
    let builder = PlanBuilder::new(&joined.state, &joined.spec).gradual_moves(false);
    let (join_plan, join_ms) = timed(|| builder.build());

    let mut lost = BuiltState { state: state.clone(), spec: built.spec.clone(), next_id: 1 << 71 };
    let victim = state.members[nodes / 2].id;
    lost.fold(RecordBody::Revoke { node: victim, prover: 2 });
    let (loss_plan, loss_ms) = timed(|| PlanBuilder::new(&lost.state, &lost.spec).build());

    let mut dark = BuiltState { state: state.clone(), spec: built.spec.clone(), next_id: 1 << 72 };
    let centre = state.members[1].info.data_centre.clone();
    let gone: Vec<_> = state
        .members
        .iter()
        .filter(|row| row.info.data_centre == centre)
        .map(|row| row.id)
        .collect();
    for node in gone {
        dark.fold(RecordBody::Revoke { node, prover: 2 });
    }
    let dark_series = dark.plan_all();
    let fold_ms = dark_series.fold_ms;

    let (_, routes_ms) = timed(|| black_box(RouteTable::build(state, &built.spec)));
    println!(
        "| {nodes} | {} | {} | {encode_ms:.2} | {decode_ms:.2} | {first} | {join_ms:.1} / {} / {} | {loss_ms:.1} / {} / {} | {dark_series} | {fold_ms:.2} | {routes_ms:.2} | {:.1} |",
        state.partitions.len(),
        bytes.len(),
        plan_bytes(&join_plan),
        moves(&joined.state, &join_plan),
        plan_bytes(&loss_plan),
        moves(&lost.state, &loss_plan),
        state_megabytes(state),
    );
}

impl BuiltState {
    /// Gives a joined node its witnesses, without moving partitions.
    fn plan_all_sets(&mut self) {
        let mut plan = PlanBuilder::new(&self.state, &self.spec).build();
        plan.assignments.clear();
        self.fold(RecordBody::Plan(plan));
    }
}

/// Resident memory of one copy of the state, over several copies.
fn state_megabytes(state: &FoldState) -> f64 {
    const COPIES: u32 = 8;
    let before = resident_bytes();
    let copies: Vec<_> = (0..COPIES).map(|_| state.clone()).collect();
    let after = resident_bytes();
    black_box(&copies);
    after.saturating_sub(before) as f64 / f64::from(COPIES) / 1e6
}

fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = text.split(' ').nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0);
    pages * 4096
}

/// Drives one machine with the messages that it gets in steady state.
fn measure_machine(nodes: usize) {
    let (built, _) = built_state(nodes);
    let member_cost = drive(&built, nodes / 3);
    let planner_cost = drive(&built, 0);
    println!(
        "| {nodes} | {:.0} | {:.0} | {:.1} | {:.0} | {:.0} | {:.1} |",
        member_cost.micros,
        planner_cost.micros,
        member_cost.messages,
        member_cost.bytes,
        planner_cost.received,
        member_cost.burst_ms
    );
}

struct DriveCost {
    micros: f64,
    messages: f64,
    bytes: f64,
    received: f64,
    burst_ms: f64,
}

fn drive(built: &BuiltState, index: usize) -> DriveCost {
    let base = Instant::now();
    let state = &built.state;
    let me = state.members[index].id;
    let info = state.members[index].info.clone();
    let gap = Duration::from_secs(100_000);
    let mut machine =
        NodeMachine::new(info, FoldState::default(), LeaseTiming::default(), gap, base);
    assert!(machine.install_snapshot(state.clone(), base), "the machine takes the state");
    let holders: Vec<_> = state
        .witnesses
        .iter()
        .filter(|row| row.newest().is_some_and(|set| set.contains(me)))
        .map(|row| (row.member, row.newest().map_or(0, |set| set.offset)))
        .collect();
    let set = state.witness_row(me).and_then(|row| row.newest()).cloned().expect("it has a set");
    let mut spent = Duration::ZERO;
    let (mut sent, mut bytes, mut received) = (0_u64, 0_u64, 0_u64);
    let ticks = DRIVE.as_millis() / TICK.as_millis();
    for tick in 0..u32::try_from(ticks).expect("a short drive") {
        let now = base + TICK * tick;
        let mut inbox = Vec::new();
        let envelope =
            |from, message| Envelope { from, to: me, next_offset: state.next_offset, message };
        if tick % 20 == 0 {
            for (holder, offset) in &holders {
                let request = RenewRequest {
                    set: *offset,
                    sequence: u64::from(tick),
                    assignment_offset: 0,
                    suspects: Vec::new(),
                };
                inbox.push(envelope(*holder, PeerMessage::Renew(request)));
            }
        }
        if index == 0 && tick % 40 == 0 {
            for row in &state.members {
                let acked = state.next_offset - 1;
                inbox.push(envelope(row.id, PeerMessage::Heartbeat { acked }));
            }
        }
        received += inbox.len() as u64;
        let started = Instant::now();
        for envelope in inbox {
            machine.handle_message(envelope, now);
        }
        machine.tick(now);
        let actions = machine.take_actions();
        spent += started.elapsed();
        for action in actions {
            match action {
                NodeAction::Send { envelope: out, .. } => {
                    sent += 1;
                    let size = out.encoded_len() as u64;
                    bytes += size;
                    if let PeerMessage::Renew(request) = &out.message {
                        let reply = RenewReply {
                            set: set.offset,
                            sequence: request.sequence,
                            verdict: RenewVerdict::Granted,
                            suspects: Vec::new(),
                        };
                        let answer = envelope(out.to, PeerMessage::Renewed(reply));
                        received += 1;
                        let started = Instant::now();
                        machine.handle_message(answer, now);
                        spent += started.elapsed();
                    }
                }
                NodeAction::Close { partition } => {
                    machine.partition_idle(partition, DedupState::default(), now);
                }
                _ => {}
            }
        }
    }
    let seconds = DRIVE.as_secs_f64();
    let burst_ms = silence_burst(&mut machine, base + DRIVE);
    DriveCost {
        micros: spent.as_secs_f64() * 1e6 / seconds,
        messages: sent as f64 / seconds,
        bytes: bytes as f64 / seconds,
        received: received as f64 / seconds,
        burst_ms,
    }
}

/// Time of the tick in which a witness finds its holders silent and tells the takers.
fn silence_burst(machine: &mut NodeMachine, now: Instant) -> f64 {
    let ((), ms) = timed(|| machine.tick(now + Duration::from_millis(1600)));
    machine.take_actions();
    ms
}
