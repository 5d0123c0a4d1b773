//! HTTP servers for callers and for other nodes.
//!
//! The servers use `hyper` directly instead of `xitca-web`: `hyper` drops a request's future as
//! soon as the caller closes the connection, which `xitca-http` does not notice while a handler
//! runs.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use firspindle_edge::discard_unread;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

use super::connection_pool::set_server_options;
use crate::request::{ExitStage, TrafficContext, handle_caller_request, handle_peer_request};

/// Time after which an idle connection of another node is closed, and of a caller where no manifest sets
/// a limit.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Limit for the head of a request, in bytes, where the manifest sets no lower one.
const MAX_HEADER_BYTES: usize = 64 * 1024;

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

/// Returns the time after which a connection that is accepted now is closed if it is idle.
fn idle_timeout(kind: ServerKind, context: &TrafficContext) -> Duration {
    let view = context.shared.view.load();
    let limit = view.manifest.as_ref().map(|manifest| manifest.limits.idle_timeout);
    let limit = limit.filter(|limit| kind == ServerKind::Callers && !limit.is_zero());
    limit.unwrap_or(IDLE_TIMEOUT)
}

/// Serves a connection until its client closes it, or until the process exits and all that was begun on it is
/// written.
async fn serve_stream(
    mut stream: tokio::net::TcpStream,
    kind: ServerKind,
    context: Rc<TrafficContext>,
) {
    let _guard = context.shared.connections.enter();
    let mut exit = context.shared.exit_stage.subscribe();
    let idle_timeout = idle_timeout(kind, &context);
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
        .header_read_timeout(idle_timeout)
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
