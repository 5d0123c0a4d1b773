//! Pooled HTTP connections to the upstream and to other nodes, one pool for each traffic thread.
//!
//! A connection is reused only after a complete response was read from it. If the response is not
//! read to its end, the HTTP library closes the connection.

use std::cell::RefCell;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Largest response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

thread_local! {
    static POOL: RefCell<Option<ConnectionPool>> = const { RefCell::new(None) };
}

/// HTTP client with the connections of one thread.
#[derive(Debug, Clone)]
pub struct ConnectionPool {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// A request to send over a pooled connection.
#[derive(Debug, Clone)]
pub struct OutboundRequest {
    /// HTTP method.
    pub method: Method,
    /// Absolute URI; its authority is the address to connect to.
    pub uri: Uri,
    /// Headers as sent.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// A complete response received over a pooled connection.
#[derive(Debug, Clone)]
pub struct OutboundResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// Why there is no complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendError {
    /// No connection could be opened, so nothing was sent.
    NotSent,
    /// The connection broke when the request may already have been sent.
    Broken,
    /// The response ended early or is too large.
    Truncated,
}

impl ConnectionPool {
    /// Returns the pool of the calling thread.
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
            // The library cannot tell whether a request may have run, so it must not retry.
            .retry_canceled_requests(false)
            .build(connector);
        Self { client }
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// [`SendError`] says whether anything may have been sent.
    pub async fn send(&self, request: OutboundRequest) -> Result<OutboundResponse, SendError> {
        let mut outgoing = Request::new(Full::new(request.body));
        *outgoing.method_mut() = request.method;
        *outgoing.uri_mut() = request.uri;
        *outgoing.headers_mut() = request.headers;
        let response = self.client.request(outgoing).await.map_err(|error| {
            if error.is_connect() { SendError::NotSent } else { SendError::Broken }
        })?;
        let (parts, body) = response.into_parts();
        let body = read_body(body).await?;
        Ok(OutboundResponse { status: parts.status, headers: parts.headers, body })
    }
}

async fn read_body(body: Incoming) -> Result<Bytes, SendError> {
    let collected = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
    collected.map(http_body_util::Collected::to_bytes).map_err(|_| SendError::Truncated)
}

/// Returns the headers that are forwarded, in a map with room for `extra` more.
pub fn end_to_end_headers(headers: &HeaderMap, extra: usize) -> HeaderMap {
    let mut forwarded = HeaderMap::with_capacity(headers.len() + extra);
    for (name, value) in headers {
        if !is_hop_by_hop_header(name) {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}

/// Whether a header applies to one connection only and is not forwarded.
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

/// Formats a number or other plain text as a header value.
///
/// # Panics
///
/// If the text has characters that are not allowed in a header value.
pub fn header_value(value: impl std::fmt::Display) -> HeaderValue {
    HeaderValue::try_from(value.to_string()).expect("plain text is a valid header value")
}
