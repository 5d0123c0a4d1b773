//! HTTP servers for callers and for other nodes.
//!
//! `hyper` is served directly, not through `xitca-web`: it drops a request's work as soon as its
//! caller closes the connection, which `xitca-http` does not see while a handler runs.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

use super::connection_pool::set_socket_options;
use crate::request::{TrafficContext, handle_caller_request, handle_peer_request};

/// Time for which a connection may stay idle. Callers' idle limits are seconds to tens of
/// seconds and change with the manifest; a connection is never closed before a caller's is up.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Bytes of a request's head, where no manifest says less.
const MAX_HEADER_BYTES: usize = 64 * 1024;

/// Time before another connection is taken after an error.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Who is served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerKind {
    /// Callers.
    Callers,
    /// Other nodes.
    Peers,
}

/// Serves connections until the process ends.
pub async fn serve_connections(
    listener: TcpListener,
    kind: ServerKind,
    context: Rc<TrafficContext>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                set_socket_options(&stream);
                let context = context.clone();
                tokio::task::spawn_local(serve_stream(stream, kind, context));
            }
            Err(error) => {
                log::warn!(error:%; "connection not accepted");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn serve_stream(
    stream: tokio::net::TcpStream,
    kind: ServerKind,
    context: Rc<TrafficContext>,
) {
    let service = service_fn(move |request| {
        let context = context.clone();
        async move {
            let answer = match kind {
                ServerKind::Callers => handle_caller_request(&context, request).await,
                ServerKind::Peers => handle_peer_request(&context, request).await,
            };
            Ok::<_, Infallible>(answer)
        }
    });
    let connection = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .max_buf_size(MAX_HEADER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!(error:%; "connection ended");
    }
}
