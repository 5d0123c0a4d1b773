//! A caller.

use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// Longest wait of one call.
const CALL_LIMIT: Duration = Duration::from_secs(20);

/// What came of a call; `Err` if no whole answer came.
pub type CallResult = Result<HttpResponse, Box<str>>;

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpResponse {
    /// Status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body as text.
    pub body: String,
}

impl HttpResponse {
    /// Header as text, empty if missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// Verdict header.
    pub fn verdict(&self) -> &str {
        self.header("firspindle-verdict")
    }
}

/// An HTTP client for blocking and asynchronous use.
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self { client: Client::builder(TokioExecutor::new()).build(connector) }
    }
}

impl HttpClient {
    /// Sends one request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// If no whole answer comes.
    pub async fn send(
        &self,
        address: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> CallResult {
        let method = Method::from_bytes(method.as_bytes()).map_err(|error| text(&error))?;
        let mut request = Request::new(Full::new(body.into()));
        *request.method_mut() = method;
        *request.uri_mut() =
            format!("http://{address}{path}").parse().map_err(|error| text(&error))?;
        for (name, value) in headers {
            let name = HeaderName::try_from(*name).map_err(|error| text(&error))?;
            let value = HeaderValue::try_from(*value).map_err(|error| text(&error))?;
            request.headers_mut().append(name, value);
        }
        let call = async {
            let response = self.client.request(request).await.map_err(|error| text(&error))?;
            let (parts, body) = response.into_parts();
            let body = body.collect().await.map_err(|error| text(&error))?.to_bytes();
            let body = String::from_utf8_lossy(&body).into_owned();
            Ok(HttpResponse { status: parts.status.as_u16(), headers: parts.headers, body })
        };
        tokio::time::timeout(CALL_LIMIT, call).await.unwrap_or_else(|error| Err(text(&error)))
    }

    /// Sends one request from a thread without a runtime.
    ///
    /// # Errors
    ///
    /// If no whole answer comes.
    ///
    /// # Panics
    ///
    /// If a runtime cannot be built.
    pub fn call(
        address: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> CallResult {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime can be built");
        runtime.block_on(Self::default().send(address, method, path, headers, body))
    }
}

fn text(error: &dyn std::fmt::Display) -> Box<str> {
    error.to_string().into()
}

/// A new request id.
pub fn new_request_id() -> String {
    uuid::Uuid::now_v7().to_string()
}

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Looks until `look` gives something; panics with `what` after the limit.
///
/// # Panics
///
/// If the limit passes first.
pub fn wait_until<T>(what: &str, limit: Duration, mut look: impl FnMut() -> Option<T>) -> T {
    let until = Instant::now() + limit;
    loop {
        if let Some(value) = look() {
            return value;
        }
        assert!(Instant::now() < until, "not within {limit:?}: {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}
