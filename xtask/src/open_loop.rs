//! Open-loop load: requests leave at their times, whatever became of those before.
//!
//! Latency counts from the time at which a request should have left, so a stalled system is not
//! spared the requests that a waiting caller would not have sent.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use harness::{HttpClient, new_request_id, unix_ms};
use hdrhistogram::Histogram;

/// Threads that send.
const SENDERS: usize = 4;

/// Highest latency recorded, in microseconds.
const MOST_MICROS: u64 = 60_000_000;

/// One kind of request.
#[derive(Debug, Clone)]
pub struct RequestKind {
    /// Name in tables.
    pub name: &'static str,
    /// Method.
    pub method: &'static str,
    /// Path with query.
    pub path: String,
    /// Part of all requests, in percent.
    pub percent: usize,
    /// Whether the request needs a key.
    pub keyed: bool,
}

/// Where a request goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetChoice {
    /// Any entry in turn.
    Spread,
    /// The entry of the key's number, as a caller with a fixed list does.
    ByKey,
}

/// A load to send.
#[derive(Debug, Clone)]
pub struct OpenLoad {
    /// Kinds; their percents make 100.
    pub kinds: Vec<RequestKind>,
    /// Entries.
    pub entries: Vec<SocketAddr>,
    /// How entries are chosen.
    pub choice: TargetChoice,
    /// Keys.
    pub keys: usize,
    /// Requests a second.
    pub rate: f64,
    /// Time over which requests leave.
    pub time: Duration,
    /// Time from leaving to deadline.
    pub request_timeout: Duration,
}

/// What came of one request.
#[derive(Debug, Clone)]
pub struct SentRow {
    /// Kind, by index.
    pub kind: usize,
    /// Key, by number; `None` for a kind that needs none.
    pub key: Option<usize>,
    /// When it ended.
    pub done: Instant,
    /// Time from its intended leaving to its end.
    pub latency: Duration,
    /// Verdict; empty without a whole answer.
    pub verdict: String,
    /// Status; 0 without a whole answer.
    pub status: u16,
}

impl SentRow {
    /// Whether it ran.
    pub fn ran(&self) -> bool {
        self.status == 200
    }
}

/// Sends a load and gives a row for each request.
pub fn send_load(load: &OpenLoad) -> Vec<SentRow> {
    let start = Instant::now() + Duration::from_millis(20);
    std::thread::scope(|scope| {
        let senders: Vec<_> = (0..SENDERS)
            .map(|sender| scope.spawn(move || send_part(load, sender, start)))
            .collect();
        senders.into_iter().flat_map(|sender| sender.join().expect("senders end")).collect()
    })
}

fn send_part(load: &OpenLoad, sender: usize, start: Instant) -> Vec<SentRow> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime can be built");
    let tasks = tokio::task::LocalSet::new();
    let load = Rc::new(load.clone());
    let caller = Rc::new(HttpClient::default());
    tasks.block_on(&runtime, async move {
        let count = (load.rate * load.time.as_secs_f64()) as usize;
        let mut handles = Vec::new();
        for number in (sender..count).step_by(SENDERS) {
            let at = start + Duration::from_secs_f64(number as f64 / load.rate);
            tokio::time::sleep_until(at.into()).await;
            let (load, caller) = (load.clone(), caller.clone());
            handles.push(tokio::task::spawn_local(send_one(load, caller, number, at)));
        }
        let mut rows = Vec::new();
        for handle in handles {
            rows.push(handle.await.expect("requests end"));
        }
        rows
    })
}

async fn send_one(
    load: Rc<OpenLoad>,
    caller: Rc<HttpClient>,
    number: usize,
    at: Instant,
) -> SentRow {
    // A fixed mix of the number, so that kinds, keys and entries do not move in step.
    let mixed = number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 17;
    let mut place = mixed % 100;
    let kind = load
        .kinds
        .iter()
        .position(|kind| {
            let found = place < kind.percent;
            place = place.saturating_sub(kind.percent);
            found
        })
        .unwrap_or(0);
    let request = &load.kinds[kind];
    let key = (mixed / 100) % load.keys;
    let entry = match load.choice {
        TargetChoice::Spread => load.entries[(mixed / 7) % load.entries.len()],
        TargetChoice::ByKey => load.entries[key % load.entries.len()],
    };
    let request_timeout = u64::try_from(load.request_timeout.as_millis()).unwrap_or(u64::MAX);
    let deadline = (unix_ms() + request_timeout).to_string();
    let id = new_request_id();
    let key_text = format!("key-{key}");
    let mut headers =
        vec![("idempotency-key", id.as_str()), ("firspindle-deadline", deadline.as_str())];
    if request.keyed {
        headers.push(("firspindle-key", key_text.as_str()));
    }
    let limit = load.request_timeout + Duration::from_millis(200);
    let other = match load.choice {
        TargetChoice::Spread => load.entries[(mixed / 7 + 1) % load.entries.len()],
        TargetChoice::ByKey => entry,
    };
    let call = async {
        let first = caller.send(entry, request.method, &request.path, &headers, "order").await;
        match &first {
            // Nothing was sent; a caller may connect to any node.
            Err(error) if error.contains("Connect") && other != entry => {
                caller.send(other, request.method, &request.path, &headers, "order").await
            }
            _ => first,
        }
    };
    let reply = tokio::time::timeout(limit, call).await;
    let done = Instant::now();
    let (verdict, status) = match reply {
        Ok(Ok(reply)) => (reply.verdict().to_owned(), reply.status),
        _ => (String::new(), 0),
    };
    let key = request.keyed.then_some(key);
    SentRow { kind, key, done, latency: done.duration_since(at), verdict, status }
}

/// Latency of the rows that ran, in milliseconds: p50, p99 and p99.9.
pub fn percentiles(rows: &[&SentRow]) -> [f64; 3] {
    let mut histogram =
        Histogram::<u64>::new_with_bounds(1, MOST_MICROS, 3).expect("the bounds are valid");
    for row in rows.iter().filter(|row| row.ran()) {
        let micros = u64::try_from(row.latency.as_micros()).unwrap_or(MOST_MICROS);
        histogram.saturating_record(micros.max(1));
    }
    [0.5, 0.99, 0.999].map(|quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0)
}

/// Longest time without a run of any key, in milliseconds.
pub fn unavailable_ms(rows: &[SentRow], from: Instant, to: Instant, keys: usize) -> u128 {
    let mut last = vec![from; keys];
    let mut longest = vec![Duration::ZERO; keys];
    let mut ran: Vec<_> = rows.iter().filter(|row| row.ran()).collect();
    ran.sort_by_key(|row| row.done);
    for row in ran {
        let Some(key) = row.key else { continue };
        longest[key] = longest[key].max(row.done.saturating_duration_since(last[key]));
        last[key] = last[key].max(row.done);
    }
    for key in 0..keys {
        longest[key] = longest[key].max(to.saturating_duration_since(last[key]));
    }
    longest.into_iter().max().unwrap_or_default().as_millis()
}
