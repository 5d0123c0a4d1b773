//! Reports and records that name a service which is not the host's.

#[path = "ownership/codec.rs"]
mod codec;
#[path = "ownership/node_settings.rs"]
mod node_settings;
#[path = "ownership/upstream.rs"]
mod upstream;

use std::time::{Duration, Instant};

use bytes::Bytes;
use firspindle_core::connection::{
    DemandReport, GossipMessage, ReportRefusal, UpstreamLoad, UpstreamReport,
};
use firspindle_core::process::{
    GrantGuards, RangeCandidate, ServiceCandidates, ShareFilling, plan_ranges,
};
use firspindle_core::version::{
    HostRecord, LogPosition, RangePlan, UpstreamInstance, UpstreamRecord, UpstreamState,
};
use firspindle_edge::{ReadBatch, StateTopic, TopicRecord, TopicSnapshot};
use firspindle_mesh::process::{ControlAction, ControlState};

use codec::{DROPPED_VERSION, OTHER_SERVICE, SERVICE, TestCodec};
use node_settings::node_settings;
use upstream::Upstream;

const HOST: &str = "host-0";

fn instance() -> UpstreamInstance {
    UpstreamInstance { id: "u0".into(), born_ms: 5_000 }
}

fn plan() -> RangePlan {
    let candidate = RangeCandidate {
        host: HOST.into(),
        instance: instance(),
        weight: 8,
        warm: true,
        settled_version: 0,
        capacity: 0.0,
        demand: DemandReport::default(),
    };
    let filling = ShareFilling::Whole;
    let services =
        [ServiceCandidates { service: SERVICE.into(), candidates: vec![candidate], filling }];
    plan_ranges(&RangePlan::default(), 1, &services).expect("a first plan")
}

fn record(service: &str, incarnation: u64) -> HostRecord {
    let settings = node_settings(HOST, "centre-0", [10, 0, 0, 1].into());
    HostRecord {
        host: HOST.into(),
        data_centre: settings.data_centre,
        incarnation,
        revision: 4,
        forward: settings.listen.forward,
        gossip: settings.listen.gossip,
        service: SERVICE.into(),
        upstream: Some(UpstreamRecord {
            instance: instance(),
            service: service.into(),
            slots: 9,
            state: UpstreamState::Ready,
        }),
    }
}

/// A node whose upstream holds all keys.
struct Node {
    state: ControlState<TestCodec>,
    codec: TestCodec,
    upstream: Upstream,
    start: Instant,
}

impl Node {
    fn start() -> Self {
        let start = Instant::now();
        let codec = TestCodec::new();
        let settings = node_settings(HOST, "centre-0", [10, 0, 0, 1].into());
        let mut state = ControlState::new(settings, codec.clone(), 9, GrantGuards::all(), start);
        let rows = [
            (StateTopic::Manifests, "manifest", Bytes::from("1")),
            (StateTopic::Hosts, HOST, record(SERVICE, 1).encode().into()),
            (StateTopic::Plans, "plan", plan().encode().into()),
        ];
        for (topic, key, value) in rows {
            let values = vec![TopicRecord { key: key.into(), value, offset: 0 }];
            let snapshot = TopicSnapshot { values, end: LogPosition::new(0, 1) };
            state.handle_snapshot(topic, &snapshot, start, start);
        }
        let mut node = Self { state, codec, upstream: Upstream::new(instance(), false), start };
        (0..14_000).step_by(870).for_each(|ms| node.beat(ms));
        assert_eq!(node.held(), 8_192, "the upstream holds all cells");
        node
    }

    /// Sends a heartbeat whose answer arrives at once, after the store confirmed the plan.
    fn beat(&mut self, ms: u64) {
        let now = self.start + Duration::from_millis(ms);
        let end = LogPosition::new(0, 1);
        let batch = ReadBatch { records: Vec::new(), end };
        self.state.handle_records(StateTopic::Plans, end, &batch, now, now);
        self.upstream.expire(now);
        let report = self.upstream.report(SERVICE, now);
        self.state.handle_report(report, now).expect("it is of the host's upstream");
        let reply = self.codec.reply.lock().expect("the lock is not poisoned").take();
        self.upstream.apply_reply(reply.as_ref(), now, now);
    }

    fn held(&self) -> usize {
        assert!(self.upstream.up, "no test ends it");
        self.upstream.held.iter().filter(|fence| **fence > 0).count()
    }
}

/// Guards against a report of another writer that takes the upstream's place, drains it or ends its fences.
#[test]
fn a_report_of_another_service_changes_nothing() {
    let own = instance();
    let instances = [
        own.clone(),
        UpstreamInstance { born_ms: 0, ..own.clone() },
        UpstreamInstance { born_ms: 9_000, ..own },
        UpstreamInstance { id: "other".into(), born_ms: 9_000 },
        UpstreamInstance { id: "other".into(), born_ms: 0 },
    ];
    for instance in instances {
        for (state, sequence) in [(UpstreamState::Ready, 1), (UpstreamState::Draining, 1 << 50)] {
            let mut node = Node::start();
            let now = node.start + Duration::from_millis(14_000);
            let before = format!("{:?}", node.state);
            let report = UpstreamReport {
                instance: instance.clone(),
                service: "unknown".into(),
                slots: 1,
                state,
                cold_remaining: Duration::from_secs(9),
                sequence,
                lists_keys: true,
                holds: Vec::new(),
                freed: Vec::new(),
            };
            let refusal = node.state.handle_report(report, now).expect_err("it is refused");
            assert_eq!(refusal, ReportRefusal::OtherService { service: "unknown".into() });
            assert_eq!(format!("{:?}", node.state), before, "{instance:?} {state:?} {sequence}");
        }
    }
}

/// Guards against an upstream that loses its keys, with requests running, because the manifest dropped its service.
#[test]
fn an_upstream_keeps_its_keys_while_the_manifest_does_not_name_its_service() {
    let mut node = Node::start();
    let now = node.start + Duration::from_millis(14_000);
    let value = Bytes::from(DROPPED_VERSION.to_string());
    let records = vec![TopicRecord { key: "manifest".into(), value, offset: 1 }];
    let batch = ReadBatch { records, end: LogPosition::new(0, 2) };
    let from = LogPosition::new(0, 1);
    node.state.handle_records(StateTopic::Manifests, from, &batch, now, now);
    let mut other = record(OTHER_SERVICE, 1);
    (other.host, other.service) = ("host-1".into(), OTHER_SERVICE.into());
    let load = UpstreamLoad { slots: 9, ..UpstreamLoad::default() };
    let mut planned = false;
    for ms in (14_000..24_000).step_by(870) {
        let message = GossipMessage { load, ..GossipMessage::new(other.clone(), ms) };
        let now = node.start + Duration::from_millis(ms);
        node.state.handle_datagram(&message.encode(), now);
        node.beat(ms);
        for action in node.state.tick(now) {
            if let ControlAction::AppendPlan(plan, _) = action {
                assert!(plan.service(SERVICE).is_some(), "a plan drops the service");
                planned |= plan.service(OTHER_SERVICE).is_some();
            }
        }
        assert_eq!(node.held(), 8_192, "after {ms} ms");
    }
    assert!(planned, "the other service is planned");
}

/// Guards against records that no node has written: of an upstream of another service, or of an incarnation
/// that no later one can exceed.
#[test]
fn records_that_contradict_themselves_are_refused() {
    for (service, incarnation, expected) in
        [(SERVICE, 1, true), ("unknown", 1, false), (SERVICE, u64::MAX, false)]
    {
        let record = record(service, incarnation);
        assert_eq!(HostRecord::decode(&record.encode()).is_some(), expected, "{record:?}");
        let message = GossipMessage::new(record, 7).encode();
        assert_eq!(GossipMessage::decode(&message).is_some(), expected);
    }
}
