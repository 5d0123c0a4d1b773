//! Starts nodes and targets as processes of their own, and ends them.

use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{call, now_ms};

/// Ids of all processes that were started and not ended.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Sends a signal to a process that was started here.
pub fn signal(process: u32, name: &str) {
    let _ = Command::new("kill").arg(format!("-{name}")).arg(process.to_string()).status();
}

/// Ends all processes that were started here.
pub fn end_all_processes() {
    for process in STARTED.lock().map(|mut rows| std::mem::take(&mut *rows)).unwrap_or_default() {
        signal(process, "KILL");
    }
}

/// A process that is ended when this is dropped.
pub struct Process {
    child: Child,
}

impl Process {
    fn start(command: &mut Command) -> Self {
        let child = command.spawn().expect("the program starts");
        STARTED.lock().expect("no panic").push(child.id());
        // The script ends these processes too, should this one end before.
        if let Some(path) = std::env::var_os("PROCESSES") {
            let file = File::options().create(true).append(true).open(path);
            let _ = file.and_then(|mut file| writeln!(file, "{}", child.id()));
        }
        Self { child }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        self.wait();
    }

    /// Waits until the process has ended.
    pub fn wait(&mut self) {
        let _ = self.child.wait();
        let id = self.child.id();
        STARTED.lock().expect("no panic").retain(|row| *row != id);
    }

    /// How the process has ended, if it has.
    pub fn status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The record of a case: lines with the time since its start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_ms: f64,
}

impl Record {
    pub fn new(directory: &str) -> Self {
        let file = File::create(Path::new(directory).join("record.txt")).expect("a record file");
        Self { file: Arc::new(Mutex::new(file)), started_ms: now_ms() }
    }

    pub fn line(&self, text: &str) {
        self.line_at(now_ms(), text);
    }

    pub fn line_at(&self, at_ms: f64, text: &str) {
        let line = format!("{:9.3} s  {text}\n", (at_ms - self.started_ms) / 1000.0);
        print!("{line}");
        let _ = self.file.lock().expect("no panic").write_all(line.as_bytes());
    }

    /// Seconds since the start of the case.
    pub fn seconds(&self, at_ms: f64) -> f64 {
        (at_ms - self.started_ms) / 1000.0
    }
}

/// Something that a target said about itself.
#[derive(Debug, Clone)]
pub struct Event {
    pub at_ms: f64,
    pub target: String,
    pub kind: String,
    pub words: Vec<String>,
}

impl Event {
    pub fn word(&self, name: &str) -> &str {
        let found = self.words.iter().filter_map(|row| row.split_once('=')).find(|row| row.0 == name);
        found.map_or("", |row| row.1)
    }
}

pub type Events = Arc<Mutex<Vec<Event>>>;

/// Addresses of one host.
#[derive(Clone)]
pub struct HostSpec {
    pub name: String,
    pub service: String,
    pub sharded: bool,
    /// Where the target listens.
    pub listen: SocketAddr,
    /// Address of the target in the settings; a proxy may be between.
    pub address: SocketAddr,
    pub traffic: SocketAddr,
    pub forward: SocketAddr,
    pub readiness: SocketAddr,
    pub control: SocketAddr,
    pub gossip: SocketAddr,
    pub admin: SocketAddr,
}

/// Next port to try. It is below the range from which the system draws ports for outgoing connections.
static NEXT_PORT: Mutex<u16> = Mutex::new(0);

/// Returns addresses that are free now, for TCP and UDP.
pub fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let mut next = NEXT_PORT.lock().expect("no panic");
    if *next == 0 {
        let spread = (std::process::id() as u64 * 97 + now_ms() as u64) % 18_000;
        *next = 12_000 + u16::try_from(spread).unwrap_or(0);
    }
    let mut found = Vec::new();
    while found.len() < count {
        *next = if *next >= 31_000 { 12_000 } else { *next + 1 };
        let address = SocketAddr::from(([127, 0, 0, 1], *next));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            found.push(address);
        }
    }
    found
}

impl HostSpec {
    pub fn new(name: &str, service: &str, sharded: bool) -> Self {
        let rows = free_addresses(7);
        Self {
            name: name.into(),
            service: service.into(),
            sharded,
            listen: rows[0],
            address: rows[0],
            traffic: rows[1],
            forward: rows[2],
            readiness: rows[3],
            control: rows[4],
            gossip: rows[5],
            admin: rows[6],
        }
    }
}

/// Settings that a case chooses, within the users' pages.
#[derive(Clone)]
pub struct Terms {
    pub beat_ms: u64,
    pub grace_s: f64,
    /// Whether the settings bound what a cold target gets.
    pub cold: bool,
}

impl Terms {
    /// Those of the small installations.
    pub const fn usual() -> Self {
        Self { beat_ms: 870, grace_s: 6.0, cold: false }
    }
}

pub struct Fleet {
    pub record: Record,
    pub events: Events,
    directory: PathBuf,
    store: SocketAddr,
    terms: Terms,
    starts: usize,
}

impl Fleet {
    pub fn new(record: Record, store: SocketAddr, terms: Terms) -> Self {
        let directory = std::env::temp_dir().join(format!("firspindle-case-{}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("a temporary folder");
        Self { record, events: Arc::default(), directory, store, terms, starts: 0 }
    }

    /// Starts the node of a host by the command of the deploy file.
    pub fn start_node(&mut self, host: &HostSpec, bootstrap: bool) -> Process {
        self.starts += 1;
        let settings = self.directory.join(format!("{}.conf", host.name));
        let cold = if self.terms.cold { "cold_over = 1.5\ncold_slack = 8\n" } else { "" };
        let bootstrap = if bootstrap { "bootstrap = true\n" } else { "" };
        let text = format!(
            "host = \"{}\"\ndata_centre = \"z-a\"\nservice = \"{}\"\nupstream = \"{}\"\nstore = \"{}\"\n{bootstrap}\n\
             [listen]\ntraffic = \"{}\"\nforward = \"{}\"\nreadiness = \"{}\"\nheartbeats = \"{}\"\n\
             gossip = \"{}\"\nadmin = \"{}\"\n\n[bounds]\ndrain_s = 2\ngrace_s = {}\nhold_limit_s = 10\n\
             retry_ratio = 0.2\nretry_window_s = 10\nretry_allowance = 64\nlink_mbps = 1000.0\nmemory_mb = 260\n{cold}\n\
             [regions]\n\"z-a\" = \"r\"\n",
            host.name, host.service, host.address, self.store, host.traffic, host.forward,
            host.readiness, host.control, host.gossip, host.admin, self.terms.grace_s
        );
        std::fs::write(&settings, text).expect("the settings are written");
        let log = File::create(self.directory.join(format!("{}.{}.log", host.name, self.starts)));
        let log = log.expect("a log file");
        let program = std::env::var("FIRSPINDLE").unwrap_or_else(|_| "target/release/firspindle".into());
        let mut command = Command::new(program);
        command.args(["mesh", "--settings"]).arg(&settings).stdin(Stdio::null());
        command.stdout(log.try_clone().expect("a handle")).stderr(log);
        let process = Process::start(&mut command);
        self.record.line(&format!("node {} started, process {}", host.name, process.id()));
        process
    }

    /// Starts a target with an id of its own.
    pub fn start_target(&mut self, host: &HostSpec) -> (Process, String) {
        self.starts += 1;
        let id = format!("i-{}-{}", host.name, self.starts);
        let mut command = Command::new(std::env::current_exe().expect("a path"));
        command.arg("target").arg(format!("id={id}")).arg(format!("service={}", host.service));
        command.arg(format!("listen={}", host.listen)).arg(format!("address={}", host.address));
        command.arg(format!("control={}", host.control));
        command.arg(format!("beat_ms={}", self.terms.beat_ms));
        command.arg(format!("sharded={}", u8::from(host.sharded)));
        command.stdin(Stdio::null()).stdout(Stdio::piped());
        let mut process = Process::start(&mut command);
        let lines = BufReader::new(process.child.stdout.take().expect("a pipe"));
        let events = self.events.clone();
        std::thread::spawn(move || {
            for line in lines.lines().map_while(Result::ok) {
                let mut words = line.split(' ').map(str::to_owned);
                let at_ms = words.next().and_then(|text| text.parse().ok()).unwrap_or(0.0);
                let (target, kind) =
                    (words.next().unwrap_or_default(), words.next().unwrap_or_default());
                let event = Event { at_ms, target, kind, words: words.collect() };
                events.lock().expect("no panic").push(event);
            }
        });
        self.record.line(&format!("target {id} started on {}, process {}", host.name, process.id()));
        (process, id)
    }

    /// Waits until all nodes are ready.
    pub fn wait_ready(&self, hosts: &[&HostSpec], limit: Duration) {
        let until = Instant::now() + limit;
        for host in hosts {
            loop {
                let headers = [("Host", "node")];
                let answer =
                    call(host.readiness, "GET", "/readyz", &headers, b"", Duration::from_secs(1));
                if answer.is_ok_and(|answer| answer.status == 200) {
                    break;
                }
                assert!(Instant::now() < until, "node {} is not ready", host.name);
                std::thread::sleep(Duration::from_millis(50));
            }
        }
    }

    /// Events of one kind so far.
    pub fn events_of(&self, kind: &str) -> Vec<Event> {
        let events = self.events.lock().expect("no panic");
        events.iter().filter(|event| event.kind == kind).cloned().collect()
    }

    /// Writes all events of the targets into the record, in the order of their times.
    pub fn record_events(&self) {
        let mut events = self.events.lock().expect("no panic").clone();
        events.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
        for event in events {
            let text = format!("target {} {} {}", event.target, event.kind, event.words.join(" "));
            self.record.line_at(event.at_ms, &text);
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}

/// Whether the case is played with its disruption; `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |text| text != "0")
}

/// The same with targets of `atelier` that are cold for 3 s and take 14 requests a second then.
pub fn cold_state() -> String {
    let columns = "\"sharded\",\"warmS\"]";
    let state = desired_state().replace(columns, "\"sharded\",\"warmS\",\"coldStartS\",\"coldPerS\"]");
    state.replace("[\"atelier\",\"/healthz\",130,null,null]", "[\"atelier\",\"/healthz\",130,null,null,3,14]")
}

/// A desired state with the services `registre`, divided by key, and `atelier`, as on the users' sheet.
pub fn desired_state() -> String {
    let columns = "[\"name\",\"host\",\"prefix\",\"kind\",\"timeoutS\",\"aimS\",\"priority\",\"trafficSplit\",\
                   \"maxAttempts\",\"service\"]";
    let routes = "[\"verif-plaque\",\"shop.example\",\"/verif/\",\"idempotent\",4,0.6,2,null,3,\"registre\"],\
                  [\"commande-vierge\",\"shop.example\",\"/commande/\",\"non_idempotent\",5,0.8,1,null,2,\"registre\"],\
                  [\"pack-gabarit\",\"shop.example\",\"/pack/\",\"download\",6,0.6,2,null,3,\"atelier\"],\
                  [\"stock\",\"shop.example\",\"/stock/\",\"non_idempotent\",5,0.8,1,null,2,\"atelier\"]";
    let services = "[\"registre\",\"/healthz\",130,true,2.0],[\"atelier\",\"/healthz\",130,null,null]";
    format!(
        "{{\"version\":7,\"routes\":{{\"columns\":{columns},\"rows\":[{routes}]}},\"services\":{{\"columns\":\
         [\"name\",\"healthPath\",\"maxConnections\",\"sharded\",\"warmS\"],\"rows\":[{services}]}},\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1048576,\"headerTimeoutS\":3,\"idleTimeoutS\":15}}}}"
    )
}
