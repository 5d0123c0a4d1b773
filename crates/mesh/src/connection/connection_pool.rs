//! Pool of connections to other nodes and to the upstream, each of which carries one request at a
//! time.
//!
//! A connection may go silent without a reset. Each therefore has a limit on the time that sent
//! bytes stay unacknowledged, and keep-alive probes at short intervals, so that a silent connection
//! fails by itself. A connection whose response was not read to its end is never reused.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::{HeaderMap, Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpSocket;
use tokio::time::Instant;

use super::OutboundBody;
use super::outbound_stream::{HeadLimit, OutboundStream, RemoteEnd};

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Time for which sent bytes may stay unacknowledged before the connection fails.
pub(super) const UNACKED_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Idle time before the first keep-alive probe, and time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered keep-alive probes after which a connection fails.
const KEEPALIVE_PROBES: u32 = 2;

/// Idle connections kept for each address.
const MAX_IDLE_PER_ADDRESS: usize = 32;

/// Time limit for a connection to become ready again after a response has ended.
const REUSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Percentage of the time for which the other side keeps an idle connection, as it said, in which the
/// connection is used again.
const KEEP_PERCENT: u32 = 80;

/// A request sent over a pooled connection.
pub type OutboundRequest = Request<OutboundBody>;

/// A response received over a pooled connection; its body is still to be read.
pub type OutboundResponse = Response<Incoming>;

/// Sends requests on one connection.
struct RequestSender {
    inner: SendRequest<OutboundBody>,
    head_limit: HeadLimit,
}

/// Why there is no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum SendError {
    /// The connection was refused: nothing listens at the address.
    #[snafu(display("connection refused"))]
    Refused,
    /// The request was not sent.
    #[snafu(display("not sent"))]
    NotSent,
    /// The connection broke after the request was handed to it, so the request may have arrived.
    #[snafu(display("connection broken"))]
    Broken,
}

struct IdleConnection {
    sender: RequestSender,
    since: Instant,
}

struct PoolRow {
    address: SocketAddr,
    idle: Vec<IdleConnection>,
    /// Time for which the other side keeps idle connections, if its last response said so.
    keep: Option<Duration>,
}

impl PoolRow {
    /// Drops the idle connections that are closed, were idle for longer than `idle_limit`, or are soon
    /// dropped by the other side.
    fn drop_unusable(&mut self, idle_limit: Duration) {
        let kept = self.keep.map_or(idle_limit, |keep| (keep * KEEP_PERCENT / 100).min(idle_limit));
        self.idle.retain(|connection| {
            !connection.sender.inner.is_closed() && connection.since.elapsed() <= kept
        });
    }
}

/// Idle connections by address.
#[derive(Clone, Default)]
pub struct ConnectionPool {
    rows: Rc<RefCell<Vec<PoolRow>>>,
    remote_end: RemoteEnd,
}

/// A connection whose response is still to be read; [`Self::finish`] returns it to the pool.
pub struct PooledConnection {
    pool: ConnectionPool,
    address: SocketAddr,
    sender: RequestSender,
}

impl PooledConnection {
    /// Returns the connection to the pool, after its response was read to the end.
    pub fn finish(self) {
        tokio::task::spawn_local(async move {
            let Self { pool, address, mut sender } = self;
            let since = Instant::now();
            let ready = tokio::time::timeout(REUSE_TIMEOUT, sender.inner.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                pool.put(address, sender, since);
            }
        });
    }
}

impl ConnectionPool {
    /// Returns when the other side last ended a connection of this pool.
    pub(crate) fn remote_end(&self) -> RemoteEnd {
        self.remote_end.clone()
    }

    /// Sends a request on a connection that was idle for less than `idle_limit`, or a new one.
    /// The flag says whether the connection is new.
    ///
    /// # Errors
    ///
    /// [`SendError`] says whether the request may have arrived.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: OutboundRequest,
        idle_limit: Duration,
    ) -> Result<(OutboundResponse, PooledConnection, bool), SendError> {
        let mut request = request;
        while let Some(sender) = self.take(address, idle_limit) {
            match self.send_on(address, sender, request).await {
                Ok((response, connection)) => return Ok((response, connection, false)),
                Err(None) => return Err(SendError::Broken),
                Err(Some(unsent)) => request = *unsent,
            }
        }
        let sender = self.connect(address).await?;
        match self.send_on(address, sender, request).await {
            Ok((response, connection)) => Ok((response, connection, true)),
            Err(None) => Err(SendError::Broken),
            Err(Some(_)) => Err(SendError::NotSent),
        }
    }

    /// Sends a request on a connection. The error holds the request if it was not sent.
    async fn send_on(
        &self,
        address: SocketAddr,
        mut sender: RequestSender,
        request: OutboundRequest,
    ) -> Result<(OutboundResponse, PooledConnection), Option<Box<OutboundRequest>>> {
        sender.head_limit.begin();
        let sent = sender.inner.try_send_request(request).await;
        sender.head_limit.end();
        match sent {
            Ok(response) => {
                let keep = keep_alive_time(response.headers());
                Self::row_of(&mut self.rows.borrow_mut(), address).keep = keep;
                Ok((response, PooledConnection { pool: self.clone(), address, sender }))
            }
            Err(mut error) => Err(error.take_message().map(Box::new)),
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<RequestSender, SendError> {
        let socket = TcpSocket::new_v4().map_err(|_| SendError::NotSent)?;
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, socket.connect(address)).await;
        let stream = match connecting {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
                return Err(SendError::Refused);
            }
            Ok(Err(_)) | Err(_) => return Err(SendError::NotSent),
        };
        set_client_options(&stream);
        let head_limit = HeadLimit::default();
        let stream = OutboundStream::new(stream, head_limit.clone(), self.remote_end.clone());
        let (inner, driver) =
            Builder::new().handshake(TokioIo::new(stream)).await.map_err(|_| SendError::NotSent)?;
        tokio::task::spawn_local(async move {
            if let Err(error) = driver.await {
                log::debug!(address:%, error:%; "outgoing connection ended with an error");
            }
        });
        Ok(RequestSender { inner, head_limit })
    }

    /// Takes the most recently used idle connection, unless it was idle for too long.
    fn take(&self, address: SocketAddr, idle_limit: Duration) -> Option<RequestSender> {
        let mut rows = self.rows.borrow_mut();
        let index = rows.binary_search_by_key(&address, |row| row.address).ok()?;
        let row = &mut rows[index];
        row.drop_unusable(Duration::MAX);
        let newest = row.idle.last()?;
        if newest.since.elapsed() > idle_limit {
            return None;
        }
        row.idle.pop().map(|connection| connection.sender)
    }

    /// Adds a connection that has been idle since a time, in place of the oldest one if the address has
    /// too many.
    fn put(&self, address: SocketAddr, sender: RequestSender, since: Instant) {
        let mut rows = self.rows.borrow_mut();
        let idle = &mut Self::row_of(&mut rows, address).idle;
        if idle.len() >= MAX_IDLE_PER_ADDRESS {
            idle.remove(0);
        }
        idle.push(IdleConnection { sender, since });
    }

    /// Returns the row of an address, a new one if there is none.
    fn row_of(rows: &mut Vec<PoolRow>, address: SocketAddr) -> &mut PoolRow {
        let index = match rows.binary_search_by_key(&address, |row| row.address) {
            Ok(index) => index,
            Err(index) => {
                rows.insert(index, PoolRow { address, idle: Vec::new(), keep: None });
                index
            }
        };
        &mut rows[index]
    }

    /// Closes connections that were idle for longer than `idle_limit`.
    pub fn close_idle(&self, idle_limit: Duration) {
        for row in self.rows.borrow_mut().iter_mut() {
            row.drop_unusable(idle_limit);
        }
    }
}

/// Returns the time for which the other side keeps an idle connection: `timeout` of its `Keep-Alive`
/// header, in whole seconds.
fn keep_alive_time(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
    seconds?.trim().parse::<u32>().ok().map(|seconds| Duration::from_secs(seconds.into()))
}

/// Time for which an answer or a large request body may stay unread. The system counts a receiver that
/// acknowledges everything but reads nothing like one that is gone, so this is longer than the deadline
/// that ends either before.
pub(super) const UNREAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Limits the time for which a connection that this node opened may be silent.
fn set_client_options(stream: &tokio::net::TcpStream) {
    set_socket_options(stream, UNACKED_TIMEOUT);
}

/// Limits the time for which a connection that this node accepted may be silent. While nothing is on its way
/// to the client, its silence is noticed as soon as that of a connection that this node opened.
pub(super) fn set_server_options(stream: &tokio::net::TcpStream) {
    set_socket_options(stream, UNREAD_TIMEOUT);
}

/// Limits the time for which sent bytes stay unacknowledged, and that between probes of an idle connection,
/// and disables Nagle's algorithm.
fn set_socket_options(stream: &tokio::net::TcpStream, unacked: Duration) {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let result = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(unacked)))
        .and_then(|()| socket.set_tcp_keepalive(&probes));
    if let Err(error) = result {
        log::warn!(error:%; "socket options not set");
    }
}
