//! Messages of peers and records of the store with damaged bytes: none ends a node.

#[path = "ownership/codec.rs"]
mod codec;
#[path = "ownership/node_settings.rs"]
mod node_settings;

use std::time::Instant;

use codec::{SERVICE, TestCodec};
use firspindle_core::connection::{DemandReport, GossipMessage};
use firspindle_core::process::{
    GrantGuards, RangeCandidate, ServiceCandidates, ShareFilling, plan_ranges,
};
use firspindle_core::version::{
    HostRecord, LogPosition, RangePlan, UpstreamInstance, UpstreamRecord, UpstreamState,
};
use firspindle_edge::{StateTopic, TopicRecord, TopicSnapshot};
use firspindle_mesh::process::ControlState;
use firspindle_mesh::version::{StateNews, StateSnapshot};
use node_settings::node_settings;
use proptest::prelude::*;

fn record(host: u8) -> HostRecord {
    let settings = node_settings(&format!("host-{host}"), "centre-0", [10, 0, 0, host].into());
    HostRecord {
        host: settings.host,
        data_centre: settings.data_centre,
        incarnation: 1,
        revision: 1,
        forward: settings.listen.forward,
        gossip: settings.listen.gossip,
        service: settings.service,
        upstream: Some(UpstreamRecord {
            instance: instance(host),
            service: SERVICE.into(),
            slots: 9,
            state: UpstreamState::Ready,
        }),
    }
}

fn instance(host: u8) -> UpstreamInstance {
    UpstreamInstance { id: format!("u{host}").into(), born_ms: 5 }
}

fn plan() -> RangePlan {
    let candidates = (0..3).map(|host| RangeCandidate {
        host: record(host).host,
        instance: instance(host),
        weight: 9,
        warm: true,
        settled_version: 0,
        capacity: 0.0,
        demand: DemandReport::default(),
    });
    let service = ServiceCandidates {
        service: SERVICE.into(),
        candidates: candidates.collect(),
        filling: ShareFilling::Whole,
    };
    plan_ranges(&RangePlan::default(), 1, &[service]).expect("a first plan")
}

fn node(now: Instant) -> ControlState<TestCodec> {
    let settings = node_settings("host-0", "centre-0", [10, 0, 0, 0].into());
    let mut state = ControlState::new(settings, TestCodec::new(), 2, GrantGuards::all(), now);
    let rows = [
        (StateTopic::Manifests, vec![("manifest".into(), vec![b'1'])]),
        (
            StateTopic::Hosts,
            (0..3).map(|host| (record(host).host, record(host).encode())).collect(),
        ),
    ];
    for (topic, values) in rows {
        state.handle_snapshot(topic, &snapshot(values), now, now);
    }
    state
}

fn snapshot(rows: Vec<(Box<str>, Vec<u8>)>) -> TopicSnapshot {
    let end = LogPosition::new(0, rows.len() as u64);
    let row = |(key, value): (_, Vec<u8>)| TopicRecord { key, value: value.into(), offset: 0 };
    TopicSnapshot { values: rows.into_iter().map(row).collect(), end }
}

/// Changes and cuts bytes.
fn damage(
    bytes: &[u8],
    changes: &[(prop::sample::Index, u8)],
    kept: prop::sample::Index,
) -> Vec<u8> {
    let mut bytes = bytes.to_vec();
    for (at, value) in changes {
        let index = at.index(bytes.len());
        bytes[index] = *value;
    }
    // Half of them are not cut.
    let length = kept.index(bytes.len() * 2).min(bytes.len());
    bytes.truncate(length);
    bytes
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(44), ..ProptestConfig::with_cases(400) })]

    #[test]
    fn no_damaged_message_ends_a_node(
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..4),
        kept in any::<prop::sample::Index>(),
    ) {
        let now = Instant::now();
        let mut state = node(now);
        let datagram = GossipMessage::new(record(1), 7).encode();
        state.handle_datagram(&damage(&datagram, &changes, kept), now);
        let values = vec![("plan".into(), damage(&plan().encode(), &changes, kept))];
        state.handle_snapshot(StateTopic::Plans, &snapshot(values), now, now);
        let values = vec![("host-1".into(), damage(&record(1).encode(), &changes, kept))];
        state.handle_snapshot(StateTopic::Hosts, &snapshot(values), now, now);
        let whole = StateSnapshot {
            manifest: vec![b'2'],
            plan: plan().encode(),
            hosts: vec![record(2).encode()],
            ..StateSnapshot::default()
        };
        if let Some(damaged) = StateSnapshot::decode(&damage(&whole.encode(), &changes, kept)) {
            state.handle_peer_state(&damaged, now);
        }
        let known = state.known_state();
        if let Some(known) = known {
            let news = whole.news_since(known).encode();
            if let Some(damaged) = StateNews::decode(&damage(&news, &changes, kept)) {
                state.handle_peer_news(&damaged, now);
            }
        }
        state.tick(now);
        state.gossip_round(now);
        let _ = state.view(now);
    }
}
