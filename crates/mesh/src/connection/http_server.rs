//! HTTP servers for callers and for other nodes.
//!
//! The servers use `hyper` directly instead of `xitca-web`: `hyper` drops a request's future as
//! soon as the caller closes the connection, which `xitca-http` does not notice while a handler
//! runs.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::connection_pool::set_server_options;
use crate::request::{
    ExitStage, SharedState, TrafficContext, handle_caller_request, handle_peer_request,
};

/// Time after which an idle connection is closed. Callers' own idle limits are seconds to tens of
/// seconds and change with the manifest; the server never closes a connection before its caller
/// would.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Limit for the head of a request, in bytes, where the manifest sets no lower one.
const MAX_HEADER_BYTES: usize = 64 * 1024;

/// Most bytes that are read from a connection after its last answer.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;

/// Time for which they are read.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Whose requests a server handles.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerKind {
    /// Requests of callers.
    Callers,
    /// Requests of other nodes.
    Peers,
}

/// Accepts and serves connections until the process exits. A connection that comes later is refused, so that its
/// sender knows that nothing of it has run.
pub async fn serve_connections(
    listener: TcpListener,
    kind: ServerKind,
    context: Rc<TrafficContext>,
) {
    let mut exit = context.shared.exit_stage.subscribe();
    let serve = |stream| {
        set_server_options(&stream);
        tokio::task::spawn_local(serve_stream(stream, kind, context.clone()));
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = exit.wait_for(|stage| *stage >= ExitStage::ListenersClosed) => break,
        };
        match accepted {
            Ok((stream, _)) => serve(stream),
            Err(error) => {
                log::warn!(error:%; "accept failed");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
    // These were established before.
    while let Ok(Ok((stream, _))) = tokio::time::timeout(Duration::ZERO, listener.accept()).await {
        serve(stream);
    }
}

/// Counts a connection as open until it is dropped.
struct OpenConnection(Arc<SharedState>);

impl OpenConnection {
    fn new(shared: Arc<SharedState>) -> Self {
        shared.connections.fetch_add(1, Ordering::Relaxed);
        Self(shared)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Serves a connection until its client closes it, or until the process exits and all that was begun on it is
/// written.
async fn serve_stream(
    mut stream: tokio::net::TcpStream,
    kind: ServerKind,
    context: Rc<TrafficContext>,
) {
    let _open = OpenConnection::new(context.shared.clone());
    let mut exit = context.shared.exit_stage.subscribe();
    let service = service_fn(move |request| {
        let context = context.clone();
        async move {
            // A request whose caller has left already is dropped here.
            tokio::task::yield_now().await;
            let response = match kind {
                ServerKind::Callers => handle_caller_request(&context, request).await,
                ServerKind::Peers => handle_peer_request(&context, request).await,
            };
            Ok::<_, Infallible>(response)
        }
    });
    let connection = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .max_buf_size(MAX_HEADER_BYTES)
        .serve_connection(TokioIo::new(&mut stream), service);
    let mut connection = std::pin::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        _ = exit.wait_for(|stage| *stage == ExitStage::ConnectionsClose) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!(error:%; "server connection ended with an error");
    }
    discard_unread(&mut stream).await;
}

/// Ends the node's side of a connection and reads what the client still sends, within limits: the system resets
/// a connection that is closed with unread bytes, and drops what it has not sent of an answer.
async fn discard_unread(stream: &mut tokio::net::TcpStream) {
    let mut buffer = [0; 4_096];
    if stream.try_read(&mut buffer).map_or(true, |length| length == 0) {
        return;
    }
    let discard = async {
        stream.shutdown().await?;
        let mut left = MAX_DISCARDED_BYTES;
        while left > 0 {
            match stream.read(&mut buffer).await? {
                0 => break,
                length => left = left.saturating_sub(length),
            }
        }
        std::io::Result::Ok(())
    };
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, discard).await;
}
