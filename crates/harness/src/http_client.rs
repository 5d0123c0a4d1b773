//! An HTTP client for tests, and small helpers around it.

use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// Time after which a call without a complete response fails.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Response to a call, or the error if no complete response was received.
pub type CallResult = Result<HttpResponse, Box<str>>;

/// A complete HTTP response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpResponse {
    /// HTTP status code, such as 200.
    pub status: u16,
    /// Headers of the response, without trailers.
    pub headers: HeaderMap,
    /// Body as text; invalid UTF-8 is replaced.
    pub body: String,
}

impl HttpResponse {
    /// Returns the value of a header, or an empty string if it is missing or not text.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// Returns the value of the `firspindle-verdict` header, or an empty string.
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
    /// Sends one request and reads the complete response.
    ///
    /// # Errors
    ///
    /// If the request is invalid or no complete response arrives in time.
    pub async fn send(
        &self,
        address: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> CallResult {
        let method = Method::from_bytes(method.as_bytes()).map_err(|error| error_text(&error))?;
        let mut request = Request::new(Full::new(body.into()));
        *request.method_mut() = method;
        *request.uri_mut() =
            format!("http://{address}{path}").parse().map_err(|error| error_text(&error))?;
        for (name, value) in headers {
            let name = HeaderName::try_from(*name).map_err(|error| error_text(&error))?;
            let value = HeaderValue::try_from(*value).map_err(|error| error_text(&error))?;
            request.headers_mut().append(name, value);
        }
        let call = async {
            let response =
                self.client.request(request).await.map_err(|error| error_text(&error))?;
            let (parts, body) = response.into_parts();
            let body = body.collect().await.map_err(|error| error_text(&error))?.to_bytes();
            let body = String::from_utf8_lossy(&body).into_owned();
            Ok(HttpResponse { status: parts.status.as_u16(), headers: parts.headers, body })
        };
        tokio::time::timeout(CALL_TIMEOUT, call)
            .await
            .unwrap_or_else(|error| Err(error_text(&error)))
    }

    /// Sends one request and blocks until the response is complete.
    ///
    /// Must not be called from within an async runtime.
    ///
    /// # Errors
    ///
    /// If the request is invalid or no complete response arrives in time.
    ///
    /// # Panics
    ///
    /// If the Tokio runtime cannot be built.
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
            .expect("building a Tokio runtime succeeds");
        runtime.block_on(Self::default().send(address, method, path, headers, body))
    }
}

fn error_text(error: &dyn std::fmt::Display) -> Box<str> {
    error.to_string().into()
}

/// Returns a new request id, a version 7 UUID.
pub fn new_request_id() -> String {
    uuid::Uuid::now_v7().to_string()
}

/// Returns the current Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Calls `poll` every 10 ms until it returns a value.
///
/// # Panics
///
/// If `poll` returns no value within `max_wait`; the message contains `description`.
pub fn wait_until<T>(
    description: &str,
    max_wait: Duration,
    mut poll: impl FnMut() -> Option<T>,
) -> T {
    let deadline = Instant::now() + max_wait;
    loop {
        if let Some(value) = poll() {
            return value;
        }
        assert!(
            Instant::now() < deadline,
            "timed out after {max_wait:?} waiting until {description}"
        );
        std::thread::sleep(Duration::from_millis(10));
    }
}
