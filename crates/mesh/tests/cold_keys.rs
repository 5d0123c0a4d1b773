//! Keys of upstreams that are cold: the planner moves none to them until they are warm.

#[path = "ownership/codec.rs"]
mod codec;
#[path = "ownership/node_settings.rs"]
mod node_settings;

use std::time::{Duration, Instant};

use bytes::Bytes;
use codec::{COLD_VERSION, SERVICE, TestCodec};
use firspindle_core::connection::{GossipMessage, UpstreamLoad, UpstreamReport};
use firspindle_core::process::GrantGuards;
use firspindle_core::version::{
    CELLS, HostRecord, LogPosition, UpstreamInstance, UpstreamRecord, UpstreamState,
};
use firspindle_edge::{PlatformCodec, StateTopic, TopicRecord, TopicSnapshot};
use firspindle_mesh::process::{ControlAction, ControlState};
use node_settings::node_settings;

fn instance(host: u8) -> UpstreamInstance {
    UpstreamInstance { id: format!("u{host}").into(), born_ms: 5 }
}

fn record(host: u8) -> HostRecord {
    let settings = node_settings(&format!("host-{host}"), "centre-0", [10, 0, 0, host + 1].into());
    HostRecord {
        host: settings.host,
        data_centre: settings.data_centre,
        incarnation: 1,
        revision: 4,
        forward: settings.listen.forward,
        gossip: settings.listen.gossip,
        service: SERVICE.into(),
        upstream: Some(UpstreamRecord {
            instance: instance(host),
            service: SERVICE.into(),
            slots: 9,
            state: UpstreamState::Ready,
        }),
    }
}

fn snapshot(rows: Vec<(Box<str>, Bytes)>) -> TopicSnapshot {
    let end = LogPosition::new(0, rows.len() as u64);
    let row = |(key, value)| TopicRecord { key, value, offset: 0 };
    TopicSnapshot { values: rows.into_iter().map(row).collect(), end }
}

fn datagram(host: u8, cold_ms: u32) -> Vec<u8> {
    let load = UpstreamLoad { slots: 9, cold_ms, ..UpstreamLoad::default() };
    let message =
        GossipMessage { reaches_store: true, load, ..GossipMessage::new(record(host), 1) };
    message.encode()
}

fn report(cold_remaining: Duration, sequence: u64) -> UpstreamReport {
    UpstreamReport {
        instance: instance(0),
        service: SERVICE.into(),
        slots: 9,
        state: UpstreamState::Ready,
        cold_remaining,
        sequence,
        lists_keys: true,
        holds: Vec::new(),
        freed: Vec::new(),
    }
}

/// A planner beside a warm upstream, with another host, over time.
struct Play {
    state: ControlState<TestCodec>,
    start: Instant,
    /// Cells of both hosts in the newest plan.
    held: [usize; 2],
}

fn handle(state: &mut ControlState<TestCodec>, report: UpstreamReport, now: Instant) {
    state.handle_report(report, now).expect("it is of the host's upstream");
}

impl Play {
    fn new(manifest_version: u64) -> Self {
        let start = Instant::now();
        let settings = node_settings("host-0", "centre-0", [10, 0, 0, 1].into());
        let codec = TestCodec::new();
        let key: Box<str> = codec.manifest_key().into();
        let mut state = ControlState::new(settings, codec, 2, GrantGuards::all(), start);
        let manifest = Bytes::from(manifest_version.to_string());
        let hosts = (0..2).map(|host| {
            let record = record(host);
            (record.host.clone(), Bytes::from(record.encode()))
        });
        let rows = [
            (StateTopic::Manifests, snapshot(vec![(key, manifest)])),
            (StateTopic::Hosts, snapshot(hosts.collect())),
            (StateTopic::Plans, snapshot(Vec::new())),
        ];
        for (topic, rows) in &rows {
            state.handle_snapshot(*topic, rows, start, start);
        }
        handle(&mut state, report(Duration::ZERO, 1), start);
        Self { state, start, held: [0; 2] }
    }

    /// Returns the cells of both hosts in the plans that move cells, in a part of the play in which the other host says
    /// for how long its upstream is cold; `None` if it is silent.
    fn plans(&mut self, from_ms: u64, to_ms: u64, cold_ms: Option<u32>) -> Vec<[usize; 2]> {
        let mut plans = Vec::new();
        for ms in (from_ms..to_ms).step_by(100) {
            let now = self.start + Duration::from_millis(ms);
            handle(&mut self.state, report(Duration::ZERO, ms + 2), now);
            if let Some(cold_ms) = cold_ms {
                self.state.handle_datagram(&datagram(1, cold_ms), now);
            }
            for action in self.state.tick(now) {
                let ControlAction::AppendPlan(plan, offset) = action else { continue };
                let held = |host: &str| {
                    let rows = plan.services[0].holders.iter().zip(plan.services[0].cells_held());
                    rows.filter(|row| &*row.0.host == host).map(|row| row.1).sum()
                };
                let held = ["host-0", "host-1"].map(held);
                plans.extend((held != self.held).then_some(held));
                self.held = held;
                let end = LogPosition::new(0, offset + 1);
                self.state.plan_stored(plan, end, now, now);
                self.state.plan_appended(Some(end), now);
            }
        }
        plans
    }
}

/// Guards against keys that move to a cold upstream, and that all move at once when it is warm.
#[test]
fn an_upstream_gets_keys_in_steps_once_it_is_warm() {
    let mut play = Play::new(COLD_VERSION);
    let first = play.plans(0, 6_000, Some(2_000));
    assert_eq!(first.len(), 1, "{first:?}");
    assert!(first[0][1] > CELLS * 2 / 5, "the first plan is for all: {first:?}");
    // Its loss moves all its cells; it returns cold.
    let lost = play.plans(6_000, 20_000, None);
    assert_eq!(lost.last(), Some(&[CELLS, 0]));
    assert_eq!(play.plans(20_000, 24_000, Some(2_000)), Vec::<[usize; 2]>::new());
    let warm = play.plans(24_000, 30_000, Some(0));
    assert_eq!(warm.len(), 3, "{warm:?}");
    assert!(warm[0][1] < CELLS / 5 && warm[2][1] > CELLS * 2 / 5, "{warm:?}");
}

/// Guards against steps in a deployment whose manifest has no cold terms.
#[test]
fn without_terms_an_upstream_gets_its_share_at_once() {
    let mut play = Play::new(1);
    play.plans(0, 6_000, Some(0));
    play.plans(6_000, 20_000, None);
    let plans = play.plans(20_000, 26_000, Some(0));
    assert_eq!(plans.len(), 1);
    assert!(plans[0][1] > CELLS * 2 / 5, "{plans:?}");
}

/// Guards against a report that arrives late and makes a cold upstream count as warm, or a draining one as
/// ready.
#[test]
fn a_late_report_changes_nothing() {
    let mut play = Play::new(COLD_VERSION);
    let cold = Duration::from_secs(5);
    let now = play.start + Duration::from_millis(100);
    handle(&mut play.state, report(cold, 5), now);
    let late = UpstreamReport { slots: 90, ..report(Duration::ZERO, 4) };
    handle(&mut play.state, late, now + Duration::from_millis(10));
    let upstream = play.state.view(now).upstream.expect("it is known");
    assert_eq!(upstream.cold_report.map(|row| (row.at, row.remaining)), Some((now, cold)));
    assert_eq!(upstream.slots, 9);

    let draining = UpstreamReport { state: UpstreamState::Draining, ..report(cold, 7) };
    handle(&mut play.state, draining, now);
    handle(&mut play.state, report(Duration::ZERO, 6), now);
    let upstream = play.state.view(now).upstream.expect("it is known");
    assert_eq!(upstream.state, UpstreamState::Draining);
}
