//! The word of a crash reaches every node before anybody is answered, also where it comes late.

use std::time::{Duration, Instant};

use bytes::Bytes;
use firspindle_core::connection::{GossipMessage, UpstreamLoad};
use firspindle_core::process::GrantGuards;
use firspindle_core::version::HostRecord;
use firspindle_mesh::process::{ControlOrder, ControlState};

use crate::codec::TestCodec;
use crate::world::settings;

/// Content of the request.
const CONTENT: u128 = 7;

/// Lives that crash.
const LIVES: [u64; 2] = [11, 12];

type State = ControlState<TestCodec>;

/// First datagram of a node.
fn introduction(host: usize) -> Vec<u8> {
    let settings = settings(host);
    let sender = HostRecord {
        host: settings.host,
        data_centre: settings.data_centre,
        incarnation: 1,
        revision: 1,
        forward: settings.listen.forward,
        gossip: settings.listen.gossip,
        service: settings.service,
        upstream: None,
    };
    let message = GossipMessage {
        sender,
        stamp_ms: 0,
        echo: None,
        ends: [0; 3],
        reaches_store: false,
        settled_version: 0,
        load: UpstreamLoad::default(),
        demand: None,
        ended: Vec::new(),
        acknowledged: Vec::new(),
        suspects: Vec::new(),
    };
    message.encode()
}

struct Trio {
    nodes: Vec<State>,
    now: Instant,
}

impl Trio {
    /// Three nodes that have heard one another.
    fn new() -> Self {
        let now = Instant::now();
        let node = |host| State::new(settings(host), TestCodec::new(), 1, GrantGuards::all(), now);
        let mut trio = Self { nodes: (0..3).map(node).collect(), now };
        for from in 0..3 {
            for to in (0..3).filter(|to| *to != from) {
                trio.take(to, &introduction(from));
            }
        }
        trio
    }

    fn pass(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
    }

    /// What a node tells another now.
    fn datagram(&mut self, from: usize, to: usize) -> Bytes {
        let host = format!("host-{to}").into_boxed_str();
        let orders = self.nodes[from].datagrams(&[host], self.now);
        let sent = orders.into_iter().find_map(|order| match order {
            ControlOrder::Send(_, bytes) => Some(bytes),
            _ => None,
        });
        sent.expect("the host is known")
    }

    /// Takes a datagram; gives whether its sender is to be answered at once.
    fn take(&mut self, to: usize, bytes: &[u8]) -> bool {
        self.nodes[to].take_datagram(bytes, self.now).is_some()
    }

    fn refuses(&self, node: usize) -> bool {
        let view = self.nodes[node].view(self.now);
        view.suspects.refusal(CONTENT, self.now).is_some()
    }
}

/// Node 0's upstream crashes twice; its word to node 2 is lost at first. Whoever waits for the
/// word is not answered before node 2 knows, and by then node 2 refuses the request.
#[test]
fn nobody_is_answered_before_all_know_of_a_crash() {
    let mut trio = Trio::new();
    for instance in LIVES {
        trio.pass(20);
        let now = trio.now;
        let hint = trio.nodes[0].note_crash(CONTENT, instance, now);
        assert!(!trio.nodes[0].all_know(&hint, trio.now), "nobody was told");
        let word = trio.datagram(0, 1);
        assert!(trio.take(1, &word), "news is answered at once");
        let answer = trio.datagram(1, 0);
        assert!(!trio.take(0, &answer), "an answer that tells nothing new is not answered");
        assert!(!trio.nodes[0].all_know(&hint, trio.now), "the word to one node was lost");
        // The next datagram repeats it.
        trio.pass(300);
        let word = trio.datagram(0, 2);
        assert!(trio.take(2, &word));
        let answer = trio.datagram(2, 0);
        trio.take(0, &answer);
        assert!(trio.nodes[0].all_know(&hint, trio.now));
        let refused = instance == LIVES[1];
        assert_eq!([0, 1, 2].map(|node| trio.refuses(node)), [refused; 3]);
    }
}

/// Two upstreams crash at about the same time; each node counts both, whoever told of them.
#[test]
fn crashes_that_two_nodes_noticed_count_together() {
    let mut trio = Trio::new();
    trio.pass(20);
    let now = trio.now;
    trio.nodes[0].note_crash(CONTENT, LIVES[0], now);
    trio.nodes[1].note_crash(CONTENT, LIVES[1], now);
    for (from, to) in [(0, 2), (1, 2), (2, 0), (2, 1)] {
        trio.pass(1);
        let word = trio.datagram(from, to);
        trio.take(to, &word);
    }
    assert_eq!([0, 1, 2].map(|node| trio.refuses(node)), [true; 3]);
}

/// A node that is not heard any more holds nobody up.
#[test]
fn a_silent_node_is_not_waited_for() {
    let mut trio = Trio::new();
    trio.pass(3_000);
    let now = trio.now;
    let hint = trio.nodes[0].note_crash(CONTENT, LIVES[0], now);
    assert!(trio.nodes[0].all_know(&hint, trio.now));
}
