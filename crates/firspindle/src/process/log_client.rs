//! The platform's log over HTTP.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use snafu::Snafu;

use firspindle_core::LogOffset;

/// Time for one call besides its own waiting.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// A client of the log.
#[derive(Debug, Clone)]
pub struct LogClient {
    url: Box<str>,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// First kept offset and next offset.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct LogBounds {
    /// First offset that the log keeps.
    pub first: LogOffset,
    /// Offset of the next append.
    pub next: LogOffset,
}

/// A record as the log keeps it.
#[derive(Debug, Clone, Deserialize)]
pub struct StoredRecord {
    /// Offset.
    pub offset: LogOffset,
    /// Bytes.
    pub data: Vec<u8>,
}

#[derive(Deserialize)]
struct AppendReply {
    offset: LogOffset,
}

/// Why a call gave no result.
#[derive(Debug, Snafu)]
pub enum LogError {
    /// The log answered that it did not do it.
    #[snafu(display("the log refused: {status}"))]
    Refused {
        /// Status.
        status: StatusCode,
    },
    /// The offset has expired.
    #[snafu(display("the offset has expired"))]
    Expired,
    /// No answer: the call may have taken effect.
    #[snafu(display("no answer of the log: {reason}"))]
    NoAnswer {
        /// Cause.
        reason: Box<str>,
    },
}

impl LogClient {
    /// A client of the log at a URL.
    pub fn new(url: &str) -> Self {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Self { url: url.trim_end_matches('/').into(), client }
    }

    /// Appends a record.
    ///
    /// # Errors
    ///
    /// [`LogError::NoAnswer`] if the append may have taken effect.
    pub async fn append(&self, data: Vec<u8>) -> Result<LogOffset, LogError> {
        let request = Request::post(format!("{}/append", self.url)).body(Full::new(data.into()));
        let body = self.call(request, Duration::ZERO).await?;
        let reply: AppendReply = parse_json(&body)?;
        Ok(reply.offset)
    }

    /// First and next offset.
    ///
    /// # Errors
    ///
    /// If the log does not answer.
    pub async fn bounds(&self) -> Result<LogBounds, LogError> {
        let request = Request::get(format!("{}/bounds", self.url)).body(Full::default());
        parse_json(&self.call(request, Duration::ZERO).await?)
    }

    /// Records from an offset; waits up to `wait` for the first.
    ///
    /// # Errors
    ///
    /// [`LogError::Expired`] if the offset is older than the log keeps.
    pub async fn read(
        &self,
        from: LogOffset,
        wait: Duration,
    ) -> Result<Vec<StoredRecord>, LogError> {
        let url = format!("{}/records?from={from}&wait_ms={}", self.url, wait.as_millis());
        let body = self.call(Request::get(url).body(Full::default()), wait).await?;
        postcard::from_bytes(&body).map_err(|error| no_answer(&error))
    }

    async fn call(
        &self,
        request: http::Result<Request<Full<Bytes>>>,
        wait: Duration,
    ) -> Result<Bytes, LogError> {
        let request = request.map_err(|error| no_answer(&error))?;
        let call = async {
            let response = self.client.request(request).await.map_err(|error| no_answer(&error))?;
            let status = response.status();
            let body = response.into_body().collect().await.map_err(|error| no_answer(&error))?;
            match status {
                StatusCode::OK => Ok(body.to_bytes()),
                StatusCode::GONE => Err(LogError::Expired),
                status => Err(LogError::Refused { status }),
            }
        };
        let limit = CALL_TIMEOUT + wait;
        tokio::time::timeout(limit, call).await.unwrap_or_else(|error| Err(no_answer(&error)))
    }
}

fn parse_json<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, LogError> {
    serde_json::from_slice(body).map_err(|error| no_answer(&error))
}

fn no_answer(error: &dyn std::fmt::Display) -> LogError {
    LogError::NoAnswer { reason: error.to_string().into() }
}
