//! What a node that starts again takes over from the record of its host.

#[path = "ownership/codec.rs"]
mod codec;
#[path = "ownership/node_settings.rs"]
mod node_settings;

use std::time::{Duration, Instant};

use codec::{SERVICE, TestCodec};
use firspindle_core::connection::UpstreamReport;
use firspindle_core::process::GrantGuards;
use firspindle_core::version::{
    HostRecord, LogPosition, UpstreamInstance, UpstreamRecord, UpstreamState,
};
use firspindle_edge::{ReadBatch, StateTopic, TopicRecord, TopicSnapshot};
use firspindle_mesh::process::{ControlAction, ControlState, MeshSettings};
use node_settings::node_settings;
use proptest::prelude::*;

const HOST: &str = "host-0";

fn settings() -> MeshSettings {
    node_settings(HOST, "centre-0", [10, 0, 0, 1].into())
}

fn instance() -> UpstreamInstance {
    UpstreamInstance { id: "u0".into(), born_ms: 5 }
}

fn hosts(state: UpstreamState) -> TopicSnapshot {
    let settings = settings();
    let upstream =
        UpstreamRecord { instance: instance(), service: SERVICE.into(), slots: 9, state };
    let record = HostRecord {
        host: HOST.into(),
        data_centre: settings.data_centre,
        incarnation: 1,
        revision: 4,
        forward: settings.listen.forward,
        gossip: settings.listen.gossip,
        service: SERVICE.into(),
        upstream: Some(upstream),
    };
    let value = record.encode().into();
    TopicSnapshot {
        values: vec![TopicRecord { key: HOST.into(), value, offset: 0 }],
        end: LogPosition::new(0, 1),
    }
}

fn report() -> UpstreamReport {
    UpstreamReport {
        instance: instance(),
        service: SERVICE.into(),
        slots: 9,
        state: UpstreamState::Ready,
        cold_remaining: Duration::ZERO,
        sequence: 9,
        lists_keys: true,
        holds: Vec::new(),
        freed: Vec::new(),
    }
}

fn send(state: &mut ControlState<TestCodec>, report: UpstreamReport, now: Instant) {
    state.handle_report(report, now).expect("it is of the host's upstream");
}

fn restarted(now: Instant) -> ControlState<TestCodec> {
    ControlState::new(settings(), TestCodec::new(), 2, GrantGuards::all(), now)
}

fn assert_closed(state: &ControlState<TestCodec>, now: Instant) {
    let upstream = state.view(now).upstream.expect("the upstream is known");
    assert_eq!(upstream.state, UpstreamState::Draining);
    assert!(upstream.closes_at.is_some_and(|at| at <= now), "requests may start: {upstream:?}");
}

/// Guards against a node that starts again and uses an upstream whose leaving it has acknowledged.
#[test]
fn an_upstream_that_left_stays_closed_when_its_node_starts_again() {
    let now = Instant::now();
    let mut state = restarted(now);
    state.handle_snapshot(StateTopic::Hosts, &hosts(UpstreamState::Draining), now, now);
    assert_closed(&state, now);
    // A late heartbeat, or one of an upstream that only announced that it leaves.
    send(&mut state, report(), now);
    assert_closed(&state, now);
}

/// The same, if the upstream's heartbeat arrives before the record.
#[test]
fn an_upstream_that_left_is_closed_once_the_record_of_its_host_is_read() {
    let now = Instant::now();
    let mut state = restarted(now);
    send(&mut state, report(), now);
    state.handle_snapshot(StateTopic::Hosts, &hosts(UpstreamState::Draining), now, now);
    assert_closed(&state, now);
}

/// The leave is acknowledged before the node that has just started knows the upstream.
#[test]
fn an_upstream_that_left_before_its_node_knew_it_is_closed_after_the_drain_time() {
    let start = Instant::now();
    for by_record in [true, false] {
        let mut state = restarted(start);
        let left_at = start + Duration::from_millis(140);
        state.handle_leave("u0", left_at);
        let known_at = start + Duration::from_millis(300);
        if by_record {
            let ready = hosts(UpstreamState::Ready);
            state.handle_snapshot(StateTopic::Hosts, &ready, known_at, known_at);
        }
        send(&mut state, report(), known_at);
        assert_closed(&state, left_at + settings().bounds.drain);
    }
}

/// Guards against an upstream that is left alone for good because its heartbeats once failed.
#[test]
fn an_upstream_that_was_silent_is_used_again_when_its_node_starts_again() {
    let now = Instant::now();
    let mut state = restarted(now);
    state.handle_snapshot(StateTopic::Hosts, &hosts(UpstreamState::Gone), now, now);
    send(&mut state, report(), now);
    let upstream = state.view(now).upstream.expect("the upstream is known");
    assert_eq!((upstream.state, upstream.closes_at), (UpstreamState::Ready, None));
}

/// Guards against a living upstream that counts as dead because a connection to the one before it broke.
#[test]
fn a_refused_connection_ends_only_the_instance_that_it_was_meant_for() {
    let now = Instant::now();
    let mut state = restarted(now);
    send(&mut state, report(), now);
    let next = UpstreamInstance { id: "u1".into(), born_ms: 9 };
    send(&mut state, UpstreamReport { instance: next.clone(), ..report() }, now);
    let known = |state: &ControlState<TestCodec>| {
        let upstream = state.view(now).upstream.expect("the upstream is known");
        (upstream.instance, upstream.state)
    };
    state.upstream_refused(&instance());
    assert_eq!(known(&state), (next.clone(), UpstreamState::Ready));
    state.upstream_refused(&next);
    assert_eq!(known(&state), (next, UpstreamState::Gone));
}

/// Returns the records of the host that a step writes.
fn written(state: &mut ControlState<TestCodec>, now: Instant) -> Vec<HostRecord> {
    let actions = state.tick(now).into_iter();
    let record = |action| match action {
        ControlAction::PutHost(record) => Some(record),
        _ => None,
    };
    actions.filter_map(record).collect()
}

fn upstream_state(record: &HostRecord) -> Option<UpstreamState> {
    record.upstream.as_ref().map(|upstream| upstream.state)
}

/// Guards against a record that an upstream leaves which the next process overwrites before it has read it.
#[test]
fn a_record_is_written_only_after_that_of_the_process_before_was_read() {
    let now = Instant::now();
    let mut state = restarted(now);
    send(&mut state, report(), now);
    assert_eq!(written(&mut state, now), []);
    state.handle_snapshot(StateTopic::Hosts, &hosts(UpstreamState::Draining), now, now);
    assert!(state.is_leave_recorded("u0"));
    assert_eq!(written(&mut state, now), [], "the record says already that the upstream leaves");
}

/// Guards against a leave that is acknowledged before the store has it, or when it has it no more.
#[test]
fn a_leave_is_recorded_from_the_stores_answer_on() {
    let now = Instant::now();
    let mut state = restarted(now);
    state.handle_snapshot(StateTopic::Hosts, &hosts(UpstreamState::Ready), now, now);
    send(&mut state, report(), now);
    state.handle_leave("u0", now);
    assert!(!state.is_leave_recorded("u0"));
    let record = written(&mut state, now).pop().expect("the upstream has changed");
    assert_eq!(upstream_state(&record), Some(UpstreamState::Draining));
    state.host_written(record.clone(), None, now);
    assert!(!state.is_leave_recorded("u0"), "the write failed");
    state.host_written(record, Some(LogPosition::new(0, 2)), now);
    assert!(state.is_leave_recorded("u0"));
    // An append of before, without an answer, takes effect after it.
    let late = TopicRecord { offset: 2, ..hosts(UpstreamState::Ready).values.remove(0) };
    let batch = ReadBatch { records: vec![late], end: LogPosition::new(0, 3) };
    state.handle_records(StateTopic::Hosts, LogPosition::new(0, 2), &batch, now, now);
    assert!(!state.is_leave_recorded("u0"));
    let record = written(&mut state, now).pop().expect("it is written again");
    assert_eq!(upstream_state(&record), Some(UpstreamState::Draining));
    // The restored store does not have it.
    state.host_written(record, Some(LogPosition::new(0, 4)), now);
    assert!(state.is_leave_recorded("u0"));
    state.enter_epoch(1, now);
    assert!(!state.is_leave_recorded("u0"));
}

/// Guards against a leave that is forgotten because the upstream's reports end before it does.
#[test]
fn a_silent_upstream_that_left_is_recorded_as_leaving() {
    let now = Instant::now();
    let mut state = restarted(now);
    state.handle_snapshot(StateTopic::Hosts, &hosts(UpstreamState::Ready), now, now);
    send(&mut state, report(), now);
    state.handle_leave("u0", now);
    let later = now + Duration::from_secs(9);
    let record = written(&mut state, later).pop().expect("the upstream has changed");
    assert_eq!(upstream_state(&record), Some(UpstreamState::Draining));
}

/// Guards against a leave that is acknowledged and dropped while an earlier instance is known.
#[test]
fn an_upstream_that_left_before_its_first_report_is_closed() {
    let start = Instant::now();
    let mut state = restarted(start);
    send(&mut state, report(), start);
    state.handle_leave("u1", start);
    assert!(!state.is_leave_recorded("u1"));
    let next = UpstreamInstance { id: "u1".into(), born_ms: 9 };
    send(&mut state, UpstreamReport { instance: next, ..report() }, start);
    assert_closed(&state, start + settings().bounds.drain);
}

proptest! {
    /// Guards against a late report of which a part is believed.
    #[test]
    fn reports_in_any_order_leave_what_the_newest_said(
        sequences in prop::collection::vec(1_u32..12, 1..12),
    ) {
        let now = Instant::now();
        let mut state = restarted(now);
        let mut newest = 0;
        for sequence in sequences {
            let cold_remaining = Duration::from_secs(sequence.into());
            let sequence_number = u64::from(sequence);
            let sent = UpstreamReport {
                slots: sequence, cold_remaining, sequence: sequence_number, ..report()
            };
            send(&mut state, sent, now);
            newest = newest.max(sequence);
            let upstream = state.view(now).upstream.expect("the upstream is known");
            prop_assert_eq!(upstream.slots, newest);
            let cold = upstream.cold_report.map(|row| row.remaining);
            prop_assert_eq!(cold, Some(Duration::from_secs(newest.into())));
        }
    }

    /// Guards against a report of an earlier life that replaces the present one, whatever the order of their
    /// arrival. Lives share an id or have their own; each is known by its start.
    #[test]
    fn reports_of_several_lives_leave_the_newest(
        sent in prop::collection::vec((0_u64..4, 1_u32..12), 1..24),
        shared_id in any::<bool>(),
    ) {
        let now = Instant::now();
        let mut state = restarted(now);
        let mut newest = (0, 0);
        for (life, sequence) in sent {
            let id = if shared_id { "i".into() } else { format!("i{life}").into() };
            let instance = UpstreamInstance { id, born_ms: 1_000 + life };
            let row = UpstreamReport {
                instance: instance.clone(),
                slots: sequence,
                sequence: u64::from(sequence),
                ..report()
            };
            send(&mut state, row, now);
            newest = newest.max((life, sequence));
            let upstream = state.view(now).upstream.expect("the upstream is known");
            prop_assert_eq!((upstream.instance.born_ms, upstream.slots), (1_000 + newest.0, newest.1));
        }
    }
}
