//! HTTP server on threads of its own.
//!
//! It uses `hyper` directly instead of `xitca-web`: `hyper` drops a request's future as soon as the
//! caller closes the connection, which `xitca-http` does not notice while a handler runs.

use std::convert::Infallible;
use std::net::{IpAddr, TcpListener};
use std::time::Duration;

use bytes::Bytes;
use firspindle_edge::{OpenConnections, discard_unread};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use snafu::ResultExt;
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};

use crate::process::{ProcessError, StartSnafu};

/// Time after which an idle connection is closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(60);

/// Most headers in one request; the HTTP library refuses a request with more.
const MAX_HEADERS: usize = 128;

/// Most bytes of a request's head that the HTTP library reads before it refuses the request.
const MAX_READ_BYTES: usize = 1024 * 1024;

/// Pause after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Stops a server gracefully: it accepts no more connections, and each one ends after its request,
/// once the answer is written.
pub type StopServer = Box<dyn Fn() + Send>;

/// Serves requests on `workers` threads. The handler gets each request with its sender's address,
/// and its future is dropped if the sender closes the connection. `connections` counts the open ones.
///
/// # Errors
///
/// If the server cannot start.
pub fn serve<H, F>(
    listener: &TcpListener,
    workers: usize,
    connections: &OpenConnections,
    handler: H,
) -> Result<StopServer, ProcessError>
where
    H: Fn(Request<Incoming>, IpAddr) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Full<Bytes>>> + 'static,
{
    let (stop, stopped) = watch::channel(false);
    for _ in 0..workers {
        let listener = listener.try_clone().context(StartSnafu)?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .context(StartSnafu)?;
        let (handler, stopped) = (handler.clone(), stopped.clone());
        let connections = connections.clone();
        std::thread::spawn(move || {
            let accepting = accept_connections(listener, handler, stopped, connections);
            if let Err(error) = LocalSet::new().block_on(&runtime, accepting) {
                log::error!(error:%; "HTTP server failed");
                std::process::abort();
            }
        });
    }
    Ok(Box::new(move || {
        stop.send_replace(true);
    }))
}

async fn accept_connections<H, F>(
    listener: TcpListener,
    handler: H,
    stopped: watch::Receiver<bool>,
    connections: OpenConnections,
) -> std::io::Result<()>
where
    H: Fn(Request<Incoming>, IpAddr) -> F + Clone + 'static,
    F: Future<Output = Response<Full<Bytes>>> + 'static,
{
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let mut stop = stopped.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stopped| *stopped) => break,
        };
        match accepted {
            Ok((stream, remote)) => {
                let guard = connections.enter();
                let serving = serve_stream(stream, remote.ip(), handler.clone(), stopped.clone());
                spawn_local(async move {
                    serving.await;
                    drop(guard);
                });
            }
            Err(error) => {
                log::warn!(error:%; "accept failed");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
    drop(listener);
    // Keeps the thread for the requests that are under way; the process ends it.
    std::future::pending().await
}

async fn serve_stream<H, F>(
    mut stream: tokio::net::TcpStream,
    remote: IpAddr,
    handler: H,
    mut stopped: watch::Receiver<bool>,
) where
    H: Fn(Request<Incoming>, IpAddr) -> F,
    F: Future<Output = Response<Full<Bytes>>>,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:%; "socket option not set");
    }
    let service = service_fn(|request| {
        let response = handler(request, remote);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let connection = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(KEEP_ALIVE_TIMEOUT)
        .max_headers(MAX_HEADERS)
        .max_buf_size(MAX_READ_BYTES)
        .serve_connection(TokioIo::new(&mut stream), service);
    let mut connection = std::pin::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        _ = stopped.wait_for(|stopped| *stopped) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!(error:%; "server connection ended with an error");
    }
    discard_unread(&mut stream).await;
}
