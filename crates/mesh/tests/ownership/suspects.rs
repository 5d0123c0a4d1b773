//! Every node knows of a crash before the request that was in flight is answered, even if the
//! notice is lost at first. Otherwise a retry could reach a node that does not refuse the request
//! yet.

use std::time::{Duration, Instant};

use bytes::Bytes;
use firspindle_core::connection::GossipMessage;
use firspindle_core::process::GrantGuards;
use firspindle_core::version::HostRecord;
use firspindle_mesh::process::{ControlAction, ControlState};

use crate::codec::TestCodec;
use crate::world::settings;

/// Fingerprint of the request.
const FINGERPRINT: u128 = 7;

/// Hashes of the upstream instances that crash.
const INSTANCES: [u64; 2] = [11, 12];

type State = ControlState<TestCodec>;

/// Returns the first datagram of a node, before it knows of any other.
fn first_datagram(host: usize) -> Vec<u8> {
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
    GossipMessage::new(sender, 0).encode()
}

struct NodeTrio {
    nodes: Vec<State>,
    now: Instant,
}

impl NodeTrio {
    /// Returns three nodes that have received a datagram from each other.
    fn new() -> Self {
        let now = Instant::now();
        let node = |host| State::new(settings(host), TestCodec::new(), 1, GrantGuards::all(), now);
        let mut trio = Self { nodes: (0..3).map(node).collect(), now };
        for from in 0..3 {
            for to in (0..3).filter(|to| *to != from) {
                trio.deliver(to, &first_datagram(from));
            }
        }
        trio
    }

    fn advance(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
    }

    /// Returns the datagram that a node sends to another at present.
    fn datagram(&mut self, from: usize, to: usize) -> Bytes {
        let host = format!("host-{to}").into_boxed_str();
        let actions = self.nodes[from].datagrams(&[host], self.now);
        let sent = actions.into_iter().find_map(|action| match action {
            ControlAction::Send(_, bytes, _) => Some(bytes),
            _ => None,
        });
        sent.expect("the host is known")
    }

    /// Delivers a datagram; returns whether its sender is to get a reply at once.
    fn deliver(&mut self, to: usize, bytes: &[u8]) -> bool {
        self.nodes[to].handle_datagram(bytes, self.now).is_some()
    }

    /// Whether a node refuses the request.
    fn refuses(&self, node: usize) -> bool {
        let view = self.nodes[node].view(self.now);
        view.suspects.refusal(FINGERPRINT, self.now).is_some()
    }
}

/// Node 0's upstream crashes twice, and each time the first notice to node 2 is lost. The waiting
/// request is not answered before node 2 knows; after the second crash node 2 refuses it by then.
#[test]
fn answers_wait_until_every_node_knows_of_a_crash() {
    let mut trio = NodeTrio::new();
    for instance in INSTANCES {
        trio.advance(20);
        let now = trio.now;
        let hint = trio.nodes[0].note_crash(FINGERPRINT, instance, now);
        assert!(!trio.nodes[0].all_acknowledged(&hint, trio.now), "no node was notified");
        let notice = trio.datagram(0, 1);
        assert!(trio.deliver(1, &notice), "a datagram with news gets a reply at once");
        let reply = trio.datagram(1, 0);
        assert!(!trio.deliver(0, &reply), "a reply without news gets no reply");
        assert!(
            !trio.nodes[0].all_acknowledged(&hint, trio.now),
            "the notice to one node was lost"
        );
        // The next datagram repeats the notice.
        trio.advance(300);
        let notice = trio.datagram(0, 2);
        assert!(trio.deliver(2, &notice));
        let reply = trio.datagram(2, 0);
        trio.deliver(0, &reply);
        assert!(trio.nodes[0].all_acknowledged(&hint, trio.now));
        let refused = instance == INSTANCES[1];
        assert_eq!([0, 1, 2].map(|node| trio.refuses(node)), [refused; 3]);
    }
}

/// Guards against crashes that are never acknowledged because they do not fit one datagram, beside
/// newer ones of other nodes.
#[test]
fn many_crashes_at_once_are_all_acknowledged() {
    let mut trio = NodeTrio::new();
    trio.advance(20);
    let now = trio.now;
    let own: Vec<_> =
        (0..40).map(|request| trio.nodes[0].note_crash(request, INSTANCES[0], now)).collect();
    for request in 100..140 {
        trio.nodes[1].note_crash(request, INSTANCES[1], now);
    }
    // The other node hears of the crashes of the second node before those of the first.
    for from in [1, 0] {
        let now = trio.now;
        for action in trio.nodes[from].crash_questions(now) {
            let ControlAction::Send(address, bytes, _) = action else { continue };
            let to = (0..3).find(|host| settings(*host).listen.gossip == address);
            let to = to.expect("a known address");
            trio.advance(1);
            assert!(trio.deliver(to, &bytes), "a question gets a reply");
            let reply = trio.datagram(to, from);
            trio.deliver(from, &reply);
        }
    }
    let open: Vec<_> =
        own.iter().filter(|hint| !trio.nodes[0].all_acknowledged(hint, trio.now)).collect();
    assert!(open.is_empty(), "{} of {} not acknowledged", open.len(), own.len());
}

/// Two upstreams crash at about the same time; each node counts both crashes, whichever node
/// reported them.
#[test]
fn crashes_that_two_nodes_noticed_count_together() {
    let mut trio = NodeTrio::new();
    trio.advance(20);
    let now = trio.now;
    trio.nodes[0].note_crash(FINGERPRINT, INSTANCES[0], now);
    trio.nodes[1].note_crash(FINGERPRINT, INSTANCES[1], now);
    for (from, to) in [(0, 2), (1, 2), (2, 0), (2, 1)] {
        trio.advance(1);
        let notice = trio.datagram(from, to);
        trio.deliver(to, &notice);
    }
    assert_eq!([0, 1, 2].map(|node| trio.refuses(node)), [true; 3]);
}

/// A node whose datagrams no longer arrive delays responses only until a question to it has stayed
/// without an answer. Nodes do not send to all others any more, so silence alone says nothing.
#[test]
fn a_silent_node_is_not_waited_for() {
    let mut trio = NodeTrio::new();
    trio.advance(2_000);
    let (now, others) = (trio.now, trio.nodes[0].other_hosts());
    trio.nodes[0].questions(&others, now);
    trio.advance(1_000);
    let now = trio.now;
    let hint = trio.nodes[0].note_crash(FINGERPRINT, INSTANCES[0], now);
    assert!(trio.nodes[0].all_acknowledged(&hint, trio.now));
}
