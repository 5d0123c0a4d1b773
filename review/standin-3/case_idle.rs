//! Clients open a connection, send one request, read the answer, and stay idle for longer than `idleTimeoutS`. The
//! node may close their connections then; if it keeps them, its descriptors run out and it takes no new connection.

use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::client::CONFIG;
use crate::fleet::{READINESS, Site, TRAFFIC, is_ready, raise_files};
use crate::http;
use crate::random::Random;
use crate::record::Record;
use crate::target::{KEYS, Targets};

const HOSTS: u8 = 3;

/// `maxFds` of the site's machines.
const FILES: u64 = 4100;

/// Requests a second at one host: 540 + 264 + 96.7 at 13 hosts, as the sheet says.
const PER_SECOND: f64 = 69.0;

/// Threads that open connections.
const OPENERS: u64 = 12;

/// Time for which clients come, in s.
const LENGTH: u64 = 75;

/// `contactS` of the site.
const CONTACT: Duration = Duration::from_secs(3);

fn work(random: &mut Random) -> u64 {
    50 + random.below(80)
}

#[derive(Default)]
struct Counts {
    answered: AtomicU64,
    failed: AtomicU64,
    kept: Mutex<Vec<TcpStream>>,
    /// When each client tried, and whether it was answered.
    tries: Mutex<Vec<(Instant, bool)>>,
}

/// Opens a connection and sends one request; returns the connection and the status of the answer.
fn ask(
    node: SocketAddr,
    random: &mut Random,
    limit: Duration,
) -> std::io::Result<(TcpStream, u16)> {
    let mut stream = TcpStream::connect_timeout(&node, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(limit))?;
    let key = random.below(KEYS as u64).to_string();
    let id = format!("{:016x}", random.next());
    let headers = [
        ("Host", "ficu95.example"),
        ("X-Request-Id", id.as_str()),
        ("X-Deadline-Ms", "2000"),
        ("X-Shard-Key", key.as_str()),
    ];
    http::write(&mut stream, "POST /pufi791/2f HTTP/1.1", &headers, b"blank plates")?;
    let answer = http::read(&mut BufReader::new(stream.try_clone()?), true)?;
    Ok((stream, answer.map_or(0, |answer| answer.status())))
}

fn open(number: u64, node: SocketAddr, stays: bool, stop: &AtomicBool, counts: &Counts) {
    let mut random = Random::new(number + 1);
    let pause = Duration::from_secs_f64(OPENERS as f64 / PER_SECOND);
    while !stop.load(Ordering::SeqCst) {
        let began = Instant::now();
        let answer = ask(node, &mut random, CONTACT);
        let stream = answer.ok().filter(|row| row.1 > 0).map(|row| row.0);
        counts.tries.lock().expect("a lock").push((began, stream.is_some()));
        let counter = if stream.is_some() { &counts.answered } else { &counts.failed };
        counter.fetch_add(1, Ordering::SeqCst);
        counts.kept.lock().expect("a lock").extend(stream.filter(|_| stays));
        std::thread::sleep(pause.saturating_sub(began.elapsed()));
    }
}

/// Asks a node whether it is ready once a second on one connection, and notes the answers.
fn watch(node: SocketAddr, seen: &Mutex<Vec<(Instant, bool)>>) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(node)?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    let mut reader = BufReader::new(stream.try_clone()?);
    loop {
        http::write(&mut stream, "GET /readyz HTTP/1.1", &[("Host", "node")], b"")?;
        let answer = http::read(&mut reader, true)?;
        let ready = answer.is_some_and(|answer| answer.status() == 200);
        seen.lock().expect("a lock").push((Instant::now(), ready));
        std::thread::sleep(Duration::from_secs(1));
    }
}

pub fn play(folder: &str, trouble: bool) -> i32 {
    let record = Arc::new(Record::new(&format!("{folder}/record.txt")));
    if raise_files() < FILES + 900 {
        record.note("the limit on open files is too low: the case could not run");
        return 2;
    }
    let mut site = Site::new(HOSTS);
    site.node_files = Some(FILES);
    site.store.put("keyed.op", "config", CONFIG);
    let mut hosts: Vec<_> =
        (1..=HOSTS).map(|number| site.host(number, "rennes", "registre")).collect();
    hosts.iter_mut().for_each(|host| site.start(host, true));
    let targets = Targets::new(record.clone(), work);
    for (index, host) in hosts.iter().enumerate() {
        targets.start(&format!("i-{index}0"), host);
    }
    record.note(&format!(
        "{HOSTS} hosts started, {FILES} descriptors for each node, trouble: {trouble}"
    ));
    std::thread::sleep(Duration::from_secs(8));
    if !hosts.iter().all(is_ready) || targets.grants.load(Ordering::SeqCst) == 0 {
        record.note("the deployment did not become ready: the case could not run");
        site.keep_logs(folder);
        return 2;
    }
    let node = hosts[0].at(TRAFFIC);
    let stop = Arc::new(AtomicBool::new(false));
    let counts = Arc::new(Counts::default());
    let seen = Arc::new(Mutex::new(Vec::new()));
    let (ready_at, watching) = (hosts[0].at(READINESS), seen.clone());
    std::thread::spawn(move || watch(ready_at, &watching));
    record.note(&format!(
        "clients come: {PER_SECOND} a second, each with a connection of its own, which {}",
        if trouble { "stays open and idle" } else { "it closes after the answer" }
    ));
    for number in 0..OPENERS {
        let (stop, counts) = (stop.clone(), counts.clone());
        std::thread::spawn(move || open(number, node, trouble, &stop, &counts));
    }
    for step in 1..=LENGTH {
        std::thread::sleep(Duration::from_secs(1));
        if step % 5 == 0 {
            let kept = counts.kept.lock().expect("a lock").len();
            let (answered, failed) =
                (counts.answered.load(Ordering::SeqCst), counts.failed.load(Ordering::SeqCst));
            record.note(&format!(
                "answered {answered}, failed {failed}, connections kept by clients {kept}"
            ));
        }
    }
    stop.store(true, Ordering::SeqCst);
    std::thread::sleep(Duration::from_secs(3));
    let mut tries = counts.tries.lock().expect("a lock").clone();
    tries.sort_unstable();
    let seen = seen.lock().expect("a lock").clone();
    let broken = windows(&tries, &seen);
    for (began, count, ready) in &broken {
        record.row(&format!(
            "from {:.3} s on, for {CONTACT:?}: {count} clients tried and none was answered within {CONTACT:?}; \
             {ready} readiness answers, all 200",
            began.duration_since(record.began).as_secs_f64()
        ));
    }
    let last = broken.last().map_or(0.0, |row| row.0.duration_since(record.began).as_secs_f64());
    let first = broken.first().map_or(0.0, |row| row.0.duration_since(record.began).as_secs_f64());
    let unanswered = targets.unanswered.load(Ordering::SeqCst);
    record.note(&format!("liveness reports of the three targets that got no answer: {unanswered}"));
    record.note(&format!(
        "spans of {CONTACT:?} in which the node took no new connection though it said it is ready: {}, the first from \
         {first:.3} s and the last from {last:.3} s on",
        broken.len()
    ));
    i32::from(!broken.is_empty())
}

/// Spans of `contactS`, one for each try that begins one, in which seven clients or more tried and none was answered,
/// while the node answered twice or more that it is ready, and nothing else: beginning, tries, readiness answers.
fn windows(tries: &[(Instant, bool)], seen: &[(Instant, bool)]) -> Vec<(Instant, usize, usize)> {
    let rows = tries.iter().filter_map(|first| {
        let span = first.0..first.0 + CONTACT;
        let within: Vec<_> = tries.iter().filter(|row| span.contains(&row.0)).collect();
        let ready: Vec<_> = seen.iter().filter(|row| span.contains(&row.0)).collect();
        let untaken = within.len() >= 7 && within.iter().all(|row| !row.1);
        let counts = untaken && ready.len() >= 2 && ready.iter().all(|row| row.1);
        counts.then_some((first.0, within.len(), ready.len()))
    });
    rows.collect()
}
