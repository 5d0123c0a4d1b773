//! Callers that send orders all the time and remember every answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::{HttpClient, JournalRow, new_request_id, unix_ms};

/// Pause of a caller between two orders.
const PAUSE: Duration = Duration::from_millis(4);

/// One order and what came of it.
#[derive(Debug, Clone)]
pub struct RequestOutcome {
    /// Key.
    pub key: String,
    /// Request id.
    pub id: String,
    /// When it was sent.
    pub sent: Instant,
    /// When the answer, or its end, came.
    pub done: Instant,
    /// Status and verdict; `None` without a whole answer.
    pub answer: Option<(u16, String)>,
}

impl RequestOutcome {
    /// Whether it ran by its answer.
    pub fn ran(&self) -> bool {
        self.answer.as_ref().is_some_and(|(status, verdict)| *status == 200 && verdict == "ran")
    }
}

/// What orders are sent.
#[derive(Debug, Clone)]
pub struct LoadSpec {
    /// Path, with the query that shapes the work.
    pub path: String,
    /// Keys.
    pub keys: Vec<String>,
    /// Callers.
    pub callers: usize,
    /// Time from sending to deadline.
    pub request_timeout: Duration,
}

/// Running callers.
#[derive(Debug)]
pub struct LoadGenerator {
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Vec<RequestOutcome>>>,
    closed: Arc<Vec<AtomicBool>>,
}

impl LoadGenerator {
    /// Starts callers that spread their orders over `entries`.
    pub fn start(spec: &LoadSpec, entries: Vec<SocketAddr>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let next = Arc::new(AtomicUsize::new(0));
        let closed: Arc<Vec<_>> =
            Arc::new(entries.iter().map(|_| AtomicBool::new(false)).collect());
        let entries = Arc::new(entries);
        let caller = |_| {
            let (spec, entries) = (spec.clone(), entries.clone());
            let (stop, next, closed) = (stop.clone(), next.clone(), closed.clone());
            std::thread::spawn(move || run_caller(&spec, &entries, &closed, &stop, &next))
        };
        Self { callers: (0..spec.callers).map(caller).collect(), stop, closed }
    }

    /// Stops sending to an entry.
    pub fn disable_endpoint(&self, entry: usize) {
        self.closed[entry].store(true, Ordering::Relaxed);
    }

    /// Stops the callers and gives all rows, oldest first.
    ///
    /// # Panics
    ///
    /// If a caller panicked.
    pub fn stop(self) -> Vec<RequestOutcome> {
        self.stop.store(true, Ordering::Relaxed);
        let mut rows: Vec<_> = self
            .callers
            .into_iter()
            .flat_map(|caller| caller.join().expect("callers do not panic"))
            .collect();
        rows.sort_by_key(|row| row.sent);
        rows
    }
}

fn run_caller(
    spec: &LoadSpec,
    entries: &[SocketAddr],
    closed: &[AtomicBool],
    stop: &AtomicBool,
    next: &AtomicUsize,
) -> Vec<RequestOutcome> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime can be built");
    let caller = HttpClient::default();
    let mut rows = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let turn = next.fetch_add(1, Ordering::Relaxed);
        let entry = turn % entries.len();
        if closed[entry].load(Ordering::Relaxed) {
            continue;
        }
        // Keys and entries must not move in step, or a closed entry leaves keys unasked.
        let mixed = (turn as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40;
        let place = usize::try_from(mixed).unwrap_or(0) % spec.keys.len();
        let key = &spec.keys[place];
        let id = new_request_id();
        let sent = Instant::now();
        let request_timeout = u64::try_from(spec.request_timeout.as_millis()).unwrap_or(u64::MAX);
        let deadline = (unix_ms() + request_timeout).to_string();
        let headers = [
            ("firspindle-key", key.as_str()),
            ("idempotency-key", id.as_str()),
            ("firspindle-deadline", deadline.as_str()),
        ];
        let call = caller.send(entries[entry], "POST", &spec.path, &headers, "order");
        let answer = runtime.block_on(call).ok();
        let answer = answer.map(|reply| (reply.status, reply.verdict().to_owned()));
        rows.push(RequestOutcome { key: key.clone(), id, sent, done: Instant::now(), answer });
        std::thread::sleep(PAUSE);
    }
    rows
}

/// Answers that the journals contradict.
pub fn check_outcomes(rows: &[RequestOutcome], journal: &[JournalRow]) -> Vec<String> {
    let mut ids: Vec<_> = journal.iter().map(|row| row.id.as_str()).collect();
    ids.sort_unstable();
    let count = |id: &str| {
        let start = ids.partition_point(|other| *other < id);
        ids[start..].iter().take_while(|other| **other == id).count()
    };
    let mut faults = Vec::new();
    for row in rows {
        let runs = count(&row.id);
        let verdict = row.answer.as_ref().map(|(_, verdict)| verdict.as_str());
        let holds = match verdict {
            Some("ran") => runs == 1,
            Some("not-run") => runs == 0,
            _ => runs <= 1,
        };
        if !holds {
            faults.push(format!("{verdict:?} but {runs} runs: {row:?}"));
        }
    }
    faults
}

/// Longest time without a run answer for any key, within a span.
pub fn longest_gap(rows: &[RequestOutcome], from: Instant, to: Instant) -> Duration {
    let mut keys: Vec<_> = rows.iter().map(|row| row.key.as_str()).collect();
    keys.sort_unstable();
    keys.dedup();
    let gap_of = |key: &str| {
        let mut last = from;
        let mut longest = Duration::ZERO;
        for row in rows.iter().filter(|row| row.key == key && row.ran()) {
            if row.done < from || row.done > to {
                continue;
            }
            longest = longest.max(row.done.duration_since(last));
            last = last.max(row.done);
        }
        longest.max(to.saturating_duration_since(last))
    };
    keys.into_iter().map(gap_of).max().unwrap_or_default()
}
