//! A fleet: nodes with an upstream each, and the log service that they share.

mod queries;

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::Duration;

use crate::fleet_process::program_path;
use crate::{AddressBlock, FleetProcess, HttpClient, wait_until};

// Ports that each host uses.
const TRAFFIC_PORT: u16 = 7000;
const FORWARD_PORT: u16 = 7001;
const PEER_PORT: u16 = 7002;
const ADMIN_PORT: u16 = 7003;
const UPSTREAM_PORT: u16 = 7010;
const LOG_LINK_PORT: u16 = 7020;
const PEER_LINK_PORT: u16 = 7021;

/// Host number of the log service; above those of all nodes.
const LOG_HOST: usize = 250;

/// Time within which a process must listen and a fleet must serve all partitions.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// One node and its upstream.
#[derive(Debug, Clone)]
pub struct NodeSpec {
    /// Name of the service that the upstream runs.
    pub service: String,
    /// Data centre of the host.
    pub data_centre: String,
    /// Region of the data centre.
    pub region: String,
    /// Additional command-line arguments for the upstream.
    pub upstream_args: Vec<String>,
}

/// Nodes, arguments and settings with which a fleet is started.
#[derive(Debug, Clone)]
pub struct FleetSpec {
    /// Nodes; the index is the host number.
    pub nodes: Vec<NodeSpec>,
    /// Additional command-line arguments for the log service.
    pub log_args: Vec<String>,
    /// Log retention in the settings of the nodes, in seconds.
    pub retention_s: u64,
    /// Whether links that can be cut stand between each node and the log service, and in front of
    /// each node's peer address.
    pub links: bool,
}

impl FleetSpec {
    /// Returns a fleet of `count` nodes of one service, distributed over the data centres of one
    /// region in turn.
    #[must_use]
    pub fn one_service(service: &str, count: usize, data_centres: usize) -> Self {
        let node = |index: usize| NodeSpec {
            service: service.to_owned(),
            data_centre: format!("dc{}", index % data_centres),
            region: "region".to_owned(),
            upstream_args: Vec::new(),
        };
        Self {
            nodes: (0..count).map(node).collect(),
            log_args: Vec::new(),
            retention_s: 86_400,
            links: false,
        }
    }

    /// Adds a command-line argument for every upstream.
    #[must_use]
    pub fn upstream_arg(mut self, arg: &str) -> Self {
        for node in &mut self.nodes {
            node.upstream_args.push(arg.to_owned());
        }
        self
    }

    /// Puts links that can be cut in front of the log service and of the peer addresses.
    #[must_use]
    pub const fn with_links(mut self) -> Self {
        self.links = true;
        self
    }

    /// Adds a command-line argument for the log service.
    #[must_use]
    pub fn log_arg(mut self, arg: &str) -> Self {
        self.log_args.push(arg.to_owned());
        self
    }
}

/// A running fleet; its processes are killed when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// Specification from which the fleet was started.
    pub spec: FleetSpec,
    /// Loopback addresses of the hosts.
    pub addresses: AddressBlock,
    /// Process of the log service.
    pub log: FleetProcess,
    /// Nodes by host number; `None` if not started or killed with [`Fleet::kill_host`].
    pub nodes: Vec<Option<FleetProcess>>,
    /// Upstreams by host number; `None` if not started or killed with [`Fleet::kill_host`].
    pub upstreams: Vec<Option<FleetProcess>>,
    /// Links to the log service by host number; empty without [`FleetSpec::links`].
    pub log_links: Vec<FleetProcess>,
    /// Links to the peer addresses by host number; empty without [`FleetSpec::links`].
    pub peer_links: Vec<FleetProcess>,
    directory: PathBuf,
}

impl Fleet {
    /// Starts the log service and, for each host, its links, its node and its upstream.
    ///
    /// # Panics
    ///
    /// If a process cannot be started or the log service does not listen in time.
    pub fn start(spec: FleetSpec) -> Self {
        let addresses = AddressBlock::reserve();
        let name = format!("fleet-{}", uuid::Uuid::new_v4().simple());
        let directory = std::env::temp_dir().join("firspindle").join(name);
        std::fs::create_dir_all(&directory).expect("the directory of the fleet can be created");
        let listen = addresses.address_of(LOG_HOST, TRAFFIC_PORT).to_string();
        let mut args = vec!["log", "--listen", &listen];
        args.extend(spec.log_args.iter().map(String::as_str));
        let log = FleetProcess::start("standin", &args, &directory.join("log.txt"));
        let count = spec.nodes.len();
        let mut fleet = Self {
            spec,
            addresses,
            log,
            nodes: Vec::new(),
            upstreams: Vec::new(),
            log_links: Vec::new(),
            peer_links: Vec::new(),
            directory,
        };
        eprintln!("fleet: {}", fleet.directory.display());
        Self::wait_until_listening(fleet.log_address());
        for host in 0..count {
            fleet.nodes.push(None);
            fleet.upstreams.push(None);
            fleet.start_links(host);
            fleet.start_node(host);
            fleet.start_upstream(host);
        }
        fleet
    }

    /// Returns the directory with the settings, process output and journals.
    pub fn directory(&self) -> &Path {
        &self.directory
    }

    fn wait_until_listening(address: SocketAddr) {
        wait_until("the process listens", START_TIMEOUT, || {
            std::net::TcpStream::connect(address).ok()
        });
    }

    fn start_links(&mut self, host: usize) {
        if !self.spec.links {
            return;
        }
        let output_path = self.directory.join(format!("links-{host}.txt"));
        let link = |listen: SocketAddr, target: SocketAddr| {
            let (listen, target) = (listen.to_string(), target.to_string());
            FleetProcess::start(
                "standin",
                &["link", "--listen", &listen, "--to", &target],
                &output_path,
            )
        };
        let log_link = link(self.addresses.address_of(host, LOG_LINK_PORT), self.log_address());
        let peer_link = link(
            self.addresses.address_of(host, PEER_LINK_PORT),
            self.addresses.address_of(host, PEER_PORT),
        );
        self.log_links.push(log_link);
        self.peer_links.push(peer_link);
        Self::wait_until_listening(self.addresses.address_of(host, LOG_LINK_PORT));
    }

    /// Writes the settings file of a node and returns its path.
    ///
    /// # Panics
    ///
    /// If the file cannot be written.
    pub fn write_settings(&self, host: usize) -> PathBuf {
        let node = &self.spec.nodes[host];
        let mut text = String::new();
        let seeds: Vec<_> = (0..self.spec.nodes.len())
            .map(|seed| self.addresses.address_of(seed, PEER_PORT))
            .collect();
        writeln!(text, "host = \"host-{host}\"").expect("writing to a string cannot fail");
        writeln!(text, "region = \"{}\"", node.region).expect("writing to a string cannot fail");
        writeln!(text, "data_centre = \"{}\"", node.data_centre)
            .expect("writing to a string cannot fail");
        let log = match self.spec.links {
            true => self.addresses.address_of(host, LOG_LINK_PORT),
            false => self.log_address(),
        };
        writeln!(text, "log = \"http://{log}\"").expect("writing to a string cannot fail");
        let seeds: Vec<_> = seeds.iter().take(5).map(|seed| format!("\"{seed}\"")).collect();
        writeln!(text, "seeds = [{}]", seeds.join(", ")).expect("writing to a string cannot fail");
        writeln!(text, "log_retention_s = {}", self.spec.retention_s)
            .expect("writing to a string cannot fail");
        writeln!(text, "[listen]").expect("writing to a string cannot fail");
        for (name, port) in [
            ("traffic", TRAFFIC_PORT),
            ("forward", FORWARD_PORT),
            ("peer", PEER_PORT),
            ("admin", ADMIN_PORT),
        ] {
            writeln!(text, "{name} = \"{}\"", self.addresses.address_of(host, port))
                .expect("writing to a string cannot fail");
        }
        if self.spec.links {
            let peer = self.addresses.address_of(host, PEER_LINK_PORT);
            writeln!(text, "[advertise]\npeer = \"{peer}\"")
                .expect("writing to a string cannot fail");
        }
        let path = self.directory.join(format!("node-{host}.toml"));
        std::fs::write(&path, text).expect("the settings file can be written");
        path
    }

    /// Writes the settings of the node of a host and starts it.
    pub fn start_node(&mut self, host: usize) {
        let settings = self.write_settings(host);
        let output_path = self.directory.join(format!("node-{host}.txt"));
        let settings = settings.display().to_string();
        let args = ["node", "--settings", &settings];
        self.nodes[host] = Some(FleetProcess::start("firspindle", &args, &output_path));
    }

    /// Starts the upstream of a host.
    pub fn start_upstream(&mut self, host: usize) {
        let node = &self.spec.nodes[host];
        let listen = self.addresses.address_of(host, UPSTREAM_PORT).to_string();
        let announce = format!("http://{}", self.admin_address(host));
        let mut args = vec![
            "upstream",
            "--listen",
            &listen,
            "--announce",
            &announce,
            "--service",
            &node.service,
        ];
        let journal = self.journal_path(host).display().to_string();
        args.extend(["--journal", &journal]);
        args.extend(node.upstream_args.iter().map(String::as_str));
        let output_path = self.directory.join(format!("upstream-{host}.txt"));
        self.upstreams[host] = Some(FleetProcess::start("standin", &args, &output_path));
    }

    /// Returns the address of the log service.
    pub fn log_address(&self) -> SocketAddr {
        self.addresses.address_of(LOG_HOST, TRAFFIC_PORT)
    }

    /// Returns the address at which a node serves callers.
    pub fn traffic_address(&self, host: usize) -> SocketAddr {
        self.addresses.address_of(host, TRAFFIC_PORT)
    }

    /// Returns the administration address of a node.
    pub fn admin_address(&self, host: usize) -> SocketAddr {
        self.addresses.address_of(host, ADMIN_PORT)
    }

    /// Returns the address of the upstream of a host.
    pub fn upstream_address(&self, host: usize) -> SocketAddr {
        self.addresses.address_of(host, UPSTREAM_PORT)
    }

    /// Runs the `firspindle` program with `args` and waits for it to exit.
    ///
    /// # Panics
    ///
    /// If the program is not built or cannot be started.
    pub fn command(args: &[&str]) -> Output {
        Command::new(program_path("firspindle"))
            .args(args)
            .output()
            .expect("the program can be started")
    }

    /// Publishes a manifest with `firspindle publish`.
    ///
    /// # Panics
    ///
    /// If the manifest file cannot be written or the program cannot be started.
    pub fn publish(&self, text: &str) -> Output {
        let path = self.directory.join(format!("manifest-{}.toml", uuid::Uuid::new_v4().simple()));
        std::fs::write(&path, text).expect("the manifest file can be written");
        let log = format!("http://{}", self.log_address());
        Self::command(&["publish", "--manifest", &path.display().to_string(), "--log", &log])
    }

    /// Replaces the injected faults of the log service; `faults` is JSON.
    ///
    /// # Panics
    ///
    /// If the log service does not accept them.
    pub fn set_log_faults(&self, faults: &str) {
        let response =
            HttpClient::call(self.log_address(), "POST", "/faults", &[], faults.to_owned());
        assert_eq!(
            response.expect("the log service responds").status,
            200,
            "the log service accepts the faults"
        );
    }

    /// Puts an older copy in place of the log: without the records from offset `end` on.
    ///
    /// # Panics
    ///
    /// If the log service does not do so.
    pub fn restore_log(&self, end: u64) {
        let path = format!("/restore?end={end}");
        let response = HttpClient::call(self.log_address(), "POST", &path, &[], "");
        assert_eq!(response.expect("the log service responds").status, 200, "the log is restored");
    }

    /// Returns the offset that the log gives out next.
    ///
    /// # Panics
    ///
    /// If the log service does not answer.
    pub fn log_end(&self) -> u64 {
        let response = HttpClient::call(self.log_address(), "GET", "/bounds", &[], "");
        let body = response.expect("the log service responds").body;
        let bounds: serde_json::Value = serde_json::from_str(&body).expect("bounds are JSON");
        bounds["next"].as_u64().expect("bounds name the next offset")
    }

    /// Kills the node and the upstream of a host.
    pub fn kill_host(&mut self, host: usize) {
        let processes = [self.nodes[host].take(), self.upstreams[host].take()];
        for mut process in processes.into_iter().flatten() {
            process.kill();
        }
    }

    /// Suspends all processes, as on a machine that stands still, until [`Fleet::resume`].
    pub fn pause(&self) {
        self.processes().for_each(FleetProcess::pause);
    }

    /// Resumes all processes.
    pub fn resume(&self) {
        self.processes().for_each(FleetProcess::resume);
    }

    fn processes(&self) -> impl Iterator<Item = &FleetProcess> {
        let hosts = self.nodes.iter().chain(&self.upstreams).flatten();
        let links = self.log_links.iter().chain(&self.peer_links);
        hosts.chain(links).chain([&self.log])
    }
}
