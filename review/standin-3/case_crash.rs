//! A request crashes each target that ran it, a moment after the whole answer, when the target has answered more than
//! eight others since. It comes again and again, with the same path, caller and body.

use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::client::CONFIG;
use crate::fleet::{CONTROL, Host, Site, TARGET, TRAFFIC, is_ready};
use crate::http;
use crate::random::Random;
use crate::record::{Record, RequestRow};

const HOSTS: u8 = 4;

/// Requests a second at one target, and how many in 100 of them are orders.
const PER_SECOND: u64 = 44;
const ORDERS: u64 = 41;

/// Time from the whole answer to the crash.
const MOMENT: Duration = Duration::from_millis(240);

const DOWN: Duration = Duration::from_secs(3);
const CONTACT: f64 = 3.0;
const LENGTH: Duration = Duration::from_secs(60);
const PATH: &str = "/lohu930/poison";

#[derive(Default)]
struct Seen {
    arrivals: Mutex<Vec<f64>>,
    crashes: Mutex<Vec<f64>>,
    rows: Mutex<Vec<RequestRow>>,
    runs: Mutex<Vec<(String, f64, String)>>,
    answers: AtomicU64,
    orders: AtomicU64,
    /// Orders that ended without an answer or with one that promises nothing.
    lost: AtomicU64,
}

/// One life of a target without keys.
struct Life {
    id: String,
    gone: AtomicBool,
    answered: AtomicU64,
    streams: Mutex<Vec<TcpStream>>,
}

fn serve(
    life: &Arc<Life>,
    stream: TcpStream,
    seen: &Arc<Seen>,
    record: &Arc<Record>,
    crashes: bool,
) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut stream = stream;
    while let Ok(Some(request)) = http::read(&mut reader, false) {
        let id = request.header("x-request-id").to_owned();
        let head = [("X-Request-Id", id.as_str()), ("X-Instance-Id", life.id.as_str())];
        if request.word(1) == "/healthz" {
            http::write(&mut stream, "HTTP/1.1 200 x", &head, b"").ok()?;
            continue;
        }
        if request.header("x-expect-instance") != life.id {
            let head = [head[0], head[1], ("X-Not-Executed", "1")];
            http::write(&mut stream, "HTTP/1.1 421 x", &head, b"").ok()?;
            continue;
        }
        let poison = request.word(1) == PATH;
        if poison {
            seen.arrivals.lock().expect("a lock").push(record.at());
        }
        let run = (life.id.clone(), record.at(), id.clone());
        seen.runs.lock().expect("a lock").push(run);
        let is_order = request.word(0) == "POST";
        std::thread::sleep(Duration::from_millis(if is_order { 160 } else { 30 }));
        if life.gone.load(Ordering::SeqCst) {
            return None;
        }
        let signature = format!("3e1b.{id}");
        let head = [head[0], head[1], ("X-Response-Signature", signature.as_str())];
        http::write(&mut stream, "HTTP/1.1 200 x", &head, b"a reference").ok()?;
        let answered = life.answered.fetch_add(1, Ordering::SeqCst) + 1;
        if poison && crashes {
            let (life, seen, record) = (life.clone(), seen.clone(), record.clone());
            std::thread::spawn(move || {
                std::thread::sleep(MOMENT);
                if !life.gone.swap(true, Ordering::SeqCst) {
                    let after = life.answered.load(Ordering::SeqCst) - answered;
                    record.row(&format!(
                        "{} crashes, {after} answers after that to the request",
                        life.id
                    ));
                    seen.crashes.lock().expect("a lock").push(record.at());
                    for stream in life.streams.lock().expect("a lock").drain(..) {
                        let _ = stream.shutdown(Shutdown::Both);
                    }
                }
            });
        }
    }
    None
}

/// Lives of one target, one after the other.
fn live(
    index: usize,
    address: SocketAddr,
    control: SocketAddr,
    zone: &'static str,
    seen: &Arc<Seen>,
    record: &Arc<Record>,
    crashes: bool,
) {
    for number in 0.. {
        let life = Arc::new(Life {
            id: format!("i-{index}-{number}"),
            gone: AtomicBool::new(false),
            answered: AtomicU64::new(0),
            streams: Mutex::default(),
        });
        let listener = TcpListener::bind(address).expect("a free port");
        listener.set_nonblocking(true).expect("a listener");
        let beating = life.clone();
        std::thread::spawn(move || {
            let mut sequence = 0;
            while !beating.gone.load(Ordering::SeqCst) {
                sequence += 1;
                let body = format!(
                    "{{\"service\":\"registre\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":9,\
                     \"state\":\"ready\",\"coldRemainingS\":0,\"sequence\":{sequence}}}"
                );
                let first = format!("PUT /instances/{} HTTP/1.1", beating.id);
                let headers = [("Content-Type", "application/json")];
                let _ =
                    http::call(control, &first, &headers, body.as_bytes(), Duration::from_secs(1));
                std::thread::sleep(Duration::from_millis(870));
            }
        });
        while !life.gone.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            stream.set_nonblocking(false).expect("a stream");
            life.streams.lock().expect("a lock").push(stream.try_clone().expect("a stream"));
            let (life, seen, record) = (life.clone(), seen.clone(), record.clone());
            std::thread::spawn(move || serve(&life, stream, &seen, &record, crashes));
        }
        drop(listener);
        std::thread::sleep(DOWN);
    }
}

impl Seen {
    /// Sends a request and notes how it went; returns the status, 0 without an answer.
    fn ask(&self, record: &Record, node: SocketAddr, method: &str, path: &str, id: String) -> u16 {
        let sent_at = record.at();
        let first = format!("{method} {path} HTTP/1.1");
        let headers =
            [("Host", "ficu95.example"), ("X-Request-Id", &*id), ("X-Deadline-Ms", "2000")];
        let answer = http::call(node, &first, &headers, b"", Duration::from_secs(2));
        let status = answer.map_or(0, |answer| answer.status());
        let what = format!("{method} {} to {node}", if path == PATH { PATH } else { "another" });
        let row = RequestRow { sent_at, id, what, status, ended_at: record.at() };
        self.rows.lock().expect("a lock").push(row);
        status
    }
}

pub fn play(folder: &str, trouble: bool) -> i32 {
    let record = Arc::new(Record::new(&format!("{folder}/record.txt")));
    let site = Site::new(HOSTS);
    let config = CONFIG.replace(
        "\"rows\":[[\"orders\"",
        "\"rows\":[[\"queries\",\"ficu95.example\",\"/lohu930/\",\"idempotent\",2,\
        0.6,2,null,2,\"registre\"],[\"orders\"",
    );
    let config = config.replace("false,true,2.0,\"heartbeat\"", "false,null,null,null");
    site.store.put("keyed.op", "config", &config);
    let mut hosts: Vec<Host> =
        (1..=HOSTS).map(|number| site.host(number, "rennes", "registre")).collect();
    hosts.iter_mut().for_each(|host| site.start(host, true));
    let seen = Arc::new(Seen::default());
    for (index, host) in hosts.iter().enumerate() {
        let (address, control, zone) = (host.at(TARGET), host.at(CONTROL), host.zone);
        let (seen, record) = (seen.clone(), record.clone());
        std::thread::spawn(move || live(index, address, control, zone, &seen, &record, trouble));
    }
    record.note(&format!("{HOSTS} hosts started, trouble: {trouble}"));
    std::thread::sleep(Duration::from_secs(6));
    if !hosts.iter().all(is_ready) {
        record.note("the deployment did not become ready: the case could not run");
        return 2;
    }
    let nodes: Vec<_> = hosts.iter().map(|host| host.at(TRAFFIC)).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let number = PER_SECOND * u64::from(HOSTS) / 10 + 2;
    for client in 0..number {
        let (nodes, stop, seen, record) =
            (nodes.clone(), stop.clone(), seen.clone(), record.clone());
        std::thread::spawn(move || {
            let mut random = Random::new(client + 1);
            while !stop.load(Ordering::SeqCst) {
                let began = Instant::now();
                let (node, id) =
                    (nodes[random.below(4) as usize], format!("{:016x}", random.next()));
                let (method, path) = match random.below(100) < ORDERS {
                    true => ("POST", format!("/pufi791/{id}")),
                    false => ("GET", format!("/lohu930/{id}")),
                };
                let status = seen.ask(&record, node, method, &path, id);
                if method == "POST" {
                    seen.orders.fetch_add(1, Ordering::SeqCst);
                    seen.lost.fetch_add(u64::from(!matches!(status, 200 | 503)), Ordering::SeqCst);
                } else if status == 200 {
                    seen.answers.fetch_add(1, Ordering::SeqCst);
                }
                std::thread::sleep(Duration::from_millis(100).saturating_sub(began.elapsed()));
            }
        });
    }
    std::thread::sleep(Duration::from_secs(3));
    let began = Instant::now();
    let mut attempt = 0;
    while began.elapsed() < LENGTH {
        attempt += 1;
        let id = format!("{:016x}", 0xabc_0000 + attempt);
        let status = seen.ask(&record, nodes[attempt % nodes.len()], "GET", PATH, id);
        record.row(&format!("attempt {attempt} of the request: {status}"));
        std::thread::sleep(Duration::from_secs(3));
    }
    stop.store(true, Ordering::SeqCst);
    let crashes = seen.crashes.lock().expect("a lock").clone();
    let arrivals = seen.arrivals.lock().expect("a lock").clone();
    let late = crashes
        .get(2)
        .map_or(0, |third| arrivals.iter().filter(|at| **at > third + CONTACT).count());
    record.note(&format!(
        "{attempt} attempts, {} arrivals, {} crashes; queries of others answered {}; orders of others {}, of which {} \
         may have run and got no answer of the target",
        arrivals.len(),
        crashes.len(),
        seen.answers.load(Ordering::SeqCst),
        seen.orders.load(Ordering::SeqCst),
        seen.lost.load(Ordering::SeqCst)
    ));
    record.note(&format!(
        "arrivals later than {CONTACT} s after the third crash: {late}, 3 are allowed"
    ));
    let rows = std::mem::take(&mut *seen.rows.lock().expect("a lock"));
    record.requests(rows, &seen.runs.lock().expect("a lock"));
    i32::from(late > 3)
}
