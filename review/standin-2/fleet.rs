//! An installation: the store, and machines with a node of the project and a target each.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::client::{Call, call};
use crate::store::Store;
use crate::target::{Runs, Target, TargetFacts};

const TRAFFIC: u16 = 8141;
const FORWARD: u16 = 8145;
const READINESS: u16 = 8140;
const CONTROL: u16 = 8146;
const APP: u16 = 8147;
const GOSSIP: u16 = 7660;
const ADMIN: u16 = 9464;
const STORE: u16 = 8142;

/// A machine of an installation.
#[derive(Debug, Clone)]
pub struct MachineSpec {
    pub zone: &'static str,
    pub service: &'static str,
    pub sharded: bool,
}

/// What all machines have in common.
#[derive(Debug, Clone)]
pub struct FleetSpec {
    pub machines: Vec<MachineSpec>,
    /// The desired state.
    pub config: String,
    /// Lines of the settings under `bounds`.
    pub bounds: &'static str,
    pub slots: usize,
    pub beat: Duration,
    pub born: bool,
    /// Whether requests may crash targets.
    pub crashes: bool,
}

pub struct Machine {
    pub spec: MachineSpec,
    pub ip: Ipv4Addr,
    settings: PathBuf,
    node: Option<Child>,
    pub target: Option<Arc<Target>>,
    lives: u32,
}

/// A running installation; dropping it ends its processes.
pub struct Fleet {
    pub spec: FleetSpec,
    pub machines: Vec<Machine>,
    /// Runs until the program ends.
    _store: Arc<Store>,
    pub runs: Runs,
    folder: PathBuf,
    store_address: SocketAddr,
}

/// Returns a block of loopback addresses that nobody listens on.
fn free_block(machines: usize) -> [u8; 2] {
    let start = std::process::id();
    for attempt in 0..200 {
        let number = (start + attempt * 37) % 40_000;
        let block =
            [64 + u8::try_from(number / 250).unwrap_or(0), u8::try_from(number % 250).unwrap_or(0)];
        let ports = [TRAFFIC, FORWARD, READINESS, CONTROL, APP, GOSSIP, ADMIN, STORE];
        let free = (0..=machines).all(|index| {
            let ip = address_in(block, index);
            ports.iter().all(|port| TcpListener::bind((ip, *port)).is_ok())
        });
        if free {
            return block;
        }
    }
    panic!("no free loopback addresses");
}

fn address_in(block: [u8; 2], index: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, block[0], block[1], u8::try_from(index + 1).expect("few machines"))
}

impl Fleet {
    /// Starts the store with the desired state, all targets and all nodes; for the first time, as `bootstrap` says.
    pub fn start(spec: FleetSpec, folder: &Path) -> Self {
        let block = free_block(spec.machines.len());
        let store_address = SocketAddr::from((address_in(block, spec.machines.len()), STORE));
        let store = Store::start(store_address);
        store.put("keyed.op", "config", spec.config.as_bytes());
        let runs: Runs = Arc::new(Mutex::default());
        let machines = spec.machines.iter().enumerate().map(|(index, row)| Machine {
            spec: row.clone(),
            ip: address_in(block, index),
            settings: folder.join(format!("machine-{index}.conf")),
            node: None,
            target: None,
            lives: 0,
        });
        let machines = machines.collect();
        let mut fleet =
            Self { spec, machines, _store: store, runs, folder: folder.to_owned(), store_address };
        for index in 0..fleet.machines.len() {
            fleet.start_target(index);
            fleet.start_node(index, true);
        }
        fleet
    }

    pub fn traffic(&self, index: usize) -> SocketAddr {
        SocketAddr::from((self.machines[index].ip, TRAFFIC))
    }

    pub fn control(&self, index: usize) -> SocketAddr {
        SocketAddr::from((self.machines[index].ip, CONTROL))
    }

    pub fn app(&self, index: usize) -> SocketAddr {
        SocketAddr::from((self.machines[index].ip, APP))
    }

    /// Starts a life of a machine's target.
    pub fn start_target(&mut self, index: usize) {
        let (address, reports_to) = (self.app(index), self.control(index));
        let machine = &mut self.machines[index];
        machine.lives += 1;
        let facts = TargetFacts {
            index,
            service: machine.spec.service.into(),
            address,
            reports_to,
            zone: machine.spec.zone.into(),
            slots: self.spec.slots,
            sharded: machine.spec.sharded,
            beat: self.spec.beat,
            born: self.spec.born,
            crashes: self.spec.crashes,
        };
        let id = format!("i-{index}-{}", machine.lives);
        machine.target = Some(Target::start(facts, &id, &self.runs));
    }

    pub fn target(&self, index: usize) -> &Arc<Target> {
        self.machines[index].target.as_ref().expect("the target was started")
    }

    /// Starts the node of a machine with the command of the deploy file.
    pub fn start_node(&mut self, index: usize, bootstrap: bool) {
        let text = self.settings(index, bootstrap);
        let machine = &mut self.machines[index];
        std::fs::write(&machine.settings, text).expect("the folder can be written");
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("machine-{index}.log")))
            .expect("the folder can be written");
        let child = Command::new("target/release/firspindle")
            .args(["mesh", "--settings"])
            .arg(&machine.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        let child = child.expect("target/release/firspindle was built");
        let processes = self.folder.join("processes");
        let mut list = std::fs::read_to_string(&processes).unwrap_or_default();
        list.push_str(&format!("{}\n", child.id()));
        std::fs::write(processes, list).expect("the folder can be written");
        machine.node = Some(child);
    }

    /// Fills in the template of the deploy file.
    fn settings(&self, index: usize, bootstrap: bool) -> String {
        let machine = &self.machines[index];
        let (ip, zone, service) = (machine.ip, machine.spec.zone, machine.spec.service);
        let mut zones: Vec<&str> = self.machines.iter().map(|row| row.spec.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        let regions: String = zones.iter().map(|zone| format!("\"{zone}\" = \"here\"\n")).collect();
        let bootstrap = if bootstrap { "bootstrap = true\n" } else { "" };
        format!(
            "host = \"sidecar-{zone}-{index}\"\ndata_centre = \"{zone}\"\nservice = \"{service}\"\n\
             upstream = \"{ip}:{APP}\"\nstore = \"{}\"\n{bootstrap}\n[listen]\n\
             traffic = \"{ip}:{TRAFFIC}\"\nforward = \"{ip}:{FORWARD}\"\n\
             readiness = \"{ip}:{READINESS}\"\nheartbeats = \"{ip}:{CONTROL}\"\n\
             gossip = \"{ip}:{GOSSIP}\"\nadmin = \"{ip}:{ADMIN}\"\n\n[bounds]\n{}\n[regions]\n{regions}",
            self.store_address, self.spec.bounds
        )
    }

    pub fn signal(&self, index: usize, signal: i32) {
        if let Some(node) = &self.machines[index].node {
            crate::system::kill(node.id(), signal);
        }
    }

    /// Kills the node of a machine.
    pub fn kill_node(&mut self, index: usize) {
        if let Some(mut node) = self.machines[index].node.take() {
            let _ = node.kill();
            let _ = node.wait();
        }
    }

    /// Returns the exit status of a machine's node if it has ended.
    pub fn ended(&mut self, index: usize) -> Option<std::process::ExitStatus> {
        let node = self.machines[index].node.as_mut()?;
        node.try_wait().ok().flatten()
    }

    /// Waits until requests on a route are served through each node, with keys from the whole range; returns
    /// whether that was so in time.
    pub fn wait_until_served(&self, host: &str, path: &str, keyed: bool, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let keys: Vec<Option<u16>> = match keyed {
            true => (0..16).map(|index| Some(index * 4096 + 7)).collect(),
            false => vec![None],
        };
        for index in 0..self.machines.len() {
            for key in &keys {
                loop {
                    let request = Call { key: *key, ..Call::get(host, path) };
                    if call(self.traffic(index), &request).is_some_and(|done| done.is_served()) {
                        break;
                    }
                    if Instant::now() > until {
                        return false;
                    }
                    std::thread::sleep(Duration::from_millis(50));
                }
            }
        }
        true
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for index in 0..self.machines.len() {
            // A stopped process would stay.
            self.signal(index, crate::system::SIGCONT);
            self.kill_node(index);
        }
    }
}
