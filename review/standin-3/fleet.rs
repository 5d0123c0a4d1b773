//! Hosts of a small deployment on loopback addresses: the project's processes, the store, and a folder.

use std::io::Error;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

use crate::http;
use crate::store::Store;

pub const TRAFFIC: u16 = 8141;
pub const READINESS: u16 = 8140;
pub const FORWARD: u16 = 8145;
pub const CONTROL: u16 = 8146;
pub const TARGET: u16 = 8147;

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: usize = 9;

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

/// A host: its name, its address, its service, and its node.
pub struct Host {
    pub name: String,
    pub zone: &'static str,
    pub service: &'static str,
    pub ip: Ipv4Addr,
    node: Option<Child>,
}

impl Host {
    pub fn at(&self, port: u16) -> SocketAddr {
        (self.ip, port).into()
    }
}

impl Host {
    /// Kills the node (SIGKILL).
    pub fn kill(&mut self) {
        if let Some(node) = &mut self.node {
            let _ = node.kill();
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
        if let Some(mut node) = self.node.take() {
            let _ = node.wait();
        }
    }
}

/// Loopback addresses with free ports, a folder, and the store.
pub struct Site {
    net: [u8; 2],
    folder: PathBuf,
    pub store: Arc<Store>,
    store_at: SocketAddr,
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

const PORTS: [u16; 7] = [TRAFFIC, READINESS, FORWARD, CONTROL, TARGET, 7660, 9464];

impl Site {
    /// Takes a net of loopback addresses whose ports are free, and starts the store there.
    pub fn new(hosts: u8) -> Self {
        let seed = std::process::id();
        let free = |net: &[u8; 2]| {
            (1..=hosts).all(|host| {
                let ip = Ipv4Addr::new(127, net[0], net[1], host);
                PORTS.iter().all(|port| TcpListener::bind((ip, *port)).is_ok())
            })
        };
        let nets = (0..200_u32).map(|step| {
            let number = (seed + step * 37).to_le_bytes();
            [number[0] % 200 + 20, number[1] % 200 + 20]
        });
        let net = nets.into_iter().find(free).expect("a net with free ports");
        let folder = std::env::temp_dir().join(format!("review-{seed}"));
        std::fs::create_dir_all(&folder).expect("a folder");
        let store = Arc::new(Store::default());
        let store_at: SocketAddr = (Ipv4Addr::new(127, net[0], net[1], 200), 8142).into();
        store.serve(store_at);
        Self { net, folder, store, store_at }
    }

    pub fn host(&self, number: u8, zone: &'static str, service: &'static str) -> Host {
        let ip = Ipv4Addr::new(127, self.net[0], self.net[1], number);
        Host { name: format!("sidecar-{zone}-{number}"), zone, service, ip, node: None }
    }

    /// Starts a host's node with the command of the deploy file and settings as its template gives them.
    pub fn start(&self, host: &mut Host, bootstrap: bool) {
        if let Some(mut node) = host.node.take() {
            let _ = node.wait();
        }
        let Host { name, zone, service, ip, .. } = host;
        let bootstrap = if bootstrap { "bootstrap = true" } else { "" };
        let text = format!(
            "host = \"{name}\"\ndata_centre = \"{zone}\"\nservice = \"{service}\"\n\
             upstream = \"{ip}:{TARGET}\"\nstore = \"{}\"\n{bootstrap}\n\n\
             [listen]\ntraffic = \"{ip}:{TRAFFIC}\"\nforward = \"{ip}:{FORWARD}\"\n\
             readiness = \"{ip}:{READINESS}\"\nheartbeats = \"{ip}:{CONTROL}\"\n\
             gossip = \"{ip}:7660\"\nadmin = \"{ip}:9464\"\n\n\
             [bounds]\napply_s = 2\ndrain_s = 2\ngrace_s = 6\nhold_limit_s = 10\nretry_ratio = 0.2\n\
             retry_window_s = 10\nretry_allowance = 64\nlink_mbps = 1000\nmemory_mb = 260\n\n\
             [regions]\n\"rennes\" = \"bretagne\"\n\"brest\" = \"bretagne\"\n",
            self.store_at
        );
        let path = self.folder.join(format!("{name}.conf"));
        std::fs::write(&path, text).expect("a settings file");
        let log = self.folder.join(format!("{name}.log"));
        let log = std::fs::File::options().create(true).append(true).open(log).expect("a log");
        let mut command = Command::new("target/release/firspindle");
        command.args(["mesh", "--settings"]).arg(&path).env("FIRSPINDLE_SETTINGS", &path);
        command.stdin(Stdio::null()).stdout(log.try_clone().expect("a log")).stderr(log);
        // The node ends with the program that started it.
        let prepare = || match unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) } {
            0 => Ok(()),
            _ => Err(Error::last_os_error()),
        };
        // SAFETY: the call takes numbers only and allocates nothing.
        unsafe { command.pre_exec(prepare) };
        host.node = Some(command.spawn().expect("the node starts"));
    }

    /// Copies the nodes' logs to a folder.
    pub fn keep_logs(&self, folder: &str) {
        for file in std::fs::read_dir(&self.folder).into_iter().flatten().flatten() {
            let _ = std::fs::copy(file.path(), PathBuf::from(folder).join(file.file_name()));
        }
    }
}

/// Whether a node says that it is ready.
pub fn is_ready(host: &Host) -> bool {
    let first = "GET /readyz HTTP/1.1";
    let answer = http::call(host.at(READINESS), first, &[], b"", Duration::from_secs(1));
    answer.is_ok_and(|answer| answer.status() == 200)
}
