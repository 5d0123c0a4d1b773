//! Open-loop load generator: requests are sent on a fixed schedule, regardless of earlier
//! responses.
//!
//! Latency is measured from the scheduled send time. A stalled system is thus charged for the
//! requests that a closed-loop caller would not have sent (coordinated omission).

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use harness::{HttpClient, new_request_id, unix_ms};
use hdrhistogram::Histogram;

/// Number of threads that send requests.
const SENDER_THREADS: usize = 4;

/// Highest latency that the histogram records, in microseconds.
const MAX_LATENCY_MICROS: u64 = 60_000_000;

/// One kind of request.
#[derive(Debug, Clone)]
pub struct RequestKind {
    /// Name in the printed tables.
    pub name: &'static str,
    /// HTTP method of the requests, such as `GET`.
    pub method: &'static str,
    /// Path, with the query that tells the upstream stand-in what to do.
    pub path: String,
    /// Share of all requests, in percent.
    pub percent: usize,
    /// Whether the request carries a routing key.
    pub keyed: bool,
}

/// How the endpoint of a request is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointChoice {
    /// By a hash of the request number, uniformly over all endpoints.
    Uniform,
    /// By key modulo the number of endpoints, as a caller with a fixed list does.
    ByKey,
}

/// Specification of an open-loop load.
#[derive(Debug, Clone)]
pub struct OpenLoopLoad {
    /// Kinds of requests; their shares add up to 100 %.
    pub kinds: Vec<RequestKind>,
    /// Addresses that receive the requests.
    pub endpoints: Vec<SocketAddr>,
    /// How the endpoint of a request is chosen.
    pub choice: EndpointChoice,
    /// Number of different routing keys.
    pub keys: usize,
    /// Requests per second.
    pub rate: f64,
    /// Time during which requests are sent.
    pub duration: Duration,
    /// Time from sending a request to its deadline.
    pub request_timeout: Duration,
}

/// Measured outcome of one request.
#[derive(Debug, Clone)]
pub struct RequestSample {
    /// Index of the kind in [`OpenLoopLoad::kinds`].
    pub kind: usize,
    /// Number of the routing key; `None` if the request carries none.
    pub key: Option<usize>,
    /// Time at which the response was complete or the call failed.
    pub finished: Instant,
    /// Time from the scheduled send time to `finished`.
    pub latency: Duration,
    /// Verdict; empty without a complete response.
    pub verdict: String,
    /// Status code; 0 without a complete response.
    pub status: u16,
}

impl RequestSample {
    /// Whether the request ran, by its status.
    pub fn ran(&self) -> bool {
        self.status == 200
    }
}

/// Sends a load and returns one sample for each request.
pub fn send_load(load: &OpenLoopLoad) -> Vec<RequestSample> {
    let start = Instant::now() + Duration::from_millis(20);
    std::thread::scope(|scope| {
        let senders: Vec<_> = (0..SENDER_THREADS)
            .map(|sender| scope.spawn(move || run_sender(load, sender, start)))
            .collect();
        senders
            .into_iter()
            .flat_map(|sender| sender.join().expect("the sender does not panic"))
            .collect()
    })
}

fn run_sender(load: &OpenLoopLoad, sender: usize, start: Instant) -> Vec<RequestSample> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("building a Tokio runtime succeeds");
    let tasks = tokio::task::LocalSet::new();
    let load = Rc::new(load.clone());
    let client = Rc::new(HttpClient::default());
    tasks.block_on(&runtime, async move {
        let count = (load.rate * load.duration.as_secs_f64()) as usize;
        let mut handles = Vec::new();
        for index in (sender..count).step_by(SENDER_THREADS) {
            let scheduled = start + Duration::from_secs_f64(index as f64 / load.rate);
            tokio::time::sleep_until(scheduled.into()).await;
            let (load, client) = (load.clone(), client.clone());
            handles.push(tokio::task::spawn_local(send_request(load, client, index, scheduled)));
        }
        let mut samples = Vec::new();
        for handle in handles {
            samples.push(handle.await.expect("the request task does not panic"));
        }
        samples
    })
}

async fn send_request(
    load: Rc<OpenLoopLoad>,
    client: Rc<HttpClient>,
    index: usize,
    scheduled: Instant,
) -> RequestSample {
    // Hashing the request number keeps kinds, keys and endpoints from being correlated.
    let hash = index.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 17;
    let mut percentile = hash % 100;
    let kind = load
        .kinds
        .iter()
        .position(|kind| {
            let found = percentile < kind.percent;
            percentile = percentile.saturating_sub(kind.percent);
            found
        })
        .unwrap_or(0);
    let request = &load.kinds[kind];
    let key = (hash / 100) % load.keys;
    let endpoint = match load.choice {
        EndpointChoice::Uniform => load.endpoints[(hash / 7) % load.endpoints.len()],
        EndpointChoice::ByKey => load.endpoints[key % load.endpoints.len()],
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
    let max_wait = load.request_timeout + Duration::from_millis(200);
    let alternative = match load.choice {
        EndpointChoice::Uniform => load.endpoints[(hash / 7 + 1) % load.endpoints.len()],
        EndpointChoice::ByKey => endpoint,
    };
    let call = async {
        let first = client.send(endpoint, request.method, &request.path, &headers, "order").await;
        match &first {
            // The connection failed, so nothing was sent; the caller may use another node.
            Err(error) if error.contains("Connect") && alternative != endpoint => {
                client.send(alternative, request.method, &request.path, &headers, "order").await
            }
            _ => first,
        }
    };
    let response = tokio::time::timeout(max_wait, call).await;
    let finished = Instant::now();
    let (verdict, status) = match response {
        Ok(Ok(response)) => (response.verdict().to_owned(), response.status),
        _ => (String::new(), 0),
    };
    let key = request.keyed.then_some(key);
    RequestSample {
        kind,
        key,
        finished,
        latency: finished.duration_since(scheduled),
        verdict,
        status,
    }
}

/// Returns p50, p99 and p99.9 of the latency of the requests that ran, in milliseconds.
pub fn percentiles(samples: &[&RequestSample]) -> [f64; 3] {
    let mut histogram = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_MICROS, 3)
        .expect("the histogram bounds are valid");
    for sample in samples.iter().filter(|sample| sample.ran()) {
        let micros = u64::try_from(sample.latency.as_micros()).unwrap_or(MAX_LATENCY_MICROS);
        histogram.saturating_record(micros.max(1));
    }
    [0.5, 0.99, 0.999].map(|quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0)
}

/// Returns the longest time during which some key had no successful run, in milliseconds.
pub fn longest_key_gap_ms(
    samples: &[RequestSample],
    from: Instant,
    to: Instant,
    keys: usize,
) -> u128 {
    let mut last_run = vec![from; keys];
    let mut longest = vec![Duration::ZERO; keys];
    let mut ran: Vec<_> = samples.iter().filter(|sample| sample.ran()).collect();
    ran.sort_by_key(|sample| sample.finished);
    for sample in ran {
        let Some(key) = sample.key else { continue };
        longest[key] = longest[key].max(sample.finished.saturating_duration_since(last_run[key]));
        last_run[key] = last_run[key].max(sample.finished);
    }
    for key in 0..keys {
        longest[key] = longest[key].max(to.saturating_duration_since(last_run[key]));
    }
    longest.into_iter().max().unwrap_or_default().as_millis()
}
