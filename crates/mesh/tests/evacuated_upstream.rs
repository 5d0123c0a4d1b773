//! Until when a node sends requests to its upstream while its data centre is evacuated.

#[path = "ownership/codec.rs"]
mod codec;
#[path = "ownership/node_settings.rs"]
mod node_settings;

use std::time::{Duration, Instant};

use codec::{SERVICE, TestCodec};
use firspindle_core::connection::UpstreamReport;
use firspindle_core::process::GrantGuards;
use firspindle_core::version::{EvacuationSet, LogPosition, UpstreamInstance, UpstreamState};
use firspindle_edge::{ReadBatch, StateTopic, TopicRecord, TopicSnapshot};
use firspindle_mesh::process::ControlState;
use firspindle_mesh::version::StateSnapshot;
use node_settings::node_settings;

const KEY: &str = "evacuate/centre-0";

/// A node that has started and whose upstream has sent a heartbeat.
struct Node {
    state: ControlState<TestCodec>,
    start: Instant,
}

impl Node {
    fn start() -> Self {
        let start = Instant::now();
        let settings = node_settings("host-0", "centre-0", [10, 0, 0, 1].into());
        let mut state = ControlState::new(settings, TestCodec::new(), 2, GrantGuards::all(), start);
        let report = UpstreamReport {
            instance: UpstreamInstance { id: "u0".into(), born_ms: 5 },
            service: SERVICE.into(),
            slots: 9,
            state: UpstreamState::Ready,
            cold_remaining: Duration::ZERO,
            sequence: 9,
            lists_keys: true,
            holds: Vec::new(),
            freed: Vec::new(),
        };
        state.handle_report(report, start).expect("it is of the host's upstream");
        Self { state, start }
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    /// Reads the newest records, with or without the evacuation, in an epoch.
    fn read_newest(&mut self, evacuated: bool, epoch: u64, ms: u64) {
        self.read_newest_at(evacuated, LogPosition::new(epoch, 1), ms);
    }

    /// The same up to a position.
    fn read_newest_at(&mut self, evacuated: bool, end: LogPosition, ms: u64) {
        let record = TopicRecord { key: KEY.into(), value: "x".into(), offset: 0 };
        let values = if evacuated { vec![record] } else { Vec::new() };
        let snapshot = TopicSnapshot { values, end };
        let at = self.at(ms);
        self.state.handle_snapshot(StateTopic::Manifests, &snapshot, at, at);
    }

    /// Reads a record that follows, by a read that began at a time.
    fn read_record(&mut self, offset: u64, value: &'static str, ms: u64) {
        let records = vec![TopicRecord { key: KEY.into(), value: value.into(), offset }];
        let batch = ReadBatch { records, end: LogPosition::new(0, offset + 1) };
        let (from, at) = (LogPosition::new(0, offset), self.at(ms));
        self.state.handle_records(StateTopic::Manifests, from, &batch, at, at);
    }

    /// Whether a request may be sent to the upstream, and whether other nodes are told so.
    fn sends(&self, ms: u64) -> bool {
        let view = self.state.view(self.at(ms));
        let closes_at = view.upstream.expect("the upstream is known").evacuation_closes_at;
        closes_at.is_none_or(|at| self.at(ms) < at)
    }
}

/// Guards against requests in the moment between a node's start and its first read of the store.
#[test]
fn nothing_is_sent_before_the_evacuations_are_known() {
    let mut node = Node::start();
    assert!(!node.sends(0));
    node.read_newest(false, 0, 40);
    assert!(node.sends(40));
    let mut node = Node::start();
    node.read_newest(true, 0, 40);
    assert!(!node.sends(40), "nobody knows when it began");
}

/// The same, for a node that the store turns away.
#[test]
fn a_peers_state_says_whether_requests_may_be_sent() {
    for (names, sends) in [(vec!["centre-0".into()], false), (vec!["centre-1".into()], true)] {
        let mut node = Node::start();
        let earlier_version = StateSnapshot::default();
        node.state.handle_peer_state(&earlier_version, node.at(20));
        assert!(!node.sends(20), "that peer knows nothing of evacuations");
        let evacuations = EvacuationSet::new(LogPosition::new(0, 4), names);
        let sent = StateSnapshot { evacuations, ..StateSnapshot::default() };
        let state = StateSnapshot::decode(&sent.encode()).expect("it can be decoded");
        node.state.handle_peer_state(&state, node.at(40));
        assert_eq!(node.sends(40), sends);
    }
}

/// Guards against an upstream that closes late, or at once while its keys have not moved.
#[test]
fn requests_are_sent_until_half_a_second_before_the_limit() {
    let mut node = Node::start();
    node.read_newest(false, 0, 0);
    node.read_record(1, "x", 400);
    // The store had no record at the start.
    assert!(node.sends(4_499));
    assert!(!node.sends(4_500));
    node.read_record(2, "x", 3_000);
    assert!(!node.sends(4_500), "a second record does not start the time again");
    node.read_record(3, "", 6_000);
    assert!(node.sends(6_000), "it ended");
}

/// Guards against an evacuation that closes an upstream after it was taken back.
#[test]
fn an_evacuation_that_ends_before_it_took_effect_closes_nothing() {
    let mut node = Node::start();
    node.read_newest(false, 0, 0);
    node.read_record(1, "x", 400);
    node.read_record(2, "", 1_000);
    assert!(node.sends(60_000));
}

/// Guards against an evacuation that is forgotten when the store starts a new epoch, before its first
/// snapshot shows whether the copy still has the record.
#[test]
fn the_first_snapshot_of_an_epoch_decides() {
    let mut node = Node::start();
    node.read_newest(false, 0, 0);
    node.read_record(1, "x", 400);
    node.state.enter_epoch(1, node.at(5_000));
    assert!(!node.sends(5_000));
    node.read_newest(true, 1, 5_100);
    assert!(!node.sends(5_100));
    node.state.enter_epoch(2, node.at(6_000));
    node.read_newest(false, 2, 6_100);
    assert!(node.sends(6_100));
}

/// Guards against an evacuation that is missed, begins anew or never ends because the store has dropped
/// its records and answers only what is newest.
#[test]
fn a_later_snapshot_of_the_epoch_begins_and_ends_an_evacuation() {
    let mut node = Node::start();
    node.read_newest(false, 0, 0);
    node.read_newest_at(true, LogPosition::new(0, 40), 1_000);
    assert!(node.sends(4_499) && !node.sends(4_500));
    node.read_newest_at(true, LogPosition::new(0, 50), 3_000);
    assert!(!node.sends(4_500));
    node.read_newest_at(false, LogPosition::new(0, 45), 5_000);
    assert!(!node.sends(5_000), "that answer is older");
    node.read_newest_at(false, LogPosition::new(0, 60), 6_000);
    assert!(node.sends(6_000));
}
