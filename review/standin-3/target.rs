//! Targets that hold keys, as PROTOCOL.md describes them. A target releases what a reply leaves out key by
//! key: those without a request at once, the others when their work has ended; until then it reports them
//! under `holds`.

use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http;
use crate::random::Random;
use crate::record::Record;

pub const KEYS: usize = 65536;
const BEAT: Duration = Duration::from_millis(870);
const NEXT_BEAT: Duration = Duration::from_millis(90);

/// What a target does with one key.
#[derive(Clone, Copy, Default)]
struct KeyRow {
    /// Generation number under which it holds the key; 0 if it does not.
    fence: u64,
    /// Highest generation number that it has seen.
    seen: u64,
    until: Option<Instant>,
    running: u32,
    /// Left out of a reply, and released as soon as nothing runs.
    leaving: bool,
}

struct State {
    keys: Vec<KeyRow>,
    freed: Vec<(usize, usize)>,
    busy: u32,
}

pub struct Target {
    pub id: String,
    service: &'static str,
    zone: &'static str,
    address: SocketAddr,
    pub control: SocketAddr,
    /// It has exited: nothing listens at its address.
    gone: AtomicBool,
    /// How many times as long its work takes.
    pub slow: AtomicU64,
    state: Mutex<State>,
}

/// A key that a target took while another was still at work on it.
struct Clash {
    key: usize,
    worker: String,
    taker: String,
    taken_at: Instant,
    /// End of the worker's hold.
    held_until: Instant,
}

/// All targets, and what OWNER says of them.
pub struct Targets {
    pub all: Mutex<Vec<Arc<Target>>>,
    clashes: Mutex<Vec<Clash>>,
    /// Requests that began to run: the target, the time and the id.
    pub arrivals: Mutex<Vec<(String, f64, String)>>,
    pub broken: AtomicU64,
    pub runs: AtomicU64,
    pub refused: AtomicU64,
    pub grants: AtomicU64,
    pub record: Arc<Record>,
    work: fn(&mut Random) -> u64,
}

const SLOTS: u32 = 9;

/// The numbers of a text of JSON rows, and the texts between quotes as 0.
fn rows_of(text: &str) -> Vec<[u64; 3]> {
    let rows = text.split('[').skip(1).filter_map(|row| row.split_once(']').map(|row| row.0));
    let numbers = rows.map(|row| {
        let mut numbers = row.split(',').map(|word| word.trim().parse().unwrap_or(0));
        [(); 3].map(|()| numbers.next().unwrap_or(0))
    });
    numbers.collect()
}

impl Targets {
    pub fn new(record: Arc<Record>, work: fn(&mut Random) -> u64) -> Arc<Self> {
        Arc::new(Self {
            all: Mutex::default(),
            clashes: Mutex::default(),
            arrivals: Mutex::default(),
            broken: AtomicU64::new(0),
            runs: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            grants: AtomicU64::new(0),
            record,
            work,
        })
    }

    /// Starts a target that listens and sends its reports to the node on its host.
    pub fn start(self: &Arc<Self>, id: &str, host: &crate::fleet::Host) -> Arc<Target> {
        let target = Arc::new(Target {
            id: id.into(),
            service: host.service,
            zone: host.zone,
            address: host.at(crate::fleet::TARGET),
            control: host.at(crate::fleet::CONTROL),
            gone: AtomicBool::new(false),
            slow: AtomicU64::new(1),
            state: Mutex::new(State {
                keys: vec![KeyRow::default(); KEYS],
                freed: Vec::new(),
                busy: 0,
            }),
        });
        self.all.lock().expect("a lock").push(target.clone());
        let listener = TcpListener::bind(target.address).expect("a free port");
        let (targets, served) = (self.clone(), target.clone());
        std::thread::spawn(move || {
            listener.set_nonblocking(true).expect("a listener");
            while !served.gone.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(Duration::from_millis(1));
                    continue;
                };
                stream.set_nonblocking(false).expect("a stream");
                let (targets, served) = (targets.clone(), served.clone());
                std::thread::spawn(move || targets.serve_stream(&served, stream));
            }
        });
        let (targets, beating) = (self.clone(), target.clone());
        std::thread::spawn(move || targets.beat(&beating));
        target
    }

    /// Ends a target's process.
    pub fn exit(&self, target: &Target) {
        target.gone.store(true, Ordering::SeqCst);
        self.all.lock().expect("a lock").retain(|other| other.id != target.id);
    }

    fn beat(&self, target: &Target) {
        let mut sequence = 0;
        // Reports of several targets do not go out at the same moment.
        let hash: u64 = target.id.bytes().map(u64::from).sum();
        std::thread::sleep(Duration::from_millis(hash * 131 % 870));
        while !target.gone.load(Ordering::SeqCst) {
            sequence += 1;
            let sent_at = Instant::now();
            let (body, reported) = self.report(target, sequence);
            let first = format!("PUT /instances/{} HTTP/1.1", target.id);
            let headers = [("Content-Type", "application/json")];
            let limit = Duration::from_secs(1);
            let answer = http::call(target.control, &first, &headers, body.as_bytes(), limit);
            let answer = answer.ok().filter(|_| sent_at.elapsed() <= limit);
            let answer =
                answer.filter(|answer| answer.status() / 100 == 2 && answer.body.len() <= 4096);
            let mut releasing = false;
            if let Some(answer) = answer {
                target.state.lock().expect("a lock").freed.drain(..reported);
                releasing = self.take(target, &String::from_utf8_lossy(&answer.body), sent_at);
            }
            let pause = if releasing { NEXT_BEAT } else { BEAT };
            std::thread::sleep(pause.saturating_sub(sent_at.elapsed().min(pause / 2)));
        }
    }

    /// The report, and the number of released rows in it.
    fn report(&self, target: &Target, sequence: u64) -> (String, usize) {
        let now = Instant::now();
        let mut state = target.state.lock().expect("a lock");
        for row in state.keys.iter_mut().filter(|row| row.until.is_some_and(|until| until <= now)) {
            if row.running == 0 {
                (row.fence, row.until, row.leaving) = (0, None, false);
            }
        }
        let mut holds: Vec<(usize, usize, u64)> = Vec::new();
        for (key, row) in state.keys.iter().enumerate().filter(|row| row.1.fence > 0) {
            match holds.last_mut() {
                Some(last) if last.1 + 1 == key && last.2 == row.fence => last.1 = key,
                _ => holds.push((key, key, row.fence)),
            }
        }
        let holds: Vec<String> =
            holds.iter().map(|row| format!("[{},{},{}]", row.0, row.1, row.2)).collect();
        let freed: Vec<String> = state
            .freed
            .iter()
            .map(|row| format!("[{},{},\"5c0e7a21d94b36f8\"]", row.0, row.1))
            .collect();
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{SLOTS},\
             \"state\":\"ready\",\"coldRemainingS\":0,\"sequence\":{sequence},\"holds\":[{}],\"freed\":[{}]}}",
            target.service,
            target.address,
            target.zone,
            holds.join(","),
            freed.join(",")
        );
        for (key, row) in
            state.keys.iter().enumerate().filter(|row| row.1.leaving && row.1.running > 0)
        {
            let near = state.freed.iter().filter(|freed| freed.0 <= key + 8 && freed.1 + 8 >= key);
            let near: Vec<String> =
                near.map(|freed| format!("[{},{}]", freed.0, freed.1)).collect();
            self.record.row(&format!(
                "{} reports (sequence {sequence}) under holds [{key},{key},{}], on which it is at work, and under freed {}",
                target.id, row.fence, near.join(" ")
            ));
        }
        (body, state.freed.len())
    }

    /// Takes a reply; returns whether keys are left that are still to be released.
    fn take(&self, target: &Target, reply: &str, sent_at: Instant) -> bool {
        let Some((_, rest)) = reply.split_once("\"holds\":") else { return false };
        let (rows, rest) = rest.split_once("\"holdS\":").unwrap_or((rest, "0"));
        let hold: f64 = rest.trim_end_matches('}').trim().parse().unwrap_or(0.0);
        let until = sent_at + Duration::from_secs_f64(hold);
        let mut wanted = vec![0_u64; KEYS];
        let now = Instant::now();
        let mut taken = Vec::new();
        let mut state = target.state.lock().expect("a lock");
        // The opening bracket of the list is no row.
        for [first, last, fence] in rows_of(&rows.replacen('[', "", 1)) {
            let keys = first as usize..=last as usize;
            if state.keys[keys.clone()].iter().all(|row| row.seen <= fence) {
                wanted[keys].fill(fence);
            }
        }
        let mut freed: Vec<(usize, usize)> = Vec::new();
        let mut releasing = false;
        for (key, row) in state.keys.iter_mut().enumerate() {
            if wanted[key] > 0 {
                if row.fence == 0 {
                    taken.push(key);
                }
                *row = KeyRow {
                    fence: wanted[key],
                    seen: wanted[key],
                    until: Some(until),
                    leaving: false,
                    ..*row
                };
            } else if row.fence > 0 && row.running > 0 {
                row.leaving = true;
                releasing = true;
            } else if row.fence > 0 {
                if row.until.is_some_and(|until| until > now) {
                    match freed.last_mut() {
                        Some(last) if last.1 + 1 == key => last.1 = key,
                        _ => freed.push((key, key)),
                    }
                    releasing = true;
                }
                (row.fence, row.until, row.leaving) = (0, None, false);
            }
        }
        state.freed.extend(freed);
        drop(state);
        if !taken.is_empty() {
            self.grants.fetch_add(1, Ordering::SeqCst);
            self.check_taken(target, &taken, now);
        }
        releasing
    }

    /// Notes the keys that a target takes while another is at work on them under a hold.
    fn check_taken(&self, taker: &Target, taken: &[usize], now: Instant) {
        let others: Vec<_> = self.all.lock().expect("a lock").iter().cloned().collect();
        for other in others.iter().filter(|other| other.id != taker.id) {
            let state = other.state.lock().expect("a lock");
            for key in taken {
                let row = state.keys[*key];
                let Some(held_until) = row.until.filter(|until| *until > now && row.running > 0)
                else {
                    continue;
                };
                let (worker, taker) = (other.id.clone(), taker.id.clone());
                self.clashes.lock().expect("a lock").push(Clash {
                    key: *key,
                    worker,
                    taker,
                    taken_at: now,
                    held_until,
                });
            }
        }
    }

    fn serve_stream(&self, target: &Target, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut stream = stream;
        let mut random =
            Random::new(self.runs.load(Ordering::SeqCst) + u64::from(std::process::id()));
        while let Ok(Some(request)) = http::read(&mut reader, false) {
            if target.gone.load(Ordering::SeqCst) {
                return None;
            }
            let id = request.header("x-request-id").to_owned();
            let head = [("X-Request-Id", id.as_str()), ("X-Instance-Id", target.id.as_str())];
            if request.word(1) == "/healthz" {
                http::write(&mut stream, "HTTP/1.1 200 x", &head, b"").ok()?;
                continue;
            }
            let key: usize = request.header("x-shard-key").parse().unwrap_or(0);
            let refusal = match request.header("x-expect-instance") == target.id {
                false => Some(421),
                true => self.begin(target, key),
            };
            if let Some(status) = refusal {
                self.refused.fetch_add(1, Ordering::SeqCst);
                let head = [head[0], head[1], ("X-Not-Executed", "1")];
                http::write(&mut stream, &format!("HTTP/1.1 {status} x"), &head, b"").ok()?;
                continue;
            }
            let arrival = (target.id.clone(), self.record.at(), id.clone());
            self.arrivals.lock().expect("a lock").push(arrival);
            std::thread::sleep(Duration::from_millis(
                (self.work)(&mut random) * target.slow.load(Ordering::SeqCst),
            ));
            let in_time = self.end(target, key, &id);
            let status = if in_time { 200 } else { 500 };
            let signature = format!("3e1b.{id}");
            let head = [head[0], head[1], ("X-Response-Signature", signature.as_str())];
            http::write(&mut stream, &format!("HTTP/1.1 {status} x"), &head, b"an order").ok()?;
        }
        None
    }

    /// Begins a run; returns the status of a refusal instead.
    fn begin(&self, target: &Target, key: usize) -> Option<u16> {
        let mut state = target.state.lock().expect("a lock");
        let row = state.keys[key];
        if row.leaving || row.fence == 0 || row.until.is_none_or(|until| until <= Instant::now()) {
            return Some(421);
        }
        if state.busy >= SLOTS {
            return Some(503);
        }
        state.busy += 1;
        state.keys[key].running += 1;
        self.runs.fetch_add(1, Ordering::SeqCst);
        None
    }

    /// Ends a run; returns whether the hold of its key lasted as long.
    fn end(&self, target: &Target, key: usize, id: &str) -> bool {
        let now = Instant::now();
        let mut state = target.state.lock().expect("a lock");
        state.busy -= 1;
        let row = &mut state.keys[key];
        row.running -= 1;
        let in_time = row.until.is_some_and(|until| until > now);
        if row.running == 0 && row.leaving {
            (row.fence, row.until, row.leaving) = (0, None, false);
            state.freed.push((key, key));
        }
        drop(state);
        let mut clashes = self.clashes.lock().expect("a lock");
        for clash in clashes.extract_if(.., |clash| clash.key == key && clash.worker == target.id) {
            let overlap = now.min(clash.held_until).saturating_duration_since(clash.taken_at);
            let counts = overlap >= Duration::from_millis(20);
            if counts {
                self.broken.fetch_add(1, Ordering::SeqCst);
            }
            self.record.note(&format!(
                "key {key}: {} took it {} ms before {} ended request {id} on it; hold of {} left at the taking: {} ms{}",
                clash.taker,
                now.duration_since(clash.taken_at).as_millis(),
                clash.worker,
                clash.worker,
                clash.held_until.duration_since(clash.taken_at).as_millis(),
                if counts { ": OWNER broken" } else { ", too close to count" }
            ));
        }
        in_time
    }
}
