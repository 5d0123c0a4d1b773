//! Tests of datagrams between nodes of different versions.

use firspindle_core::connection::{
    GossipMessage, RelayReport, RelayedLoad, StateMark, UpstreamLoad,
};
use firspindle_core::process::{EndedFence, KeyHandover};
use firspindle_core::request::{ClearedRequest, CrashSet, SuspectHint};
use firspindle_core::version::{HostRecord, LogPosition};

fn message(link_ms: u32, limit_milli: u32) -> GossipMessage {
    let address = "10.0.0.1:7".parse().expect("an address");
    GossipMessage {
        sender: HostRecord {
            host: "host-1".into(),
            data_centre: "here".into(),
            incarnation: 1,
            revision: 1,
            forward: address,
            gossip: address,
            service: "orders".into(),
            upstream: None,
        },
        stamp_ms: 5,
        echo: None,
        ends: [1, 2, 3],
        reaches_store: true,
        settled_version: 4,
        load: UpstreamLoad {
            running: 1,
            waiting: 2,
            slots: 3,
            service_ms: 4,
            link_ms,
            limit_milli,
            ..UpstreamLoad::default()
        },
        demand: None,
        ended: Vec::new(),
        acknowledged: Vec::new(),
        suspects: Vec::new(),
        answered_suspects: Vec::new(),
        crash_sets: Vec::new(),
        cleared_requests: Vec::new(),
        report: RelayReport { wants_reply: true, sequence: 3, ..RelayReport::default() },
        mark: StateMark {
            plan_position: LogPosition::new(0, 1),
            plan: 0,
            manifest: 0,
            evacuations: None,
        },
        heard_incarnation: 0,
        manifest_age_ms: None,
    }
}

#[test]
fn a_datagram_is_read_as_it_was_written() {
    let mut sent = message(300, 7_900);
    let row = |host, limit_milli| {
        let cold_ms = u32::from(host == 2) * 900;
        let load = UpstreamLoad { limit_milli, cold_ms, ..UpstreamLoad::default() };
        RelayedLoad { host, age_ms: 5, load, link_ms: 6 }
    };
    sent.mark = StateMark {
        plan_position: LogPosition::new(2, 1),
        plan: 9,
        manifest: 8,
        evacuations: Some(LogPosition::new(2, 6)),
    };
    sent.heard_incarnation = 7;
    sent.answered_suspects =
        vec![SuspectHint { fingerprint: 3, crashes: vec![1, 2], left_ms: 60_000, cleared: false }];
    sent.crash_sets = vec![CrashSet { instance: 1 << 60, requests: vec![5, 1 << 30] }];
    sent.cleared_requests = vec![ClearedRequest { request: 5, crashes: vec![1 << 60] }];
    sent.manifest_age_ms = Some(900);
    sent.load = UpstreamLoad { told_running: 7, told_waiting: 2, pace_percent: 310, ..sent.load };
    sent.report.loads = vec![row(1, 0), row(2, 4_600), row(3, 0)];
    let ended = |first, handover: &str, parts| EndedFence {
        first,
        last: first,
        fence: 9,
        handover: handover.into(),
        parts,
    };
    let part = |first, last, token: &str| KeyHandover { first, last, token: token.into() };
    sent.ended =
        vec![ended(1, "a", Vec::new()), ended(2, "", vec![part(16, 18, "b"), part(20, 23, "c")])];
    assert_eq!(GossipMessage::decode(&sent.encode()), Some(sent));
}

/// Guards against nodes that do not hear each other while a fleet is updated host by host.
#[test]
fn a_datagram_of_the_version_without_link_times_is_read() {
    let earlier = |link_ms| GossipMessage { report: RelayReport::default(), ..message(link_ms, 0) };
    let mut bytes = postcard::to_allocvec(&message(300, 0)).expect("the message can be encoded");
    assert_eq!(GossipMessage::decode(&bytes), Some(earlier(0)));
    let newer = message(300, 0).encode();
    let unmarked = GossipMessage { mark: StateMark::default(), ..earlier(0) };
    assert_eq!(postcard::from_bytes::<GossipMessage>(&newer).ok(), Some(unmarked));
    // The version with link times and without reports of relays.
    bytes.extend(postcard::to_allocvec(&300_u32).expect("a number can be encoded"));
    assert_eq!(GossipMessage::decode(&bytes), Some(earlier(300)));
    // The version with reports of relays and without limits.
    let report = message(300, 0).report;
    bytes.extend(postcard::to_allocvec(&report).expect("a report can be encoded"));
    assert_eq!(GossipMessage::decode(&bytes), Some(message(300, 0)));
}
