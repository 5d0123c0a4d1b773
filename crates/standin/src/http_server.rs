//! A minimal HTTP/1 server that passes every request to one handler.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

/// A response whose body is held in memory.
pub type FullResponse = Response<Full<Bytes>>;

/// Serves `handler` on `address` until accepting a connection fails.
///
/// A request for which `handler` returns `None` gets no response; its connection stays open.
pub async fn serve<H, F>(address: SocketAddr, handler: H) -> std::io::Result<()>
where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Option<FullResponse>> + 'static,
{
    let listener = TcpListener::bind(address).await?;
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        let handler = handler.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| {
                let response = handler(request);
                async move {
                    match response.await {
                        Some(response) => Ok::<_, Infallible>(response),
                        // Keeps the connection open without a response.
                        None => std::future::pending().await,
                    }
                }
            });
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!("connection failed: {error}");
            }
        });
    }
}

/// Returns a response with a status and a body.
pub fn new_response(status: u16, body: impl Into<Bytes>) -> FullResponse {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = http::StatusCode::from_u16(status).expect("the status code is valid");
    response
}

/// Returns the value of a query parameter, or `None` if it is missing or malformed.
pub fn query_parameter<T: std::str::FromStr>(uri: &http::Uri, name: &str) -> Option<T> {
    let pairs = uri.query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name)?.1.parse().ok()
}
