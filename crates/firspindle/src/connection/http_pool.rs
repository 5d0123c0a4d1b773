//! Pooled HTTP connections to upstreams and other nodes, one pool for each traffic thread.
//!
//! A connection is used again only after a whole answer was read from it; one that was left in
//! the middle is closed by the library.

use std::cell::RefCell;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

/// Time for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which an unused connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Largest answer, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

thread_local! {
    static POOL: RefCell<Option<HttpPool>> = const { RefCell::new(None) };
}

/// Connections of one thread.
#[derive(Debug, Clone)]
pub struct HttpPool {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// A request to send.
#[derive(Debug, Clone)]
pub struct PoolRequest {
    /// Method.
    pub method: Method,
    /// Absolute URI.
    pub uri: Uri,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct PoolResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Why there is no whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PoolFailure {
    /// No connection, so nothing was sent.
    NotSent,
    /// The connection broke after the request may have been sent.
    Broken,
    /// The answer began and ended early, or is too large.
    Truncated,
}

impl HttpPool {
    /// Pool of the calling thread.
    pub fn of_thread() -> Self {
        POOL.with_borrow_mut(|pool| pool.get_or_insert_with(Self::new).clone())
    }

    fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            // A request is sent again only by rules that know whether it may have run.
            .retry_canceled_requests(false)
            .build(connector);
        Self { client }
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// A [`PoolFailure`] that tells whether anything may have been sent.
    pub async fn send(&self, request: PoolRequest) -> Result<PoolResponse, PoolFailure> {
        let mut message = Request::new(Full::new(request.body));
        *message.method_mut() = request.method;
        *message.uri_mut() = request.uri;
        *message.headers_mut() = request.headers;
        let response = self.client.request(message).await.map_err(|error| {
            if error.is_connect() { PoolFailure::NotSent } else { PoolFailure::Broken }
        })?;
        let (parts, body) = response.into_parts();
        let body = read_body(body).await?;
        Ok(PoolResponse { status: parts.status, headers: parts.headers, body })
    }
}

async fn read_body(body: Incoming) -> Result<Bytes, PoolFailure> {
    let collected = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
    collected.map(http_body_util::Collected::to_bytes).map_err(|_| PoolFailure::Truncated)
}

/// Headers to pass on, with room for `extra`.
pub fn end_to_end_headers(headers: &HeaderMap, extra: usize) -> HeaderMap {
    let mut forwarded = HeaderMap::with_capacity(headers.len() + extra);
    for (name, value) in headers {
        if !is_hop_by_hop_header(name) {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}

/// Whether a header belongs to one connection and is not passed on.
pub fn is_hop_by_hop_header(name: &HeaderName) -> bool {
    const NAMES: [&str; 9] = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
    ];
    NAMES.contains(&name.as_str())
}

/// A header value of a number or other plain text.
///
/// # Panics
///
/// If the text holds characters that a header may not.
pub fn header_value(value: impl std::fmt::Display) -> HeaderValue {
    HeaderValue::try_from(value.to_string()).expect("plain text is a header value")
}
