//! What a node has to know before it plans.

use std::net::IpAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use firspindle_core::connection::{DemandReport, UpstreamReport};
use firspindle_core::process::{
    GrantGuards, RangeCandidate, ServiceCandidates, ShareFilling, plan_ranges,
};
use firspindle_core::version::{LogPosition, RangePlan, UpstreamInstance, UpstreamState};
use firspindle_edge::{StateTopic, TopicRecord, TopicSnapshot};
use firspindle_mesh::process::{ControlAction, ControlState};

use super::codec::{SERVICE, TestCodec};
use super::node_settings::node_settings;

/// Hosts that hold keys by the plan in force.
const HOLDERS: usize = 4;

fn host_name(index: usize) -> Box<str> {
    format!("host-{index}").into()
}

fn instance(index: usize) -> UpstreamInstance {
    UpstreamInstance { id: format!("u{index}").into(), born_ms: 0 }
}

fn plan_of_all() -> RangePlan {
    let candidate = |index| RangeCandidate {
        host: host_name(index),
        instance: instance(index),
        weight: 8,
        warm: true,
        settled_version: 0,
        capacity: 0.0,
        demand: DemandReport::default(),
    };
    let candidates = (0..HOLDERS).map(candidate).collect();
    let services =
        [ServiceCandidates { service: SERVICE.into(), candidates, filling: ShareFilling::Whole }];
    plan_ranges(&RangePlan::default(), 1, &services).expect("a first plan")
}

fn record_of(key: &str, value: Bytes) -> TopicSnapshot {
    TopicSnapshot {
        values: vec![TopicRecord { key: key.into(), value, offset: 0 }],
        end: LogPosition::new(0, 1),
    }
}

/// It started while the store was away, and the plan was read before the hosts.
#[test]
fn a_node_that_has_not_read_the_hosts_does_not_take_all_keys() {
    let epoch = Instant::now();
    let address = IpAddr::from([127, 0, 0, 1]);
    let settings = node_settings(&host_name(0), "here", address);
    let mut state = ControlState::new(settings, TestCodec::new(), 5, GrantGuards::all(), epoch);
    let report = UpstreamReport {
        instance: instance(0),
        service: SERVICE.into(),
        slots: 8,
        state: UpstreamState::Ready,
        cold_remaining: Duration::ZERO,
        sequence: 1,
        lists_keys: true,
        holds: Vec::new(),
        freed: Vec::new(),
    };
    state.handle_report(report, epoch).expect("it is of the host's upstream");
    let read_at = epoch + Duration::from_millis(1_300);
    let plan = record_of("plan", plan_of_all().encode().into());
    state.handle_snapshot(StateTopic::Plans, &plan, read_at, read_at);
    let manifest = record_of("manifest", Bytes::new());
    state.handle_snapshot(StateTopic::Manifests, &manifest, read_at, read_at);
    for ms in (0..2_000).step_by(100) {
        let actions = state.tick(read_at + Duration::from_millis(ms));
        let planned = actions.iter().any(|action| matches!(action, ControlAction::AppendPlan(..)));
        assert!(!planned, "{ms} ms after the read");
    }
}
