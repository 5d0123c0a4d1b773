//! Measures how the cost of the control state grows with the number of nodes.
//!
//! The core is measured in this process at several sizes up to the target size. Real nodes are
//! measured in idle fleets of several sizes.

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

/// Numbers of nodes at which the core is measured; the last is the target size.
const SIZES: [usize; 4] = [105, 210, 420, 840];

/// Partitions per node; the target size has 32,768 in all.
const PARTITIONS_PER_NODE: usize = 39;

/// Number of data centres, in two regions.
const DATA_CENTRES: usize = 5;

/// Virtual time for which one node machine is simulated.
const SIMULATED_TIME: Duration = Duration::from_secs(60);

/// Virtual time between two ticks, the same as in a real node.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Runs all measurements and prints the tables.
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
        measure_node(size);
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
    let data_centre = index % DATA_CENTRES;
    MemberInfo {
        host: format!("host-{index}").into(),
        region: format!("region-{}", data_centre / 3).into(),
        data_centre: format!("dc-{data_centre}").into(),
        peer_address: format!("10.{data_centre}.{}.{}:7002", index / 250, index % 250).into(),
        forward_address: format!("10.{data_centre}.{}.{}:7001", index / 250, index % 250).into(),
        traffic_address: format!("10.{data_centre}.{}.{}:7000", index / 250, index % 250).into(),
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

/// Cost of all plans that follow one event.
#[derive(Debug, Clone, Copy, Default)]
struct PlanSeries {
    count: usize,
    /// Longest time to build one plan, in milliseconds.
    max_ms: f64,
    /// Time to build all plans, in milliseconds.
    total_ms: f64,
    /// Encoded size of all plans, in bytes.
    bytes: usize,
    /// Time to apply all plans to the state, in milliseconds.
    fold_ms: f64,
}

impl std::fmt::Display for PlanSeries {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { count, max_ms, total_ms, bytes, .. } = self;
        write!(f, "{count} / {max_ms:.1} / {total_ms:.0} / {bytes}")
    }
}

/// A control state built from records, without a log service.
struct SyntheticState {
    state: FoldState,
    spec: ManifestSpec,
    next_id: u128,
}

impl SyntheticState {
    fn append_record(&mut self, body: RecordBody) {
        self.next_id += 1;
        let record = LogRecord { id: self.next_id, body };
        let outcome = self.state.fold(self.state.next_offset, &record);
        assert_eq!(outcome, FoldOutcome::Applied);
    }

    /// Applies plans until nothing is left to plan, and returns their cost.
    fn plan_until_stable(&mut self) -> PlanSeries {
        let mut series = PlanSeries::default();
        loop {
            let floor = self.state.next_offset - 1;
            let builder = PlanBuilder::new(&self.state, &self.spec).floor(floor);
            let (plan, ms) = timed(|| builder.build());
            let done = plan.is_empty();
            if !done {
                series.count += 1;
                series.max_ms = series.max_ms.max(ms);
                series.total_ms += ms;
                series.bytes += plan_bytes(&plan);
            }
            let ((), ms) = timed(|| self.append_record(RecordBody::Plan(plan)));
            series.fold_ms += ms;
            if done {
                return series;
            }
        }
    }
}

fn synthetic_state(nodes: usize) -> (SyntheticState, PlanSeries) {
    let partitions = if nodes == 840 { 32_768 } else { nodes * PARTITIONS_PER_NODE };
    let text = format!(
        "replaces = 0\n[[service]]\nname = \"orders\"\npartitions = {partitions}\nsuccessors = 2\n"
    );
    let spec = ManifestSpec::parse(&text).expect("the manifest is valid");
    let mut synthetic = SyntheticState { state: FoldState::default(), spec, next_id: 0 };
    synthetic.append_record(RecordBody::Manifest { replaces: 0, text: text.into() });
    for index in 0..nodes {
        synthetic.append_record(RecordBody::Join(member(index, 0)));
    }
    synthetic.append_record(RecordBody::Claim { term: 1, node: 2 });
    let series = synthetic.plan_until_stable();
    (synthetic, series)
}

fn plan_bytes(plan: &firspindle_core::version::PlanRecord) -> usize {
    LogRecord { id: 0, body: RecordBody::Plan(plan.clone()) }.encode().len()
}

/// Returns the number of partitions whose owner, the first node of the assignment, changes.
fn count_moves(state: &FoldState, plan: &firspindle_core::version::PlanRecord) -> usize {
    let moved = |change: &&firspindle_core::version::AssignmentChange| {
        let assignment = state.partition(change.partition).and_then(|row| row.current());
        assignment.is_some_and(|assignment| assignment.nodes.first() != change.nodes.first())
    };
    plan.assignments.iter().filter(moved).count()
}

fn measure_core(nodes: usize) {
    let (synthetic, first) = synthetic_state(nodes);
    let state = &synthetic.state;
    let checkpoint = LogRecord {
        id: 1,
        body: RecordBody::Checkpoint(Box::new(CheckpointBody { state: state.clone() })),
    };
    let (bytes, encode_ms) = timed(|| checkpoint.encode());
    let (_, decode_ms) =
        timed(|| LogRecord::decode(&bytes).expect("the checkpoint can be decoded"));

    let mut joined =
        SyntheticState { state: state.clone(), spec: synthetic.spec.clone(), next_id: 1 << 70 };
    joined.append_record(RecordBody::Join(member(nodes, 0)));
    joined.plan_witness_sets();
    let builder = PlanBuilder::new(&joined.state, &joined.spec).gradual_moves(false);
    let (join_plan, join_ms) = timed(|| builder.build());

    let mut lost =
        SyntheticState { state: state.clone(), spec: synthetic.spec.clone(), next_id: 1 << 71 };
    let lost_node = state.members[nodes / 2].id;
    lost.append_record(RecordBody::Revoke { node: lost_node, prover: 2 });
    let (loss_plan, loss_ms) = timed(|| PlanBuilder::new(&lost.state, &lost.spec).build());

    let mut without_data_centre =
        SyntheticState { state: state.clone(), spec: synthetic.spec.clone(), next_id: 1 << 72 };
    let data_centre = state.members[1].info.data_centre.clone();
    let lost_nodes: Vec<_> = state
        .members
        .iter()
        .filter(|row| row.info.data_centre == data_centre)
        .map(|row| row.id)
        .collect();
    for node in lost_nodes {
        without_data_centre.append_record(RecordBody::Revoke { node, prover: 2 });
    }
    let data_centre_series = without_data_centre.plan_until_stable();
    let fold_ms = data_centre_series.fold_ms;

    let (_, routes_ms) = timed(|| black_box(RouteTable::build(state, &synthetic.spec)));
    println!(
        "| {nodes} | {} | {} | {encode_ms:.2} | {decode_ms:.2} | {first} | {join_ms:.1} / {} / {} | {loss_ms:.1} / {} / {} | {data_centre_series} | {fold_ms:.2} | {routes_ms:.2} | {:.1} |",
        state.partitions.len(),
        bytes.len(),
        plan_bytes(&join_plan),
        count_moves(&joined.state, &join_plan),
        plan_bytes(&loss_plan),
        count_moves(&lost.state, &loss_plan),
        state_megabytes(state),
    );
}

impl SyntheticState {
    /// Plans the witness set of a joined node without moving partitions.
    fn plan_witness_sets(&mut self) {
        let mut plan = PlanBuilder::new(&self.state, &self.spec).build();
        plan.assignments.clear();
        self.append_record(RecordBody::Plan(plan));
    }
}

/// Returns the resident memory of one copy of the state in megabytes, averaged over several copies.
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

/// Measures a member and the planner with the messages that they receive in steady state.
fn measure_node(nodes: usize) {
    let (synthetic, _) = synthetic_state(nodes);
    let member_cost = simulate_node(&synthetic, nodes / 3);
    let planner_cost = simulate_node(&synthetic, 0);
    println!(
        "| {nodes} | {:.0} | {:.0} | {:.1} | {:.0} | {:.0} | {:.1} |",
        member_cost.busy_micros,
        planner_cost.busy_micros,
        member_cost.messages,
        member_cost.bytes,
        planner_cost.received,
        member_cost.expiry_tick_ms
    );
}

struct SimulationCost {
    /// Time spent in the machine per second of virtual time, in microseconds.
    busy_micros: f64,
    /// Messages sent per second of virtual time.
    messages: f64,
    /// Bytes sent per second of virtual time.
    bytes: f64,
    /// Messages received per second of virtual time.
    received: f64,
    /// Duration of the tick in which the node, as a witness, finds that the leases of all its
    /// holders have expired, in milliseconds.
    expiry_tick_ms: f64,
}

fn simulate_node(synthetic: &SyntheticState, index: usize) -> SimulationCost {
    let start = Instant::now();
    let state = &synthetic.state;
    let own_id = state.members[index].id;
    let info = state.members[index].info.clone();
    // Longer than the simulation, so that no checkpoint adds to the cost.
    let checkpoint_interval = Duration::from_secs(100_000);
    let mut machine = NodeMachine::new(
        info,
        FoldState::default(),
        LeaseTiming::default(),
        checkpoint_interval,
        start,
    );
    assert!(machine.install_snapshot(state.clone(), start), "the machine accepts the snapshot");
    let holders: Vec<_> = state
        .witnesses
        .iter()
        .filter(|row| row.newest().is_some_and(|set| set.contains(own_id)))
        .map(|row| (row.member, row.newest().map_or(0, |set| set.offset)))
        .collect();
    let set = state
        .witness_row(own_id)
        .and_then(|row| row.newest())
        .cloned()
        .expect("the node has a witness set");
    let mut busy_time = Duration::ZERO;
    let (mut sent, mut bytes, mut received) = (0_u64, 0_u64, 0_u64);
    let ticks = SIMULATED_TIME.as_millis() / TICK_INTERVAL.as_millis();
    for tick in 0..u32::try_from(ticks).expect("the number of ticks fits 32 bits") {
        let now = start + TICK_INTERVAL * tick;
        let mut inbox = Vec::new();
        let envelope =
            |from, message| Envelope { from, to: own_id, next_offset: state.next_offset, message };
        // Holders renew every 400 ms, as with the default timing.
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
        // Members send the planner a heartbeat every 800 ms.
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
        busy_time += started.elapsed();
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
                        let reply_envelope = envelope(out.to, PeerMessage::Renewed(reply));
                        received += 1;
                        let started = Instant::now();
                        machine.handle_message(reply_envelope, now);
                        busy_time += started.elapsed();
                    }
                }
                NodeAction::Close { partition } => {
                    machine.partition_idle(partition, DedupState::default(), now);
                }
                _ => {}
            }
        }
    }
    let seconds = SIMULATED_TIME.as_secs_f64();
    let expiry_tick_ms = measure_expiry_tick(&mut machine, start + SIMULATED_TIME);
    SimulationCost {
        busy_micros: busy_time.as_secs_f64() * 1e6 / seconds,
        messages: sent as f64 / seconds,
        bytes: bytes as f64 / seconds,
        received: received as f64 / seconds,
        expiry_tick_ms,
    }
}

/// Returns the duration of the tick, in milliseconds, in which a witness finds that the leases of
/// its silent holders have expired, and notifies their successors and the planner.
///
/// A lease lasts 1500 ms, so all have expired 1600 ms after the end of the simulation.
fn measure_expiry_tick(machine: &mut NodeMachine, now: Instant) -> f64 {
    let ((), ms) = timed(|| machine.tick(now + Duration::from_millis(1600)));
    machine.take_actions();
    ms
}
