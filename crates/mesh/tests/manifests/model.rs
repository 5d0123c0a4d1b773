//! Nodes that read manifests from a store and pass them on, in memory: links to the store and between
//! hosts fail as a test says.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use firspindle_core::connection::StateMark;
use firspindle_core::process::GrantGuards;
use firspindle_core::version::LogPosition;
use firspindle_edge::{StateTopic, TopicRecord, TopicSnapshot};
use firspindle_mesh::process::{ControlAction, ControlState};
use firspindle_mesh::version::PeerState;

use crate::codec::TestCodec;
use crate::hosts::{host_of, host_records, settings, topic_record};
use crate::lateness::Lateness;
use crate::reads::{Answer, ReadTask};

/// Delay of a message between hosts or to the store, in milliseconds.
pub const DELAY_MS: u64 = 3;

/// Time limit for a fetch of the state of a peer, in milliseconds.
const FETCH_TIMEOUT_MS: u64 = 800;

/// Time between two rounds of datagrams of a node, in milliseconds.
const ROUND_MS: u64 = 300;

/// Time between two ticks of a node, in milliseconds.
const TICK_MS: u64 = 100;

/// Topics that are read.
pub const READ_TOPICS: [StateTopic; 3] =
    [StateTopic::Manifests, StateTopic::Plans, StateTopic::Hosts];

/// How the store treats the calls of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreLink {
    Open,
    /// Calls are answered with a refusal.
    Refused,
    /// The same, for the manifests alone.
    ManifestsRefused,
    /// The same, for the plans alone.
    PlansRefused,
    /// Neither calls nor responses arrive.
    Cut,
}

pub struct Node {
    pub state: ControlState<TestCodec>,
    pub tasks: [ReadTask; READ_TOPICS.len()],
    pub link: StoreLink,
    /// Fetches of the state of peers that have not ended.
    open_fetches: u64,
    /// Whether the node's next read of the manifests gets no answer.
    pub loses_read: bool,
    frozen_until: u64,
    /// Since when the node runs and the store serves it.
    pub served_since: u64,
    /// Since when the node runs and has a path to the store.
    pub touched_since: u64,
    told_mark: StateMark,
    /// Version of the manifest in force.
    pub version: u64,
}

pub enum Event {
    Datagram(Bytes),
    Round,
    Tick,
    Answered(usize, u64, Answer),
    Fetched(Box<PeerState>),
    FetchFailed(SocketAddr),
}

/// A fleet whose hosts are spread over data centres by their number.
pub struct FleetModel {
    epoch: Instant,
    centres: usize,
    pub now_ms: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, (usize, Event)>,
    order: u64,
    pub nodes: Vec<Node>,
    /// Times at which versions 1, 2 and so on were written.
    pub written: Vec<u64>,
    /// Records of the manifests' topic.
    pub records: Vec<TopicRecord>,
    /// Number of restores of the store.
    pub store_epoch: u64,
    /// Pairs of hosts of which the first does not reach the second.
    pub cuts: BTreeSet<(usize, usize)>,
    /// Most fetches that a node had open at once.
    pub most_fetches: u64,
    /// Whether peers answer requests for their state.
    pub serves_state: bool,
    /// Since when all hosts reach one another.
    pub joined_since: u64,
    pub lateness: Lateness,
    /// Calls to the store.
    pub calls: u64,
}

impl FleetModel {
    /// Returns nodes that have just read the newest records of each topic.
    pub fn new(hosts: usize, centres: usize) -> Self {
        let epoch = Instant::now();
        let records = host_records(hosts, centres);
        let node = |index| {
            let settings = settings(index, hosts, centres);
            let guards = GrantGuards::all();
            let mut state = ControlState::new(settings, TestCodec::new(), 1, guards, epoch);
            let topics = [
                (StateTopic::Manifests, vec![topic_record("manifest", vec![b'1'], 0)]),
                (StateTopic::Hosts, records.clone()),
                (StateTopic::Plans, Vec::new()),
            ];
            for (topic, values) in topics {
                let end = LogPosition::new(0, 1);
                state.handle_snapshot(topic, &TopicSnapshot { values, end }, epoch, epoch);
            }
            Node {
                told_mark: state.mark(),
                state,
                tasks: [ReadTask::following(); READ_TOPICS.len()],
                link: StoreLink::Open,
                open_fetches: 0,
                loses_read: false,
                frozen_until: 0,
                served_since: 0,
                touched_since: 0,
                version: 1,
            }
        };
        let mut fleet = Self {
            epoch,
            centres,
            now_ms: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            order: 0,
            nodes: (0..hosts).map(node).collect(),
            written: vec![0],
            records: vec![topic_record("manifest", vec![b'1'], 0)],
            store_epoch: 0,
            cuts: BTreeSet::new(),
            most_fetches: 0,
            serves_state: true,
            joined_since: 0,
            lateness: Lateness::default(),
            calls: 0,
        };
        for index in 0..hosts {
            // Each host begins at another moment, as on real clocks.
            let phase = (index as u64 * 7_919) % 1_000;
            fleet.enqueue(index, phase * ROUND_MS / 1_000, Event::Round);
            fleet.enqueue(index, phase * TICK_MS / 1_000, Event::Tick);
        }
        fleet
    }

    pub fn now(&self) -> Instant {
        self.at(self.now_ms)
    }

    pub fn at(&self, ms: u64) -> Instant {
        self.epoch + Duration::from_millis(ms)
    }

    pub fn enqueue(&mut self, host: usize, delay: u64, event: Event) {
        self.order += 1;
        self.queue.push(Reverse((self.now_ms + delay, self.order)));
        self.events.insert(self.order, (host, event));
    }

    /// Runs the fleet for a time.
    pub fn run(&mut self, ms: u64) {
        let end = self.now_ms + ms;
        while let Some(Reverse((due, order))) = self.queue.pop() {
            if due > end {
                self.queue.push(Reverse((due, order)));
                break;
            }
            self.now_ms = due;
            let (host, event) = self.events.remove(&order).expect("each event is kept");
            let thaws_at = self.nodes[host].frozen_until;
            if due < thaws_at {
                self.enqueue(host, thaws_at - due, event);
            } else {
                self.handle(host, event);
            }
        }
        self.now_ms = end;
    }

    fn handle(&mut self, host: usize, event: Event) {
        let now = self.now();
        match event {
            Event::Datagram(bytes) => {
                let state = &mut self.nodes[host].state;
                if let Some(sender) = state.handle_datagram(&bytes, now) {
                    let actions = state.datagrams(&[sender], now);
                    self.execute(host, actions);
                }
            }
            Event::Round => {
                self.begin_round(host);
                self.enqueue(host, ROUND_MS, Event::Round);
            }
            Event::Tick => {
                self.step(host);
                for task in 0..READ_TOPICS.len() {
                    self.step_read(host, task);
                }
                self.check(host);
                self.enqueue(host, TICK_MS, Event::Tick);
            }
            Event::Answered(task, call, answer) => {
                if self.finish_read(host, task, call, answer) {
                    self.step(host);
                    self.tell_news(host);
                }
                self.step_read(host, task);
            }
            Event::FetchFailed(address) => {
                self.nodes[host].open_fetches -= 1;
                self.nodes[host].state.fetch_failed(address, now);
                self.step(host);
            }
            Event::Fetched(state) => {
                self.nodes[host].open_fetches -= 1;
                let node = &mut self.nodes[host].state;
                match *state {
                    PeerState::Whole(snapshot) => node.handle_peer_state(&snapshot, now),
                    PeerState::News(news) => node.handle_peer_news(&news, now),
                }
                self.step(host);
                if self.tell_news(host) {
                    self.begin_round(host);
                }
            }
        }
    }

    /// Sends a round of datagrams before the next is due.
    pub fn begin_round(&mut self, host: usize) {
        let now = self.now();
        let actions = self.nodes[host].state.gossip_round(now);
        self.execute(host, actions);
    }

    fn step(&mut self, host: usize) {
        let now = self.now();
        let actions = self.nodes[host].state.tick(now);
        self.execute(host, actions);
    }

    fn tell_news(&mut self, host: usize) -> bool {
        let now = self.now();
        let node = &mut self.nodes[host];
        let mark = node.state.mark();
        if mark == node.told_mark {
            return false;
        }
        node.told_mark = mark;
        let manifest = node.state.view(now).manifest;
        node.version = manifest.map_or(0, |manifest| manifest.version);
        let hosts = node.state.new_plan_hosts(now);
        let actions = node.state.datagrams(&hosts, now);
        self.execute(host, actions);
        true
    }

    fn execute(&mut self, from: usize, actions: Vec<ControlAction>) {
        for action in actions {
            match action {
                ControlAction::Send(to, bytes, _) => {
                    let to = host_of(to);
                    self.note_plan_age(from, &bytes);
                    if !self.cuts.contains(&(from, to)) {
                        self.enqueue(to, DELAY_MS, Event::Datagram(bytes));
                    }
                }
                ControlAction::FetchState(to, _) => self.fetch(from, host_of(to)),
                ControlAction::AppendPlan(..)
                | ControlAction::PutHost(_)
                | ControlAction::ProbeUpstream(_) => {}
            }
        }
    }

    fn fetch(&mut self, host: usize, peer: usize) {
        self.nodes[host].open_fetches += 1;
        self.most_fetches = self.most_fetches.max(self.nodes[host].open_fetches);
        let cut = self.cuts.contains(&(host, peer)) || self.cuts.contains(&(peer, host));
        if cut || !self.serves_state || self.now_ms < self.nodes[peer].frozen_until {
            let address = settings(peer, self.nodes.len(), self.centres).listen.forward;
            self.enqueue(host, FETCH_TIMEOUT_MS, Event::FetchFailed(address));
            return;
        }
        let snapshot = self.nodes[peer].state.view(self.now()).snapshot;
        let state = match self.nodes[host].state.known_state() {
            Some(known) => PeerState::News(snapshot.news_since(known)),
            None => PeerState::Whole((*snapshot).clone()),
        };
        self.enqueue(host, 2 * DELAY_MS, Event::Fetched(Box::new(state)));
    }

    /// Changes how the store treats a host.
    pub fn set_link(&mut self, host: usize, link: StoreLink) {
        self.note_links(host);
        self.nodes[host].link = link;
        self.note_links(host);
    }

    /// Returns how the store treats a host.
    pub fn link(&self, host: usize) -> StoreLink {
        self.nodes[host].link
    }

    /// Stops a node for a time; what is sent to it meanwhile arrives when it goes on.
    pub fn freeze(&mut self, host: usize, ms: u64) {
        let node = &mut self.nodes[host];
        node.frozen_until = node.frozen_until.max(self.now_ms + ms);
        node.served_since = node.frozen_until;
        node.touched_since = node.frozen_until;
    }

    /// Ends a node's process and starts it again.
    pub fn restart(&mut self, host: usize) {
        let (now, guards) = (self.now(), GrantGuards::all());
        let (settings, incarnation) =
            (settings(host, self.nodes.len(), self.centres), self.now_ms + 2);
        let node = &mut self.nodes[host];
        node.state = ControlState::new(settings, TestCodec::new(), incarnation, guards, now);
        node.tasks.iter_mut().for_each(ReadTask::restart);
        node.told_mark = StateMark::default();
        node.version = 0;
        node.served_since = node.served_since.max(self.now_ms);
        node.touched_since = node.touched_since.max(self.now_ms);
    }

    /// Returns the newest records of a topic and its end.
    pub fn newest(&self, topic: StateTopic) -> TopicSnapshot {
        let (values, end) = match topic {
            StateTopic::Manifests => {
                let newest = |row: &&TopicRecord| {
                    let later = self
                        .records
                        .iter()
                        .any(|next| next.key == row.key && next.offset > row.offset);
                    !later && !row.value.is_empty()
                };
                let values = self.records.iter().filter(newest).cloned().collect();
                (values, self.records.len() as u64)
            }
            StateTopic::Plans => (Vec::new(), 1),
            StateTopic::Hosts => (host_records(self.nodes.len(), self.centres), 1),
        };
        TopicSnapshot { values, end: LogPosition::new(self.store_epoch, end) }
    }

    /// Writes the next manifest, as an operator does.
    pub fn write_manifest(&mut self) {
        self.written.push(self.now_ms);
        let version = self.written.len().to_string();
        self.write("manifest", version.as_bytes());
    }

    /// Appends a record to the manifests' topic, as an operator does.
    pub fn write(&mut self, key: &str, value: &[u8]) {
        let offset = self.records.len() as u64;
        self.records.push(topic_record(key, value.to_vec(), offset));
        self.answer_waiting_reads();
    }
}
