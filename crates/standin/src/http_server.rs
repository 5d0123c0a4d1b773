//! A small HTTP server around one handler.

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

/// An answer held in memory.
pub type Answer = Response<Full<Bytes>>;

/// Serves `handler` on `address` until the process ends.
pub async fn serve<H, F>(address: SocketAddr, handler: H) -> std::io::Result<()>
where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Option<Answer>> + 'static,
{
    let listener = TcpListener::bind(address).await?;
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        let handler = handler.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| {
                let answer = handler(request);
                async move {
                    match answer.await {
                        Some(answer) => Ok::<_, Infallible>(answer),
                        // Keeps the connection open without an answer.
                        None => std::future::pending().await,
                    }
                }
            });
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!("connection ended: {error}");
            }
        });
    }
}

/// An answer of a status and a body.
pub fn answer(status: u16, body: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(Full::new(body.into()));
    *answer.status_mut() = http::StatusCode::from_u16(status).expect("statuses are valid");
    answer
}

/// Value of a query parameter.
pub fn query<T: std::str::FromStr>(request: &http::Uri, name: &str) -> Option<T> {
    let pairs = request.query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name)?.1.parse().ok()
}
