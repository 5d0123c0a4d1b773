//! A fleet of nodes, upstreams and a log.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::Duration;

use serde_json::Value;

use crate::fleet_process::program_path;
use crate::{AddressBlock, CallResult, FleetProcess, HttpClient, JournalRow, wait_until};

/// Ports on each host.
const TRAFFIC_PORT: u16 = 7000;
const FORWARD_PORT: u16 = 7001;
const PEER_PORT: u16 = 7002;
const ADMIN_PORT: u16 = 7003;
const UPSTREAM_PORT: u16 = 7010;
const LOG_LINK_PORT: u16 = 7020;
const PEER_LINK_PORT: u16 = 7021;

/// Host number of the log.
const LOG_HOST: usize = 250;

/// Longest wait for a fleet to serve.
const START_LIMIT: Duration = Duration::from_secs(30);

/// One node with its upstream.
#[derive(Debug, Clone)]
pub struct NodeSpec {
    /// Service of the upstream.
    pub service: String,
    /// Data centre.
    pub data_centre: String,
    /// Region.
    pub region: String,
    /// More arguments of the upstream.
    pub upstream_args: Vec<String>,
}

/// A fleet to start.
#[derive(Debug, Clone)]
pub struct FleetSpec {
    /// Nodes by host number.
    pub nodes: Vec<NodeSpec>,
    /// More arguments of the log.
    pub log_args: Vec<String>,
    /// Retention told to the nodes, in seconds.
    pub retention_s: u64,
    /// Whether links that can be cut stand before the log and the peer addresses.
    pub links: bool,
}

impl FleetSpec {
    /// `count` nodes of one service, spread over data centres of one region.
    #[must_use]
    pub fn one_service(service: &str, count: usize, centres: usize) -> Self {
        let node = |index: usize| NodeSpec {
            service: service.to_owned(),
            data_centre: format!("dc{}", index % centres),
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

    /// Adds an argument of every upstream.
    #[must_use]
    pub fn upstream_arg(mut self, arg: &str) -> Self {
        for node in &mut self.nodes {
            node.upstream_args.push(arg.to_owned());
        }
        self
    }

    /// Puts links that can be cut before the log and the peer addresses.
    #[must_use]
    pub const fn with_links(mut self) -> Self {
        self.links = true;
        self
    }

    /// Adds an argument of the log.
    #[must_use]
    pub fn log_arg(mut self, arg: &str) -> Self {
        self.log_args.push(arg.to_owned());
        self
    }
}

/// A running fleet.
#[derive(Debug)]
pub struct Fleet {
    /// Specification.
    pub spec: FleetSpec,
    /// Addresses.
    pub addresses: AddressBlock,
    /// The log.
    pub log: FleetProcess,
    /// Nodes by host number; `None` after a kill.
    pub nodes: Vec<Option<FleetProcess>>,
    /// Upstreams by host number; `None` after a kill.
    pub upstreams: Vec<Option<FleetProcess>>,
    /// Links to the log by host number, if there are links.
    pub log_links: Vec<FleetProcess>,
    /// Links to the peer addresses by host number, if there are links.
    pub peer_links: Vec<FleetProcess>,
    directory: PathBuf,
}

impl Fleet {
    /// Starts the log, the nodes and the upstreams.
    ///
    /// # Panics
    ///
    /// If a process cannot be started.
    pub fn start(spec: FleetSpec) -> Self {
        let addresses = AddressBlock::random();
        let name = format!("fleet-{}", uuid::Uuid::new_v4().simple());
        let directory = std::env::temp_dir().join("firspindle").join(name);
        std::fs::create_dir_all(&directory).expect("a folder for logs can be made");
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
        Self::wait_for(fleet.log_address());
        for host in 0..count {
            fleet.nodes.push(None);
            fleet.upstreams.push(None);
            fleet.start_links(host);
            fleet.start_node(host);
            fleet.start_upstream(host);
        }
        fleet
    }

    /// Folder of settings and logs.
    pub fn directory(&self) -> &Path {
        &self.directory
    }

    fn wait_for(address: SocketAddr) {
        wait_until("the process listens", START_LIMIT, || {
            std::net::TcpStream::connect(address).ok()
        });
    }

    fn start_links(&mut self, host: usize) {
        if !self.spec.links {
            return;
        }
        let log = self.directory.join(format!("links-{host}.txt"));
        let link = |listen: SocketAddr, to: SocketAddr| {
            let (listen, to) = (listen.to_string(), to.to_string());
            FleetProcess::start("standin", &["link", "--listen", &listen, "--to", &to], &log)
        };
        let log_link = link(self.addresses.address_of(host, LOG_LINK_PORT), self.log_address());
        let peer_link = link(
            self.addresses.address_of(host, PEER_LINK_PORT),
            self.addresses.address_of(host, PEER_PORT),
        );
        self.log_links.push(log_link);
        self.peer_links.push(peer_link);
        Self::wait_for(self.addresses.address_of(host, LOG_LINK_PORT));
    }

    /// Writes the settings of a host and gives their path.
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
        writeln!(text, "host = \"host-{host}\"").expect("strings take text");
        writeln!(text, "region = \"{}\"", node.region).expect("strings take text");
        writeln!(text, "data_centre = \"{}\"", node.data_centre).expect("strings take text");
        let log = match self.spec.links {
            true => self.addresses.address_of(host, LOG_LINK_PORT),
            false => self.log_address(),
        };
        writeln!(text, "log = \"http://{log}\"").expect("strings take text");
        let seeds: Vec<_> = seeds.iter().take(5).map(|seed| format!("\"{seed}\"")).collect();
        writeln!(text, "seeds = [{}]", seeds.join(", ")).expect("strings take text");
        writeln!(text, "log_retention_s = {}", self.spec.retention_s).expect("strings take text");
        writeln!(text, "[listen]").expect("strings take text");
        for (name, port) in [
            ("traffic", TRAFFIC_PORT),
            ("forward", FORWARD_PORT),
            ("peer", PEER_PORT),
            ("admin", ADMIN_PORT),
        ] {
            writeln!(text, "{name} = \"{}\"", self.addresses.address_of(host, port))
                .expect("strings take text");
        }
        if self.spec.links {
            let peer = self.addresses.address_of(host, PEER_LINK_PORT);
            writeln!(text, "[advertise]\npeer = \"{peer}\"").expect("strings take text");
        }
        let path = self.directory.join(format!("node-{host}.toml"));
        std::fs::write(&path, text).expect("settings can be written");
        path
    }

    /// Starts the node of a host.
    pub fn start_node(&mut self, host: usize) {
        let settings = self.write_settings(host);
        let log = self.directory.join(format!("node-{host}.txt"));
        let settings = settings.display().to_string();
        let args = ["node", "--settings", &settings];
        self.nodes[host] = Some(FleetProcess::start("firspindle", &args, &log));
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
        let log = self.directory.join(format!("upstream-{host}.txt"));
        self.upstreams[host] = Some(FleetProcess::start("standin", &args, &log));
    }

    /// Address of the log.
    pub fn log_address(&self) -> SocketAddr {
        self.addresses.address_of(LOG_HOST, TRAFFIC_PORT)
    }

    /// Address for callers.
    pub fn traffic_address(&self, host: usize) -> SocketAddr {
        self.addresses.address_of(host, TRAFFIC_PORT)
    }

    /// Address for administration.
    pub fn admin_address(&self, host: usize) -> SocketAddr {
        self.addresses.address_of(host, ADMIN_PORT)
    }

    /// Address of the upstream.
    pub fn upstream_address(&self, host: usize) -> SocketAddr {
        self.addresses.address_of(host, UPSTREAM_PORT)
    }

    /// Runs the product's command.
    ///
    /// # Panics
    ///
    /// If it cannot be started.
    pub fn command(args: &[&str]) -> Output {
        Command::new(program_path("firspindle")).args(args).output().expect("the command starts")
    }

    /// Publishes a manifest with the product's command.
    ///
    /// # Panics
    ///
    /// If the file cannot be written.
    pub fn publish(&self, text: &str) -> Output {
        let path = self.directory.join(format!("manifest-{}.toml", uuid::Uuid::new_v4().simple()));
        std::fs::write(&path, text).expect("manifest can be written");
        let log = format!("http://{}", self.log_address());
        Self::command(&["publish", "--manifest", &path.display().to_string(), "--log", &log])
    }

    /// Sets faults of the log.
    ///
    /// # Panics
    ///
    /// If the log does not take them.
    pub fn set_log_faults(&self, faults: &str) {
        let reply = HttpClient::call(self.log_address(), "POST", "/faults", &[], faults.to_owned());
        assert_eq!(reply.expect("the log answers").status, 200, "faults are taken");
    }

    /// Status page of a node.
    pub fn status(&self, host: usize) -> Option<Value> {
        let reply = HttpClient::call(self.admin_address(host), "GET", "/status", &[], "").ok()?;
        serde_json::from_str(&reply.body).ok()
    }

    /// Partitions served by a node.
    pub fn partitions(&self, host: usize) -> Vec<u64> {
        let status = self.status(host);
        let rows = status.as_ref().and_then(|status| status["partitions"].as_array());
        rows.map(|rows| rows.iter().filter_map(Value::as_u64).collect()).unwrap_or_default()
    }

    /// Waits until every living node serves something and all partitions are served.
    ///
    /// # Panics
    ///
    /// If that does not happen in time.
    pub fn wait_until_served(&self, partitions: usize) {
        wait_until("all partitions are served", START_LIMIT, || {
            let counts: Vec<_> = (0..self.nodes.len())
                .filter(|host| self.nodes[*host].is_some())
                .map(|host| self.partitions(host).len())
                .collect();
            (counts.iter().sum::<usize>() == partitions && counts.iter().all(|n| *n > 0))
                .then_some(())
        });
    }

    /// Host that serves a key, if one says so.
    pub fn owner(&self, service: &str, key: &str) -> Option<usize> {
        let path = format!("/owners?service={service}&key={key}");
        (0..self.nodes.len()).find(|host| {
            let reply = HttpClient::call(self.admin_address(*host), "GET", &path, &[], "");
            let page = reply.ok().and_then(|reply| serde_json::from_str::<Value>(&reply.body).ok());
            page.is_some_and(|page| page["serving_here"] == true)
        })
    }

    /// Sends a caller's request to a node.
    ///
    /// # Errors
    ///
    /// If no whole answer comes.
    pub fn call(
        &self,
        host: usize,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> CallResult {
        HttpClient::call(self.traffic_address(host), method, path, headers, body.to_owned())
    }

    fn journal_path(&self, host: usize) -> PathBuf {
        self.directory.join(format!("journal-{host}.jsonl"))
    }

    /// Journal of one host's upstreams, those that were killed included.
    pub fn journal(&self, host: usize) -> Vec<JournalRow> {
        let text = std::fs::read_to_string(self.journal_path(host)).unwrap_or_default();
        let rows = text.lines().filter_map(|line| serde_json::from_str::<JournalRow>(line).ok());
        rows.map(|row| JournalRow { host, ..row }).collect()
    }

    /// Requests that a host's upstream runs.
    pub fn running_requests(&self, host: usize) -> Option<usize> {
        let reply =
            HttpClient::call(self.upstream_address(host), "GET", "/running", &[], String::new());
        reply.ok()?.body.trim().parse().ok()
    }

    /// Journals of all hosts.
    pub fn journals(&self) -> Vec<JournalRow> {
        (0..self.upstreams.len()).flat_map(|host| self.journal(host)).collect()
    }

    /// Kills the node and the upstream of a host.
    pub fn kill_host(&mut self, host: usize) {
        let ended = [self.nodes[host].take(), self.upstreams[host].take()];
        for mut process in ended.into_iter().flatten() {
            process.kill();
        }
    }
}
