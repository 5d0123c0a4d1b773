//! Stand-in of a client.

use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::http::{Answer, header, read_answer, write_request};
use crate::record;
use crate::system::connect_small;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A client attempt.
#[derive(Debug, Clone)]
pub struct Call {
    pub id: String,
    pub method: &'static str,
    pub host: String,
    /// Path with its query.
    pub path: String,
    pub key: Option<u16>,
    pub body: Vec<u8>,
    /// Time that the client will wait.
    pub budget: Duration,
    /// Time for which it reads nothing once the answer's body has begun.
    pub pause: Option<Duration>,
    /// Time after which it closes its connection if no answer has begun.
    pub leaves_after: Option<Duration>,
}

impl Call {
    /// A GET request with a budget of two seconds.
    pub fn get(host: &str, path: &str) -> Self {
        let number = NEXT_ID.fetch_add(1, Ordering::SeqCst);
        Self {
            id: format!("{:08x}{number:08x}", std::process::id()),
            method: "GET",
            host: host.into(),
            path: path.into(),
            key: None,
            body: Vec::new(),
            budget: Duration::from_secs(2),
            pause: None,
            leaves_after: None,
        }
    }
}

/// How an attempt ended.
pub struct Done {
    pub sent_at: Instant,
    pub ended_at: Instant,
    /// What was answered; `None` if the connection ended before the head of an answer.
    pub answer: Option<Answer>,
}

impl Done {
    /// Whether it was answered with the whole success of a target.
    pub fn is_served(&self) -> bool {
        self.answer.as_ref().is_some_and(|answer| {
            answer.status == 200
                && answer.whole
                && header(&answer.headers, "x-response-signature").is_some()
        })
    }

    pub fn status(&self) -> u16 {
        self.answer.as_ref().map_or(0, |answer| answer.status)
    }
}

/// Segment and receive buffer of a client that reads slowly, in bytes.
const SMALL_SEGMENT: i32 = 1460;
const SMALL_BUFFER: i32 = 8 * 1024;

/// Sends a request on a new connection and reads its answer; `None` if no connection was established.
pub fn call(address: SocketAddr, request: &Call) -> Option<Done> {
    let stream = match request.pause {
        None => TcpStream::connect_timeout(&address, Duration::from_secs(1)),
        Some(_) => connect_small(address, SMALL_SEGMENT, SMALL_BUFFER),
    };
    let mut stream = stream.ok()?;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(request.leaves_after.unwrap_or(request.budget)));
    let sent_at = Instant::now();
    let key = request.key.map_or(String::new(), |key| format!(" key {key}"));
    record::keep(sent_at, format!("{} sent: {} {}{key}", request.id, request.method, request.path));
    let mut headers = vec![
        ("host", request.host.clone()),
        ("x-request-id", request.id.clone()),
        ("x-deadline-ms", request.budget.as_millis().to_string()),
    ];
    if let Some(key) = request.key {
        headers.push(("x-shard-key", key.to_string()));
    }
    let written =
        write_request(&mut stream, request.method, &request.path, &headers, &request.body);
    let answer = written.ok().and_then(|()| {
        let mut reader = BufReader::with_capacity(4096, stream);
        let mut pause = request.pause;
        let mut pace = |_: usize| {
            if let Some(pause) = pause.take() {
                std::thread::sleep(pause);
            }
        };
        read_answer(&mut reader, &mut pace).ok()
    });
    let ended_at = Instant::now();
    let text = answer.as_ref().map_or("no answer".to_owned(), |answer| {
        format!("{}, {} bytes, whole: {}", answer.status, answer.body.len(), answer.whole)
    });
    record::keep(ended_at, format!("{} answered: {text}", request.id));
    Some(Done { sent_at, ended_at, answer })
}
