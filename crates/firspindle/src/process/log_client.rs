//! HTTP client of the platform's log.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use snafu::Snafu;

use firspindle_core::LogOffset;
use firspindle_core::version::{FoldEpoch, MAX_EPOCH, epoch_offset};

/// Timeout of a call, in addition to the time that it asks the log to wait.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Largest body of an answer, in bytes: that of a message between nodes.
const MAX_REPLY_BYTES: usize = 32 * 1024 * 1024;

/// Header in which the log counts the times that it came back from an older copy.
const EPOCH_HEADER: &str = "firspindle-log-epoch";

/// Client of the log; clones share its connections.
#[derive(Debug, Clone)]
pub struct LogClient {
    url: Box<str>,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// Offsets at which the kept part of the log begins and ends, in the log's epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogBounds {
    /// First offset that the log keeps.
    pub first: LogOffset,
    /// Offset that the next appended record gets.
    pub next: LogOffset,
}

/// Bounds as the log numbers them.
#[derive(Deserialize)]
struct BoundsReply {
    first: u64,
    next: u64,
}

/// An answer of the log, with its epoch.
struct LogReply {
    epoch: FoldEpoch,
    body: Bytes,
}

/// A record as stored on the log.
#[derive(Debug, Clone, Deserialize)]
pub struct StoredRecord {
    /// Offset of the record, as the log numbers it.
    pub offset: u64,
    /// Encoded record.
    pub data: Vec<u8>,
}

#[derive(Deserialize)]
struct AppendReply {
    offset: u64,
}

/// Records that the log had in an epoch.
#[derive(Debug, Clone)]
pub struct StoredRecords {
    /// Epoch of the log.
    pub epoch: FoldEpoch,
    /// Records by rising offset.
    pub records: Vec<StoredRecord>,
}

/// Errors of a call to the log.
#[derive(Debug, Snafu)]
pub enum LogError {
    /// The log answered with an error status; the call has had no effect.
    #[snafu(display("the log refused the call: {status}"))]
    Refused {
        /// HTTP status of the answer; neither 200 nor 410.
        status: StatusCode,
    },
    /// The log does not have the requested offset: it expired, or the log ends before it.
    #[snafu(display("the log does not have the requested offset"))]
    Expired,
    /// There was no usable answer; the call may have taken effect.
    #[snafu(display("no answer from the log: {reason}"))]
    NoAnswer {
        /// What failed: building the request, the connection, the timeout or decoding the response.
        reason: Box<str>,
    },
}

impl LogClient {
    /// Creates a client of the log at a URL.
    pub fn new(url: &str) -> Self {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Self { url: url.trim_end_matches('/').into(), client }
    }

    /// Appends an encoded record and returns its offset.
    ///
    /// # Errors
    ///
    /// [`LogError::NoAnswer`] if the append may have taken effect, else [`LogError::Refused`].
    pub async fn append(&self, data: Vec<u8>) -> Result<LogOffset, LogError> {
        let request = Request::post(format!("{}/append", self.url)).body(Full::new(data.into()));
        let reply = self.call(request, Duration::ZERO).await?;
        let body: AppendReply = parse_json(&reply.body)?;
        Ok(epoch_offset(reply.epoch, body.offset))
    }

    /// Returns the first kept offset and the next offset.
    ///
    /// # Errors
    ///
    /// A [`LogError`] if the log does not answer or refuses the call.
    pub async fn bounds(&self) -> Result<LogBounds, LogError> {
        let request = Request::get(format!("{}/bounds", self.url)).body(Full::default());
        let LogReply { epoch, body } = self.call(request, Duration::ZERO).await?;
        let bounds: BoundsReply = parse_json(&body)?;
        let offset = |offset| epoch_offset(epoch, offset);
        Ok(LogBounds { first: offset(bounds.first), next: offset(bounds.next) })
    }

    /// Reads records from an offset of the log on; the log waits up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// [`LogError::Expired`] if the log does not have the offset.
    pub async fn read(&self, from: u64, wait: Duration) -> Result<StoredRecords, LogError> {
        let url = format!("{}/records?from={from}&wait_ms={}", self.url, wait.as_millis());
        let reply = self.call(Request::get(url).body(Full::default()), wait).await?;
        let records = postcard::from_bytes(&reply.body).map_err(|error| no_answer(&error))?;
        Ok(StoredRecords { epoch: reply.epoch, records })
    }

    async fn call(
        &self,
        request: http::Result<Request<Full<Bytes>>>,
        wait: Duration,
    ) -> Result<LogReply, LogError> {
        let request = request.map_err(|error| no_answer(&error))?;
        let call = async {
            let response = self.client.request(request).await.map_err(|error| no_answer(&error))?;
            let status = response.status();
            let epoch = read_epoch(response.headers())?;
            let body = Limited::new(response.into_body(), MAX_REPLY_BYTES).collect().await;
            let body = body.map_err(|error| no_answer(&error))?;
            match status {
                StatusCode::OK => Ok(LogReply { epoch, body: body.to_bytes() }),
                StatusCode::GONE => Err(LogError::Expired),
                status => Err(LogError::Refused { status }),
            }
        };
        let limit = CALL_TIMEOUT + wait;
        tokio::time::timeout(limit, call).await.unwrap_or_else(|error| Err(no_answer(&error)))
    }
}

/// Reads the epoch that an answer names; a log that names none was never restored.
fn read_epoch(headers: &http::HeaderMap) -> Result<FoldEpoch, LogError> {
    let Some(value) = headers.get(EPOCH_HEADER) else { return Ok(0) };
    let epoch = value.to_str().ok().and_then(|text| text.parse().ok());
    let invalid = || no_answer(&"it names no valid epoch");
    epoch.filter(|epoch| *epoch <= MAX_EPOCH).ok_or_else(invalid)
}

fn parse_json<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, LogError> {
    serde_json::from_slice(body).map_err(|error| no_answer(&error))
}

fn no_answer(error: &dyn std::fmt::Display) -> LogError {
    LogError::NoAnswer { reason: error.to_string().into() }
}
