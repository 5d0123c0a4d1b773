//! Schedules around first plans, restores of the store and restarts, each with the grants of the nodes that
//! they name and nothing else.

#[path = "ownership/codec.rs"]
mod codec;
#[path = "ownership/node_settings.rs"]
mod node_settings;
#[path = "ownership/upstream.rs"]
mod upstream;

use std::time::{Duration, Instant};

use bytes::Bytes;
use firspindle_core::connection::{DemandReport, StateMark};
use firspindle_core::process::{
    GrantGuards, RangeCandidate, ServiceCandidates, ShareFilling, plan_ranges,
};
use firspindle_core::version::{
    EvacuationSet, LogPosition, PlanVersion, RangePlan, UpstreamInstance,
};
use firspindle_edge::{ReadBatch, StateTopic, TopicRecord, TopicSnapshot};
use firspindle_mesh::process::{ControlAction, ControlState};
use firspindle_mesh::version::StateSnapshot;

use codec::{SERVICE, TestCodec};
use node_settings::node_settings;
use upstream::Upstream;

/// First plan of epoch 1 in an empty log.
const FIRST_OF_EPOCH_1: PlanVersion = (1 << 32) + 1;

fn host_name(index: u8) -> Box<str> {
    format!("host-{index}").into()
}

fn instance(index: u8) -> UpstreamInstance {
    UpstreamInstance { id: format!("u{index}").into(), born_ms: 1 }
}

/// Returns the plan that follows another for these hosts of a service.
fn plan_for(before: &RangePlan, version: PlanVersion, service: &str, hosts: &[u8]) -> RangePlan {
    let candidate = |index: &u8| RangeCandidate {
        host: host_name(*index),
        instance: instance(*index),
        weight: 8,
        warm: true,
        settled_version: 0,
        capacity: 0.0,
        demand: DemandReport::default(),
    };
    let candidates = hosts.iter().map(candidate).collect();
    let services =
        [ServiceCandidates { service: service.into(), candidates, filling: ShareFilling::Whole }];
    plan_ranges(before, version, &services).expect("a plan")
}

fn record(plan: &RangePlan, offset: u64) -> TopicRecord {
    TopicRecord { key: "plan".into(), value: plan.encode().into(), offset }
}

/// A node and its upstream.
struct Node {
    state: ControlState<TestCodec>,
    codec: TestCodec,
    upstream: Upstream,
}

impl Node {
    fn start(index: u8, bootstrap: bool, incarnation: u64, now: Instant) -> Self {
        let mut settings = node_settings(&host_name(index), "here", [10, 0, 0, index].into());
        settings.bootstrap = bootstrap;
        let codec = TestCodec::new();
        let guards = GrantGuards::all();
        let state = ControlState::new(settings, codec.clone(), incarnation, guards, now);
        Self { state, codec, upstream: Upstream::new(instance(index), false) }
    }

    /// Reads the newest records of all topics: one manifest, no host and these plans.
    fn read_newest(&mut self, plans: Vec<TopicRecord>, end: LogPosition, now: Instant) {
        let manifest = TopicRecord { key: "manifest".into(), value: Bytes::from("1"), offset: 0 };
        let manifests =
            TopicSnapshot { values: vec![manifest], end: LogPosition::new(end.epoch, 1) };
        let hosts = TopicSnapshot { values: Vec::new(), end: LogPosition::new(end.epoch, 0) };
        let plans = TopicSnapshot { values: plans, end };
        self.state.handle_snapshot(StateTopic::Manifests, &manifests, now, now);
        self.state.handle_snapshot(StateTopic::Hosts, &hosts, now, now);
        self.state.handle_snapshot(StateTopic::Plans, &plans, now, now);
    }

    /// Reads the plans from a position on.
    fn read_plans(
        &mut self,
        from: LogPosition,
        records: Vec<TopicRecord>,
        end: LogPosition,
        now: Instant,
    ) {
        let batch = ReadBatch { records, end };
        self.state.handle_records(StateTopic::Plans, from, &batch, now, now);
    }

    /// Lets the upstream send a heartbeat, whose answer it gets at once.
    fn beat(&mut self, now: Instant) {
        self.upstream.expire(now);
        let report = self.upstream.report(SERVICE, now);
        self.state.handle_report(report, now).expect("it is of the host's upstream");
        let reply = self.codec.reply.lock().expect("the lock is not poisoned").take();
        self.upstream.apply_reply(reply.as_ref(), now, now);
    }

    /// Returns the number of cells that the upstream holds.
    fn held(&mut self, now: Instant) -> usize {
        assert!(self.upstream.up);
        self.upstream.expire(now);
        self.upstream.held.iter().filter(|fence| **fence > 0).count()
    }
}

fn assert_single_holder(first: &mut Node, second: &mut Node, now: Instant) {
    first.upstream.expire(now);
    second.upstream.expire(now);
    let held = first.upstream.held.iter().zip(&second.upstream.held);
    let twice = held.filter(|(first, second)| **first > 0 && **second > 0).count();
    assert_eq!(twice, 0, "cells that both upstreams hold");
}

/// No restore. The second node reads that there is no plan, hears nothing for some seconds, and gets the second
/// plan from a peer without the first one.
#[test]
fn a_node_that_missed_the_first_plan_waits_for_its_holders() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let (mut first, mut second) = (Node::start(0, true, 1, start), Node::start(1, true, 1, start));
    first.read_newest(Vec::new(), LogPosition::new(0, 0), at(10));
    second.read_newest(Vec::new(), LogPosition::new(0, 0), at(10));
    let plan_1 = plan_for(&RangePlan::default(), 1, SERVICE, &[0]);
    first.read_plans(
        LogPosition::new(0, 0),
        vec![record(&plan_1, 0)],
        LogPosition::new(0, 1),
        at(2_600),
    );
    first.beat(at(2_700));
    assert!(first.held(at(2_700)) > 0);
    first.beat(at(3_500));
    let plan_2 = plan_for(&plan_1, 2, SERVICE, &[0, 1]);
    let end = LogPosition::new(0, 2);
    let state = StateSnapshot {
        mark: StateMark { plan_position: end, plan: 2, manifest: 1, evacuations: None },
        manifest_end: LogPosition::new(0, 1),
        manifest: b"1".to_vec(),
        plan: plan_2.encode(),
        hosts_end: LogPosition::new(0, 0),
        hosts: Vec::new(),
        evacuations: EvacuationSet::default(),
    };
    second.state.handle_peer_state(&state, at(3_600));
    second.read_plans(end, Vec::new(), end, at(3_610));
    second.beat(at(3_700));
    assert_single_holder(&mut first, &mut second, at(3_700));
}

/// The first node alone knows the first plan, which the restore drops; it hears nobody from then on. The second
/// node's lifetime began before there was any plan.
#[test]
fn a_first_plan_after_a_restore_waits_for_the_holders_of_a_lost_first_plan() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let (mut first, mut second) = (Node::start(0, true, 1, start), Node::start(1, true, 1, start));
    first.read_newest(Vec::new(), LogPosition::new(0, 0), at(10));
    second.read_newest(Vec::new(), LogPosition::new(0, 0), at(10));
    second.beat(at(500));
    let plan_1 = plan_for(&RangePlan::default(), 1, SERVICE, &[0]);
    first.read_plans(
        LogPosition::new(0, 0),
        vec![record(&plan_1, 0)],
        LogPosition::new(0, 1),
        at(2_600),
    );
    first.beat(at(2_700));
    // The store is restored at 2.7 s.
    second.read_newest(Vec::new(), LogPosition::new(1, 0), at(2_710));
    let mut planned = None;
    for ms in (2_800..9_000).step_by(100) {
        if ms % 800 == 0 {
            first.beat(at(ms));
            second.beat(at(ms));
        }
        let read_at = planned.as_ref().map_or(LogPosition::new(1, 0), |()| LogPosition::new(1, 1));
        if ms % 900 == 0 {
            second.read_plans(read_at, Vec::new(), read_at, at(ms));
        }
        let actions = second.state.tick(at(ms));
        for action in actions {
            if let ControlAction::AppendPlan(plan, 0) = action {
                assert_eq!(plan.version, FIRST_OF_EPOCH_1);
                planned = Some(());
                let end = LogPosition::new(1, 1);
                second.state.plan_stored(plan, end, at(ms), at(ms));
                second.state.plan_appended(Some(end), at(ms));
            }
        }
        assert_single_holder(&mut first, &mut second, at(ms));
    }
    assert!(planned.is_some());
}

/// The planner of the new epoch knows no plan of this service and none of its hosts, so its first plan has only
/// another service. The first node missed the plan that gave its cells to the second one; the restore dropped it.
#[test]
fn a_first_plan_of_an_epoch_without_the_service_revives_no_earlier_plan() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let (mut first, mut second) = (Node::start(0, true, 1, start), Node::start(1, true, 1, start));
    for node in [&mut first, &mut second] {
        node.read_newest(Vec::new(), LogPosition::new(0, 0), at(10));
        node.beat(at(20));
    }
    let plan_1 = plan_for(&RangePlan::default(), 1, SERVICE, &[0]);
    for node in [&mut first, &mut second] {
        node.read_plans(
            LogPosition::new(0, 0),
            vec![record(&plan_1, 0)],
            LogPosition::new(0, 1),
            at(2_600),
        );
    }
    first.beat(at(2_700));
    assert!(first.held(at(2_700)) > 0);
    // The first node is cut off; the second gets its cells and waits until its holds have ended.
    let plan_2 = plan_for(&plan_1, 2, SERVICE, &[1]);
    let end = LogPosition::new(0, 2);
    second.read_plans(LogPosition::new(0, 1), vec![record(&plan_2, 1)], end, at(5_000));
    for ms in (5_800..=15_400).step_by(800) {
        second.read_plans(end, Vec::new(), end, at(ms));
        second.beat(at(ms));
        assert_single_holder(&mut first, &mut second, at(ms));
    }
    assert!(second.held(at(15_400)) > 0);
    // The store is restored at 15.5 s, and only the first node is in touch with it from then on.
    first.read_newest(Vec::new(), LogPosition::new(1, 0), at(15_600));
    let other = plan_for(&RangePlan::default(), FIRST_OF_EPOCH_1, "another", &[7]);
    let from = LogPosition::new(1, 0);
    first.read_plans(from, vec![record(&other, 0)], LogPosition::new(1, 1), at(17_700));
    second.beat(at(16_200));
    second.beat(at(17_000));
    first.beat(at(17_800));
    assert_single_holder(&mut first, &mut second, at(17_800));
}

/// A read that the store bounds by size ends before the log does, so it does not show that no later plan exists.
#[test]
fn a_read_that_ends_before_the_log_confirms_nothing() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut node = Node::start(0, true, 1, start);
    node.read_newest(Vec::new(), LogPosition::new(0, 0), at(10));
    let plan = plan_for(&RangePlan::default(), 1, SERVICE, &[0]);
    // The log has a second plan, which takes the cells away again and did not fit.
    let from = LogPosition::new(0, 0);
    node.read_plans(from, vec![record(&plan, 0)], LogPosition::new(0, 2), at(20_000));
    node.beat(at(20_100));
    assert_eq!(node.held(at(20_100)), 0, "cells granted under a plan that is not the newest");
}

/// Returns the datagram that a node sends to another one.
fn datagram(node: &mut Node, to: u8, now: Instant) -> Bytes {
    let actions = node.state.datagrams(&[host_name(to)], now);
    let bytes = actions.into_iter().find_map(|action| match action {
        ControlAction::Send(_, bytes, _) => Some(bytes),
        _ => None,
    });
    bytes.expect("the host is known")
}

/// A datagram with an echo of the process before this one arrives late. Both processes count their timestamps from
/// their own start, so the echo seems to answer this one.
#[test]
fn an_echo_of_an_earlier_process_confirms_nothing() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let plan = plan_for(&RangePlan::default(), 1, SERVICE, &[0, 1]);
    let (none, end) = (LogPosition::new(0, 0), LogPosition::new(0, 1));
    let (mut first, mut second) = (Node::start(0, true, 1, start), Node::start(1, true, 1, start));
    for node in [&mut first, &mut second] {
        node.read_newest(Vec::new(), none, at(10));
        node.read_plans(none, vec![record(&plan, 0)], end, at(700));
    }
    first.beat(at(800));
    assert!(first.held(at(800)) > 0);
    second.read_plans(end, Vec::new(), end, at(850));
    // Only the host's record is needed for the answer's address.
    let hello = datagram_with_record(&mut first, &mut second, at(880));
    second.state.handle_datagram(&hello, at(900));
    let late = datagram(&mut second, 0, at(910));
    // The first node's process ends and starts again; its upstream goes on.
    let mut again = Node::start(0, false, 2, at(1_300));
    again.upstream = first.upstream;
    again.read_newest(vec![record(&plan, 0)], end, at(1_350));
    for ms in [1_400, 2_200, 3_000] {
        again.beat(at(ms));
        assert!(again.held(at(ms)) > 0);
    }
    // Nobody has confirmed the plan since 1.35 s, and nobody attests it.
    again.state.handle_datagram(&late, at(4_000));
    again.beat(at(4_050));
    let reply_ends = at(3_000) + Duration::from_millis(2_800);
    assert_eq!(again.held(reply_ends), 0, "renewed at 4.05 s under a plan confirmed at 1.35 s");
}

/// Lets a node know another one's record, and returns a datagram of that one.
fn datagram_with_record(sender: &mut Node, receiver: &mut Node, now: Instant) -> Bytes {
    let actions = sender.state.tick(now);
    let own = actions.into_iter().find_map(|action| match action {
        ControlAction::PutHost(own) => Some(own),
        _ => None,
    });
    let own = own.expect("the record is written");
    let actions = receiver.state.tick(now);
    let other = actions.into_iter().find_map(|action| match action {
        ControlAction::PutHost(other) => Some(other),
        _ => None,
    });
    let row = |record: firspindle_core::version::HostRecord, offset| TopicRecord {
        key: record.host.clone(),
        value: record.encode().into(),
        offset,
    };
    let records: Vec<_> = [Some(own), other].into_iter().flatten().collect();
    let values = records.into_iter().zip(0..).map(|(record, offset)| row(record, offset));
    let hosts = TopicSnapshot { values: values.collect(), end: LogPosition::new(0, 2) };
    sender.state.handle_snapshot(StateTopic::Hosts, &hosts, now, now);
    receiver.state.handle_snapshot(StateTopic::Hosts, &hosts, now, now);
    datagram(sender, 1, now)
}

/// A process's start is numbered by Unix time, and the host's clock was set back between two starts.
#[test]
fn a_node_that_starts_again_after_its_clock_was_set_back_is_heard() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut first = Node::start(0, true, 9_000, start);
    let mut second = Node::start(1, true, 9_000, start);
    for node in [&mut first, &mut second] {
        node.read_newest(Vec::new(), LogPosition::new(0, 0), at(10));
    }
    let hello = datagram_with_record(&mut first, &mut second, at(100));
    assert_eq!(second.state.handle_datagram(&hello, at(100)), None);
    let mut again = Node::start(0, false, 4_000, at(1_000));
    again.read_newest(Vec::new(), LogPosition::new(0, 0), at(1_010));
    let news = datagram(&mut second, 0, at(1_100));
    again.state.handle_datagram(&news, at(1_101));
    let actions = again.state.questions(&[host_name(1)], at(1_200));
    let question = actions.into_iter().find_map(|action| match action {
        ControlAction::Send(_, bytes, _) => Some(bytes),
        _ => None,
    });
    let answered = second.state.handle_datagram(&question.expect("a datagram"), at(1_201));
    assert_eq!(answered, Some(host_name(0)), "the question is answered");
}

/// The confirmation of the plan was about to end when the node learned of the restore, after a moment in which the
/// store was away. All holders attest the plan: it has one.
#[test]
fn keys_stay_held_where_a_restore_follows_a_moment_without_the_store() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let plan = plan_for(&RangePlan::default(), 1, SERVICE, &[0]);
    let mut node = Node::start(0, true, 1, start);
    let (none, end) = (LogPosition::new(0, 0), LogPosition::new(0, 1));
    node.read_newest(Vec::new(), none, at(10));
    node.read_plans(none, vec![record(&plan, 0)], end, at(10_000));
    for ms in [10_330, 11_200] {
        node.beat(at(ms));
        assert!(node.held(at(ms)) > 0);
    }
    // The node notes its own record, as it does with each tick; without it no holder would be known.
    node.state.tick(at(11_300));
    // The node learns of the restore 1.95 s after the last confirmation; the copy has the plan.
    for ms in (11_950..15_000).step_by(90) {
        node.read_newest(vec![record(&plan, 0)], LogPosition::new(1, 1), at(ms));
        if [12_070, 12_940, 13_810, 14_680].iter().any(|beat| (ms - 90..ms).contains(beat)) {
            node.beat(at(ms));
        }
        assert!(node.held(at(ms)) > 0, "no key is held {ms} ms after the start");
    }
}
