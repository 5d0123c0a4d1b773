//! Stand-in of an application target: it sends liveness reports to the node on its machine, holds the keys
//! that the answers grant, and runs requests.
//!
//! A request says in its query how long it is worked on (`ms`) and how long its answer is (`bytes`).

use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, read_answer, read_request, write_request, write_response};
use crate::json;

/// Number of keys.
const KEYS: usize = 65_536;

/// A target ignores the answer to a report that comes later.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest answer to a report, in bytes.
const MAX_REPORT_ANSWER: usize = 4096;

/// Time within which a target that has to release keys reports again.
const RELEASE_INTERVAL: Duration = Duration::from_millis(100);

/// A request that a target began to run.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Instant,
    pub target: usize,
    pub id: String,
    pub key: Option<u16>,
    pub path: String,
    /// When the answer was written to the connection, whole.
    pub ended: Option<Instant>,
}

/// What the targets of an installation did.
pub type Runs = Arc<Mutex<Vec<Run>>>;

struct Holds {
    /// Fence of each key; 0 if it is not held.
    fences: Vec<u64>,
    /// Highest fence seen of each key.
    seen: Vec<u64>,
    until: Instant,
    freed: Vec<(usize, usize, String)>,
    /// Requests that are worked on, by key.
    working: Vec<u16>,
}

/// Fixed facts of a target.
#[derive(Debug, Clone)]
pub struct TargetFacts {
    pub index: usize,
    pub service: String,
    pub address: SocketAddr,
    /// Where it sends its reports: the node on its machine.
    pub reports_to: SocketAddr,
    pub zone: String,
    pub slots: usize,
    pub sharded: bool,
    pub beat: Duration,
    /// Whether its reports name their `born`, as those of the newer installations do.
    pub born: bool,
    /// Whether a request whose query says so crashes it: `crash` milliseconds after its begin, or `crash-after`
    /// milliseconds after its answer.
    pub crashes: bool,
}

/// A life of a target.
pub struct Target {
    pub facts: TargetFacts,
    pub id: String,
    born_ms: u64,
    holds: Mutex<Holds>,
    running: AtomicU64,
    sequence: AtomicU64,
    draining: AtomicBool,
    ended: AtomicBool,
    /// Connections that it accepted.
    streams: Mutex<Vec<TcpStream>>,
    runs: Runs,
    /// When a request crashed it.
    pub crashed_by: Mutex<Vec<Instant>>,
    /// Answers to reports: when, and whether they granted keys.
    pub answers: Mutex<Vec<(Instant, u16, bool)>>,
}

pub fn unix_ms() -> u64 {
    let time = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    time.map_or(0, |time| u64::try_from(time.as_millis()).unwrap_or(0))
}

impl Target {
    /// Starts a life of a target, which listens and reports until [`Self::end`].
    pub fn start(facts: TargetFacts, id: &str, runs: &Runs) -> Arc<Self> {
        let listener = listen(facts.address);
        let holds = Holds {
            fences: vec![0; KEYS],
            seen: vec![0; KEYS],
            until: Instant::now(),
            freed: Vec::new(),
            working: Vec::new(),
        };
        let target = Arc::new(Self {
            facts,
            id: id.into(),
            born_ms: unix_ms(),
            holds: Mutex::new(holds),
            running: AtomicU64::new(0),
            sequence: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            streams: Mutex::default(),
            runs: runs.clone(),
            crashed_by: Mutex::default(),
            answers: Mutex::default(),
        });
        let server = target.clone();
        std::thread::spawn(move || server.accept(&listener));
        let reporter = target.clone();
        std::thread::spawn(move || reporter.report_until_end());
        target
    }

    /// Ends the life at once, as a crash does.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().expect("no thread panics").drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    pub fn is_up(&self) -> bool {
        !self.ended.load(Ordering::SeqCst)
    }

    pub fn set_draining(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Returns the fence under which it holds a key; 0 if it does not.
    pub fn fence(&self, key: u16) -> u64 {
        let holds = self.holds.lock().expect("no thread panics");
        let held = self.is_up() && Instant::now() < holds.until;
        if held { holds.fences[usize::from(key)] } else { 0 }
    }

    pub fn held_count(&self) -> usize {
        let holds = self.holds.lock().expect("no thread panics");
        let held = self.is_up() && Instant::now() < holds.until;
        if held { holds.fences.iter().filter(|fence| **fence > 0).count() } else { 0 }
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        listener.set_nonblocking(true).expect("the listener is valid");
        while self.is_up() {
            match listener.accept() {
                Ok((stream, _)) => {
                    let target = self.clone();
                    std::thread::spawn(move || target.serve(stream));
                }
                Err(_) => std::thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    fn serve(self: &Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let (Ok(copy), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else { return };
        self.streams.lock().expect("no thread panics").push(kept);
        let (mut reader, mut stream) = (BufReader::new(copy), stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            if !self.is_up() || self.answer(&request, &mut stream).is_err() {
                return;
            }
        }
    }

    fn answer(self: &Arc<Self>, request: &Request, stream: &mut TcpStream) -> std::io::Result<()> {
        let id = request.header("x-request-id").unwrap_or_default().to_owned();
        let load = format!("{},0,{}", self.running.load(Ordering::SeqCst), self.facts.slots);
        if request.path() == "/healthz" {
            let headers = [("x-instance-id", self.id.clone()), ("x-server-load", load)];
            return write_response(stream, 200, &headers, b"");
        }
        let refusal = [
            ("x-request-id", id.clone()),
            ("x-not-executed", "1".into()),
            ("x-instance-id", self.id.clone()),
            ("x-server-load", load.clone()),
        ];
        if id.is_empty() {
            return write_response(stream, 400, &refusal, b"");
        }
        let key = request.header("x-shard-key").and_then(|text| text.parse::<u16>().ok());
        let expected =
            request.header("x-expect-instance").is_none_or(|expected| expected == self.id);
        if !expected || (self.facts.sharded && !self.begin_work(key)) {
            return write_response(stream, 421, &refusal, b"");
        }
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        if running > self.facts.slots as u64 * 4 {
            self.running.fetch_sub(1, Ordering::SeqCst);
            self.end_work(key);
            return write_response(stream, 503, &refusal, b"");
        }
        let index = self.note_run(request, &id, key);
        let number = |name| request.parameter(name).and_then(|text: &str| text.parse::<u64>().ok());
        if let Some(crash) = number("crash").filter(|_| self.facts.crashes) {
            self.crash_in(Duration::from_millis(crash));
        }
        std::thread::sleep(Duration::from_millis(number("ms").unwrap_or(0)));
        let length = usize::try_from(number("bytes").unwrap_or(16)).unwrap_or(16);
        self.running.fetch_sub(1, Ordering::SeqCst);
        self.end_work(key);
        if !self.is_up() {
            return Err(std::io::Error::other("the target has ended"));
        }
        let headers = [
            ("x-request-id", id),
            ("x-response-signature", format!("signed-{length}")),
            ("x-server-load", load),
        ];
        write_response(stream, 200, &headers, &vec![b'x'; length])?;
        self.runs.lock().expect("no thread panics")[index].ended = Some(Instant::now());
        if let Some(crash) = number("crash-after").filter(|_| self.facts.crashes) {
            let target = self.clone();
            std::thread::spawn(move || target.crash_in(Duration::from_millis(crash)));
        }
        Ok(())
    }

    fn note_run(&self, request: &Request, id: &str, key: Option<u16>) -> usize {
        let text = format!("{id} run by target {}", self.id);
        crate::record::keep(Instant::now(), text);
        let mut runs = self.runs.lock().expect("no thread panics");
        runs.push(Run {
            at: Instant::now(),
            target: self.facts.index,
            id: id.into(),
            key,
            path: request.path().into(),
            ended: None,
        });
        runs.len() - 1
    }

    /// Crashes after a time.
    fn crash_in(&self, time: Duration) {
        std::thread::sleep(time);
        self.crashed_by.lock().expect("no thread panics").push(Instant::now());
        self.end();
    }

    /// Begins work on a key if it is held.
    fn begin_work(&self, key: Option<u16>) -> bool {
        let Some(key) = key else { return false };
        let mut holds = self.holds.lock().expect("no thread panics");
        let held = holds.fences[usize::from(key)] > 0 && Instant::now() < holds.until;
        if held {
            holds.working.push(key);
        }
        held
    }

    fn end_work(&self, key: Option<u16>) {
        let mut holds = self.holds.lock().expect("no thread panics");
        if let Some(index) = holds.working.iter().position(|row| Some(*row) == key) {
            holds.working.swap_remove(index);
        }
    }

    fn report_until_end(&self) {
        while self.is_up() {
            let sent_at = Instant::now();
            let (body, freed) = self.report();
            let reply = self.put(&body);
            let mut again = self.facts.beat;
            match reply {
                Some(text) if sent_at.elapsed() < REPORT_TIMEOUT => {
                    if self.apply(&text, sent_at) {
                        again = RELEASE_INTERVAL;
                    }
                }
                _ => self.holds.lock().expect("no thread panics").freed.extend(freed),
            }
            std::thread::sleep(again);
        }
    }

    /// Returns the body of a report, and what it says was freed.
    fn report(&self) -> (String, Vec<(usize, usize, String)>) {
        let mut holds = self.holds.lock().expect("no thread panics");
        let freed = std::mem::take(&mut holds.freed);
        let expired = Instant::now() >= holds.until;
        let mut rows: Vec<(usize, usize, u64)> = Vec::new();
        for (key, fence) in holds.fences.iter().enumerate() {
            if expired || *fence == 0 {
                continue;
            }
            match rows.last_mut() {
                Some(row) if row.1 + 1 == key && row.2 == *fence => row.1 = key,
                _ => rows.push((key, key, *fence)),
            }
        }
        let rows: Vec<String> =
            rows.iter().map(|row| format!("[{},{},{}]", row.0, row.1, row.2)).collect();
        let freed_rows: Vec<String> =
            freed.iter().map(|row| format!("[{},{},\"{}\"]", row.0, row.1, row.2)).collect();
        let facts = &self.facts;
        let state = if self.draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let keys = if facts.sharded {
            format!(",\"holds\":[{}],\"freed\":[{}]", rows.join(","), freed_rows.join(","))
        } else {
            String::new()
        };
        let born = if facts.born { format!(",\"born\":{}", self.born_ms) } else { String::new() };
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{state}\",\"coldRemainingS\":0,\"sequence\":{sequence}{born}{keys}}}",
            facts.service, facts.address, facts.zone, facts.slots
        );
        (body, freed)
    }

    /// Sends a report; returns the body of a 2xx answer.
    fn put(&self, body: &str) -> Option<String> {
        let answer = exchange(
            self.facts.reports_to,
            "PUT",
            &format!("/instances/{}", self.id),
            body.as_bytes(),
        )?;
        let (status, text) = answer;
        let granted = text.contains("\"holds\"");
        self.answers.lock().expect("no thread panics").push((Instant::now(), status, granted));
        ((200..300).contains(&status) && text.len() <= MAX_REPORT_ANSWER).then_some(text)
    }

    /// Says that it leaves, without having reported a drain; returns whether that was confirmed.
    pub fn leave(&self) -> bool {
        let answer =
            exchange(self.facts.reports_to, "DELETE", &format!("/instances/{}", self.id), b"");
        answer.is_some_and(|answer| answer.0 == 200)
    }

    /// Applies the answer to a report that was sent at `sent_at`; returns whether keys were released.
    fn apply(&self, text: &str, sent_at: Instant) -> bool {
        let Some(reply) = json::parse(text) else { return false };
        let (Some(rows), Some(time)) =
            (reply.get("holds").and_then(json::Json::list), reply.get("holdS"))
        else {
            return false;
        };
        let mut holds = self.holds.lock().expect("no thread panics");
        let mut next = vec![0_u64; KEYS];
        for row in rows {
            let row = row.list().unwrap_or_default();
            let number = |index: usize| row.get(index).and_then(json::Json::number).unwrap_or(0.0);
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let (first, last, fence) = (number(0) as usize, number(1) as usize, number(2) as u64);
            if holds.seen[first..=last].iter().all(|seen| *seen <= fence) {
                next[first..=last].fill(fence);
                holds.seen[first..=last].fill(fence);
            }
        }
        let expired = Instant::now() >= holds.until;
        let mut freed: Vec<(usize, usize)> = Vec::new();
        for key in 0..KEYS {
            let was_held = !expired && holds.fences[key] > 0;
            if !was_held || next[key] > 0 {
                continue;
            }
            if u16::try_from(key).is_ok_and(|key| holds.working.contains(&key)) {
                // The work on it is still to end.
                next[key] = holds.fences[key];
                continue;
            }
            match freed.last_mut() {
                Some(row) if row.1 + 1 == key => row.1 = key,
                _ => freed.push((key, key)),
            }
        }
        let released = !freed.is_empty();
        let token = format!("{:016x}", sent_at.elapsed().as_nanos());
        holds.freed.extend(freed.into_iter().map(|row| (row.0, row.1, token.clone())));
        holds.fences = next;
        holds.until = sent_at + Duration::from_secs_f64(time.number().unwrap_or(0.0));
        released
    }
}

/// Listens on an address that an earlier life may have used a moment ago.
fn listen(address: SocketAddr) -> TcpListener {
    for _ in 0..100 {
        if let Ok(listener) = TcpListener::bind(address) {
            return listener;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    panic!("{address} is in use");
}

/// Sends a request on a new connection; returns the status and the body of its answer.
pub fn exchange(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, REPORT_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(REPORT_TIMEOUT)).ok()?;
    let headers = [
        ("host", "node".to_owned()),
        ("content-type", "application/json".into()),
        ("connection", "close".into()),
    ];
    write_request(&mut stream, method, path, &headers, body).ok()?;
    let mut reader = BufReader::new(stream);
    let answer = read_answer(&mut reader, &mut |_| ()).ok()?;
    Some((answer.status, String::from_utf8_lossy(&answer.body).into_owned()))
}
