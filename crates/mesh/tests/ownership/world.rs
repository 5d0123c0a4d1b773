//! A simulation of several nodes with their upstreams, a store and a network, determined by a seed.

mod checks;
mod event;
mod faults;
mod heartbeats;
mod lost_plans;
mod network;
mod reads;
mod restores;
mod store;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use firspindle_core::process::GrantGuards;
use firspindle_core::version::{LogEpoch, LogPosition, UpstreamInstance};
use firspindle_edge::{ReadBatch, StateTopic, TopicRecord, TopicSnapshot};
use firspindle_mesh::process::{ControlState, MeshSettings};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use event::{Event, Scheduled};
use reads::TopicReader;
use restores::RestoreModel;

pub use event::PlanScript;
pub use lost_plans::{LostPlan, run_with_lost_plan};
pub use restores::{Violation, run_with_late_writes, run_with_restores};

use super::codec::TestCodec;
use super::node_settings::node_settings;
use super::upstream::Upstream;

/// Number of hosts, each with a node and an upstream.
const HOSTS: usize = 4;

/// Data centre of each host.
type Layout = [usize; HOSTS];

/// Layouts of the hosts, one of which a seed chooses: relays and two hosts that are none; the same with a
/// relay elsewhere; relays only. A data centre has two relays.
const LAYOUTS: [Layout; 3] = [[0, 0, 0, 0], [0, 0, 0, 1], [0, 1, 0, 1]];

/// Time within which all processes start for the first time, in milliseconds.
const FIRST_STARTS_MS: u64 = 300;

/// Simulated length of a history with random faults, in milliseconds.
const HISTORY_MS: u64 = 40_000;

/// Simulated length of a history with a scripted plan, in milliseconds.
const SCRIPT_MS: u64 = 22_000;

const TOPICS: [StateTopic; 3] = [StateTopic::Manifests, StateTopic::Hosts, StateTopic::Plans];

struct Host {
    /// The node; `None` while its process is down.
    state: Option<ControlState<TestCodec>>,
    codec: TestCodec,
    incarnation: u64,
    /// Whether the snapshot of each topic was read.
    known: [bool; 3],
    readers: [TopicReader; 3],
    /// Whether a write of the node's host record is in flight.
    write_pending: bool,
    /// End of the hosts' log after the last write that took effect.
    write_end: Option<LogPosition>,
    /// Version of the manifest that was last seen in force in this process.
    manifest: u64,
    frozen_until: u64,
    store_cut_until: u64,
    /// Time until which datagrams to each host are lost.
    cut_until: [u64; HOSTS],
    upstream: Option<Upstream>,
    /// Number of the upstream's instance among all of a history, from 1.
    instance_number: u64,
    /// Whether node and upstream were lost for good.
    lost: bool,
}

struct World {
    epoch: Instant,
    now_ms: u64,
    queue: BinaryHeap<Reverse<Scheduled>>,
    /// Number of the event scheduled last; events that are due at the same time run in this order.
    order: u64,
    rng: StdRng,
    hosts: Vec<Host>,
    topics: [Vec<TopicRecord>; 3],
    /// Number of restores of the store.
    log_epoch: LogEpoch,
    /// What may happen if the store is restored; `None` if it never is.
    restores: Option<Box<RestoreModel>>,
    store_down_until: u64,
    /// Number of upstream instances that have started.
    started_instances: u64,
    layout: Layout,
    /// Whether the hosts' settings say that the system starts for the first time.
    bootstrap: bool,
    guards: GrantGuards,
    /// Whether random faults are injected.
    random_faults: bool,
}

/// Runs one history with random faults. An error names a cell that two upstreams hold.
pub fn run_history(seed: u64, guards: GrantGuards) -> Result<(), String> {
    World::new(seed, guards).run()
}

/// Runs one history with a scripted plan that only some hosts learn of.
pub fn run_script(seed: u64, guards: GrantGuards, script: &PlanScript) -> Result<(), String> {
    let mut world = World::new(seed, guards);
    world.random_faults = false;
    if let Some((host, at)) = script.late_host {
        world.queue.retain(|Reverse(row)| row.host != host);
        world.enqueue(host, 0, at, Event::Start);
        world.enqueue(host, 0, at, Event::StartUpstream);
    }
    world.enqueue(0, 0, script.at, Event::Script(script.clone()));
    if let Some((host, at, down)) = script.restart {
        world.enqueue(host, 0, at, Event::Restart { down });
    }
    world.run()
}

impl World {
    fn run(mut self) -> Result<(), String> {
        let world = &mut self;
        let end = if world.random_faults { HISTORY_MS } else { SCRIPT_MS };
        while world.now_ms < end {
            let Some(Reverse(next)) = world.queue.pop() else { break };
            world.now_ms = world.now_ms.max(next.due);
            world.handle(next);
            world.check_single_holder()?;
        }
        Ok(())
    }
}

/// Returns the settings of a host in the first layout.
pub fn settings(index: usize) -> MeshSettings {
    settings_in(&LAYOUTS[0], index)
}

fn settings_in(layout: &Layout, index: usize) -> MeshSettings {
    let data_centre = format!("centre-{}", layout[index]);
    let ip = [10, 0, 0, u8::try_from(index).unwrap_or(0)].into();
    node_settings(&format!("host-{index}"), &data_centre, ip)
}

impl World {
    fn new(seed: u64, guards: GrantGuards) -> Self {
        let host = || Host {
            state: None,
            codec: TestCodec::new(),
            incarnation: 0,
            known: [false; 3],
            readers: Default::default(),
            write_pending: false,
            write_end: None,
            manifest: 0,
            frozen_until: 0,
            store_cut_until: 0,
            cut_until: [0; HOSTS],
            upstream: None,
            instance_number: 0,
            lost: false,
        };
        let mut world = Self {
            epoch: Instant::now(),
            now_ms: 0,
            queue: BinaryHeap::new(),
            order: 0,
            rng: StdRng::seed_from_u64(seed),
            hosts: (0..HOSTS).map(|_| host()).collect(),
            topics: Default::default(),
            log_epoch: 0,
            restores: None,
            store_down_until: 0,
            started_instances: 0,
            layout: LAYOUTS[usize::try_from(seed).unwrap_or(0) % LAYOUTS.len()],
            bootstrap: false,
            guards,
            random_faults: true,
        };
        let manifest = TopicRecord { key: "manifest".into(), value: Bytes::from("1"), offset: 0 };
        world.topics[0].push(manifest);
        for host in 0..HOSTS {
            world.enqueue(host, 0, 1, Event::Start);
            world.enqueue(host, 0, 1, Event::StartUpstream);
        }
        world
    }

    fn now(&self) -> Instant {
        self.epoch + Duration::from_millis(self.now_ms)
    }

    fn enqueue(&mut self, host: usize, incarnation: u64, delay: u64, event: Event) {
        self.order += 1;
        let due = self.now_ms + delay;
        let row = Scheduled { due, order: self.order, host, incarnation, event };
        self.queue.push(Reverse(row));
    }

    /// Draws the delay of a message in milliseconds; one in 60 is late by 300 ms to 3 s.
    fn delay(&mut self) -> u64 {
        if self.rng.random_ratio(1, 60) {
            return self.rng.random_range(300..3_000);
        }
        self.rng.random_range(1..30)
    }

    fn store_reachable(&self, host: usize) -> bool {
        self.now_ms >= self.store_down_until && self.now_ms >= self.hosts[host].store_cut_until
    }

    fn handle(&mut self, row: Scheduled) {
        let host = row.host;
        let for_node = !matches!(
            row.event,
            Event::Start
                | Event::StartUpstream
                | Event::Script(_)
                | Event::Restart { .. }
                | Event::SendHeartbeat(_)
                | Event::SendEarlyHeartbeat
                | Event::Reply { .. }
                | Event::Append { .. }
                | Event::StoreRead(_)
                | Event::WriteManifest(_)
                | Event::Restore { .. }
                | Event::CutOffReader(_)
                | Event::LosePlan(_)
        );
        if for_node {
            // A late datagram reaches whoever has the address then.
            let for_any = self.restores.is_some() && matches!(row.event, Event::Datagram(_));
            let for_other = row.incarnation != self.hosts[host].incarnation && !for_any;
            if for_other || self.hosts[host].state.is_none() {
                return;
            }
            if self.now_ms < self.hosts[host].frozen_until {
                let due = self.hosts[host].frozen_until;
                self.queue.push(Reverse(Scheduled { due, ..row }));
                return;
            }
        }
        self.dispatch(host, row.event);
    }

    fn dispatch(&mut self, host: usize, event: Event) {
        let now = self.now();
        let incarnation = self.hosts[host].incarnation;
        match event {
            Event::Tick => {
                self.step(host);
                self.enqueue(host, incarnation, 100, Event::Tick);
                self.inject_fault();
            }
            Event::Gossip => {
                let state = self.hosts[host].state.as_mut().expect("the node is running");
                let actions = state.gossip_round(now);
                self.execute(host, actions);
                self.enqueue(host, incarnation, 300, Event::Gossip);
            }
            Event::Read(index) if self.restores.is_some() => self.begin_read(host, index),
            Event::Read(index) => self.read(host, index),
            Event::ReadDone { topic, snapshot, from, values, end, at } => {
                self.finish_read(host, topic, snapshot, from, end);
                let state = self.hosts[host].state.as_mut().expect("the node is running");
                if snapshot {
                    state.handle_snapshot(topic, &TopicSnapshot { values, end }, at, now);
                } else {
                    let batch = ReadBatch { records: values, end };
                    state.handle_records(topic, from, &batch, at, now);
                }
                self.step(host);
            }
            Event::ReadFailed => {
                self.hosts[host]
                    .state
                    .as_mut()
                    .expect("the node is running")
                    .note_store_answer(false, now);
            }
            Event::Datagram(bytes) => {
                let state = self.hosts[host].state.as_mut().expect("the node is running");
                if let Some(sender) = state.handle_datagram(&bytes, now) {
                    let actions = state.datagrams(&[sender], now);
                    self.execute(host, actions);
                }
            }
            Event::Append { call, answers } => self.append(host, call, answers),
            Event::PlanAppended(end) => {
                let state = self.hosts[host].state.as_mut().expect("the node is running");
                state.plan_appended(end, now);
            }
            Event::SendHeartbeat(instance) if instance == self.hosts[host].instance_number => {
                self.send_heartbeat(host);
                self.enqueue(host, 0, 870, Event::SendHeartbeat(instance));
            }
            Event::SendHeartbeat(_) => {}
            Event::SendEarlyHeartbeat => self.send_early_heartbeat(host),
            Event::Report { report, sent_at } => self.deliver_report(host, &report, sent_at),
            Event::Reply { instance, reply, sent_at } => {
                self.deliver_reply(host, &instance, reply.as_ref(), sent_at);
            }
            Event::Probe => {
                let id = self.hosts[host].upstream.as_ref().filter(|row| row.up);
                let id = id.map(|row| row.instance.id.clone());
                self.hosts[host]
                    .state
                    .as_mut()
                    .expect("the node is running")
                    .upstream_probed(id.as_deref(), now);
            }
            Event::Script(script) => self.append_script(&script),
            Event::Restart { down } => {
                self.hosts[host].store_cut_until = HISTORY_MS;
                self.kill_node(host, down);
            }
            event @ (Event::StoreRead(_)
            | Event::ReadExpired { .. }
            | Event::PeerState(_)
            | Event::HostWritten { .. }
            | Event::PlanStored { .. }
            | Event::WriteManifest(_)
            | Event::Restore { .. }
            | Event::CutOffReader(_)
            | Event::LosePlan(_)) => self.dispatch_restorable(host, event),
            Event::Start => self.start(host),
            Event::StartUpstream => self.start_upstream(host),
        }
    }

    fn start(&mut self, host: usize) {
        if self.hosts[host].state.is_some() || self.hosts[host].lost {
            return;
        }
        // Only processes that start with the system find that it starts for the first time.
        let bootstrap = self.bootstrap && self.now_ms <= FIRST_STARTS_MS;
        let layout = self.layout;
        let row = &mut self.hosts[host];
        row.incarnation = self.now_ms.max(row.incarnation) + 1;
        row.known = [false; 3];
        row.readers = Default::default();
        row.write_pending = false;
        row.write_end = None;
        row.manifest = 0;
        let incarnation = row.incarnation;
        let now = self.epoch + Duration::from_millis(self.now_ms);
        row.state = Some(ControlState::new(
            MeshSettings { bootstrap, ..settings_in(&layout, host) },
            row.codec.clone(),
            incarnation,
            self.guards,
            now,
        ));
        self.enqueue(host, incarnation, 5, Event::Tick);
        self.enqueue(host, incarnation, 30, Event::Gossip);
        for index in 0..TOPICS.len() {
            self.enqueue(host, incarnation, 3, Event::Read(index));
        }
    }

    fn start_upstream(&mut self, host: usize) {
        let is_up = self.hosts[host].upstream.as_ref().is_some_and(|row| row.up);
        if is_up || self.hosts[host].lost {
            return;
        }
        self.started_instances += 1;
        let instance = if self.rng.random_bool(0.5) {
            UpstreamInstance { id: format!("u{host}").into(), born_ms: self.now_ms + 1 }
        } else {
            UpstreamInstance {
                id: format!("u{host}-{}", self.started_instances).into(),
                born_ms: 0,
            }
        };
        let slow = self.rng.random_bool(0.5);
        self.hosts[host].upstream = Some(Upstream::new(instance, slow));
        self.hosts[host].instance_number = self.started_instances;
        self.enqueue(host, 0, 10, Event::SendHeartbeat(self.started_instances));
    }

    fn step(&mut self, host: usize) {
        let now = self.now();
        let actions = self.hosts[host].state.as_mut().expect("the node is running").tick(now);
        self.execute(host, actions);
    }
}
