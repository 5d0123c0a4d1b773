//! Clients that send orders to the nodes of all hosts.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use crate::fleet::{Host, TRAFFIC};
use crate::http;
use crate::random::Random;
use crate::record::{Record, RequestRow};
use crate::target::KEYS;

/// A desired state with one route to one service that is divided by key.
pub const CONFIG: &str = "{\"version\":7,\"routes\":{\"columns\":[\"name\",\"host\",\"prefix\",\"kind\",\"timeoutS\",\"aimS\",\
    \"priority\",\"trafficSplit\",\"maxAttempts\",\"service\"],\"rows\":[[\"orders\",\"ficu95.example\",\"/pufi791/\",\
    \"non_idempotent\",2.5,0.8,1,null,2,\"registre\"]]},\"services\":{\"columns\":[\"name\",\"healthPath\",\
    \"maxConnections\",\"protocol\",\"tls\",\"sharded\",\"warmS\",\"grants\"],\"rows\":[[\"registre\",\"/healthz\",130,\
    \"h1\",false,true,2.0,\"heartbeat\"]]},\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\
    \"headerTimeoutS\":3,\"idleTimeoutS\":15},\"baseVersion\":5}";

#[derive(Default)]
struct Counts {
    answered: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    rows: Mutex<Vec<RequestRow>>,
}

pub struct Clients {
    stop: Arc<AtomicBool>,
    counts: Arc<Counts>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    /// Starts clients that send to the nodes of these hosts.
    pub fn start(number: u64, hosts: &[Host], record: &Arc<Record>) -> Self {
        let (stop, counts) = (Arc::new(AtomicBool::new(false)), Arc::new(Counts::default()));
        let nodes: Vec<_> = hosts.iter().map(|host| host.at(TRAFFIC)).collect();
        let start = |number| {
            let (nodes, stop, counts, record) =
                (nodes.clone(), stop.clone(), counts.clone(), record.clone());
            std::thread::spawn(move || send(number, &nodes, &stop, &counts, &record))
        };
        let threads = (0..number).map(start).collect();
        Self { stop, counts, threads }
    }

    /// Ends the clients; returns what they sent and how it was answered.
    pub fn stop(self) -> (String, Vec<RequestRow>) {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.into_iter().for_each(|thread| drop(thread.join()));
        let of = |counter: &AtomicU64| counter.load(Ordering::SeqCst);
        let Counts { answered, refused, failed, rows } = &*self.counts;
        let (answered, refused, failed) = (of(answered), of(refused), of(failed));
        let sent = answered + refused + failed;
        let rows = std::mem::take(&mut *rows.lock().expect("a lock"));
        (format!("sent {sent}, answered {answered}, refused {refused}, failed {failed}"), rows)
    }
}

/// The time at which a request with this id was sent, in seconds since the start.
pub fn sent_at(id: &str) -> f64 {
    u32::from_str_radix(&id[..8], 16).map_or(0.0, |ms| f64::from(ms) / 1000.0)
}

fn send(number: u64, nodes: &[SocketAddr], stop: &AtomicBool, counts: &Counts, record: &Record) {
    let mut random = Random::new(number + 1);
    while !stop.load(Ordering::SeqCst) {
        let key = random.below(KEYS as u64).to_string();
        let id = format!("{:08x}{:08x}", (record.at() * 1000.0) as u32, random.next() as u32);
        let node = nodes[random.below(nodes.len() as u64) as usize];
        let headers = [
            ("Host", "ficu95.example"),
            ("X-Request-Id", id.as_str()),
            ("X-Deadline-Ms", "5000"),
            ("X-Shard-Key", key.as_str()),
        ];
        let limit = Duration::from_secs(5);
        let answer =
            http::call(node, "POST /pufi791/2f HTTP/1.1", &headers, b"blank plates", limit);
        let status = answer.map_or(0, |answer| answer.status());
        let what = format!("key {key} to {node}");
        let row = RequestRow { sent_at: sent_at(&id), id, what, status, ended_at: record.at() };
        counts.rows.lock().expect("a lock").push(row);
        let counter = match status {
            200 => &counts.answered,
            503 | 429 => &counts.refused,
            _ => &counts.failed,
        };
        counter.fetch_add(1, Ordering::SeqCst);
        std::thread::sleep(Duration::from_millis(20 + random.below(120)));
    }
}
