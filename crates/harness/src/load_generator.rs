//! Load generator: callers that send requests continuously and record every outcome.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::{HttpClient, JournalRow, new_request_id, unix_ms};

/// Time that a caller waits between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(4);

/// Outcome of one request.
#[derive(Debug, Clone)]
pub struct RequestOutcome {
    /// Routing key that the request carried; one of [`LoadSpec::keys`].
    pub key: String,
    /// Request id that was sent as `idempotency-key`.
    pub id: String,
    /// Time at which the request was sent.
    pub sent: Instant,
    /// Time at which the response was complete or the call failed.
    pub finished: Instant,
    /// Status and verdict; `None` without a complete response.
    pub result: Option<(u16, String)>,
}

impl RequestOutcome {
    /// Whether the response says that the request ran.
    pub fn ran(&self) -> bool {
        self.result.as_ref().is_some_and(|(status, verdict)| *status == 200 && verdict == "ran")
    }
}

/// Specification of the requests that a [`LoadGenerator`] sends.
#[derive(Debug, Clone)]
pub struct LoadSpec {
    /// Path, with the query that tells the upstream stand-in what to do.
    pub path: String,
    /// Routing keys; each request uses one of them.
    pub keys: Vec<String>,
    /// Number of concurrent callers.
    pub callers: usize,
    /// Time from sending a request to its deadline.
    pub request_timeout: Duration,
}

/// Callers that run in threads of their own until they are stopped.
#[derive(Debug)]
pub struct LoadGenerator {
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Vec<RequestOutcome>>>,
    disabled: Arc<Vec<AtomicBool>>,
}

impl LoadGenerator {
    /// Starts callers that send their requests to `endpoints` in turn.
    pub fn start(spec: &LoadSpec, endpoints: Vec<SocketAddr>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let next_request = Arc::new(AtomicUsize::new(0));
        let disabled: Arc<Vec<_>> =
            Arc::new(endpoints.iter().map(|_| AtomicBool::new(false)).collect());
        let endpoints = Arc::new(endpoints);
        let caller = |_| {
            let (spec, endpoints) = (spec.clone(), endpoints.clone());
            let (stop, next_request, disabled) =
                (stop.clone(), next_request.clone(), disabled.clone());
            std::thread::spawn(move || {
                run_caller(&spec, &endpoints, &disabled, &stop, &next_request)
            })
        };
        Self { callers: (0..spec.callers).map(caller).collect(), stop, disabled }
    }

    /// Stops sending to an endpoint, given by its index.
    pub fn disable_endpoint(&self, endpoint: usize) {
        self.disabled[endpoint].store(true, Ordering::Relaxed);
    }

    /// Stops the callers and returns all outcomes in the order in which they were sent.
    ///
    /// # Panics
    ///
    /// If one of the callers panicked.
    pub fn stop(self) -> Vec<RequestOutcome> {
        self.stop.store(true, Ordering::Relaxed);
        let mut outcomes: Vec<_> = self
            .callers
            .into_iter()
            .flat_map(|caller| caller.join().expect("the caller does not panic"))
            .collect();
        outcomes.sort_by_key(|outcome| outcome.sent);
        outcomes
    }
}

fn run_caller(
    spec: &LoadSpec,
    endpoints: &[SocketAddr],
    disabled: &[AtomicBool],
    stop: &AtomicBool,
    next_request: &AtomicUsize,
) -> Vec<RequestOutcome> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("building a Tokio runtime succeeds");
    let client = HttpClient::default();
    let mut outcomes = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let request_index = next_request.fetch_add(1, Ordering::Relaxed);
        let endpoint = request_index % endpoints.len();
        if disabled[endpoint].load(Ordering::Relaxed) {
            continue;
        }
        // Hashing decouples the key from the endpoint; otherwise some keys would only ever be sent
        // to an endpoint that is disabled.
        let hash = (request_index as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40;
        let key_index = usize::try_from(hash).unwrap_or(0) % spec.keys.len();
        let key = &spec.keys[key_index];
        let id = new_request_id();
        let sent = Instant::now();
        let request_timeout = u64::try_from(spec.request_timeout.as_millis()).unwrap_or(u64::MAX);
        let deadline = (unix_ms() + request_timeout).to_string();
        let headers = [
            ("firspindle-key", key.as_str()),
            ("idempotency-key", id.as_str()),
            ("firspindle-deadline", deadline.as_str()),
        ];
        let call = client.send(endpoints[endpoint], "POST", &spec.path, &headers, "order");
        let result = runtime.block_on(call).ok();
        let result = result.map(|response| (response.status, response.verdict().to_owned()));
        outcomes.push(RequestOutcome {
            key: key.clone(),
            id,
            sent,
            finished: Instant::now(),
            result,
        });
        std::thread::sleep(REQUEST_INTERVAL);
    }
    outcomes
}

/// Returns a message for each outcome that the journals contradict.
pub fn check_outcomes(outcomes: &[RequestOutcome], journal: &[JournalRow]) -> Vec<String> {
    let mut ids: Vec<_> = journal.iter().map(|row| row.id.as_str()).collect();
    ids.sort_unstable();
    let count = |id: &str| {
        let start = ids.partition_point(|other| *other < id);
        ids[start..].iter().take_while(|other| **other == id).count()
    };
    let mut violations = Vec::new();
    for outcome in outcomes {
        let runs = count(&outcome.id);
        let verdict = outcome.result.as_ref().map(|(_, verdict)| verdict.as_str());
        let consistent = match verdict {
            Some("ran") => runs == 1,
            Some("not-run") => runs == 0,
            _ => runs <= 1,
        };
        if !consistent {
            violations.push(format!(
                "verdict {verdict:?}, but the journals have {runs} runs: {outcome:?}"
            ));
        }
    }
    violations
}

/// Returns the longest time between `from` and `to` during which some key had no successful run.
pub fn longest_gap(outcomes: &[RequestOutcome], from: Instant, to: Instant) -> Duration {
    let mut keys: Vec<_> = outcomes.iter().map(|outcome| outcome.key.as_str()).collect();
    keys.sort_unstable();
    keys.dedup();
    let gap_of = |key: &str| {
        let mut last_run = from;
        let mut longest = Duration::ZERO;
        for outcome in outcomes.iter().filter(|outcome| outcome.key == key && outcome.ran()) {
            if outcome.finished < from || outcome.finished > to {
                continue;
            }
            longest = longest.max(outcome.finished.duration_since(last_run));
            last_run = last_run.max(outcome.finished);
        }
        longest.max(to.saturating_duration_since(last_run))
    };
    keys.into_iter().map(gap_of).max().unwrap_or_default()
}
